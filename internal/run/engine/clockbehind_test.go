package engine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/engine"
)

const (
	clockBehindSeeds = 10              // seeds of TestLateOrderWithClocksApart
	clocksApart      = 5 * time.Second // difference of the times of day
)

// TestLateOrderWithClocksApart is TestLateOrderAfterRestart, with or without a takeover, and with a time of
// day of the VM that is behind that of the worker. It guards against a planner that compares the two to
// tell that a restarted worker can't have received an order: the late order extends the lease, and a
// task runs twice at a time.
func TestLateOrderWithClocksApart(t *testing.T) {
	for _, which := range []string{"vm behind", "worker ahead"} {
		for _, takeover := range []bool{false, true} {
			for seed := range uint64(clockBehindSeeds) {
				t.Run(fmt.Sprintf("%s/takeover=%v/%d", which, takeover, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runClocksApart(t, which, takeover, seed) })
				})
			}
		}
	}
}

func runClocksApart(t *testing.T, which string, takeover bool, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 4))
	r := newRig(t, seed)
	share := rnd.Float64()
	r.mutation.config = func(c *engine.Config) {
		if c.Lease.Token == 1 {
			c.Workers = r.delayOrder(c.Workers, "start", share)
		}
		if which == "vm behind" {
			c.Now = func() time.Time { return time.Now().Add(-clocksApart) }
		}
	}
	r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 40 * time.Second, target.Done }
	capacity := work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8}
	r.fleet.Add("k0", "s", "r0", capacity)
	if which == "worker ahead" {
		r.fleet.SetAhead("k0", clocksApart)
	}
	r.start("a")
	time.Sleep(60 * time.Second)
	require.True(t, r.submit(work.Job{ID: "j", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 2, Need: work.Shape{CPU: 1000}, Estimate: 40000}}}))
	time.Sleep(100*time.Millisecond + time.Duration(rnd.Float64()*float64(8*time.Second)))
	r.fleet.Cut("k0", true)
	r.fleet.Add("k1", "s", "r0", capacity)
	if takeover {
		r.start("b")
		r.kill("a")
	}
	time.Sleep(60 * time.Second)
	r.stop()
	require.Empty(t, r.fleet.Violations())
}
