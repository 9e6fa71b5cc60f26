package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/standin/fleet"
)

// TestStarvedTasksStopInTurn lets long-running best-effort tasks run beside serving tasks that miss their targets, so that
// they get no CPU share. It guards against more of them being stopped at once than may be unavailable.
func TestStarvedTasksStopInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return fleet.Endless, target.Done }
		for _, id := range []string{"k0", "k1", "k2"} {
			r.fleet.Add(id, "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
		}
		r.start("a")
		time.Sleep(2 * time.Second)
		serving := work.Step{Count: 3, Need: work.Shape{CPU: 32000, Memory: 1000}, Estimate: 1000, LongRunning: true, LatencyTarget: 1, MaxPerWorker: 1}
		filling := work.Step{Count: 3, Need: work.Shape{CPU: 32000, Memory: 1000}, Estimate: 1000, LongRunning: true, BestEffort: true, MaxPerWorker: 1, MaxUnavailable: 1}
		fill := work.Job{ID: "fill", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{filling}}
		require.True(t, r.submit(fill))
		time.Sleep(2 * time.Second)
		require.True(t, r.submit(work.Job{ID: "web", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{serving}}))
		time.Sleep(30 * time.Second)
		runs := r.fleet.Runs()
		r.stop()
		stopped := 0
		for _, run := range runs {
			if run.Task.Job == "fill" && run.How == target.Stopped {
				stopped++
			}
		}
		require.Positive(t, stopped)
		require.Empty(t, overstopped(runs, []work.Job{fill}, nil))
	})
}
