package engine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/policy"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/standin/fleet"
)

// TestEvictedTasksEndInTurn lets a job within its workspace's guarantee evict long-running tasks from three workers, on
// which they end at different times. It guards against evicted tasks that start again where capacity is being freed for
// the rest of the job, once its first tasks have begun.
func TestEvictedTasksEndInTurn(t *testing.T) {
	for _, mayMiss := range []int{0, 2} {
		for second := 100; second <= 130; second += 4 {
			for third := 100; third <= 130; third += 4 {
				t.Run(fmt.Sprintf("mayMiss=%d/%d/%d", mayMiss, second, third), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						runEvictedInTurn(t, mayMiss, time.Duration(second)*time.Millisecond, time.Duration(third)*time.Millisecond)
					})
				})
			}
		}
	}
}

// runEvictedInTurn runs a case in which the task on the second worker, and one of the two on the third, end the given times
// after their stops.
func runEvictedInTurn(t *testing.T, mayMiss int, second, third time.Duration) {
	r := newRig(t, 1)
	p := *r.policy.Load()
	p.Version, p.Workspaces = 2, []policy.Workspace{{Name: "w", Guaranteed: 24}}
	r.setPolicy(&p)
	r.fleet.Outcome = func(t work.Task, _ int64, _ string) (time.Duration, target.How) {
		if t.Job == "u" {
			return 5 * time.Second, target.Done
		}

		return fleet.Endless, target.Done
	}
	for i := range 3 {
		r.fleet.Add(fmt.Sprintf("k%d", i), "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
	}
	stops := 0
	r.fleet.KillGrace = func(worker string) time.Duration {
		switch worker {
		case "k0":
			return 100 * time.Millisecond
		case "k1":
			return second
		}
		stops++

		return third + time.Duration(stops-1)*250*time.Millisecond
	}
	r.start("a")
	time.Sleep(2 * time.Second)
	for _, accelerators := range []int{8, 4} { // one task on each of k0 and k1, two on k2
		require.True(t, r.submit(work.Job{ID: fmt.Sprintf("l%d", accelerators), Queue: "batch", Workspace: "v", Spec: "x", Steps: []work.Step{
			{Count: 2, Need: work.Shape{CPU: 1000, Accelerators: accelerators}, Estimate: 9000, LongRunning: true, MaxUnavailable: mayMiss},
		}}))
	}
	time.Sleep(5 * time.Second)
	require.Len(t, r.fleet.Runs(), 4)
	require.True(t, r.submit(work.Job{ID: "u", Queue: "urgent", Workspace: "w", Spec: "x", Steps: []work.Step{
		{Count: 3, Need: work.Shape{CPU: 1000, Accelerators: 8}, Estimate: 5000},
	}}))
	time.Sleep(reclaimTime)
	begun := 0
	var last time.Time
	for _, run := range r.fleet.Runs() {
		if run.Task.Job == "u" {
			begun++
			last = run.From
		}
	}
	var faults []string
	for _, run := range r.fleet.Runs() {
		if run.Task.Job != "u" && run.Run > 1 && run.From.Before(last) {
			faults = append(faults, fmt.Sprintf("task %d starts again on %s %v before the job has begun", run.Task.Index, run.Worker, last.Sub(run.From)))
		}
	}
	r.stop()
	require.Empty(t, r.fleet.Violations())
	require.Equal(t, 3, begun)
	require.Empty(t, faults)
}
