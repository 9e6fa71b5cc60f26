package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"sesameyoke/internal/core/placement"
)

// BenchmarkDecideLimited measures one decision on 540 workers of which a fifth has limited long-running tasks, with 24
// guarantees of half of the fleet and forty more such tasks.
func BenchmarkDecideLimited(b *testing.B) {
	const fleet = 540
	workers := make([]placement.Worker, fleet)
	for i := range workers {
		w := placement.Worker{Rack: fmt.Sprintf("r%d", i/20), Schedulable: true, Capacity: shape(8), Free: shape(8)}
		if i%5 == 0 {
			w.Free = shape(4)
			for n := range 4 {
				w.Limited = append(w.Limited, placement.LimitedTask{Group: fmt.Sprint(i, n), Step: fmt.Sprint(i % 30), Workspace: fmt.Sprint(i % 24), Tasks: 1, Count: 15, MayMiss: 3, Accelerators: 1})
			}
		}
		workers[i] = w
	}
	guarantees := make([]placement.Guarantee, 0, 24)
	for i := range 24 {
		guarantees = append(guarantees, placement.Guarantee{Workspace: fmt.Sprint(i), Accelerators: fleet * 8 / 2 / 24})
	}
	u := placement.Unit{Name: "u", Need: shape(2), Priority: 2, LongRunning: true, Guarantees: guarantees, Limited: &placement.LimitedTask{Step: "u", Workspace: "x", Tasks: 1, Count: 40, MayMiss: 4, Accelerators: 2}}
	for i := range 40 {
		u.Tasks = append(u.Tasks, i)
	}
	for b.Loop() {
		placement.Decide(slices.Clone(workers), []placement.Unit{u})
	}
}
