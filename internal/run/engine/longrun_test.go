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
	"sesameyoke/internal/standin/fleet"
)

const (
	longRunSeeds   = 12 // number of seeds; SESAMEYOKE_SEEDS sets another one
	detectSeeds    = 60 // number of seeds of which one must show a mutation
	longRunWorkers = 8
)

// TestLongRunSequences runs tasks that are longer than a worker's lease under takeovers of all
// kinds, workers that only some VMs reach, and workers that restart or leave. It guards against
// a planner that starts a task while the lease of its previous worker is valid.
func TestLongRunSequences(t *testing.T) {
	for _, seed := range freshSeeds(t, longRunSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				require.Empty(t, runLongSequence(t, seed, mutation{}))
			})
		})
	}
}

// TestLongRunSequencesDetectShortWaits checks that the sequences notice a planner that does not
// wait for leases that its predecessors granted.
func TestLongRunSequencesDetectShortWaits(t *testing.T) {
	m := mutation{name: "no wait", config: func(c *engine.Config) { c.Timing.PredecessorValidity = -time.Hour }}
	var found []string
	for seed := uint64(1); seed <= detectSeeds && len(found) == 0; seed++ {
		synctest.Test(t, func(t *testing.T) { found = runLongSequence(t, seed, m) })
	}
	require.NotEmpty(t, found)
}

// runLongSequence runs one random sequence and returns the violations in the workers' journal.
func runLongSequence(t *testing.T, seed uint64, m mutation) (violations []string) {
	r := newRig(t, seed)
	r.mutation = m
	defer func() {
		r.stop()
		violations = r.fleet.Violations()
	}()
	rnd := rand.New(rand.NewPCG(seed, 7))
	restarts := seed%3 == 0
	r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 30 * time.Second, target.Done }
	for i := range longRunWorkers {
		r.fleet.Add(fmt.Sprintf("k%d", i), "s", fmt.Sprintf("r%d", i/4), work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
	}
	names := []string{"a", "b", "c"}
	if seed%2 == 0 {
		r.cores["a"], r.cores["b"] = 0.2, 0.4
	}
	for _, n := range names {
		r.start(n)
	}
	time.Sleep(time.Second)
	for i := range 4 {
		r.submit(work.Job{ID: fmt.Sprintf("j%d", i), Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 2, Need: work.Shape{CPU: 1000, Accelerators: 4}, Estimate: 30000, Gang: i%2 == 0}}})
	}
	time.Sleep(3 * time.Second)
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(time.Duration(rnd.IntN(900)) * time.Millisecond) {
		vmName := names[rnd.IntN(len(names))]
		if p, _ := r.planner(); p != "" && rnd.IntN(2) == 0 {
			vmName = p
		}
		v := r.get(vmName)
		worker := fmt.Sprintf("k%d", rnd.IntN(longRunWorkers))
		switch rnd.IntN(23) {
		case 0:
			if v != nil {
				r.kill(vmName)
			}
		case 1, 2:
			if v != nil {
				r.kill(vmName)
			}
			r.start(vmName)
		case 3, 4:
			for _, n := range names {
				if r.get(n) == nil {
					r.start(n)
				}
			}
		case 5:
			if v != nil && v.frozen.Load() == nil {
				r.freeze(vmName)
			}
		case 6:
			for n := range r.running() {
				r.thaw(n)
			}
		case 7:
			if v != nil {
				v.partitioned.Store(true)
			}
			r.store.Cut(vmName, true)
		case 8, 9:
			for n, x := range r.running() {
				x.partitioned.Store(false)
				r.store.Cut(n, false)
			}
			r.store.SetFaults(fleet.StoreFaults{})
		case 10:
			r.store.SetFaults(fleet.StoreFaults{LostShare: 0.4, LateShare: 0.2, ExtraLatency: time.Duration(rnd.IntN(300)) * time.Millisecond})
		case 11, 12, 13:
			r.fleet.CutFrom(worker, names[rnd.IntN(len(names))], true)
		case 14:
			r.fleet.Cut(worker, true)
		case 15, 16:
			for i := range longRunWorkers {
				w := fmt.Sprintf("k%d", i)
				if rnd.IntN(2) == 0 {
					r.fleet.Cut(w, false)
					for _, n := range names {
						r.fleet.CutFrom(w, n, false)
					}
				}
			}
		case 17:
			if restarts {
				r.fleet.Restart(worker)
			} else if v != nil && v.frozen.Load() == nil {
				go v.elector.Leave(t.Context())
			}
		case 18:
			r.fleet.SetOrderFaults(0.15, 0.15)
		case 19:
			r.fleet.SetOrderFaults(0, 0)
		case 20, 21, 22: // the planner is cut off from the others, but alone reaches some workers
			p, _ := r.planner()
			if p == "" {
				break
			}
			r.get(p).partitioned.Store(true)
			r.store.Cut(p, true)
			for i := range longRunWorkers {
				for _, n := range names {
					if n != p && i%3 == int(seed%3) {
						r.fleet.CutFrom(fmt.Sprintf("k%d", i), n, true)
					}
				}
			}
			if rnd.IntN(2) == 0 { // and the next planner does not live long
				go func() {
					time.Sleep(1500*time.Millisecond + time.Duration(r.randFloat()*float64(3*time.Second)))
					if next, _ := r.planner(); next != "" && next != p {
						r.kill(next)
						r.start(next)
					}
				}()
			}
		}
	}
	r.clearFaults(names)

	return nil
}
