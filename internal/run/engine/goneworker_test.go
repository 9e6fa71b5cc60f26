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

// takeoverInterval is longer than the lease of a worker, with its margin, and a takeover.
const takeoverInterval = 8 * time.Second

// TestGoneWorkerAfterTakeovers takes a worker with a run of a gang away and then restarts the
// planner's process, once or repeatedly. It guards against gangs that wait for the lease of a
// worker anew after each takeover: the processes that could renew it are known to have ended,
// so the gang must run again within takeoverInterval.
func TestGoneWorkerAfterTakeovers(t *testing.T) {
	for _, takeovers := range []int{1, 3} {
		t.Run(fmt.Sprint(takeovers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { require.Empty(t, idleAfterTakeovers(t, takeovers)) })
		})
	}
}

// idleAfterTakeovers returns a message if the gang has no runs after the takeovers.
func idleAfterTakeovers(t *testing.T, takeovers int) []string {
	r := newRig(t, 1)
	defer r.stop()
	r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return time.Minute, target.Done }
	for i := range 4 {
		r.fleet.Add(fmt.Sprintf("k%d", i), "s", fmt.Sprintf("r%d", i), work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
	}
	for _, n := range []string{"a", "b", "c"} {
		r.start(n)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	r.submit(work.Job{ID: "j1", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{
		{Count: 2, Need: work.Shape{CPU: 1000, Memory: 1000, Accelerators: 8}, Estimate: 2000, Gang: true},
	}})
	time.Sleep(500 * time.Millisecond)
	r.fleet.Kill("k0")
	r.fleet.Unlist("k0")
	gone := time.Now()
	time.Sleep(time.Second)
	for range takeovers {
		name, _ := r.planner()
		r.kill(name)
		r.start(name)
		time.Sleep(takeoverInterval)
	}
	if active, _ := r.activeRuns(); !active["j1"] {
		return []string{fmt.Sprintf("j1 is without runs %v after its worker was taken away", time.Since(gone))}
	}

	return nil
}

const (
	maxLostPlanners = 10
	lossInterval    = 2200 * time.Millisecond // between two losses of the planner
)

// TestPlannersLostInTurn takes a worker with a run away and then loses 1 to 10 planners in turn. It
// guards against waits for the worker's lease that begin anew with each planner: the run must go on
// within takeoverInterval of the worker's loss, or within longestIdle of the last planner's, whichever
// is later. If SESAMEYOKE_FIGURES is set, it prints the times.
func TestPlannersLostInTurn(t *testing.T) {
	for lost := 1; lost <= maxLostPlanners; lost++ {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				took := firstRunAfter(t, lost)
				if os.Getenv("SESAMEYOKE_FIGURES") != "" {
					t.Logf("planners=%d seconds=%.1f", lost, took.Seconds())
				}
				require.LessOrEqual(t, took, max(takeoverInterval-time.Duration(lost)*lossInterval, longestIdle))
			})
		})
	}
}

// firstRunAfter returns the time from the loss of the last of some planners to the next run of a job
// whose worker was taken away before the first loss.
func firstRunAfter(t *testing.T, lost int) time.Duration {
	r := newRig(t, 1)
	defer r.stop()
	r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return time.Minute, target.Done }
	for i := range 4 {
		r.fleet.Add(fmt.Sprintf("k%d", i), "s", fmt.Sprintf("r%d", i), work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
	}
	for _, n := range []string{"a", "b", "c"} {
		r.start(n)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	r.submit(work.Job{ID: "j1", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 1, Need: work.Shape{Accelerators: 8}, Estimate: 2000}}})
	time.Sleep(2 * time.Second)
	r.fleet.Kill("k0")
	r.fleet.Unlist("k0")
	for range lost {
		time.Sleep(lossInterval)
		if name, _ := r.planner(); name != "" {
			r.kill(name)
			r.start(name)
		}
	}
	last := time.Now()
	for time.Since(last) < time.Minute {
		if active, _ := r.activeRuns(); active["j1"] {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}

	return time.Since(last)
}

// TestReturnedVM takes a worker with a run away, and then loses the planner and two successors,
// which grant nothing. A VM that has just started and has seen but the last of them plans next. It guards
// against a VM that ignores what the first planner recorded about the worker, because it cannot tell that
// all of them were of a version that records its grants: the run must go on within takeoverInterval
// and a second for the further takeovers.
func TestReturnedVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		defer r.stop()
		r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return time.Minute, target.Done }
		for i := range 2 {
			r.fleet.Add(fmt.Sprintf("k%d", i), "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
		}
		for _, n := range []string{"a", "b"} {
			r.start(n)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		r.submit(work.Job{ID: "j1", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 1, Need: work.Shape{Accelerators: 8}, Estimate: 2000}}})
		time.Sleep(time.Second)
		r.fleet.Kill("k0")
		r.fleet.Unlist("k0")
		gone := time.Now()
		time.Sleep(3 * time.Second)
		r.kill("a")
		for _, n := range [][2]string{{"b", "d"}, {"d", "c"}} {
			for r.get(n[0]).elector.Lease() == nil {
				time.Sleep(time.Millisecond)
			}
			r.kill(n[0]) // in its recovery
			r.start(n[1])
		}
		time.Sleep(time.Until(gone.Add(takeoverInterval + time.Second)))
		require.Equal(t, int64(4), r.get("c").elector.Lease().Token)
		active, _ := r.activeRuns()
		require.True(t, active["j1"])
	})
}
