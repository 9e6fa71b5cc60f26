package assign

import "slices"

// reserve keeps the workers with the least left to end for a gang that has
// waited long, so that small tasks do not slip in for ever.
func reserve(workers []Worker, racks []rack, u *Unit, r *Result) {
	var (
		best []int
		busy int
	)
	among := [][]int{everywhere(workers)}
	if u.Together {
		among = among[:0]
		for i := range racks {
			among = append(among, racks[i].workers)
		}
	}
	for _, ws := range among {
		picked, b := freest(workers, ws, u)
		if picked != nil && (best == nil || b < busy) {
			best, busy = picked, b
		}
	}
	for _, w := range best {
		r.Claims[w] = u.Name
		workers[w].Claim = u.Name
	}
}

// freest returns the workers with the most free accelerators that would hold the
// unit if nothing ran there, and how many of their accelerators are in use.
func freest(workers []Worker, among []int, u *Unit) (picked []int, busy int) {
	order := slices.Clone(among)
	slices.SortStableFunc(order, func(a, b int) int { return workers[b].Free.Accelerators - workers[a].Free.Accelerators })
	left := len(u.Tasks)
	for _, i := range order {
		w := &workers[i]
		if left <= 0 {
			break
		}
		if !allowed(w, i, u, &choice{}) || !u.Need.Fits(w.Room) {
			continue
		}
		n := 0
		for room := w.Room; u.Need.Fits(room) && n < left; n++ {
			room = room.Minus(u.Need)
		}
		if u.Spread > 0 {
			n = min(n, u.Spread)
		}
		left -= n
		picked = append(picked, i)
		busy += w.Room.Accelerators - w.Free.Accelerators
	}
	if left > 0 {
		return nil, 0
	}

	return picked, busy
}
