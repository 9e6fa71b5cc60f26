package plan_test

import (
	"slices"
	"sort"
	"time"

	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/plan"
)

type (
	// policy is a scheduling policy under test in the simulation.
	policy interface {
		Step(now time.Duration, events ...plan.Event) []plan.Action
	}

	// naive implements simple reference policies, whose correctness is easy to see: it keeps a
	// list of waiting jobs and an array of accelerators, and scans both at every event. It
	// ignores promises, quotas and urgency.
	naive struct {
		config        plan.Config
		mode          string // fcfs (strict order), skip (first fit), best (best fit) or easy (EASY backfill)
		now           time.Duration
		queue         []plan.Job
		running       map[job.Key]*naiveRun
		racks         [][]bool // by rack and accelerator: in use
		down          map[string]bool
		failed        map[string][]job.Key
		quarantineEnd map[string]time.Duration
	}

	naiveRun struct {
		job    plan.Job
		places []plan.Place
		endsAt time.Duration // according to the declared run time
	}
)

func newNaive(config plan.Config, mode string) *naive {
	n := &naive{
		config: config, mode: mode, running: map[job.Key]*naiveRun{},
		down: map[string]bool{}, failed: map[string][]job.Key{}, quarantineEnd: map[string]time.Duration{},
	}
	for _, r := range config.Fleet.Racks {
		n.racks = append(n.racks, make([]bool, r.Size()))
	}

	return n
}

// Step applies events and starts the jobs that the mode allows.
func (n *naive) Step(now time.Duration, events ...plan.Event) []plan.Action {
	n.now = now
	for _, e := range events {
		n.apply(e)
	}
	for w, at := range n.quarantineEnd {
		if now >= at {
			delete(n.quarantineEnd, w)
			delete(n.down, w)
			n.failed[w] = nil
		}
	}

	return n.schedule()
}

func (n *naive) apply(e plan.Event) {
	switch e.Kind {
	case plan.Submit:
		n.queue = append(n.queue, e.Job)
	case plan.Cancel:
		n.queue = slices.DeleteFunc(n.queue, func(j plan.Job) bool { return j.Key == e.Key })
		n.free(e.Key)
	case plan.Finish:
		if r := n.running[e.Key]; r != nil {
			for _, p := range r.places {
				n.failed[n.worker(p)] = nil
			}
		}
		n.free(e.Key)
	case plan.Fail, plan.StopDone:
		if r := n.running[e.Key]; r != nil {
			n.free(e.Key)
			n.queue = append(n.queue, r.job)
			sort.SliceStable(n.queue, func(i, j int) bool { return n.queue[i].SubmittedAt < n.queue[j].SubmittedAt })
		}
		if e.Kind == plan.Fail {
			n.recordFailure(e.Worker, e.Key)
		}
	case plan.Down:
		n.down[e.Worker] = true
	case plan.Up:
		delete(n.down, e.Worker)
	}
}

// recordFailure quarantines a worker for an hour after three distinct jobs have failed on it in
// a row. plan.State has a similar quarantine, so the comparison covers only order and placement.
func (n *naive) recordFailure(w string, k job.Key) {
	if !slices.Contains(n.failed[w], k) {
		n.failed[w] = append(n.failed[w], k)
	}
	if len(n.failed[w]) >= 3 && !n.down[w] {
		n.down[w] = true
		n.quarantineEnd[w] = n.now + time.Hour
	}
}

func (n *naive) free(k job.Key) {
	r := n.running[k]
	if r == nil {
		return
	}
	for _, p := range r.places {
		for i := p.First; i < p.First+p.Width; i++ {
			n.racks[p.Rack][i] = false
		}
	}
	delete(n.running, k)
}

func (n *naive) worker(p plan.Place) string {
	return n.config.Fleet.Racks[p.Rack].Workers[p.First/8].Name
}

