package engine_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/engine"
)

// TestRefusedRetryOfStart sends a start from an overloaded VM. The first attempt gets no answer and is executed
// 2 s later; the next one can't be sent. It guards against a planner that takes the start for refused, and
// starts the task elsewhere without a stop: the task would run twice at a time.
func TestRefusedRetryOfStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.mutation.schedulingDelay = time.Second
		var attempts atomic.Int64
		r.mutation.config = func(c *engine.Config) {
			workers := *c.Workers
			start := workers.Start
			workers.Start = func(ctx context.Context, a target.Address, s target.Start) (int64, error) {
				switch attempts.Add(1) {
				case 1, 2, 3: // the first attempt, with two copies
					go func() {
						time.Sleep(2 * time.Second)
						r.fleet.CarryOutStart(a.ID, s)
					}()
					<-ctx.Done()

					return 0, target.ErrUnknown
				case 4:
					return 0, target.ErrRefused
				}

				return start(ctx, a, s)
			}
			c.Workers = &workers
		}
		r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 20 * time.Second, target.Done }
		r.fleet.Add("k0", "s", "r0", ackCapacity)
		r.fleet.Add("k1", "s", "r0", ackCapacity)
		r.start("a")
		time.Sleep(5 * time.Second)
		require.True(t, r.submit(oneTask("j")))
		time.Sleep(60 * time.Second)
		r.stop()
		require.Empty(t, r.fleet.Violations())
	})
}
