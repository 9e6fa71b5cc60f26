package assign

import (
	"cmp"
	"maps"
	"slices"
)

// plan is a set of runs to stop and the workers that a unit then uses.
type plan struct {
	groups map[string]bool
	lost   float64
	at     []int
}

// evict finds the cheapest runs of a lower priority whose end makes room for a
// whole unit, and keeps that room for it.
func evict(workers []Worker, racks []rack, u *Unit, r *Result) {
	var best *plan
	if u.Together {
		for i := range racks {
			p := evictAmong(workers, racks[i].workers, u, r)
			if p != nil && (best == nil || p.lost < best.lost) {
				best = p
			}
		}
	} else {
		best = evictAmong(workers, everywhere(workers), u, r)
	}
	if best == nil {
		return
	}
	for g := range best.groups {
		if !slices.Contains(r.Evicted, g) {
			r.Evicted = append(r.Evicted, g)
		}
	}
	slices.Sort(r.Evicted)
	for _, w := range best.at {
		r.Claims[w] = u.Name
		workers[w].Claim = u.Name
	}
}

func evictAmong(workers []Worker, among []int, u *Unit, r *Result) *plan {
	p := &plan{groups: map[string]bool{}}
	for _, g := range r.Evicted {
		p.groups[g] = true // their room comes free anyway
	}
	c := &choice{taken: map[int]int{}}
	for range u.Tasks {
		w, more, lost := cheapest(workers, among, u, c, p.groups)
		if w < 0 {
			return nil
		}
		maps.Copy(p.groups, more)
		p.lost += lost
		p.at = append(p.at, w)
		c.taken[w]++
	}

	return p
}

// cheapest returns the worker where one more task costs least, with what must stop.
func cheapest(workers []Worker, among []int, u *Unit, c *choice, stopped map[string]bool) (int, map[string]bool, float64) {
	var (
		best  = -1
		least float64
		which map[string]bool
	)
	for _, i := range among {
		if !allowed(&workers[i], i, u, c) {
			continue
		}
		groups, lost, ok := makeRoom(&workers[i], u, c.taken[i], stopped)
		if !ok {
			continue
		}
		lost += workers[i].Penalty
		if best < 0 || lost < least {
			best, least, which = i, lost, groups
		}
	}

	return best, which, least
}

// makeRoom returns the groups to stop on a worker so that taken+1 tasks fit.
func makeRoom(w *Worker, u *Unit, taken int, stopped map[string]bool) (map[string]bool, float64, bool) {
	need := times(u.Need, taken+1)
	free := w.Free
	var rest []Run
	for _, run := range w.Runs {
		switch {
		case run.Ending || stopped[run.Group]:
			free = free.Plus(run.Need)
		case run.Priority > u.Priority:
			rest = append(rest, run)
		}
	}
	slices.SortFunc(rest, func(a, b Run) int { return cmp.Compare(a.Lost, b.Lost) })
	groups, lost := map[string]bool{}, 0.0
	for _, run := range rest {
		if need.Fits(free) {
			break
		}
		if !groups[run.Group] {
			groups[run.Group] = true
			lost += run.Lost
		}
		free = free.Plus(run.Need)
	}

	return groups, lost, need.Fits(free)
}
