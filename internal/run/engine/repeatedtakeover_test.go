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

// TestReturnedWorker loses a worker and the planner, and loses both again as soon as the
// worker has returned and received the task. It guards against a successor that relies on
// the outdated entry of the worker: the task must not run twice at a time.
func TestReturnedWorker(t *testing.T) {
	for _, away := range []time.Duration{7 * time.Second, 8 * time.Second, 9 * time.Second, 10 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runReturnedWorker(t, away) })
		})
	}
}

func runReturnedWorker(t *testing.T, away time.Duration) {
	r := newRig(t, 1)
	defer r.stop()
	r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 40 * time.Second, target.Done }
	capacity := work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8}
	r.fleet.Add("k0", "s", "r0", capacity)
	for _, n := range []string{"a", "b", "c"} {
		r.start(n)
	}
	time.Sleep(2 * time.Second)
	require.True(t, r.submit(work.Job{ID: "j", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 1, Need: work.Shape{CPU: 1000}, Estimate: 40000}}}))
	time.Sleep(time.Second)
	r.fleet.Cut("k0", true)
	name, _ := r.planner()
	r.kill(name)
	time.Sleep(away)
	r.fleet.Cut("k0", false)
	for range 5000 {
		if len(r.fleet.Runs()) > 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	require.Len(t, r.fleet.Runs(), 2)
	r.fleet.Cut("k0", true)
	name, _ = r.planner()
	r.kill(name)
	r.fleet.Add("k1", "s", "r0", capacity)
	time.Sleep(40 * time.Second)
	require.Len(t, r.fleet.Runs(), 3)
	require.Empty(t, r.fleet.Violations())
}
