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
	// maxReplacedPlanners is the number of these seeds, one in ten, in which the planner may
	// be replaced, because every copy of a renewal was executed late.
	maxReplacedPlanners = 3
)

// TestLostRenewals lets the store execute 35% of the appends late and without an answer for
// 8 s, lease renewals among them. It guards against the replacement of a healthy planner
// after one lost renewal: the planner must normally keep its lease.
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
			before := r.plannerName()
			r.store.SetFaults(fleet.StoreFaults{LateShare: 0.35})
			time.Sleep(8 * time.Second)
			r.store.SetFaults(fleet.StoreFaults{})
			time.Sleep(2 * time.Second)
			if r.plannerName() != before {
				replaced++
			}
		})
	}
	require.LessOrEqual(t, replaced, maxReplacedPlanners)
}
