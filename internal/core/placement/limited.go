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

// tightShare is the multiple of the guarantees' accelerators up to which the number of accelerators that could be
// reclaimed counts more than the other costs of a placement.
const tightShare = 2

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

	// reclaim tells how far guarantees could be reclaimed from the limited tasks on workers. All other runs are taken for
	// stoppable.
	reclaim struct {
		workers    []Worker
		service    string
		guarantees []Guarantee
		step       string // of the unit that is being placed
		planned    int    // tasks of that step that are still to be placed, and count as available
		unmetEmpty int    // accelerators that could not be reclaimed if no limited tasks ran

		unmetBefore int // accelerators that could not be reclaimed before the unit is placed, if no task of a limited step were unavailable
	}

	// bin is a worker with accelerators that guaranteed tasks could get.
	bin struct {
		free  int
		whole bool // nothing else stays on the worker
	}

	// outlook is the result of an assessment.
	outlook struct {
		unmet      int // accelerators that could not be reclaimed in whole workers
		unmetWidth int // the same for tasks of the least favourable width
		clear      int // accelerators of the workers that could be cleared at once, up to tightShare of the guarantees
		blocked    int // workers that could not be cleared even alone, while clear is below its bound
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
	for len(a.byTask) > 0 && !rc.mayHold(u) { // fewer of the step's tasks may be stopped while some have no room
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
	if !rc.mayHold(u) {
		return assignment{}
	}

	return a
}

// bestWorker returns the worker on which one more limited task leaves most to the guarantees, of those the cheapest;
// negative if there is none.
func (rc *reclaim) bestWorker(u *Unit, a *assignment, task LimitedTask) int {
	best, bestOutlook, bestCost := -1, outlook{}, 0.0
	empty := map[int]*outlook{} // of workers without limited tasks, by their number of accelerators
	for i := range rc.workers {
		cost, ok := costOf(rc.workers, i, u, a)
		if !ok {
			continue
		}
		w := &rc.workers[i]
		o := empty[w.Capacity.Accelerators]
		if o == nil || len(w.Limited) > 0 {
			o = rc.assessWith(u, i, task)
			if len(w.Limited) == 0 {
				empty[w.Capacity.Accelerators] = o
			}
		}
		if o.unmet < 0 {
			continue
		}
		if c := compareOutlooks(*o, bestOutlook); best < 0 || c < 0 || (c == 0 && cost < bestCost) {
			best, bestOutlook, bestCost = i, *o, cost
		}
	}

	return best
}

// assessWith returns the outlook with one more task on a worker. A negative unmet tells that it may not run there.
func (rc *reclaim) assessWith(u *Unit, i int, task LimitedTask) *outlook {
	w := &rc.workers[i]
	before := w.Limited
	w.addLimited(task)
	defer func() { w.Limited = before }()
	if !rc.mayHold(u) {
		return &outlook{unmet: -1}
	}
	o := rc.assess()

	return &o
}

// mayHold reports whether the unit's tasks may run where they are: the guarantees can be reclaimed as far as before.
// Where an empty fleet could not hold them all, the unit may still use the accelerators of its own workspace's guarantee.
func (rc *reclaim) mayHold(u *Unit) bool {
	if rc.assess().unmet <= max(rc.unmetEmpty, rc.unmetBefore) {
		return true
	}

	return rc.unmetEmpty > 0 && rc.heldBy(u.Limited.Workspace) <= rc.guaranteeOf(u.Limited.Workspace)
}

// measure sets unmetEmpty and unmetBefore. Guarantees that have grown may be out of reach already.
func (rc *reclaim) measure() {
	bins, _ := rc.bins(rc.largestAllowances())
	rc.unmetBefore = unmetNeeds(bins, needsOf(rc.guarantees, rc.unstoppable(rc.allowances())))
	var all []bin
	for i := range rc.workers {
		if rc.mayReclaim(i) {
			all = append(all, bin{free: rc.workers[i].Capacity.Accelerators, whole: true})
		}
	}
	rc.unmetEmpty = unmetNeeds(all, needsOf(rc.guarantees, nil))
}

// mayReclaim reports whether guaranteed tasks could run on a worker if nothing else did.
func (rc *reclaim) mayReclaim(i int) bool {
	w := &rc.workers[i]

	return w.Service == rc.service && w.Schedulable && w.Capacity.Accelerators > 0
}

// heldBy returns the accelerators that the limited tasks of a workspace hold.
func (rc *reclaim) heldBy(workspace string) int {
	n := 0
	for i := range rc.workers {
		if !rc.mayReclaim(i) {
			continue
		}
		for _, t := range rc.workers[i].Limited {
			if t.Workspace == workspace {
				n += t.Accelerators
			}
		}
	}

	return n
}

// guaranteeOf returns the accelerators that belong to a workspace.
func (rc *reclaim) guaranteeOf(workspace string) int {
	for _, g := range rc.guarantees {
		if g.Workspace == workspace {
			return g.Accelerators
		}
	}

	return 0
}

// addLimited adds a limited task to the worker. The slice before stays as it is.
func (w *Worker) addLimited(t LimitedTask) { w.Limited = append(slices.Clip(w.Limited), t) }

// compareOutlooks orders outlooks, the best one for the guarantees first.
func compareOutlooks(a, b outlook) int {
	return cmp.Or(cmp.Compare(a.unmet, b.unmet), cmp.Compare(a.unmetWidth, b.unmetWidth), cmp.Compare(b.clear, a.clear), cmp.Compare(a.blocked, b.blocked))
}

// assess returns how far the guarantees could be reclaimed.
func (rc *reclaim) assess() outlook {
	mayStop := rc.allowances()
	bins, blocked := rc.bins(mayStop)
	total, widest := 0, 0
	for _, b := range bins {
		if b.whole {
			total, widest = total+b.free, max(widest, b.free)
		}
	}
	needs := needsOf(rc.guarantees, rc.unstoppable(mayStop))
	o := outlook{unmet: unmetNeeds(bins, needs), blocked: blocked}
	bound := 0
	for i, n := range needs {
		bound += tightShare * n
		needs[i] = widthNeed(n, widest)
	}
	o.unmetWidth = unmetNeeds(bins, needs)
	if o.clear = min(total, bound); total >= bound {
		o.blocked = 0
	}

	return o
}

// largestAllowances returns, by step, how many of its tasks may be stopped at once when all are available.
func (rc *reclaim) largestAllowances() map[string]int {
	n := map[string]int{}
	for i := range rc.workers {
		for _, t := range rc.workers[i].Limited {
			n[t.Step] = t.MayMiss
		}
	}

	return n
}

// allowances returns, by step, how many of the limited tasks that run may be stopped at once.
func (rc *reclaim) allowances() map[string]int {
	n := map[string]int{}
	for i := range rc.workers {
		for _, t := range rc.workers[i].Limited {
			if _, ok := n[t.Step]; !ok {
				n[t.Step] = t.MayMiss - t.Count
			}
			n[t.Step]++
		}
	}
	if _, ok := n[rc.step]; ok {
		n[rc.step] += rc.planned
	}

	return n
}

// bins returns the accelerators that could be free at once: of the workers that could be cleared, and beside the limited
// tasks on the others. It also returns how many workers could not be cleared even alone.
func (rc *reclaim) bins(mayStop map[string]int) ([]bin, int) {
	var order []int
	for i := range rc.workers {
		if rc.mayReclaim(i) {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(len(rc.workers[a].Limited), len(rc.workers[b].Limited)) })
	stopped, groups := stops{}, map[string]bool{}
	blocked := 0
	var bins []bin
	for _, i := range order {
		w := &rc.workers[i]
		if w.canClear(mayStop, stopped, groups) {
			for _, t := range w.Limited {
				stopped.addTask(&t, groups)
			}
			bins = append(bins, bin{free: w.Capacity.Accelerators, whole: true})

			continue
		}
		bins = append(bins, bin{free: w.besideLimited()})
		if !w.canClear(mayStop, stops{}, map[string]bool{}) {
			blocked++
		}
	}

	return bins, blocked
}

// besideLimited returns how many accelerators of the worker no limited task holds.
func (w *Worker) besideLimited() int {
	n := w.Capacity.Accelerators
	for _, t := range w.Limited {
		n -= t.Accelerators
	}

	return max(0, n)
}

// canClear reports whether the limited tasks on the worker could be stopped in addition to the given ones.
func (w *Worker) canClear(mayStop map[string]int, stopped stops, groups map[string]bool) bool {
	more, counted := stops{}, map[string]bool{}
	for _, t := range w.Limited {
		if groups[t.Group] {
			continue
		}
		more.addTask(&t, counted)
		if stopped[t.Step]+more[t.Step] > mayStop[t.Step] {
			return false
		}
	}

	return true
}

// addTask counts the tasks of a limited task's group, once.
func (s stops) addTask(t *LimitedTask, groups map[string]bool) {
	if !groups[t.Group] {
		groups[t.Group] = true
		s[t.Step] += t.Tasks
	}
}

// unstoppable returns, by workspace, the number of accelerators of limited tasks that could not be stopped if as many as
// possible of their steps were.
func (rc *reclaim) unstoppable(mayStop map[string]int) map[string]int {
	all, counted := map[string]int{}, map[string]int{}
	for i := range rc.workers {
		if !rc.mayReclaim(i) {
			continue
		}
		for _, t := range rc.workers[i].Limited {
			if counted[t.Step]++; t.Tasks > mayStop[t.Step] || counted[t.Step] > mayStop[t.Step] {
				all[t.Workspace] += t.Accelerators
			}
		}
	}

	return all
}

// needsOf returns what is left of each guarantee beside the accelerators that its own workspace holds.
func needsOf(guarantees []Guarantee, held map[string]int) []int {
	needs := make([]int, len(guarantees))
	for i, g := range guarantees {
		needs[i] = max(0, g.Accelerators-held[g.Workspace])
	}

	return needs
}

// widthNeed returns the accelerators of the whole workers that a guarantee needs for tasks of the least favourable width:
// three tasks of 5 accelerators need three workers of 8.
func widthNeed(accelerators, perWorker int) int {
	if accelerators <= perWorker {
		return accelerators
	}
	most := accelerators
	for width := 1; width <= perWorker; width++ {
		tasks, fit := accelerators/width, perWorker/width
		most = max(most, (tasks+fit-1)/fit*perWorker)
	}

	return most
}

// unmetNeeds returns how many of the needed accelerators have no room in bins: each need takes whole workers, and its rest
// a part of one.
func unmetNeeds(bins []bin, needs []int) int {
	free, unmet := slices.Clone(bins), 0
	slices.SortFunc(free, func(a, b bin) int { return cmp.Compare(a.free, b.free) })
	for _, need := range slices.Backward(slices.Sorted(slices.Values(needs))) {
		for need > 0 {
			at := slices.IndexFunc(free, func(b bin) bool { return b.free >= need })
			if at < 0 {
				at = lastWhole(free)
			}
			if at < 0 {
				break
			}
			part := min(need, free[at].free)
			need -= part
			free[at] = bin{free: free[at].free - part}
			slices.SortFunc(free, func(a, b bin) int { return cmp.Compare(a.free, b.free) })
		}
		unmet += need
	}

	return unmet
}

// lastWhole returns the index of the last bin that is a whole worker; negative if there is none.
func lastWhole(bins []bin) int {
	for i, b := range slices.Backward(bins) {
		if b.whole {
			return i
		}
	}

	return -1
}
