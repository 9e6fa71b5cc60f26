package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// Priority of queues whose work may evict runs of other queues.
	preemptingPriority = 0
	// Cost of evicting a borrowed run, in core-seconds. It is higher than that of any run of a
	// lower priority, which is less urgent.
	borrowedCost = 1e6
)

// evictionPlan lists the runs to stop for a unit and the workers on which it runs afterwards.
type evictionPlan struct {
	groups map[string]bool // groups of runs to stop
	cost   float64         // core-seconds of lost work and value, plus the penalties of the workers
	byTask []int           // worker by position in Unit.Tasks
}

// MayEvict reports whether a unit that has waited for the given time may evict runs of a lower
// priority. It answers a burst of urgent gangs that are wider than their workspace's guarantee:
// while lower priorities hold a part of every worker, such a gang would wait many times its
// objective.
func MayEvict(priority int, waited, evictAfter time.Duration) bool {
	return priority == preemptingPriority && waited >= evictAfter
}

// evict selects the cheapest plan that evicts lower-priority runs to make room for all
// tasks of a unit, and claims the workers for it. It reports whether there is such a plan.
func evict(workers []Worker, racks []rack, u *Unit, r *Result) bool {
	best := cheapestPlan(workers, racks, u, r, allowedWorkers)
	if u.Guaranteed && (best == nil || best.stopsLasting(workers)) {
		p := cheapestPlan(workers, racks, u, r, clearedWorkers)
		if p != nil && (best == nil || best.stopsLimited(workers) || p.claims() < best.claims()) {
			best = p
		}
	}
	if best == nil && u.Guaranteed && u.SameRack { // the guarantee counts more than the time on several racks
		anyRack := *u
		anyRack.SameRack = false

		return evict(workers, racks, &anyRack, r)
	}
	if best == nil {
		return false
	}
	for g := range best.groups {
		if !slices.Contains(r.Evicted, g) {
			r.Evicted = append(r.Evicted, g)
		}
	}
	slices.Sort(r.Evicted)
	for _, w := range best.byTask {
		r.Claims[w] = u.Name
		workers[w].ClaimedBy = u.Name
	}

	return true
}

// selector returns those of the candidate workers on which a plan may make room for a unit.
type selector func(workers []Worker, candidates []int, u *Unit, r *Result) []int

// allowedWorkers selects all candidates.
func allowedWorkers(_ []Worker, candidates []int, _ *Unit, _ *Result) []int { return candidates }

// cheapestPlan returns the cheapest plan for a unit on the selected workers, of one rack if it must be on one; nil
// if there is none.
func cheapestPlan(workers []Worker, racks []rack, u *Unit, r *Result, selected selector) *evictionPlan {
	if !u.SameRack {
		return planEviction(workers, selected(workers, allWorkers(workers), u, r), u, r)
	}
	var best *evictionPlan
	for i := range racks {
		p := planEviction(workers, selected(workers, racks[i].workers, u, r), u, r)
		if p != nil && (best == nil || p.cost < best.cost) {
			best = p
		}
	}

	return best
}

// planEviction returns the evictions that let all tasks of a unit run on the candidate
// workers, chosen task by task, or nil if that is impossible.
func planEviction(workers []Worker, candidates []int, u *Unit, r *Result) *evictionPlan {
	p := &evictionPlan{groups: map[string]bool{}}
	for _, g := range r.Evicted {
		p.groups[g] = true // already evicted in this decision, at no further cost
	}
	a := &assignment{perWorker: map[int]int{}}
	for range u.Tasks {
		w, groups, cost := cheapestEviction(workers, candidates, u, a, p.groups)
		if w < 0 {
			return nil
		}
		maps.Copy(p.groups, groups)
		p.cost += cost
		p.byTask = append(p.byTask, w)
		a.perWorker[w]++
	}

	return p
}

// cheapestEviction returns the candidate worker on which making room for one more task
// costs least, the groups to stop there and the cost. The worker is -1 if there is none.
// The selected groups are already to be stopped.
func cheapestEviction(workers []Worker, candidates []int, u *Unit, a *assignment, selected map[string]bool) (int, map[string]bool, float64) {
	var (
		best       = -1
		bestCost   float64
		bestGroups map[string]bool
		stopped    = countStops(workers, selected)
	)
	for _, i := range candidates {
		if !allowed(&workers[i], i, u, a) {
			continue
		}
		groups, cost, ok := groupsToEvict(&workers[i], u, a.perWorker[i], selected, stopped)
		if !ok {
			continue
		}
		cost += workers[i].Penalty
		if best < 0 || cost < bestCost {
			best, bestCost, bestGroups = i, cost, groups
		}
	}

	return best, bestGroups, bestCost
}

// groupsToEvict returns the groups to stop on a worker so that one more task fits beside
// the given number of tasks of the unit, the work and value that are lost, and whether it then fits.
// The capacity of ending runs and of the selected groups, which stop the given numbers of
// long-running tasks, counts as free.
func groupsToEvict(w *Worker, u *Unit, tasks int, selected map[string]bool, stopped stops) (map[string]bool, float64, bool) {
	need := scale(u.Need, tasks+1)
	free := w.Free
	var evictable []Run
	for _, run := range w.Runs {
		switch {
		case run.Ending || selected[run.Group]:
			free = free.Plus(run.Need)
		case u.canEvict(&run):
			evictable = append(evictable, run)
		}
	}
	for _, run := range w.Lasting {
		if selected[run.Group] {
			free = free.Plus(run.Need)
		}
	}
	evictable = append(evictable, w.evictableLasting(u, selected, stopped)...)
	slices.SortFunc(evictable, func(a, b Run) int { return cmp.Compare(a.evictionCost(), b.evictionCost()) })
	groups, lost := map[string]bool{}, 0.0
	for _, run := range evictable {
		if need.Fits(free) {
			break
		}
		if !groups[run.Group] {
			groups[run.Group] = true
			lost += run.evictionCost()
		}
		free = free.Plus(run.Need)
	}

	return groups, lost, need.Fits(free)
}

// canEvict reports whether a unit that may evict at all may evict a run. Guaranteed units reclaim what urgent work
// beyond a guarantee has borrowed.
func (u *Unit) canEvict(r *Run) bool {
	return !r.Placed && (r.Priority > u.Priority || (u.Guaranteed && r.Borrowed))
}

// evictionCost returns the cost of stopping the run's group, in core-seconds.
func (r *Run) evictionCost() float64 {
	if r.Borrowed {
		return borrowedCost + r.LostWork + r.LostValue
	}

	return r.LostWork + r.LostValue
}
