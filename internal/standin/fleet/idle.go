package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

const (
	maxIdleWait = 3 * time.Second // longest time that a job may have no run although there is ample capacity
	idleRoom    = 2               // ample capacity is room for this many times the waiting tasks
	idleUse     = 0.5             // share of the capacity in use from which a wait is legitimate
)

// Resources by which the share of the capacity in use is measured.
const (
	ByAccelerators = "accelerators"
	ByCPU          = "cpu"
)

type (
	// IdleCheck finds jobs that have no run for maxIdleWait although a step's turn has come, the
	// reachable workers have room for its waiting tasks twice over, and under half of their
	// capacity is in use. It regards no rack, data rack or earlier failure. Recurring jobs
	// are not checked.
	IdleCheck struct {
		Fleet   *Fleet
		Service string
		Found   []*IdleWait // in the order in which they exceeded maxIdleWait

		open map[idleKey]*IdleWait
	}

	// IdleWait is a wait that exceeds maxIdleWait.
	IdleWait struct {
		Job       string
		Step      int
		Tasks     int // waiting tasks of the step
		Def       work.Step
		Resource  string // resource of which under half is in use all the time
		From, To  time.Time
		Slots     int                // room for tasks of the step when the wait exceeded maxIdleWait
		RackSlots int                // the same on the rack that has most room
		Used      map[string]float64 // share of the capacity in use at that time, by resource
	}

	idleKey struct {
		job      string
		resource string
	}

	// stepTask identifies a task of a job by its step and its index.
	stepTask struct{ step, index int }
)

// Lasted returns how long the wait lasted.
func (w *IdleWait) Lasted() time.Duration { return w.To.Sub(w.From) }

func (w *IdleWait) String() string {
	return fmt.Sprintf("job=%s step=%d tasks=%d need=%v gang=%t same_rack=%t data_rack=%q by=%s lasted=%.1fs slots=%d rack_slots=%d accelerators=%.2f cpu=%.2f",
		w.Job, w.Step, w.Tasks, w.Def.Need, w.Def.Gang, w.Def.SameRack, w.Def.Rack, w.Resource, w.Lasted().Seconds(), w.Slots, w.RackSlots, w.Used[ByAccelerators], w.Used[ByCPU])
}

// Observe examines the accepted jobs that are neither cancelled nor ended. It is to be called
// several times a second.
func (c *IdleCheck) Observe(ids []string) {
	c.Fleet.mu.Lock()
	defer c.Fleet.mu.Unlock()
	c.Fleet.advance()
	ws := c.usable()
	used := usedShares(c.Fleet, ws)
	active, ended := c.Fleet.activeJobs(), c.Fleet.endedTasks()
	now := map[idleKey]*IdleWait{}
	for _, id := range ids {
		if active[id] {
			continue
		}
		w := c.waiting(c.Fleet.Journal.jobs[id], ended[id], ws)
		if w == nil {
			continue
		}
		for resource, share := range used {
			if share < idleUse {
				v := *w
				v.Resource, v.Used = resource, used
				now[idleKey{id, resource}] = &v
			}
		}
	}
	c.update(now)
}

// update extends the waits that go on and drops the others.
func (c *IdleCheck) update(now map[idleKey]*IdleWait) {
	next := map[idleKey]*IdleWait{}
	for _, k := range slices.SortedFunc(maps.Keys(now), idleKey.compare) {
		w := now[k]
		if old := c.open[k]; old != nil {
			was := old.Lasted()
			old.To = time.Now()
			if was < maxIdleWait && old.Lasted() >= maxIdleWait {
				old.Slots, old.RackSlots, old.Used, old.Tasks = w.Slots, w.RackSlots, w.Used, w.Tasks
				c.Found = append(c.Found, old)
			}
			next[k] = old

			continue
		}
		w.From, w.To = time.Now(), time.Now()
		next[k] = w
	}
	c.open = next
}

