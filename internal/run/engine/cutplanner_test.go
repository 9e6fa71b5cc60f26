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
)

const cutPlannerSeeds = 12 // number of seeds; SESAMEYOKE_SEEDS sets another one

// TestCutPlanner cuts a planner off from the store and the other VMs while it alone reaches some
// workers, and then loses up to three of its successors. It guards against a successor that
// doesn't wait for the leases that the planner still renews.
func TestCutPlanner(t *testing.T) {
	for _, seed := range freshSeeds(t, cutPlannerSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { require.Empty(t, cutPlanner(t, seed)) })
		})
	}
}

func cutPlanner(t *testing.T, seed uint64) (violations []string) {
	r := newRig(t, seed)
	defer func() {
		r.stop()
		violations = r.fleet.Violations()
	}()
	rnd := rand.New(rand.NewPCG(seed, 9))
	r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 90 * time.Second, target.Done }
	const workers = 9
	for i := range workers {
		r.fleet.Add(fmt.Sprintf("k%d", i), "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
	}
	names := []string{"a", "b", "c", "d"}
	for _, n := range names {
		r.start(n)
	}
	time.Sleep(2 * time.Second)
	for i := range 4 {
		r.submit(work.Job{ID: fmt.Sprintf("j%d", i), Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 1, Need: work.Shape{CPU: 1000, Accelerators: 8}, Estimate: 90000}}})
	}
	time.Sleep(2*time.Second + time.Duration(rnd.IntN(2000))*time.Millisecond)
	used := map[string]bool{}
	for _, run := range r.fleet.Runs() {
		used[run.Worker] = true
	}
	p, _ := r.planner()
	how := []string{"cut", "freeze", "kill", "restart", "leave"}
	early := rnd.IntN(3) == 0 // some workers are lost before, so that the record lists them
	if early {
		for w := range used {
			if rnd.IntN(2) == 0 {
				r.fleet.Cut(w, true)
			}
		}
		time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
	}
	if rnd.IntN(3) > 0 {
		r.get(p).partitioned.Store(true)
		r.store.Cut(p, true)
	} else {
		r.losePlanner(p, how[rnd.IntN(len(how))])
	}
	for w := range used {
		for _, n := range names {
			if n != p && rnd.IntN(4) > 0 {
				r.fleet.CutFrom(w, n, true)
			}
		}
	}
	for range rnd.IntN(4) {
		time.Sleep(time.Duration(300+rnd.IntN(6000)) * time.Millisecond)
		if early && rnd.IntN(2) == 0 {
			for w := range used {
				r.fleet.Cut(w, rnd.IntN(2) == 0)
			}
		}
		for n, v := range r.running() {
			if e := v.engine.Load(); n != p && v.frozen.Load() == nil && e != nil && e.Ready() {
				r.losePlanner(n, how[rnd.IntN(len(how))])

				break
			}
		}
	}
	time.Sleep(14 * time.Second)
	for n, v := range r.running() {
		v.partitioned.Store(false)
		r.store.Cut(n, false)
		r.thaw(n)
	}
	time.Sleep(10 * time.Second)

	return nil
}
