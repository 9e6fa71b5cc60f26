package assign

import "slices"

// headroomShares holds, by index n, the share of the workers that is kept idle for
// priorities with a number below n: urgent work has less slack and arrives in bursts.
var headroomShares = []float64{1: 0.15}

// headroomMinLoad is the share of the accelerators in use below which no headroom is
// reserved.
const headroomMinLoad = 0.5

// reserveHeadroom sets HeadroomBelow of idle workers. It prefers the racks with the most
// idle workers, because gangs often need a whole rack.
func reserveHeadroom(workers []Worker, racks []rack) {
	room, free := 0, 0
	for i := range workers {
		if workers[i].Open {
			room += workers[i].Room.Accelerators
			free += workers[i].Free.Accelerators
		}
	}
	if float64(room-free) < headroomMinLoad*float64(room) {
		return
	}
	order := idleWorkers(workers, racks)
	for priority, share := range headroomShares {
		n := min(len(order), int(share*float64(len(workers))))
		for _, i := range order[:n] {
			workers[i].HeadroomBelow = priority
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

func (w *Worker) idle() bool { return w.Open && w.Free == w.Room }
