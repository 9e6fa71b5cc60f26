package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/standin/fleet"
)

const (
	renewalSeeds = 30
	// mostReplaced is the number of those seeds, one in ten, in which a planner may be
	// replaced: when each copy of a renewal meets that.
	mostReplaced = 3
)

// TestLostRenewals has the store execute a third of the appends late and without an answer, for 8 s. The planner
// lives, so that it should go on planning.
func TestLostRenewals(t *testing.T) {
	replaced := 0
	for seed := range uint64(renewalSeeds) {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, seed)
			defer r.stop()
			for _, n := range []string{"a", "b", "c"} {
				r.start(n)
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(time.Second)
			before := r.plans()
			r.store.SetFaults(fleet.StoreFaults{Late: 0.35})
			time.Sleep(8 * time.Second)
			r.store.SetFaults(fleet.StoreFaults{})
			time.Sleep(2 * time.Second)
			if r.plans() != before {
				replaced++
			}
		})
	}
	require.LessOrEqual(t, replaced, mostReplaced)
}
