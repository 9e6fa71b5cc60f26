package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sesameyoke/internal/core/placement"
	"sesameyoke/internal/core/work"
)

// BenchmarkDecideWaiting measures one decision while forty gangs wait on workers that are
// partly in use by small tasks.
func BenchmarkDecideWaiting(b *testing.B) {
	for _, n := range []int{48, 350, 540, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			rnd := rand.New(rand.NewPCG(1, 1))
			workers := partlyUsed(rnd, n)
			units := waitingGangs(rnd)
			scratch := make([]placement.Worker, n)
			b.ReportAllocs()
			for b.Loop() {
				copy(scratch, workers)
				placement.Decide(scratch, units)
			}
		})
	}
}

// partlyUsed returns workers with two to six runs of one accelerator each.
func partlyUsed(rnd *rand.Rand, n int) []placement.Worker {
	capacity := work.Shape{CPU: 64000, Memory: 262144, Accelerators: 8}
	small := work.Shape{CPU: 5600, Memory: 23000, Accelerators: 1}
	workers := make([]placement.Worker, n)
	for i := range workers {
		w := placement.Worker{Service: "s", Rack: fmt.Sprint(i / 20), Capacity: capacity, Free: capacity, Schedulable: true, Slowdown: 1}
		for k := range 2 + rnd.IntN(5) {
			w.Free = w.Free.Minus(small)
			w.Runs = append(w.Runs, placement.Run{Group: fmt.Sprint(i, "/", k), Priority: 2, Need: small, Remaining: time.Duration(rnd.IntN(9000)) * time.Millisecond})
		}
		workers[i] = w
	}

	return workers
}

// waitingGangs returns forty gangs of 2 to 14 whole workers.
func waitingGangs(rnd *rand.Rand) []placement.Unit {
	whole := work.Shape{CPU: 26000, Memory: 110000, Accelerators: 8}
	units := make([]placement.Unit, 0, 40)
	for i := range cap(units) {
		units = append(units, placement.Unit{
			Name: fmt.Sprint("g", i), Service: "s", Tasks: make([]int, 2+rnd.IntN(13)), Need: whole, Gang: true, SameRack: i%2 == 0,
			Reserves: true, Length: 7 * time.Second, Priority: 1, SpeedWeight: 0.5,
		})
	}

	return units
}
