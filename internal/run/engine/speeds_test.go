package engine_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

// TestSpeedsAfterTakeover guards against an urgent gang that a new planner starts on slow workers
// although the one before knew which are fast: one in four takes less than half of the time.
func TestSpeedsAfterTakeover(t *testing.T) {
	const workers = 24
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		defer r.stop()
		need := work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8}
		for i := range workers {
			kind := map[bool]string{true: "fast", false: "usual"}[i%4 == 3]
			r.fleet.Add(fmt.Sprintf("k%02d-%s", i, kind), "s", "r0", need)
		}
		r.fleet.SetOutcome(func(_ work.Task, _ int64, worker string) (time.Duration, target.How) {
			if strings.HasSuffix(worker, "fast") {
				return 2 * time.Second, target.Done
			}

			return 4400 * time.Millisecond, target.Done
		})
		r.start("a")
		r.start("b")
		time.Sleep(2 * time.Second)
		half := work.Shape{CPU: 1000, Memory: 1000, Accelerators: 4}
		require.True(t, r.submit(work.Job{ID: "first", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 2 * workers, Need: half, Estimate: 3000}}}))
		time.Sleep(12 * time.Second)
		name, _ := r.planner()
		r.kill(name)
		time.Sleep(4 * time.Second)
		whole := work.Shape{CPU: 1000, Memory: 1000, Accelerators: 8}
		require.True(t, r.submit(work.Job{ID: "gang", Queue: "urgent", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 4, Need: whole, Estimate: 3000, Gang: true}}}))
		time.Sleep(8 * time.Second)
		n := 0
		for _, run := range r.fleet.Runs() {
			if run.Task.Job == "gang" {
				require.Contains(t, run.Worker, "fast")
				n++
			}
		}
		require.Equal(t, 4, n)
		require.Empty(t, r.fleet.Violations())
	})
}
