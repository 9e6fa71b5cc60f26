package engine_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/policy"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/engine"
	"sesameyoke/internal/standin/fleet"
)

// publicRig returns a rig with a worker and a public queue.
func publicRig(t *testing.T) *rig {
	r := newRig(t, 1)
	r.setPolicy(&policy.Policy{
		Version:    2,
		Queues:     []policy.Queue{{Name: "batch", Service: "s", Priority: 1, Attempts: fleet.Attempts, Stretch: 3, Public: true}},
		Workspaces: []policy.Workspace{{Name: "w", Guaranteed: 16}},
	})
	r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 9 * time.Second, target.Done }
	r.fleet.Add("k0", "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
	r.start("a")
	time.Sleep(2 * time.Second)

	return r
}

// twoStepJob returns a job of two steps of which the second depends on the first.
func twoStepJob(workspace string) work.Job {
	step := work.Step{Count: 1, Need: work.Shape{CPU: 1000}, Estimate: 9000}
	next := step
	next.After = []int{0}

	return work.Job{ID: "j", Queue: "batch", Workspace: workspace, Spec: "x", Sent: time.Now().UnixMilli(), Steps: []work.Step{step, next}}
}

// TestPublicCancel writes the cancellation of a job of a public queue to the store, as an entry VM does while there
// is no planner: to a planner that reads it later, and to the next one. It guards against a second step that
// starts after the cancellation was acknowledged.
func TestPublicCancel(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover=%t", takeover), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runPublicCancel(t, takeover) })
		})
	}
}

func runPublicCancel(t *testing.T, takeover bool) {
	r := publicRig(t)
	j := twoStepJob("")
	r.fleet.RecordSubmission(j)
	_, eng := r.planner()
	require.NoError(t, eng.Submit(t.Context(), j))
	time.Sleep(2 * time.Second)
	if takeover {
		r.kill("a")
	}
	require.NoError(t, r.writeHandinRecords(t.Context(), store.Record{Key: work.Key(work.CancelRecord, "j"), Value: work.EncodeCancel("")}))
	if takeover {
		r.start("b")
	}
	time.Sleep(30 * time.Second)
	runs := len(r.fleet.Runs())
	_, eng = r.planner()
	p, err := eng.State("j", "")
	r.stop()
	require.NoError(t, err)
	require.Empty(t, r.fleet.Violations())
	require.Equal(t, work.Cancelled, p)
	require.Equal(t, 1, runs)
}

// TestPublicAccess asks for the state of a job and cancels it with and without a workspace, on a queue that is public
// at the submission, at the call, or at both. It guards against 410 for an accepted job, and against a caller without a
// workspace who reaches a job of a queue that is not public.
func TestPublicAccess(t *testing.T) {
	for _, c := range []struct {
		owner, caller   string
		public, unknown bool // public at the call
	}{
		{owner: "", caller: "", public: true},
		{owner: "", caller: "w", public: true},
		{owner: "", caller: "w", public: false},
		{owner: "w", caller: "", public: true},
		{owner: "w", caller: "", public: false, unknown: true},
		{owner: "w", caller: "v", public: true, unknown: true},
	} {
		t.Run(fmt.Sprintf("%q/%q/%t", c.owner, c.caller, c.public), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := publicRig(t)
				j := twoStepJob(c.owner)
				r.fleet.RecordSubmission(j)
				_, eng := r.planner()
				require.NoError(t, eng.Submit(t.Context(), j))
				p := *r.policy.Load()
				p.Version, p.Queues = p.Version+1, slices.Clone(p.Queues)
				p.Queues[0].Public = c.public
				r.setPolicy(&p)
				time.Sleep(time.Second)
				_, stateErr := eng.State("j", c.caller)
				cancelErr := eng.Cancel(t.Context(), "j", c.caller)
				r.stop()
				if c.unknown {
					require.ErrorIs(t, stateErr, engine.ErrUnknownJob)
					require.ErrorIs(t, cancelErr, engine.ErrUnknownJob)

					return
				}
				require.NoError(t, stateErr)
				require.NoError(t, cancelErr)
			})
		})
	}
}
