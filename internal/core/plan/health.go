package plan

import (
	"math/bits"
	"slices"
	"sort"
	"time"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/contract"
	"sesameyoke/internal/core/job"
)

const (
	// failuresToSuspect is how many distinct jobs have to fail on a worker in a row
	// before it is put aside: one job may be at fault itself.
	failuresToSuspect = 3

	// failuresToGiveUp is on how many distinct workers a job has to fail before it
	// is taken to be at fault itself.
	failuresToGiveUp = 3

	// overShare is the processor use, over the declared share, that is let pass:
	// reports lag and are coarse.
	overShare = 1.25

	// overToThrottle is how many reports in a row have to be over before the job is
	// throttled, overToSave how many before it gives way.
	overToThrottle = 2
	overToSave     = 10

	firstProbe = time.Minute
	maxProbe   = time.Hour
)

// health is what is known of one worker.
type health struct {
	gone   bool      // down or leaving
	aside  bool      // put aside after failures
	failed []job.Key // distinct jobs that failed in a row
	probe  time.Duration
	pause  time.Duration
}

func (s *State) healthOf(worker string) *health {
	h, ok := s.health[worker]
	if !ok {
		h = &health{}
		s.health[worker] = h
	}

	return h
}

// judgeUsage holds a job to the share of processors that it has declared: first by
// throttling, and by a checkpoint when that is not enough.
func (s *State) judgeUsage(it *item, share float64) {
	if it.phase != running || share <= overShare {
		it.over = 0

		return
	}
	it.over++
	switch {
	case it.over == overToThrottle:
		s.act(Action{Kind: Throttle, Key: it.Key})
	case it.over >= overToSave && it.Movable:
		it.over = 0
		s.evict(it, false)
	}
}

// fail judges a failed job: it is tried on another worker, and ended after it has
// failed on several. Work that must not run twice ends at once.
func (s *State) fail(it *item, worker string) {
	if it.phase == waiting || it.phase == clearing {
		return
	}
	s.suspect(worker, it.Key)
	s.vacate(it)
	it.began = true
	if !slices.Contains(it.failedOn, worker) {
		it.failedOn = append(it.failedOn, worker)
	}
	elsewhere := s.never(it, s.rules.Contracts[it.Key.Workspace]) == ""
	if !it.gone && it.Movable && elsewhere && len(it.failedOn) < failuresToGiveUp {
		s.requeue(it)

		return
	}
	s.drop(it)
	s.refuse(it.Key, code.Failed, "the job failed on "+worker, 0)
}

// refused puts a job back in line that a worker would not start.
func (s *State) refused(it *item, worker string) {
	if it.phase == waiting || it.phase == clearing {
		return
	}
	if worker != "" {
		s.suspect(worker, it.Key)
	}
	s.backInLine(it)
}

// suspect counts a failure against a worker, once for each job.
func (s *State) suspect(worker string, k job.Key) {
	if _, known := s.byName[worker]; !known {
		return
	}
	h := s.healthOf(worker)
	if !slices.Contains(h.failed, k) {
		h.failed = append(h.failed, k)
	}
	if h.aside || len(h.failed) < failuresToSuspect {
		return
	}
	h.aside = true
	h.pause = min(maxProbe, max(firstProbe, 2*h.pause))
	h.probe = s.now + h.pause
	s.setUp(worker)
}

// succeeded forgets the failures of the workers on which a job has finished.
func (s *State) succeeded(it *item) {
	for _, p := range it.places {
		w := s.racks.all[p.Rack].workerAt(p.First)
		if h := s.health[w.name]; h != nil {
			h.failed = nil
			h.pause = 0
		}
	}
}

// probe lets back workers whose pause is over. One more failure puts them aside
// again, for twice as long.
func (s *State) probe() {
	var names []string
	for name, h := range s.health {
		if h.aside && s.now >= h.probe {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		h := s.health[name]
		h.aside = false
		h.failed = h.failed[:failuresToSuspect-1]
		s.setUp(name)
	}
}

// down takes a worker out of use. Its jobs are ended by the events that follow.
func (s *State) down(worker string) {
	if h := s.healthOf(worker); !h.gone {
		h.gone = true
		s.setUp(worker)
	}
}

func (s *State) up(worker string) {
	if h := s.healthOf(worker); h.gone {
		h.gone = false
		s.setUp(worker)
	}
}

// setUp brings a worker's accelerators in line with its health. Jobs that wait for
// places there go back in line.
func (s *State) setUp(worker string) {
	ref, known := s.byName[worker]
	if !known {
		return
	}
	h := s.healthOf(worker)
	m := contract.Low(ref.span.width) << ref.span.first
	before := s.rackGone(ref.rack)
	s.racks.update(ref.rack, func(r *rack) {
		r.down &^= m
		if h.gone || h.aside {
			r.down |= m
		}
	})
	s.fresh = true
	if before != s.rackGone(ref.rack) {
		s.apportion()
	}
	if h.gone || h.aside {
		s.release(ref.rack, m)
	}
}

func (s *State) rackGone(rack int) bool {
	r := &s.racks.all[rack]

	return r.mask&^r.down == 0
}

// release puts jobs back in line whose kept places are out of use now.
func (s *State) release(rack int, m uint64) {
	for _, it := range s.cleared {
		if it.phase == clearing && !it.gone && touches(it.places, rack, m) {
			s.unhold(it)
			s.usageOf(it.Key.Workspace).queued--
			s.enqueue(it)
		}
	}
}

func touches(places []Place, rack int, m uint64) bool {
	for _, p := range places {
		if p.Rack == rack && p.mask()&m != 0 {
			return true
		}
	}

	return false
}

// Occupancy describes one rack for operators.
type Occupancy struct {
	Rack     string
	Owners   []job.Key // by accelerator; zero is free
	Down     uint64
	Held     uint64
	Promised uint64
}

// Occupancies returns the occupancy of all racks in use.
func (s *State) Occupancies() []Occupancy {
	var out []Occupancy
	for i := range s.racks.all {
		r := &s.racks.all[i]
		if r.mask == 0 {
			continue
		}
		o := Occupancy{Rack: s.rules.Fleet.Racks[i].Name, Down: r.down, Held: r.held, Promised: r.promised}
		for p := range bits.OnesCount64(r.mask) {
			var k job.Key
			if r.owner[p] != nil {
				k = r.owner[p].Key
			}
			o.Owners = append(o.Owners, k)
		}
		out = append(out, o)
	}

	return out
}
