package engine_test

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

// maxLostWorkerWait is the longest permitted time without a run after a worker has crashed
// for good, however often the planner is lost: the leases of planner and worker, and a takeover.
const maxLostWorkerWait = 6*time.Second + 6500*time.Millisecond + maxTakeover

// TestRepeatedTakeovers loses a worker for good and then the planner at regular intervals.
// It guards against a task that waits for the lost worker anew after each takeover.
func TestRepeatedTakeovers(t *testing.T) {
	for _, interval := range []time.Duration{0, 8 * time.Second, 5 * time.Second} {
		t.Run(interval.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRepeatedTakeovers(t, interval) })
		})
	}
}

func runRepeatedTakeovers(t *testing.T, interval time.Duration) {
	r := newRig(t, 1)
	defer r.stop()
	r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 20 * time.Second, target.Done }
	for i := range 4 {
		r.fleet.Add(fmt.Sprintf("k%d", i), "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
	}
	for _, n := range []string{"a", "b", "c"} {
		r.start(n)
	}
	time.Sleep(2 * time.Second)
	require.True(t, r.submit(work.Job{ID: "j", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 1, Need: work.Shape{CPU: 1000}, Estimate: 20000}}}))
	time.Sleep(time.Second)
	runs := r.fleet.Runs()
	require.Len(t, runs, 1)
	r.fleet.Kill(runs[0].Worker)
	r.fleet.Unlist(runs[0].Worker)
	lostAt := time.Now()
	killedAt := lostAt
	for time.Since(lostAt) < 60*time.Second && len(r.fleet.Runs()) == 1 {
		if name, _ := r.planner(); interval > 0 && name != "" && (killedAt.Equal(lostAt) || time.Since(killedAt) >= interval) {
			r.kill(name)
			r.start(name)
			killedAt = time.Now()
		}
		time.Sleep(10 * time.Millisecond)
	}
	waited := time.Since(lostAt)
	if os.Getenv("SESAMEYOKE_FIGURES") != "" {
		fmt.Printf("interval=%v waited=%v\n", interval, waited)
	}
	require.Less(t, waited, maxLostWorkerWait)
	require.Empty(t, r.fleet.Violations())
}