func (n *naive) schedule() []plan.Action {
	var out []plan.Action
	shadow, extra := time.Duration(-1), 0
	kept := n.queue[:0:0]
	for i, j := range n.queue {
		if n.mode == "fcfs" && len(kept) > 0 {
			kept = append(kept, n.queue[i:]...)

			break
		}
		size := j.Shape.Size()
		endsAfterShadow := n.now+j.Declared > shadow
		if n.mode == "easy" && shadow >= 0 && endsAfterShadow && size > extra {
			kept = append(kept, j)

			continue
		}
		places := n.findPlaces(j)
		if places == nil {
			if n.mode == "easy" && shadow < 0 {
				shadow, extra = n.earliestFree(size)
			}
			kept = append(kept, j)

			continue
		}
		if shadow >= 0 && endsAfterShadow {
			extra -= size
		}
		for _, p := range places {
			for i := p.First; i < p.First+p.Width; i++ {
				n.racks[p.Rack][i] = true
			}
		}
		n.running[j.Key] = &naiveRun{job: j, places: places, endsAt: n.now + j.Declared}
		out = append(out, plan.Action{Kind: plan.Start, Key: j.Key, Places: places})
	}
	n.queue = kept

	return out
}

// earliestFree returns the time at which size accelerators will be free according to the
// declared run times, and how many more will be free then. In EASY backfill these are the
// shadow time and the extra accelerators of the first job that does not fit: a later job may
// start only if it ends before the shadow time or uses no more than the extra accelerators.
func (n *naive) earliestFree(size int) (time.Duration, int) {
	free := 0
	for i := range n.racks {
		for a := range n.racks[i] {
			if n.usable(i, a) {
				free++
			}
		}
	}
	runs := make([]*naiveRun, 0, len(n.running))
	for _, r := range n.running {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool {
		if runs[i].endsAt != runs[j].endsAt {
			return runs[i].endsAt < runs[j].endsAt
		}

		return runs[i].job.Key.ID < runs[j].job.Key.ID
	})
	for _, r := range runs {
		if free >= size {
			return max(n.now, r.endsAt), free - size
		}
		free += r.job.Shape.Size()
	}

	return n.now, max(0, free-size)
}

func (n *naive) usable(rack, i int) bool {
	return !n.racks[rack][i] && !n.down[n.worker(plan.Place{Rack: rack, First: i})]
}

func (n *naive) findPlaces(j plan.Job) []plan.Place {
	if j.Shape.Adjacent || j.Shape.Members == 1 {
		rack, first := n.findRun(j.Shape.Members, j.Shape.Width, nil)
		if rack < 0 {
			return nil
		}
		var out []plan.Place
		for m := range j.Shape.Members {
			out = append(out, plan.Place{Rack: rack, First: first + m*j.Shape.Width, Width: j.Shape.Width})
		}

		return out
	}
	taken := map[[2]int]bool{}
	var out []plan.Place
	for range j.Shape.Members {
		rack, first := n.findRun(1, j.Shape.Width, taken)
		if rack < 0 {
			return nil
		}
		for i := range j.Shape.Width {
			taken[[2]int{rack, first + i}] = true
		}
		out = append(out, plan.Place{Rack: rack, First: first, Width: j.Shape.Width})
	}

	return out
}

// findRun returns the first position at which the members fit or, in mode "best", the one in
// the shortest free run.
func (n *naive) findRun(members, width int, taken map[[2]int]bool) (rack, first int) {
	rack, first = -1, -1
	shortest := 1 << 30
	for r := range n.racks {
		for i := 0; i+members*width <= len(n.racks[r]); i++ {
			if width <= 8 && i%8+width > 8 || members > 1 && (8%width != 0 || i%width != 0) {
				continue
			}
			length := n.freeRun(r, i, members*width, taken)
			if length < 0 || n.mode != "best" && rack >= 0 || length >= shortest {
				continue
			}
			rack, first, shortest = r, i, length
			if n.mode != "best" {
				return rack, first
			}
		}
	}

	return rack, first
}

// freeRun returns the length of the free run around a position, or -1 if the accelerators
// from there are not free.
func (n *naive) freeRun(rack, first, size int, taken map[[2]int]bool) int {
	ok := func(i int) bool { return n.usable(rack, i) && !taken[[2]int{rack, i}] }
	for i := first; i < first+size; i++ {
		if !ok(i) {
			return -1
		}
	}
	lo, hi := first, first+size
	for lo > 0 && ok(lo-1) {
		lo--
	}
	for hi < len(n.racks[rack]) && ok(hi) {
		hi++
	}

	return hi - lo
}
