package placement

import (
	"cmp"
	"slices"
)

// tightShare is the multiple of the guarantees' accelerators up to which the number of accelerators that could be
// reclaimed counts more than the other costs of a placement.
const tightShare = 2

type (
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
	bins := make([]bin, 0, len(rc.workers))
	var order []int
	for i := range rc.workers {
		switch {
		case !rc.mayReclaim(i):
		case len(rc.workers[i].Limited) == 0:
			bins = append(bins, bin{free: rc.workers[i].Capacity.Accelerators, whole: true})
		default:
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(len(rc.workers[a].Limited), len(rc.workers[b].Limited)) })
	stopped, groups := stops{}, map[string]bool{}
	blocked := 0
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
		if !w.canClear(mayStop, nil, nil) {
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
	room := newBinCounts(bins)
	unmet := 0
	for _, need := range slices.Backward(slices.Sorted(slices.Values(needs))) {
		unmet += room.take(need)
	}

	return unmet
}

// binCounts holds the numbers of bins by their free accelerators.
type binCounts struct{ whole, part []int }

func newBinCounts(bins []bin) *binCounts {
	most := 0
	for _, b := range bins {
		most = max(most, b.free)
	}
	c := &binCounts{whole: make([]int, most+1), part: make([]int, most+1)}
	for _, b := range bins {
		if b.whole {
			c.whole[b.free]++
		} else {
			c.part[b.free]++
		}
	}

	return c
}

// take takes what a workspace needs from the bins, and returns for how many accelerators there is no room.
func (c *binCounts) take(need int) int {
	for size := len(c.whole) - 1; size > 0; size-- {
		n := min(c.whole[size], need/size)
		c.whole[size] -= n
		need -= n * size
		if need == 0 || (need < size && c.takePart(need)) {
			return 0
		}
	}

	return need
}

// takePart takes a part of the smallest bin that has room for it, and reports whether there is one.
func (c *binCounts) takePart(need int) bool {
	for size := need; size < len(c.whole); size++ {
		switch {
		case c.part[size] > 0:
			c.part[size]--
		case c.whole[size] > 0:
			c.whole[size]--
		default:
			continue
		}
		c.part[size-need]++

		return true
	}

	return false
}
