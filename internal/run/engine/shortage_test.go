package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/policy"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

// TestOrderInShortage has a large job and, after it, a small one wait for the same worker. It guards
// against a small job that misses its objective behind a large one that has time to spare.
func TestOrderInShortage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		defer r.stop()
		r.setPolicy(&policy.Policy{Version: 2, Queues: []policy.Queue{{Name: "batch", Service: "s", Priority: 1, Attempts: 2, Stretch: 3, Target: time.Second}}})
		lengths := map[string]time.Duration{"fill": 3 * time.Second, "large": 10 * time.Second, "small": 2 * time.Second}
		r.fleet.Outcome = func(task work.Task, _ int64, _ string) (time.Duration, target.How) {
			return lengths[task.Job], target.Done
		}
		r.fleet.Add("k0", "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
		r.start("a")
		time.Sleep(2 * time.Second)
		for _, j := range []struct {
			id           string
			accelerators int
		}{{"fill", 8}, {"large", 8}, {"small", 1}} {
			require.True(t, r.submit(work.Job{ID: j.id, Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{
				Count: 1, Need: work.Shape{CPU: 100, Memory: 100, Accelerators: j.accelerators}, Estimate: lengths[j.id].Milliseconds(),
			}}}))
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(30 * time.Second)
		runs := r.fleet.Runs()
		order := make([]string, 0, len(runs))
		for _, run := range runs {
			require.Equal(t, target.Done, run.How)
			order = append(order, run.Task.Job)
		}
		require.Equal(t, []string{"fill", "small", "large"}, order)
		require.Empty(t, r.fleet.Violations())
	})
}
