package placement_test

import (
	"fmt"
	"testing"
	"time"

	"sesameyoke/internal/core/placement"
	"sesameyoke/internal/core/work"
)

// BenchmarkDecide measures one decision on fleets of 48 to 20000 workers. Runs occupy nine
// workers in ten; a task of one accelerator, a gang of eight whole workers and forty small
// tasks wait.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{48, 350, 5000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			capacity := work.Shape{CPU: 64000, Memory: 262144, Accelerators: 8}
			workers := make([]placement.Worker, n)
			for i := range workers {
				w := placement.Worker{Service: "s", Rack: fmt.Sprint(i / 8), Capacity: capacity, Free: capacity, Schedulable: true, Slowdown: 1}
				if i%10 > 0 {
					need := work.Shape{CPU: 60000, Memory: 200000, Accelerators: 8}
					w.Free = capacity.Minus(need)
					w.Runs = []placement.Run{{Group: fmt.Sprint(i), Priority: 2, LostWork: float64(i % 90), Need: need, Remaining: time.Duration(i%90) * 100 * time.Millisecond}}
				}
				workers[i] = w
			}
			one := work.Shape{CPU: 5600, Memory: 23000, Accelerators: 1}
			whole := work.Shape{CPU: 26000, Memory: 110000, Accelerators: 8}
			units := []placement.Unit{
				{Name: "a", Service: "s", Tasks: []int{0}, Need: one, SpeedWeight: 1.5},
				{Name: "g", Service: "s", Tasks: make([]int, 8), Need: whole, Gang: true, SameRack: true, Reserves: true, Length: 7 * time.Second, Priority: 1, SpeedWeight: 0.5},
				{Name: "m", Service: "s", Tasks: make([]int, 40), Need: one, Priority: 2},
			}
			scratch := make([]placement.Worker, n)
			b.ReportAllocs()
			for b.Loop() {
				copy(scratch, workers)
				placement.Decide(scratch, units)
			}
		})
	}
}
