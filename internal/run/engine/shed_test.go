package engine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/policy"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/engine"
)

// TestShed fills a worker with work for minutes. It guards against accepted jobs that take capacity
// and can only end too late, against a rejection of jobs that may not be rejected, and against a
// rejected job that is stored.
func TestShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		defer r.stop()
		r.setPolicy(&policy.Policy{
			Version: 2,
			Queues: []policy.Queue{
				{Name: "urgent", Service: "s", Attempts: 2, Stretch: 1.5, Target: time.Second},
				{Name: "batch", Service: "s", Priority: 1, Attempts: 2, Stretch: 3, Target: time.Second},
			},
			Workspaces: []policy.Workspace{{Name: "v", Guaranteed: 8}},
		})
		r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 90 * time.Second, target.Done }
		r.fleet.Add("k0", "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
		r.start("a")
		time.Sleep(2 * time.Second)
		submit := func(id, queue, workspace string, accelerators int, seconds int64, change func(*work.Job)) error {
			j := work.Job{ID: id, Queue: queue, Workspace: workspace, Spec: "x", Steps: []work.Step{{
				Count: 1, Need: work.Shape{CPU: 100, Memory: 100, Accelerators: accelerators}, Estimate: 1000 * seconds,
			}}}
			if change != nil {
				change(&j)
			}
			_, eng := r.planner()
			r.fleet.RecordSubmission(j)

			return eng.Submit(t.Context(), j)
		}
		for i := range 2 {
			require.NoError(t, submit(fmt.Sprint("fill", i), "urgent", "w", 8, 90, nil))
			time.Sleep(time.Second)
		}
		var overload *engine.OverloadError
		require.ErrorAs(t, submit("urgent", "urgent", "w", 1, 1, nil), &overload)
		require.ErrorAs(t, submit("short", "batch", "w", 1, 1, nil), &overload)
		require.GreaterOrEqual(t, overload.RetryAfter, 60*time.Second)
		require.Zero(t, countAccepted(r, "short"))
		handed := work.Job{ID: "handed", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 1, Need: work.Shape{Accelerators: 1}, Estimate: 1000}}}
		record, err := work.Encode(handed)
		require.NoError(t, err)
		r.fleet.RecordSubmission(handed)
		_, err = r.store.For("x", func() {}).Append(t.Context(), store.Append{
			Topic: engine.HandinTopic, Records: []store.Record{{Key: work.Key(work.OpenRecord, handed.ID), Value: record}}, ExpectedEnd: -1,
		})
		require.NoError(t, err)
		_, eng := r.planner()
		require.NoError(t, eng.Submit(t.Context(), handed), "stored by an earlier attempt")
		require.NoError(t, submit("long", "batch", "w", 1, 60, nil), "may still be useful")
		require.NoError(t, submit("none", "batch", "w", 0, 1, nil), "needs no accelerator")
		require.NoError(t, submit("due", "batch", "w", 1, 1, func(j *work.Job) { j.Times, j.Interval = 2, 1000 }))
		require.NoError(t, submit("lasting", "batch", "w", 1, 1, func(j *work.Job) { j.Steps[0].LongRunning = true }))
		require.NoError(t, submit("fill0", "urgent", "w", 8, 90, nil), "accepted before")
		require.NoError(t, submit("kept", "urgent", "v", 1, 1, nil), "guaranteed")
		time.Sleep(10 * time.Minute)
		err = submit("short", "batch", "w", 1, 1, nil)
		require.False(t, errors.As(err, &overload), "the load is gone")
		require.NoError(t, err)
		require.Empty(t, r.fleet.Violations())
	})
}
