package engine_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/engine"
)

// TestRestartedWorkerThenReplacedPlanner restarts a worker just before a start arrives, so that
// its new incarnation, whose clock is behind, gets the longest lease that a worker accepts. Then
// the planner is replaced and the worker cut off. It guards against a planner that starts the
// task elsewhere while that lease is valid.
func TestRestartedWorkerThenReplacedPlanner(t *testing.T) {
	for _, how := range []string{"kill", "restart", "leave"} {
		t.Run(how, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1)
				var once sync.Once
				r.mutation.config = func(c *engine.Config) {
					w := *c.Workers
					start := w.Start
					w.Start = func(ctx context.Context, a target.Address, s target.Start) (int64, error) {
						once.Do(func() { r.fleet.Restart(a.ID) })

						return start(ctx, a, s)
					}
					c.Workers = &w
				}
				r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 60 * time.Second, target.Done }
				capacity := work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8}
				r.fleet.Add("k0", "s", "r0", capacity)
				r.start("a")
				r.start("b")
				time.Sleep(60 * time.Second)
				require.True(t, r.submit(work.Job{ID: "j", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 1, Need: work.Shape{CPU: 1000}, Estimate: 40000}}}))
				time.Sleep(100 * time.Millisecond)
				require.Len(t, r.fleet.Runs(), 1)
				r.fleet.Cut("k0", true)
				r.fleet.Add("k1", "s", "r0", capacity)
				name, _ := r.planner()
				r.losePlanner(name, how)
				time.Sleep(40 * time.Second)
				r.stop()
				require.Empty(t, r.fleet.Violations())
			})
		})
	}
}
