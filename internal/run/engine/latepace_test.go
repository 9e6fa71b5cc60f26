package engine_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/cpushare"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/engine"
	"sesameyoke/internal/standin/fleet"
)

// TestLatePace lets an order that limits the CPU share of a best-effort task get no answer. It is carried
// out 5 s later, when a newer order has lifted the limit. It guards against a planner that takes the
// newer order for the one in force: the task would be slow until it ends.
func TestLatePace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		defer r.stop()
		r.mutation.config = func(c *engine.Config) { c.Workers = delayPace(c.Workers) }
		r.fleet.Outcome = func(task work.Task, _ int64, _ string) (time.Duration, target.How) {
			if task.Job == "web" {
				return fleet.Endless, target.Done
			}

			return 30 * time.Second, target.Done
		}
		r.fleet.Add("k0", "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
		r.start("a")
		time.Sleep(time.Second)
		require.True(t, r.submit(work.Job{ID: "web", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 1, Need: work.Shape{CPU: 1000}, LongRunning: true, LatencyTarget: 60}}}))
		time.Sleep(2 * time.Second)
		require.True(t, r.submit(work.Job{ID: "fill", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 2, Need: work.Shape{CPU: 1000}, Estimate: 30000, BestEffort: true}}}))
		time.Sleep(3 * time.Second)
		_, eng := r.planner()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		require.NoError(t, eng.Cancel(ctx, "web", "w"))
		time.Sleep(45 * time.Second)
		var slow []string
		if state := r.state("fill"); state != "completed" {
			slow = append(slow, "fill is "+state)
		}
		require.Empty(t, slow)
		require.Empty(t, r.fleet.Violations())
	})
}

// delayPace returns a client whose first order that sets a share below the initial one gets no answer,
// and is carried out 5 s later.
func delayPace(c *target.Client) *target.Client {
	var done atomic.Bool
	delayed := *c
	delayed.Pace = func(ctx context.Context, a target.Address, p target.Pace) (int64, error) {
		if p.Percent >= cpushare.Initial || done.Swap(true) {
			return c.Pace(ctx, a, p)
		}
		go func() {
			time.Sleep(5 * time.Second)
			_, _ = c.Pace(context.Background(), a, p) // nobody waits for the answer
		}()
		<-ctx.Done()

		return 0, target.ErrUnknown
	}

	return &delayed
}
