package assign

import "slices"

// keepShares are the shares of the workers that are kept idle for priorities
// below the index: such work has less time to spare and comes in bursts.
var keepShares = []float64{1: 0.15}

// keepFrom is the share of the accelerators in use below which none are kept.
const keepFrom = 0.5

// keep marks idle workers, whole racks first, because gangs often need a rack.
func keep(workers []Worker, racks []rack) {
	room, free := 0, 0
	for i := range workers {
		if workers[i].Open {
			room += workers[i].Room.Accelerators
			free += workers[i].Free.Accelerators
		}
	}
	if float64(room-free) < keepFrom*float64(room) {
		return
	}
	order := idleWorkers(workers, racks)
	for priority, share := range keepShares {
		n := min(len(order), int(share*float64(len(workers))))
		for _, i := range order[:n] {
			workers[i].Kept = priority
		}
		order = order[n:]
	}
}

// idleWorkers lists the workers on which nothing runs, racks with most of them first.
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

func (w *Worker) idle() bool { return w.Open && w.Free == w.Room }
