package placement

import "slices"

// reserve reserves the least busy workers for a gang that has waited long. Without a
// reservation, small tasks could take every accelerator that becomes free and starve it.
func reserve(workers []Worker, racks []rack, u *Unit, r *Result) {
	var (
		best     []int
		bestBusy int
	)
	candidateSets := [][]int{allWorkers(workers)}
	if u.SameRack {
		candidateSets = candidateSets[:0]
		for i := range racks {
			candidateSets = append(candidateSets, racks[i].workers)
		}
	}
	for _, ws := range candidateSets {
		picked, busy := leastBusy(workers, ws, u)
		if picked != nil && (best == nil || busy < bestBusy) {
			best, bestBusy = picked, busy
		}
	}
	for _, w := range best {
		r.Reservations[w] = u.Name
		workers[w].ReservedFor = u.Name
	}
}

// leastBusy selects candidate workers, those with the most free accelerators first, until
// the unit would fit on them if they were idle. It returns them with the number of their
// accelerators in use, or nil if the unit does not fit.
func leastBusy(workers []Worker, candidates []int, u *Unit) (picked []int, busy int) {
	order := slices.Clone(candidates)
	slices.SortStableFunc(order, func(a, b int) int { return workers[b].Free.Accelerators - workers[a].Free.Accelerators })
	left := len(u.Tasks)
	for _, i := range order {
		w := &workers[i]
		if left <= 0 {
			break
		}
		if !allowed(w, i, u, &assignment{}) || !u.Need.Fits(w.Capacity) {
			continue
		}
		n := 0
		for unused := w.Capacity; u.Need.Fits(unused) && n < left; n++ {
			unused = unused.Minus(u.Need)
		}
		if u.MaxPerWorker > 0 {
			n = min(n, u.MaxPerWorker)
		}
		left -= n
		picked = append(picked, i)
		busy += w.Capacity.Accelerators - w.Free.Accelerators
	}
	if left > 0 {
		return nil, 0
	}

	return picked, busy
}
