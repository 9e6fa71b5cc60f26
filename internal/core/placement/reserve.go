package placement

import (
	"cmp"
	"slices"
	"time"

	"sesameyoke/internal/core/work"
)

type (
	// reservation holds capacity of a worker for a gang that is expected to start there later.
	reservation struct {
		unit string
		at   time.Duration // expected start, from now
		left work.Shape    // capacity that other runs may hold beyond the start
	}

	// slot is capacity for one task, with the time until it is expected to be free.
	slot struct {
		worker int
		at     time.Duration
	}
)

// reserve reserves capacity for a gang that does not fit, where it is expected to start first.
// It answers a load of wide gangs beside many small tasks: without a reservation, small tasks
// take every accelerator that becomes free. Tasks that are expected to end before the gang
// starts may use the capacity until then (backfill).
func reserve(workers []Worker, racks []rack, u *Unit) {
	var best []slot
	if u.SameRack {
		best = earliestOnRack(workers, racks, u)
	} else {
		best = earliestSlots(workers, allWorkers(workers), u)
	}
	if best == nil {
		return
	}
	at := startOf(best)
	for _, s := range best {
		w := &workers[s.worker]
		if w.reserved == nil {
			w.reserved = &reservation{unit: u.Name, at: at, left: w.freeAt(at)}
		}
		w.reserved.left = w.reserved.left.Minus(u.Need)
	}
}

// earliestOnRack returns the slots on the rack where a unit is expected to start first, or nil
// if no rack can hold it.
func earliestOnRack(workers []Worker, racks []rack, u *Unit) []slot {
	var best []slot
	for i := range racks {
		s := earliestSlots(workers, racks[i].workers, u)
		if s != nil && (best == nil || startOf(s) < startOf(best)) {
			best = s
		}
	}

	return best
}

// startOf returns the time when the last of the slots, which are sorted, is free.
func startOf(slots []slot) time.Duration { return slots[len(slots)-1].at }

// earliestSlots returns the slots for all tasks of a unit that are free first, in the order
// of their times, or nil if the candidates cannot hold the unit.
func earliestSlots(workers []Worker, candidates []int, u *Unit) []slot {
	var all []slot
	for _, i := range candidates {
		w := &workers[i]
		if w.reserved != nil || !u.Need.Fits(w.Capacity) || !allowed(w, i, u, &assignment{}) {
			continue
		}
		most := len(u.Tasks)
		if u.MaxPerWorker > 0 {
			most = min(most, u.MaxPerWorker-u.Placed[i])
		}
		all = w.addSlots(all, i, u.Need, most)
	}
	if len(all) < len(u.Tasks) {
		return nil
	}
	slices.SortStableFunc(all, func(a, b slot) int { return cmp.Compare(a.at, b.at) })

	return all[:len(u.Tasks)]
}

// addSlots appends the worker's slots for tasks of the given need, at most the given number.
func (w *Worker) addSlots(slots []slot, i int, need work.Shape, most int) []slot {
	w.sortRuns()
	free, n, at := w.Free, 0, time.Duration(0)
	for next := 0; n < most; {
		if need.Fits(free) {
			free = free.Minus(need)
			slots = append(slots, slot{i, at})
			n++

			continue
		}
		if next == len(w.Runs) {
			break
		}
		free = free.Plus(w.Runs[next].Need)
		at = max(at, w.Runs[next].Remaining)
		next++
	}

	return slots
}

// sortRuns sorts the worker's runs by their expected ends.
func (w *Worker) sortRuns() {
	byEnd := func(a, b Run) int { return cmp.Compare(a.Remaining, b.Remaining) }
	if !slices.IsSortedFunc(w.Runs, byEnd) {
		slices.SortStableFunc(w.Runs, byEnd)
	}
}

// freeAt returns the capacity that is expected to be free at a time from now.
func (w *Worker) freeAt(at time.Duration) work.Shape {
	free := w.Free
	for _, r := range w.Runs {
		if r.Remaining <= at {
			free = free.Plus(r.Need)
		}
	}

	return free
}

// delaysReservation reports whether one more task of a unit, beside n of them, would delay the
// gang that the worker is reserved for.
func (w *Worker) delaysReservation(u *Unit, n int) bool {
	r := w.reserved
	if r == nil || u.Overdue || r.unit == u.Name || w.expectedLength(u) <= r.at {
		return false
	}

	return !scale(u.Need, n+1).Fits(r.left)
}

// expectedLength returns the expected run time of a unit's task on the worker.
func (w *Worker) expectedLength(u *Unit) time.Duration {
	if w.Slowdown == 0 {
		return u.Length
	}

	return time.Duration(float64(u.Length) * w.Slowdown)
}

// occupy takes capacity of the worker for a task of a unit.
func (w *Worker) occupy(u *Unit) {
	w.Free = w.Free.Minus(u.Need)
	length := w.expectedLength(u)
	if w.reserved != nil && w.reserved.unit != u.Name && length > w.reserved.at {
		w.reserved.left = w.reserved.left.Minus(u.Need)
	}
	w.Runs = append(slices.Clip(w.Runs), Run{Group: u.Name, Priority: u.Priority, Need: u.Need, Remaining: length, Placed: true})
}
