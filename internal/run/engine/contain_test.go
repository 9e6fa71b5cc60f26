package engine_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/policy"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/run/engine"
)

// TestPanicContained makes reads of the planner's configuration panic for a second, as an
// example of an unforeseen input. It guards against a panic that ends the process: the
// planner must go on, keep its lease and complete its jobs.
func TestPanicContained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		defer r.stop()
		var until, panics atomic.Int64
		r.mutation.config = func(c *engine.Config) {
			good := c.Policy
			c.Policy = func() *policy.Policy {
				if time.Now().UnixNano() < until.Load() {
					panic("unforeseen configuration")
				}

				return good()
			}
			c.Count = func(name string, n int64) {
				if name == "panics" {
					panics.Add(n)
				}
			}
		}
		r.fleet.Add("k0", "s", "r0", work.Shape{CPU: 8000, Memory: 8000, Accelerators: 8})
		r.start("a")
		time.Sleep(time.Second)
		until.Store(time.Now().Add(time.Second).UnixNano())
		require.True(t, r.submit(work.Job{
			ID: "j", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 2, Need: work.Shape{Accelerators: 1}, Estimate: 2000}},
		}))
		time.Sleep(6 * time.Second)
		require.Equal(t, "completed", r.state("j"))
		require.Positive(t, panics.Load())
		require.Equal(t, "a under token 1", r.plannerName())
	})
}
