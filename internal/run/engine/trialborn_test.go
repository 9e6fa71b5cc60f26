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

// TestTrialBorn is a trial.
func TestTrialBorn(t *testing.T) {
	for seed := range uint64(400) {
		t.Run(fmt.Sprintf("%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runBorn(t, seed) })
		})
	}
}

func runBorn(t *testing.T, seed uint64) {
	mode := os.Getenv("TRIAL")
	rnd := rand.New(rand.NewPCG(seed, 5))
	r := newRig(t, seed)
	r.fleet.CrossIncarnations = true
	if mode != "acks" {
		r.mutation.config = func(c *engine.Config) { c.Workers = r.certainAcks(c.Workers) }
	}
	r.fleet.Outcome = func(_ work.Task, _ int64, _ string) (time.Duration, target.How) {
		return time.Duration(100+rnd.IntN(900)) * time.Millisecond, target.Done
	}
	capacity := work.Shape{CPU: 16000, Memory: 64000, Accelerators: 8}
	r.fleet.Add("k0", "s", "r0", capacity)
	r.fleet.Add("k1", "s", "r0", capacity)
	r.start("a")
	if mode == "takeover" || mode == "orderstakeover" {
		r.start("b")
	}
	time.Sleep(time.Second)
	r.fleet.ListLag = func() time.Duration { return time.Duration(rnd.IntN(4000)) * time.Millisecond }
	until := time.Now().Add(40 * time.Second)
	for i := 0; time.Now().Before(until); i++ {
		step := work.Step{Count: 2, Need: work.Shape{CPU: 2000}, Estimate: 1000, Gang: rnd.IntN(3) == 0}
		r.submit(work.Job{ID: fmt.Sprintf("j%d", i), Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{step}})
		time.Sleep(time.Duration(rnd.IntN(400)) * time.Millisecond)
		r.fleet.SetRenewalFaults(0.1*float64(rnd.IntN(2)), 0.1*float64(rnd.IntN(2)))
		if mode == "orders" || mode == "orderstakeover" {
			r.fleet.SetOrderFaults(0.1*float64(rnd.IntN(2)), 0.1*float64(rnd.IntN(2)))
		}
		if mode == "lost" {
			r.fleet.SetOrderFaults(0, 0.2*float64(rnd.IntN(2)))
		}
		if rnd.IntN(12) == 0 {
			id := fmt.Sprintf("k%d", rnd.IntN(2))
			r.fleet.SetAhead(id, time.Duration(rnd.IntN(40000)-20000)*time.Millisecond)
			r.fleet.Restart(id)
		}
		if (mode == "takeover" || mode == "orderstakeover") && rnd.IntN(15) == 0 {
			if p, _ := r.planner(); p != "" {
				r.kill(p)
				r.start(p)
			}
		}
	}
	r.fleet.SetOrderFaults(0, 0)
	r.fleet.SetRenewalFaults(0, 0)
	time.Sleep(60 * time.Second)
	r.stop()
	require.Empty(t, r.fleet.Violations())
	for id := range r.accepted {
		require.Contains(t, []string{"no planner", "completed"}, r.state(id), id)
	}
}
