package assign

import (
	"cmp"
	"slices"
)

// claimShare is the share of the workers that may be kept for gangs before they
// are overdue.
const claimShare = 0.3

// keepFor is the longest time, in seconds, for which workers are kept.
const keepFor = 4.0

// wait returns in how many seconds all that runs on a worker may have ended.
func (w *Worker) wait() float64 {
	most := 0.0
	for _, r := range w.Runs {
		if !r.Ending {
			most = max(most, r.Left)
		}
	}

	return most
}

// unclaimed returns how many more workers may be kept.
func unclaimed(workers []Worker) int {
	n := int(claimShare * float64(len(workers)))
	for i := range workers {
		if workers[i].Claim != "" {
			n--
		}
	}

	return n
}

// reserve keeps the workers with the least left to end for a gang that has
// waited long, so that small tasks do not slip in for ever.
func reserve(workers []Worker, racks map[string][]int, u *Unit, most int, r *Result) {
	var (
		best []int
		busy float64
	)
	among := [][]int{everywhere(workers)}
	if u.Together {
		among = among[:0]
		for _, rack := range sortedRacks(racks) {
			among = append(among, racks[rack])
		}
	}
	for _, ws := range among {
		picked, b := freest(workers, ws, u)
		if picked != nil && (best == nil || b < busy) {
			best, busy = picked, b
		}
	}
	if len(best) > most || (!u.Overdue && busy > keepFor) {
		return
	}
	for _, w := range best {
		r.Claims[w] = u.Name
		workers[w].Claim = u.Name
	}
}

// freest returns the workers with the most free accelerators that would hold the
// unit if nothing ran there, and how many of their accelerators are in use.
func freest(workers []Worker, among []int, u *Unit) (picked []int, busy float64) {
	order := slices.Clone(among)
	wait := map[int]float64{}
	for _, i := range order {
		wait[i] = workers[i].wait()
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(wait[a], wait[b]) })
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
		busy = max(busy, wait[i])
	}
	if left > 0 {
		return nil, 0
	}

	return picked, busy
}