func (k idleKey) compare(o idleKey) int {
	return slices.Compare([]string{k.job, k.resource}, []string{o.job, o.resource})
}

// usable returns the workers of the service that can receive runs.
func (c *IdleCheck) usable() []*Worker {
	var ws []*Worker
	for _, id := range sortedIDs(c.Fleet.workers) {
		w := c.Fleet.workers[id]
		if w.Service == c.Service && w.up && w.listed && !w.Draining && !w.cutOff {
			ws = append(ws, w)
		}
	}

	return ws
}

// waiting returns the first step of a job whose turn has come and for which there is ample
// room, or nil.
func (c *IdleCheck) waiting(j work.Job, ended map[stepTask]bool, ws []*Worker) *IdleWait {
	if j.Times > 0 {
		return nil
	}
	left := make([]int, len(j.Steps))
	for i, st := range j.Steps {
		for k := range st.Count {
			if !ended[stepTask{i, k}] {
				left[i]++
			}
		}
	}
	for i := range j.Steps {
		st := j.Steps[i]
		if left[i] == 0 || slices.ContainsFunc(st.After, func(a int) bool { return left[a] > 0 }) {
			continue
		}
		slots, racks := 0, map[string]int{}
		for _, w := range ws {
			n := c.Fleet.slots(w, &st)
			slots += n
			racks[w.Rack] += n
		}
		if slots < idleRoom*left[i] {
			continue
		}
		w := &IdleWait{Job: j.ID, Step: i, Tasks: left[i], Def: st, Slots: slots}
		for _, n := range racks {
			w.RackSlots = max(w.RackSlots, n)
		}

		return w
	}

	return nil
}

// slots returns how many tasks of a step have room on a worker.
func (f *Fleet) slots(w *Worker, st *work.Step) int {
	if st.Label != "" && !slices.Contains(w.Labels, st.Label) {
		return 0
	}
	need, free := usedCapacity(*st), w.Capacity.Minus(f.usedOn(w))
	n := 0
	for need.Fits(free) && n < st.Count*idleRoom && (st.MaxPerWorker == 0 || n < st.MaxPerWorker) {
		free = free.Minus(need)
		n++
	}

	return n
}

// usedOn returns the capacity that a worker's runs occupy.
func (f *Fleet) usedOn(w *Worker) work.Shape {
	var used work.Shape
	for _, r := range w.runs {
		used = used.Plus(usedCapacity(f.stepOf(r)))
	}

	return used
}

// usedShares returns the shares of the workers' capacity that are in use, by resource.
func usedShares(f *Fleet, ws []*Worker) map[string]float64 {
	var used, capacity work.Shape
	for _, w := range ws {
		used, capacity = used.Plus(f.usedOn(w)), capacity.Plus(w.Capacity)
	}

	return map[string]float64{
		ByAccelerators: float64(used.Accelerators) / float64(max(1, capacity.Accelerators)),
		ByCPU:          float64(used.CPU) / float64(max(1, capacity.CPU)),
	}
}

// activeJobs returns the jobs that have a run on a worker that is up.
func (f *Fleet) activeJobs() map[string]bool {
	active := map[string]bool{}
	for _, w := range f.workers {
		for t := range w.runs {
			if w.up {
				active[t.Job] = true
			}
		}
	}

	return active
}

// endedTasks returns the tasks that have a successful run whose end the planner has
// acknowledged or can still read, by job.
func (f *Fleet) endedTasks() map[string]map[stepTask]bool {
	all := map[string]map[stepTask]bool{}
	add := func(t work.Task) {
		if all[t.Job] == nil {
			all[t.Job] = map[stepTask]bool{}
		}
		all[t.Job][stepTask{t.Step, t.Index}] = true
	}
	for _, e := range f.Journal.runs {
		if e.How == target.Done && e.Acked {
			add(e.Task)
		}
	}
	for _, w := range f.workers {
		for _, e := range w.unackedEnds {
			if w.up && e.How == target.Done {
				add(e.Task)
			}
		}
	}

	return all
}
