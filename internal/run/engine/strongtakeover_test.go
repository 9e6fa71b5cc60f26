package engine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const takeoverRaceSeeds = 20

// TestStrongVMTakesOver kills the planner while callers' requests fail on all VMs, which
// makes every elector examine the lease at once. It guards against a takeover by one of the
// weak VMs that race for the lease: the strong VM must win it.
func TestStrongVMTakesOver(t *testing.T) {
	for seed := range uint64(takeoverRaceSeeds) {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, seed)
			defer r.stop()
			for i := range 8 {
				r.cores[fmt.Sprintf("weak%d", i)] = 0.2
			}
			r.start("strong0")
			time.Sleep(time.Second)
			r.start("strong1")
			for i := range 8 {
				r.start(fmt.Sprintf("weak%d", i))
				time.Sleep(time.Duration(r.randFloat() * float64(100*time.Millisecond)))
			}
			time.Sleep(time.Second)
			_, before := r.planner()
			r.kill("strong0")
			for range 400 {
				for _, v := range r.running() {
					v.elector.CheckNow()
				}
				time.Sleep(10 * time.Millisecond)
				if r.hasNewPlanner(before) {
					break
				}
			}
			require.Equal(t, "strong1 under token 2", r.plannerName(), "seed %d", seed)
		})
	}
}
