package placement

import (
	"cmp"
	"maps"
	"slices"
)

// LastingCost is the cost of stopping a long-running task, in core-seconds. It is higher than that of any run of a lower
// priority that ends by itself, and lower than that of a borrowed run, because the task's step
// allows for its absence.
const LastingCost = borrowedCost / 2

// Long-running tasks do not end by themselves, so a guarantee would be void while they hold all
// accelerators. A unit that its workspace's guarantee covers may therefore evict them, as far as the
// tasks of their step may be unavailable.

type (
	// LastingRun is a run of a long-running task.
	LastingRun struct {
		Run
		Step    string // step of the task
		Tasks   int    // number of tasks of the step that are unavailable once the run's group is stopped
		MayStop int    // number of running tasks of the step that may be stopped now
	}

	// stops counts, by step, the long-running tasks that a plan stops.
	stops map[string]int
)

// allow reports whether a run may be stopped in addition to those counted.
func (s stops) allow(r *LastingRun) bool { return s[r.Step]+r.Tasks <= r.MayStop }

// countStops counts the long-running tasks in the given groups.
func countStops(workers []Worker, groups map[string]bool) stops {
	s, counted := stops{}, map[string]bool{}
	for i := range workers {
		for j := range workers[i].Lasting {
			if r := &workers[i].Lasting[j]; groups[r.Group] && !counted[r.Group] {
				s[r.Step] += r.Tasks
				counted[r.Group] = true
			}
		}
	}

	return s
}

// evictableLasting returns the long-running runs on a worker that a unit may evict in addition to
// the selected groups, which stop the given numbers of tasks.
func (w *Worker) evictableLasting(u *Unit, selected map[string]bool, s stops) []Run {
	if !u.Guaranteed || len(w.Lasting) == 0 {
		return nil
	}
	var runs []Run
	left, groups := maps.Clone(s), map[string]bool{}
	for i := range w.Lasting {
		r := &w.Lasting[i]
		if selected[r.Group] || !u.canEvict(&r.Run) || (!groups[r.Group] && !left.allow(r)) {
			continue
		}
		if !groups[r.Group] { // the members of a gang on this worker are stopped together
			groups[r.Group] = true
			left[r.Step] += r.Tasks
		}
		runs = append(runs, r.Run)
	}

	return runs
}

// stopsLasting reports whether a plan stops long-running tasks.
func (p *evictionPlan) stopsLasting(workers []Worker) bool {
	return slices.ContainsFunc(workers, func(w Worker) bool {
		return slices.ContainsFunc(w.Lasting, func(r LastingRun) bool { return p.groups[r.Group] })
	})
}

// stopsLimited reports whether a plan stops tasks of a step that limits how many may be unavailable.
func (p *evictionPlan) stopsLimited(workers []Worker) bool {
	return slices.ContainsFunc(workers, func(w Worker) bool {
		return slices.ContainsFunc(w.Limited, func(t LimitedTask) bool { return p.groups[t.Group] })
	})
}

// claims returns the number of workers that a plan claims.
func (p *evictionPlan) claims() int {
	return len(slices.Compact(slices.Sorted(slices.Values(p.byTask))))
}

// clearedWorkers selects as few workers as the unit needs, all of which can be cleared at once. A plan that stops tasks
// here and there, on workers that it does not clear, could leave none to the guarantees of other workspaces.
func clearedWorkers(workers []Worker, candidates []int, u *Unit, r *Result) []int {
	order := slices.Clone(candidates)
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(len(workers[a].Limited), len(workers[b].Limited)) })
	selected := map[string]bool{}
	for _, g := range r.Evicted {
		selected[g] = true
	}
	stopped, room := countStops(workers, selected), 0
	var cleared []int
	for _, i := range order {
		w := &workers[i]
		if room >= len(u.Tasks) {
			break
		}
		fit := w.fitWhenEmpty(u)
		if fit == 0 || !allowed(w, i, u, &assignment{}) || !w.canEvictAll(u, selected, stopped) {
			continue
		}
		for j := range w.Lasting {
			if l := &w.Lasting[j]; !selected[l.Group] {
				selected[l.Group] = true
				stopped[l.Step] += l.Tasks
			}
		}
		room += fit
		cleared = append(cleared, i)
	}

	return cleared
}

// fitWhenEmpty returns how many of the unit's tasks fit on the worker when nothing else runs there.
func (w *Worker) fitWhenEmpty(u *Unit) int {
	n := 0
	for left := w.Capacity; n < len(u.Tasks) && u.Need.Fits(left); n++ {
		left = left.Minus(u.Need)
	}
	if u.MaxPerWorker > 0 {
		n = min(n, u.MaxPerWorker)
	}

	return n
}

// canEvictAll reports whether the unit may evict all runs on the worker in addition to the selected groups, which stop the
// given numbers of long-running tasks.
func (w *Worker) canEvictAll(u *Unit, selected map[string]bool, stopped stops) bool {
	stays := func(r Run) bool { return !r.Ending && !selected[r.Group] && !u.canEvict(&r) }
	if slices.ContainsFunc(w.Runs, stays) {
		return false
	}
	evictable := map[string]bool{}
	for _, r := range w.evictableLasting(u, selected, stopped) {
		evictable[r.Group] = true
	}
	kept := func(t LimitedTask) bool { return !selected[t.Group] && !evictable[t.Group] }

	return !slices.ContainsFunc(w.Limited, kept) && !slices.ContainsFunc(w.Lasting, func(l LastingRun) bool { return !selected[l.Group] && !evictable[l.Group] })
}
