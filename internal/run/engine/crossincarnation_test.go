package engine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/engine"
)

// certainAcks returns a client that acknowledges ends only to the incarnation that has reported them.
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

// TestTrialSequences is a trial.
func TestTrialSequences(t *testing.T) {
	mode := os.Getenv("TRIAL")
	for _, seed := range freshSeeds(t, sequenceSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				violations, open := runSequence(t, seed, mutation{}, func(r *rig) {
					r.fleet.CrossIncarnations = true
					if mode == "plain" {
						return
					}
					rnd := rand.New(rand.NewPCG(seed, 9))
					ctx, cancel := context.WithCancel(context.Background())
					go func() {
						defer cancel()
						for i := 0; i < 30; i++ {
							time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
							if time.Since(r.epoch) > r.faultPeriod {
								break
							}
							r.fleet.SetRenewalFaults(0.1*float64(rnd.IntN(2)), 0.1*float64(rnd.IntN(2)))
						}
						r.fleet.SetRenewalFaults(0, 0)
					}()
					_ = ctx
					if mode == "certain" || mode == "nostale" {
						r.mutation.config = func(c *engine.Config) { c.Workers = r.certainAcks(c.Workers) }
					}
				})
				require.Empty(t, violations)
				require.Empty(t, open)
			})
		})
	}
}

// TestDoneOfOrphan.
func TestDoneOfOrphan(t *testing.T) {
	for _, how := range []target.How{target.Done, target.Failed} {
		t.Run(string(how), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runOrphanEnd(t, how) })
		})
	}
}

func runOrphanEnd(t *testing.T, how target.How) {
	r := newRig(t, 1)
	r.mutation.config = func(c *engine.Config) { c.Workers = r.certainAcks(r.delayStartBeyondRestart(c.Workers)) }
	r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 200 * time.Millisecond, how }
	r.fleet.Add("k0", "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
	r.start("a")
	time.Sleep(time.Minute)
	require.True(t, r.submit(work.Job{ID: "j", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 1, Need: work.Shape{CPU: 1000}, Estimate: 300}}}))
	time.Sleep(30 * time.Second)
	for _, e := range r.fleet.Runs() {
		t.Log(e)
	}
	r.stop()
	require.Empty(t, r.fleet.Violations())
}

// delayStartBeyondRestart returns a client whose first start gets no answer. The second one is refused.
// The worker restarts then, and its next incarnation carries the first start out.
func (r *rig) delayStartBeyondRestart(c *target.Client) *target.Client {
	starts := 0
	var first target.Start
	delayed := *c
	delayed.Start = func(ctx context.Context, a target.Address, s target.Start) (int64, error) {
		starts++
		switch {
		case s.Run == 1:
			first = s
			<-ctx.Done()

			return 0, target.ErrUnknown
		case s.Run == 2:
			time.Sleep(4 * time.Millisecond)
			r.fleet.Restart(a.ID)
			r.fleet.CarryOutStart(a.ID, first)

			return 0, target.ErrRefused
		}

		return c.Start(ctx, a, s)
	}

	return &delayed
}
