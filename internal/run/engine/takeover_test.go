package engine_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/engine"
)

const (
	takeoverSeeds = 20
	// maxTakeover is the longest permitted time without a planner: the lease's lifetime, twice
	// the heartbeat interval, and a second to read the state and to ask the workers.
	maxTakeover = 3500 * time.Millisecond
)

// TestTakeover loses the planner in different ways while tasks run. It guards against slow
// takeovers: the time without a planner must not exceed maxTakeover. All tasks must be done
// in the end. If SESAMEYOKE_FIGURES is set, it prints that time, the discarded work and the
// number of tasks that ran again.
func TestTakeover(t *testing.T) {
	for _, how := range []string{"leave", "restart", "kill", "freeze", "cut"} {
		t.Run(how, func(t *testing.T) {
			var gaps []time.Duration
			lost, again := 0.0, 0
			for seed := range uint64(takeoverSeeds) {
				synctest.Test(t, func(t *testing.T) {
					gap, l, a := runTakeover(t, seed, how)
					gaps = append(gaps, gap)
					lost += l
					again += a
				})
			}
			slices.Sort(gaps)
			if os.Getenv("SESAMEYOKE_FIGURES") != "" {
				fmt.Printf("how=%s seeds=%d median=%v worst=%v lostcoreseconds=%.0f again=%d\n",
					how, takeoverSeeds, gaps[len(gaps)/2], gaps[len(gaps)-1], lost, again)
			}
			require.LessOrEqual(t, gaps[len(gaps)-1], maxTakeover)
		})
	}
}

// runTakeover loses the planner while 16 tasks run. It returns the time without a planner,
// the discarded core-seconds, and the number of tasks that ran again.
func runTakeover(t *testing.T, seed uint64, how string) (gap time.Duration, lost float64, again int) {
	r := newRig(t, seed)
	defer r.stop()
	r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 8 * time.Second, target.Done }
	for i := range 4 {
		r.fleet.Add(fmt.Sprintf("k%d", i), "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
	}
	for _, n := range []string{"a", "b", "c"} {
		r.start(n)
	}
	time.Sleep(time.Second)
	need := work.Shape{CPU: 4000, Memory: 4000, Accelerators: 2}
	require.True(t, r.submit(work.Job{ID: "j", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 16, Need: need, Estimate: 8000}}}))
	time.Sleep(time.Duration(r.randFloat() * float64(2*time.Second)))
	name, before := r.planner()
	r.losePlanner(name, how)
	at := time.Now()
	for gap = 0; gap < 2*maxTakeover && !r.hasNewPlanner(before); gap = time.Since(at) {
		time.Sleep(time.Millisecond)
	}
	r.thaw(name)
	time.Sleep(30 * time.Second)
	require.Equal(t, "completed", r.state("j"))
	require.Empty(t, r.fleet.Violations())
	for _, e := range r.fleet.Runs() {
		if e.How != target.Done {
			lost += e.To.Sub(e.From).Seconds() * (float64(need.CPU)/1000 + 8*float64(need.Accelerators))
			again++
		}
	}

	return gap, lost, again
}

// hasNewPlanner reports whether an engine other than the given one accepts calls.
func (r *rig) hasNewPlanner(before *engine.Engine) bool {
	for _, v := range r.running() {
		if eng := v.engine.Load(); eng != nil && eng != before && eng.Ready() && v.frozen.Load() == nil {
			return true
		}
	}

	return false
}

// losePlanner removes the planner in the given way.
func (r *rig) losePlanner(name, how string) {
	switch how {
	case "leave":
		go r.get(name).elector.Leave(r.t.Context())
	case "restart":
		r.kill(name)
		r.start(name)
	case "kill":
		r.kill(name)
	case "freeze":
		r.freeze(name)
	case "cut":
		r.get(name).partitioned.Store(true)
		r.store.Cut(name, true)
	}
}
