package placement

import "slices"

// spareShares holds, by index n, the share of the workers that is kept idle for
// priorities with a number below n: urgent work has less slack and arrives in bursts.
var spareShares = []float64{1: 0.15}

// spareMinLoad is the share of the accelerators in use below which no workers are
// kept as spares.
const spareMinLoad = 0.5

// markSpare marks idle workers as spares by setting SpareBelow. It prefers the racks with the
// most idle workers, because gangs often need a whole rack.
func markSpare(workers []Worker, racks []rack) {
	capacity, free := 0, 0
	for i := range workers {
		if workers[i].Schedulable {
			capacity += workers[i].Capacity.Accelerators
			free += workers[i].Free.Accelerators
		}
	}
	if float64(capacity-free) < spareMinLoad*float64(capacity) {
		return
	}
	order := idleWorkers(workers, racks)
	for priority, share := range spareShares {
		n := min(len(order), int(share*float64(len(workers))))
		for _, i := range order[:n] {
			workers[i].SpareBelow = priority
		}
		order = order[n:]
	}
}

// idleWorkers lists the workers on which nothing runs, ordered by the number of such
// workers on their rack, highest first.
func idleWorkers(workers []Worker, racks []rack) []int {
	counts := make([]int, len(racks))
	order := make([]int, len(racks))
	total := 0
	for at := range racks {
		order[at] = at
		for _, i := range racks[at].workers {
			if workers[i].idle() {
				counts[at]++
			}
		}
		total += counts[at]
	}
	slices.SortStableFunc(order, func(a, b int) int { return counts[b] - counts[a] })
	idle := make([]int, 0, total)
	for _, at := range order {
		for _, i := range racks[at].workers {
			if workers[i].idle() {
				idle = append(idle, i)
			}
		}
	}

	return idle
}

func (w *Worker) idle() bool { return w.Schedulable && w.Free == w.Capacity }

// keptSpare reports whether the worker is kept idle for units other than u.
func (w *Worker) keptSpare(u *Unit) bool {
	return w.SpareBelow > 0 && u.Priority >= w.SpareBelow && !u.UsesSpares && !u.Overdue
}
