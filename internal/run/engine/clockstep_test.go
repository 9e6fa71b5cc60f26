package engine_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/engine"
)

// TestTrialClock is a trial: TestLateOrderAfterRestart with the VM's time of day off, and after a takeover.
func TestTrialClock(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		for _, off := range []time.Duration{-40, -5, -4, -3, 0, 3, 5, 40} {
			for _, late := range []string{"start", "renewal"} {
				for seed := range uint64(40) {
					t.Run(fmt.Sprintf("%v/%d/%s/%d", takeover, off, late, seed), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { runClock(t, late, seed, off*time.Second, takeover) })
					})
				}
			}
		}
	}
}

func runClock(t *testing.T, late string, seed uint64, off time.Duration, takeover bool) {
	rnd := rand.New(rand.NewPCG(seed, 4))
	r := newRig(t, seed)
	share := rnd.Float64()
	r.mutation.config = func(c *engine.Config) {
		if c.Lease.Token == 1 {
			c.Workers = r.delayOrder(c.Workers, late, share)
		}
		if os.Getenv("ONLY2") == "" || c.Lease.Token > 1 {
			c.Now = func() time.Time { return time.Now().Add(off) }
		}
	}
	r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 40 * time.Second, target.Done }
	capacity := work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8}
	r.fleet.Add("k0", "s", "r0", capacity)
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
