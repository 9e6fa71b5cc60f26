package placement

import (
	"cmp"
	"slices"
	"strconv"
)

// A guaranteed unit may stop long-running tasks of other workspaces only as far as their steps allow. The rest must not
// run on workers that the guarantees need, or these could not be reclaimed. So such tasks are placed where enough
// workers can be cleared at once for all guarantees. It answers a load of long-running jobs that fill an idle fleet
// before the owners of its accelerators come.

// maxCompared is the largest number of workers that are compared for one task.
const maxCompared = 16

type (
	// Guarantee is the number of accelerators that belong to a workspace.
	Guarantee struct {
		Workspace    string
		Accelerators int
	}

	// LimitedTask is a long-running task of a step that limits how many of its tasks may be unavailable at once.
	LimitedTask struct {
		Group        string // unit of the task; the tasks of a gang are stopped together
		Step         string
		Workspace    string
		Tasks        int // number of tasks of the group
		Count        int // number of tasks of the step; those that do not run are unavailable
		MayMiss      int // number of tasks of the step that may be unavailable at once
		Accelerators int
	}
)

// limitedTask returns the unit's task with the given index as a limited task.
func (u *Unit) limitedTask(index int) LimitedTask {
	t := *u.Limited
	t.Group = u.Name
	if !u.Gang {
		t.Group += "/" + strconv.Itoa(index)
	}

	return t
}

// placeLimited chooses workers for limited tasks, so that the guarantees stay reclaimable: for all tasks of a gang or for
// none, for as many of other tasks as fit.
func placeLimited(workers []Worker, racks []rack, u *Unit) assignment {
	before := make([][]LimitedTask, len(workers))
	for i := range workers {
		before[i] = workers[i].Limited
	}
	defer func() {
		for i := range workers {
			workers[i].Limited = before[i]
		}
	}()
	rc := &reclaim{workers: workers, service: u.Service, guarantees: u.Guarantees, step: u.Limited.Step}
	rc.measure()
	if u.Gang {
		return rc.placeGang(racks, u)
	}
	a := assignment{perWorker: map[int]int{}}
	for len(a.byTask) < len(u.Tasks) {
		rc.planned = len(u.Tasks) - len(a.byTask) - 1
		task := u.limitedTask(u.Tasks[len(a.byTask)])
		i := rc.bestWorker(u, &a, task)
		if i < 0 {
			break
		}
		a.byTask = append(a.byTask, i)
		a.perWorker[i]++
		workers[i].addLimited(task)
	}
	rc.planned = 0
	for len(a.byTask) > 0 && !rc.mayHold(u, rc.assess().unmet) { // fewer of the step's tasks may be stopped while some have no room
		last := len(a.byTask) - 1
		i := a.byTask[last]
		a.byTask = a.byTask[:last]
		a.perWorker[i]--
		workers[i].Limited = workers[i].Limited[:len(workers[i].Limited)-1]
	}

	return a
}

// placeGang places a gang like any other one, if the guarantees stay reclaimable.
func (rc *reclaim) placeGang(racks []rack, u *Unit) assignment {
	a := placeUnlimited(rc.workers, racks, u)
	for t, i := range a.byTask {
		rc.workers[i].addLimited(u.limitedTask(u.Tasks[t]))
	}
	if !rc.mayHold(u, rc.assess().unmet) {
		return assignment{}
	}

	return a
}

// bestWorker returns the worker on which one more limited task leaves most to the guarantees, of those the cheapest;
// negative if there is none. It compares the cheapest workers, and the others only if the task may not run on any of these.
func (rc *reclaim) bestWorker(u *Unit, a *assignment, task LimitedTask) int {
	candidates := rc.candidates(u, a)
	for len(candidates) > 0 {
		n := min(len(candidates), maxCompared)
		if i := rc.bestOf(u, task, candidates[:n]); i >= 0 {
			return i
		}
		candidates = candidates[n:]
	}

	return -1
}

// candidates returns the workers on which one more task fits, the cheapest first: all with limited tasks, and one of
// each size without any.
func (rc *reclaim) candidates(u *Unit, a *assignment) []costEntry {
	var all []costEntry
	empty := map[int]int{} // index in all of the cheapest worker without limited tasks, by its number of accelerators
	for i := range rc.workers {
		cost, ok := costOf(rc.workers, i, u, a)
		if !ok {
			continue
		}
		w := &rc.workers[i]
		if len(w.Limited) == 0 {
			if at, known := empty[w.Capacity.Accelerators]; known {
				if cost < all[at].cost {
					all[at] = costEntry{cost, i}
				}

				continue
			}
			empty[w.Capacity.Accelerators] = len(all)
		}
		all = append(all, costEntry{cost, i})
	}
	slices.SortStableFunc(all, func(a, b costEntry) int { return cmp.Compare(a.cost, b.cost) })

	return all
}

// bestOf returns the best of the candidates, which are sorted by cost; negative if the task may not run on any.
func (rc *reclaim) bestOf(u *Unit, task LimitedTask, candidates []costEntry) int {
	best, bestOutlook := -1, outlook{}
	for _, c := range candidates {
		o := rc.assessWith(u, c.worker, task)
		if o.unmet >= 0 && (best < 0 || compareOutlooks(o, bestOutlook) < 0) {
			best, bestOutlook = c.worker, o
		}
	}

	return best
}

// assessWith returns the outlook with one more task on a worker. A negative unmet tells that it may not run there.
func (rc *reclaim) assessWith(u *Unit, i int, task LimitedTask) outlook {
	w := &rc.workers[i]
	before := w.Limited
	w.addLimited(task)
	defer func() { w.Limited = before }()
	o := rc.assess()
	if !rc.mayHold(u, o.unmet) {
		o.unmet = -1
	}

	return o
}

// mayHold reports whether the unit's tasks may run where they are, if that leaves the given number of accelerators that can't be
// reclaimed: not more than before.
// Where an empty fleet could not hold them all, the unit may still use the accelerators of its own workspace's guarantee.
func (rc *reclaim) mayHold(u *Unit, unmet int) bool {
	if unmet <= max(rc.unmetEmpty, rc.unmetBefore) {
		return true
	}

	return rc.unmetEmpty > 0 && rc.heldBy(u.Limited.Workspace) <= rc.guaranteeOf(u.Limited.Workspace)
}

// addLimited adds a limited task to the worker. The slice before stays as it is.
func (w *Worker) addLimited(t LimitedTask) { w.Limited = append(slices.Clip(w.Limited), t) }
