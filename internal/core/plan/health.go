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
	// failuresToQuarantine is the number of distinct jobs that must fail on a worker in a
	// row before it is quarantined. A single failing job may itself be the cause.
	failuresToQuarantine = 3

	// failuresToGiveUp is the number of distinct workers on which a job must fail before
	// the job itself is considered faulty.
	failuresToGiveUp = 3

	// maxCPUShareRatio is the tolerated ratio of CPU usage to the declared CPU share. It is
	// above 1 because usage reports are delayed and coarse.
	maxCPUShareRatio = 1.25

	// overuseToThrottle is the number of consecutive reports above maxCPUShareRatio after
	// which a job is throttled, overuseToEvict the number after which it is evicted.
	overuseToThrottle = 2
	overuseToEvict    = 10

	minQuarantine = time.Minute
	maxQuarantine = time.Hour
)

// health is the health state of one worker.
type health struct {
	down               bool      // lost or draining
	quarantined        bool      // not used until quarantineEnd because of failures
	failures           []job.Key // distinct jobs that failed since the last success
	quarantineEnd      time.Duration
	quarantineDuration time.Duration
}

func (s *State) healthOf(worker string) *health {
	h, ok := s.health[worker]
	if !ok {
		h = &health{}
		s.health[worker] = h
	}

	return h
}

// enforceShare limits a job to its declared CPU share: it is throttled first, and
// evicted by a checkpoint if it stays above the share.
func (s *State) enforceShare(j *plannedJob, ratio float64) {
	if j.phase != running || ratio <= maxCPUShareRatio {
		j.overuseReports = 0

		return
	}
	j.overuseReports++
	switch {
	case j.overuseReports == overuseToThrottle:
		s.emit(Action{Kind: Throttle, Key: j.Key})
	case j.overuseReports >= overuseToEvict && j.Preemptible:
		j.overuseReports = 0
		s.evict(j, false)
	}
}

// fail handles a failed job. An idempotent job is retried on other workers until it has
// failed on failuresToGiveUp of them or none is left. A non-idempotent job is answered as
// failed at once.
func (s *State) fail(j *plannedJob, worker string) {
	if j.phase == waiting || j.phase == reserved {
		return
	}
	s.recordFailure(worker, j.Key)
	s.vacate(j)
	j.hasRun = true
	if !slices.Contains(j.failedOn, worker) {
		j.failedOn = append(j.failedOn, worker)
	}
	canRetry := s.neverFitsReason(j, s.config.Contracts[j.Key.Workspace]) == ""
	if !j.removed && j.Preemptible && canRetry && len(j.failedOn) < failuresToGiveUp {
		s.requeue(j)

		return
	}
	s.drop(j)
	s.conclude(j.Key, code.Failed, "the job failed on "+worker, 0)
}

// startRefused requeues a job whose start was refused by a worker.
func (s *State) startRefused(j *plannedJob, worker string) {
	if j.phase == waiting || j.phase == reserved {
		return
	}
	if worker != "" {
		s.recordFailure(worker, j.Key)
	}
	s.requeueOrConclude(j)
}

// recordFailure counts a failure against a worker, once per job, and quarantines the worker
// after failuresToQuarantine of them. The quarantine time doubles each time until a job
// finishes on the worker, up to maxQuarantine.
func (s *State) recordFailure(worker string, k job.Key) {
	if _, known := s.byName[worker]; !known {
		return
	}
	h := s.healthOf(worker)
	if !slices.Contains(h.failures, k) {
		h.failures = append(h.failures, k)
	}
	if h.quarantined || len(h.failures) < failuresToQuarantine {
		return
	}
	h.quarantined = true
	h.quarantineDuration = min(maxQuarantine, max(minQuarantine, 2*h.quarantineDuration))
	h.quarantineEnd = s.now + h.quarantineDuration
	s.updateAvailability(worker)
}

// resetFailures clears the failures of the workers on which a job has finished.
func (s *State) resetFailures(j *plannedJob) {
	for _, p := range j.places {
		w := s.racks.all[p.Rack].workerAt(p.First)
		if h := s.health[w.name]; h != nil {
			h.failures = nil
			h.quarantineDuration = 0
		}
	}
}

// endQuarantines makes workers available whose quarantine has expired. A single further
// failure quarantines them again, for twice as long.
func (s *State) endQuarantines() {
	var names []string
	for name, h := range s.health {
		if h.quarantined && s.now >= h.quarantineEnd {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		h := s.health[name]
		h.quarantined = false
		h.failures = h.failures[:failuresToQuarantine-1]
		s.updateAvailability(name)
	}
}

// down makes a worker unavailable. Separate events report the end of its jobs.
func (s *State) down(worker string) {
	if h := s.healthOf(worker); !h.down {
		h.down = true
		s.updateAvailability(worker)
	}
}

func (s *State) up(worker string) {
	if h := s.healthOf(worker); h.down {
		h.down = false
		s.updateAvailability(worker)
	}
}

// updateAvailability marks the worker's accelerators as down or up according to its health.
// Jobs that have reserved places on a worker that is down are requeued.
func (s *State) updateAvailability(worker string) {
	ref, known := s.byName[worker]
	if !known {
		return
	}
	h := s.healthOf(worker)
	m := contract.LowMask(ref.span.width) << ref.span.first
	before := s.rackDown(ref.rack)
	s.racks.update(ref.rack, func(r *rack) {
		r.down &^= m
		if h.down || h.quarantined {
			r.down |= m
		}
	})
	s.dirty = true
	if before != s.rackDown(ref.rack) {
		s.apportion()
	}
	if h.down || h.quarantined {
		s.requeueReserved(ref.rack, m)
	}
}

func (s *State) rackDown(rack int) bool {
	r := &s.racks.all[rack]

	return r.mask&^r.down == 0
}

// requeueReserved requeues the jobs whose reserved places overlap the accelerators m, which
// are no longer available.
func (s *State) requeueReserved(rack int, m uint64) {
	for _, j := range s.reserved {
		if j.phase == reserved && !j.removed && overlaps(j.places, rack, m) {
			s.unreserve(j)
			s.usageOf(j.Key.Workspace).queued--
			s.enqueue(j)
		}
	}
}

func overlaps(places []Place, rack int, m uint64) bool {
	for _, p := range places {
		if p.Rack == rack && p.mask()&m != 0 {
			return true
		}
	}

	return false
}

// Occupancy describes the use of one rack for operators. Bit i of a mask is accelerator i.
type Occupancy struct {
	Rack     string
	Owners   []job.Key // job on each accelerator; the zero key means free
	Down     uint64
	Held     uint64 // reserved for jobs that wait until they are free
	Promised uint64
}

// Occupancies returns the occupancy of all racks of the region.
func (s *State) Occupancies() []Occupancy {
	var out []Occupancy
	for i := range s.racks.all {
		r := &s.racks.all[i]
		if r.mask == 0 {
			continue
		}
		o := Occupancy{Rack: s.config.Fleet.Racks[i].Name, Down: r.down, Held: r.reserved, Promised: r.promised}
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
