package engine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/engine"
	"sesameyoke/internal/standin/fleet"
)

// orphanEndSeeds is the number of seeds of TestEndsBesideLateOrders.
const orphanEndSeeds = 10

// TestOrphanEnd leaves a start without an answer until it is given up. The worker's next incarnation
// carries it out, and its run ends before the stop has an effect. It guards against an end that is
// acknowledged and counts for no run, because the run is not on record any more: the task would run again
// after it was done, or have one more attempt after it had failed. In the last case, a later run has failed
// before.
func TestOrphanEnd(t *testing.T) {
	for _, c := range []struct {
		how     target.How
		refused int64 // number of the run whose start is refused
	}{{target.Done, 2}, {target.Failed, 2}, {target.Failed, 3}} {
		t.Run(fmt.Sprintf("%s/%d", c.how, c.refused), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runOrphanEnd(t, c.how, c.refused) })
		})
	}
}

func runOrphanEnd(t *testing.T, how target.How, refused int64) {
	r := newRig(t, 1)
	r.mutation.config = func(c *engine.Config) { c.Workers = r.certainAcks(r.delayStartBeyondRestart(c.Workers, refused)) }
	r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 200 * time.Millisecond, how }
	r.fleet.Add("k0", "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
	r.start("a")
	time.Sleep(time.Minute)
	require.True(t, r.submit(work.Job{ID: "j", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 1, Need: work.Shape{CPU: 1000}, Estimate: 300}}}))
	time.Sleep(30 * time.Second)
	r.stop()
	require.Empty(t, r.fleet.Violations())
}

// delayStartBeyondRestart returns a client whose first start gets no answer. The start of a later run is
// refused; the worker restarts then, and its new incarnation carries the first start out.
func (r *rig) delayStartBeyondRestart(c *target.Client, refused int64) *target.Client {
	var first atomic.Pointer[target.Start]
	delayed := *c
	delayed.Start = func(ctx context.Context, a target.Address, s target.Start) (int64, error) {
		switch s.Run {
		case 1:
			first.Store(&s)
			<-ctx.Done()

			return 0, target.ErrUnknown
		case refused:
			time.Sleep(4 * time.Millisecond)
			r.fleet.Restart(a.ID)
			r.fleet.CarryOutStart(a.ID, *first.Load())

			return 0, target.ErrRefused
		}

		return c.Start(ctx, a, s)
	}

	return &delayed
}

// TestEndsBesideLateOrders runs short tasks and gangs on two workers that restart often, with a time of day
// that jumps, while orders and lease renewals are lost or carried out late, by whichever incarnation
// runs then. It guards against ends that are acknowledged and don't count, and against reports of an
// earlier incarnation that are taken for those of a later one: no task may be started under a new number
// after an acknowledged end as done.
func TestEndsBesideLateOrders(t *testing.T) {
	for seed := range uint64(orphanEndSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runBesideLateOrders(t, seed) })
		})
	}
}

func runBesideLateOrders(t *testing.T, seed uint64) {
	rnd := &lockedRand{r: rand.New(rand.NewPCG(seed, 5))}
	r := newRig(t, seed)
	r.fleet.CrossIncarnations = true
	r.mutation.config = func(c *engine.Config) { c.Workers = r.certainAcks(c.Workers) }
	r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) {
		return time.Duration(100+rnd.IntN(900)) * time.Millisecond, target.Done
	}
	capacity := work.Shape{CPU: 16000, Memory: 64000, Accelerators: 8}
	r.fleet.Add("k0", "s", "r0", capacity)
	r.fleet.Add("k1", "s", "r0", capacity)
	r.start("a")
	time.Sleep(time.Second)
	r.fleet.ListLag = func() time.Duration { return time.Duration(rnd.IntN(4000)) * time.Millisecond }
	until := time.Now().Add(40 * time.Second)
	for i := 0; time.Now().Before(until); i++ {
		step := work.Step{Count: 2, Need: work.Shape{CPU: 2000}, Estimate: 1000, Gang: rnd.IntN(3) == 0}
		r.submit(work.Job{ID: fmt.Sprintf("j%d", i), Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{step}})
		time.Sleep(time.Duration(rnd.IntN(400)) * time.Millisecond)
		r.fleet.SetRenewalFaults(0.1*float64(rnd.IntN(2)), 0.1*float64(rnd.IntN(2)))
		r.fleet.SetOrderFaults(0.1*float64(rnd.IntN(2)), 0.1*float64(rnd.IntN(2)))
		if rnd.IntN(12) == 0 {
			id := fmt.Sprintf("k%d", rnd.IntN(2))
			r.fleet.SetAhead(id, time.Duration(rnd.IntN(40000)-20000)*time.Millisecond)
			r.fleet.Restart(id)
		}
	}
	r.fleet.SetOrderFaults(0, 0)
	r.fleet.SetRenewalFaults(0, 0)
	time.Sleep(60 * time.Second)
	r.stop()
	require.Empty(t, r.startedAgain())
}

// startedAgain names the runs that have a higher number than a run of their task that was done, with an
// acknowledged end, when they started. One with a lower number has a start that was carried out late.
func (r *rig) startedAgain() []string {
	var all []string
	runs := r.fleet.Runs()
	for _, again := range runs {
		if slices.ContainsFunc(runs, func(done fleet.RunRecord) bool {
			noted := done.How == target.Done && done.Acked && !done.LeaseExpired

			return noted && done.Task == again.Task && done.Run < again.Run && again.From.After(done.To)
		}) {
			all = append(all, fmt.Sprintf("task %v starts again in run %d", again.Task, again.Run))
		}
	}

	return all
}

// certainAcks returns a client that acknowledges ends only to the incarnation that has reported them. So
// a test finds what else than TestAckOfEarlierIncarnation makes tasks run again.
func (r *rig) certainAcks(c *target.Client) *target.Client {
	var lock sync.Mutex
	reported := map[string]int64{} // incarnation of the newest report to a worker's session
	certain := *c
	certain.RenewLease = func(ctx context.Context, a target.Address, l target.LeaseRenewal) (target.Report, error) {
		acked := l.Acked
		l.Acked = 0
		report, err := c.RenewLease(ctx, a, l)
		if err != nil {
			return report, err
		}
		lock.Lock()
		defer lock.Unlock()
		if acked > 0 && report.Incarnation == reported[a.ID] {
			r.fleet.CarryOutRenewal(a.ID, target.LeaseRenewal{Token: l.Token, Acked: acked})
			report.Ended = slices.DeleteFunc(report.Ended, func(e target.End) bool { return e.Number <= acked })
		}
		if acked > 0 || l.Wait > 0 || l.Deadline > 0 { // else the engine may only look for a run
			reported[a.ID] = report.Incarnation
		}

		return report, nil
	}

	return &certain
}
