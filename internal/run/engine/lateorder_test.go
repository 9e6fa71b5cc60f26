package engine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/engine"
)

const (
	lateOrderSeeds    = 40 // seeds of TestLateOrderAfterRestart
	lateTakeoverSeeds = 40 // seeds of TestLateOrderAfterTakeover
)

// TestLateOrderAfterRestart restarts a worker, whose clock begins anew, just before it receives
// the starts of two tasks and a lease renewal. One of these orders gets no answer and is carried
// out seconds later, when the worker may be cut off. It guards against a planner that
// takes the lease for expired, although the late order, whose deadline is on the earlier clock,
// has extended it: no task may run twice at a time.
func TestLateOrderAfterRestart(t *testing.T) {
	for _, late := range []string{"start", "renewal"} {
		for seed := range uint64(lateOrderSeeds) {
			t.Run(fmt.Sprintf("%s/%d", late, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runLateOrder(t, late, seed, func(*rig) {}) })
			})
		}
	}
}

// TestLateOrderAfterTakeover is TestLateOrderAfterRestart with the planner lost when the worker is
// cut off. It guards against a successor that doesn't count the orders that its predecessor had
// sent to the worker, some of which may be carried out late.
func TestLateOrderAfterTakeover(t *testing.T) {
	for _, late := range []string{"start", "renewal"} {
		for seed := range uint64(lateTakeoverSeeds) {
			t.Run(fmt.Sprintf("%s/%d", late, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					runLateOrder(t, late, seed, func(r *rig) {
						r.start("b")
						r.kill("a")
					})
				})
			})
		}
	}
}

// TestLateOrderUnreadableRecord is TestLateOrderAfterTakeover with a record of these orders that can't
// be read. It guards against a successor that takes it for an empty one.
func TestLateOrderUnreadableRecord(t *testing.T) {
	for _, late := range []string{"start", "renewal"} {
		for seed := range uint64(lateTakeoverSeeds) {
			t.Run(fmt.Sprintf("%s/%d", late, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					runLateOrder(t, late, seed, func(r *rig) {
						r.kill("a")
						time.Sleep(10 * time.Millisecond)
						r.store.Put(engine.JobsTopic, work.Key(work.StaleRecord, ""), []byte("\xff\xff"))
						r.start("b")
					})
				})
			})
		}
	}
}

// runLateOrder runs a case, and calls after when the worker has been cut off.
func runLateOrder(t *testing.T, late string, seed uint64, after func(r *rig)) {
	rnd := rand.New(rand.NewPCG(seed, 4))
	r := newRig(t, seed)
	share := rnd.Float64()
	r.mutation.config = func(c *engine.Config) {
		if c.Lease.Token == 1 {
			c.Workers = r.delayOrder(c.Workers, late, share)
		}
	}
	r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 40 * time.Second, target.Done }
	capacity := work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8}
	r.fleet.Add("k0", "s", "r0", capacity)
	r.start("a")
	time.Sleep(60 * time.Second)
	if seed%2 == 0 {
		r.fleet.ListLag = func() time.Duration { return 30 * time.Second }
	}
	require.True(t, r.submit(work.Job{ID: "j", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 2, Need: work.Shape{CPU: 1000}, Estimate: 40000}}}))
	time.Sleep(100*time.Millisecond + time.Duration(rnd.Float64()*float64(8*time.Second)))
	r.fleet.Cut("k0", true)
	r.fleet.ListLag = nil
	r.fleet.Add("k1", "s", "r0", capacity)
	after(r)
	time.Sleep(60 * time.Second)
	r.stop()
	require.Empty(t, r.fleet.Violations())
}

// delayOrder returns a client that restarts a worker before its first order with a deadline. The
// start of the second task, or the first lease renewal, gets no answer and is carried out 2 to
// 12 s later, even if the worker is cut off by then.
func (r *rig) delayOrder(c *target.Client, late string, share float64) *target.Client {
	var restart, delay sync.Once
	delayed := func(ctx context.Context, carryOut func()) error {
		go func() {
			time.Sleep(2*time.Second + time.Duration(share*float64(10*time.Second)))
			carryOut()
		}()
		<-ctx.Done()

		return target.ErrUnknown
	}
	w := *c
	w.Start = func(ctx context.Context, a target.Address, s target.Start) (clock int64, err error) {
		restart.Do(func() { r.fleet.Restart(a.ID) })
		if late == "start" && s.Task.Index == 1 {
			delay.Do(func() { err = delayed(ctx, func() { r.fleet.CarryOutStart(a.ID, s) }) })
		}
		if err != nil {
			return 0, err
		}

		return c.Start(ctx, a, s)
	}
	w.RenewLease = func(ctx context.Context, a target.Address, l target.LeaseRenewal) (target.Report, error) {
		var err error
		if late == "renewal" && l.Deadline > 0 {
			restart.Do(func() { r.fleet.Restart(a.ID) })
			delay.Do(func() { err = delayed(ctx, func() { r.fleet.CarryOutRenewal(a.ID, l) }) })
		}
		if err != nil {
			return target.Report{}, err
		}

		return c.RenewLease(ctx, a, l)
	}

	return &w
}
