package engine_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/policy"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/standin/fleet"
)

// TestLastingTaskBesideReservation lets a long-running task fail while a gang waits for which the idle workers are reserved, and
// most of the capacity is in use. It guards against a task that is not started again within 6 s of its last run, and for 3 s more,
// beside workers with room for it three times.
func TestLastingTaskBesideReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		p := *r.policy.Load()
		p.Version, p.Queues = 2, append(slices.Clone(p.Queues), policy.Queue{Name: "low", Service: "s", Priority: 2, Attempts: fleet.Attempts, Stretch: 3})
		r.setPolicy(&p)
		r.fleet.Outcome = func(t work.Task, run int64, _ string) (time.Duration, target.How) {
			if t.Job == "low" && run == 1 {
				return 24 * time.Second, target.Failed
			}

			return fleet.Endless, target.Done // expected to end at any time
		}
		for _, id := range []string{"k0", "k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8", "k9", "ka", "kb"} {
			r.fleet.Add(id, "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
		}
		r.start("a")
		time.Sleep(2 * time.Second)
		whole := work.Step{Count: 1, Need: work.Shape{CPU: 60000, Memory: 60000, Accelerators: 8}, Estimate: 90000}
		lasting, nine, gang := whole, whole, whole
		lasting.LongRunning = true
		nine.Count = 9
		gang.Count, gang.Gang = 6, true
		require.True(t, r.submit(work.Job{ID: "low", Queue: "low", Workspace: "v", Spec: "x", Steps: []work.Step{lasting}}))
		time.Sleep(2 * time.Second)
		require.True(t, r.submit(work.Job{ID: "nine", Queue: "batch", Workspace: "v", Spec: "x", Steps: []work.Step{nine}}))
		time.Sleep(2 * time.Second)
		require.True(t, r.submit(work.Job{ID: "gang", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{gang}}))
		time.Sleep(40 * time.Second)
		var ended, again time.Time
		for _, run := range r.fleet.Runs() {
			switch {
			case run.Task.Job != "low":
			case run.Run == 1:
				ended = run.To
			default:
				again = run.From
			}
		}
		r.stop()
		require.Empty(t, r.fleet.Violations())
		require.False(t, again.IsZero())
		require.Less(t, again.Sub(ended), 9*time.Second)
	})
}
