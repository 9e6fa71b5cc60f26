package engine_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/run/engine"
)

// TestFull submits large jobs until there is no room for more. It guards against records that fill the
// store, which then takes no appends any more, and the memory of each new planner: jobs are rejected
// before that. One workspace leaves room for others, also for a later planner, and what has ended makes
// room when its retention period has passed.
func TestFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const keptBytes, jobBytes = 400000, 20000
		r := newRig(t, 1)
		defer r.stop()
		r.mutation.config = func(c *engine.Config) { c.KeptBytes = keptBytes }
		r.fleet.Add("k0", "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
		for _, n := range []string{"a", "b"} {
			r.start(n)
			time.Sleep(time.Second)
		}
		fill := func(workspace string, round int) int {
			for i := range 100 {
				_, eng := r.planner()
				j := work.Job{ID: fmt.Sprintf("%s%d-%d", workspace, round, i), Queue: "batch", Workspace: workspace, Spec: "x", Steps: []work.Step{{Count: 1}}}
				j.Steps[0].Image = strings.Repeat("i", jobBytes)
				r.fleet.RecordSubmission(j)
				if err := eng.Submit(t.Context(), j); err != nil {
					require.ErrorIs(t, err, engine.ErrFull)
					require.Equal(t, i, countAccepted(r, fmt.Sprintf("%s%d-", workspace, round)))

					return i
				}
			}

			return 100
		}
		most := keptBytes / 2 / jobBytes
		require.InDelta(t, most, fill("w", 0), 1)
		require.InDelta(t, most, fill("v", 0), 1)
		name, _ := r.planner()
		r.kill(name)
		time.Sleep(10 * time.Second)
		require.LessOrEqual(t, fill("w", 1), 1)
		time.Sleep(3 * time.Minute)
		require.InDelta(t, most, fill("w", 2), 1)
		require.Empty(t, r.fleet.Violations())
	})
}

// countAccepted counts the jobs whose IDs begin with a prefix and that the store holds.
func countAccepted(r *rig, prefix string) int {
	n := 0
	for _, key := range r.store.Keys(engine.JobsTopic) {
		if kind, id := work.ParseKey(key); kind == work.OpenRecord && strings.HasPrefix(id, prefix) {
			n++
		}
	}

	return n
}
