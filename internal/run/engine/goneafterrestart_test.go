package engine_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/engine"
)

// longestWait is the longest lease that a worker accepts (10 s), by a clock that is 2% slow, and what the planner needs
// to notice and to start the run elsewhere.
const longestWait = 11500 * time.Millisecond

// TestGoneAfterRestart restarts an idle worker, which the list does not show yet, lets it get one or several tasks and
// takes it away for good once all their starts were answered, up to seconds later. It guards
// against tasks that wait longer than the longest lease for a worker that is gone, because orders had deadlines on its
// clock before, or because an answered start counts as one that may still be executed.
func TestGoneAfterRestart(t *testing.T) {
	for _, idle := range []time.Duration{5 * time.Second, 45 * time.Second, 10 * time.Minute} {
		for _, tasks := range []int{1, 4} {
			for _, after := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
				t.Run(fmt.Sprintf("%v/%d/%v", idle, tasks, after), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runGoneAfterRestart(t, idle, tasks, after) })
				})
			}
		}
	}
}

func runGoneAfterRestart(t *testing.T, idle time.Duration, tasks int, after time.Duration) {
	r := newRig(t, 1)
	r.fleet.ListLag = func() time.Duration { return time.Duration(r.listLag.Load()) }
	var lost sync.Once
	var answered atomic.Int64
	goneAt := make(chan time.Time, 1)
	r.mutation.config = func(c *engine.Config) {
		direct, w := c.Workers, *c.Workers
		w.Start = func(ctx context.Context, a target.Address, s target.Start) (int64, error) {
			clock, err := direct.Start(ctx, a, s)
			if a.ID == "k0" && s.Task.Job == "j" && answered.Add(1) >= int64(tasks) {
				lost.Do(func() {
					time.AfterFunc(after, func() {
						r.fleet.Kill("k0")
						goneAt <- time.Now()
					})
				})
			}

			return clock, err
		}
		c.Workers = &w
	}
	r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return time.Hour, target.Done }
	capacity := work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8}
	r.fleet.Add("k0", "s", "r0", capacity)
	r.fleet.Add("k1", "s", "r1", capacity)
	r.start("a")
	time.Sleep(time.Second)
	require.True(t, r.submit(work.Job{ID: "other", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 1, Need: work.Shape{CPU: 1000, Accelerators: 8}, Rack: "r1", Estimate: 30000}}}))
	time.Sleep(idle)
	r.listLag.Store(int64(time.Hour))
	r.fleet.Restart("k0")
	time.Sleep(700 * time.Millisecond)
	require.True(t, r.submit(work.Job{ID: "j", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: tasks, Need: work.Shape{CPU: 1000, Accelerators: 1}, Estimate: 30000}}}))
	time.Sleep(100 * time.Millisecond)
	_, eng := r.planner()
	require.NoError(t, eng.Cancel(t.Context(), "other", "w"))
	time.Sleep(30 * time.Second)
	gone, waited := <-goneAt, map[int]time.Duration{}
	for _, run := range r.fleet.Runs() {
		if run.Worker == "k1" && run.Task.Job == "j" {
			waited[run.Task.Index] = run.From.Sub(gone)
		}
	}
	r.stop()
	require.Empty(t, r.fleet.Violations())
	require.Len(t, waited, tasks)
	for index, wait := range waited {
		require.Less(t, wait, longestWait, "task %d", index)
	}
}
