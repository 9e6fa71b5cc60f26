package engine_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

// TestRefusedOfferThenTakeover lets a VM refuse an offer of the lease, whose holder is later cut
// off from the store and the other VMs, but reaches a worker for as long as its lease is valid.
// It guards against a VM that takes the holder for ended since the offer: the task would run
// twice at a time.
func TestRefusedOfferThenTakeover(t *testing.T) {
	for _, offered := range []bool{false, true} {
		t.Run(fmt.Sprint(offered), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1)
				r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 60 * time.Second, target.Done }
				capacity := work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8}
				r.fleet.Add("k0", "s", "r0", capacity)
				r.start("a")
				time.Sleep(2 * time.Second)
				r.start("b")
				time.Sleep(2 * time.Second)
				require.True(t, r.submit(work.Job{ID: "j", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 1, Need: work.Shape{CPU: 1000}, Estimate: 40000}}}))
				time.Sleep(2 * time.Second)
				require.Len(t, r.fleet.Runs(), 1)
				if offered {
					h, ok := r.get("b").elector.Holder()
					require.True(t, ok)
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					require.False(t, r.get("b").elector.HandleOffer(ctx, h.Token, 1)) // outdated offset
					cancel()
				}
				time.Sleep(5 * time.Second)
				name, _ := r.planner()
				require.Equal(t, "a", name)
				r.fleet.CutFrom("k0", "b", true)
				r.get("a").partitioned.Store(true)
				r.store.Cut("a", true)
				r.fleet.Add("k1", "s", "r0", capacity)
				time.Sleep(40 * time.Second)
				r.stop()
				require.Empty(t, r.fleet.Violations())
			})
		})
	}
}
