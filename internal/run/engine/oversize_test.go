package engine_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/run/engine"
)

// TestOversizeProgress lets the progress of a job grow larger than a record, because the names of
// the workers are longer than expected. It guards against a refused record that holds up the work of
// others: only that job fails, also for the next planner.
func TestOversizeProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const recordBytes = 12000
		r := newRig(t, 1)
		defer r.stop()
		r.store.RecordMax = recordBytes
		r.mutation.config = func(c *engine.Config) { c.RecordBytes = recordBytes }
		r.fleet.Add(strings.Repeat("k", 300), "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
		for _, n := range []string{"a", "b"} {
			r.start(n)
			time.Sleep(time.Second)
		}
		submit := func(id string, tasks int) {
			require.True(t, r.submit(work.Job{ID: id, Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: tasks}}}))
		}
		submit("large", 45)
		time.Sleep(5 * time.Second)
		require.Equal(t, "failed", r.state("large"))
		submit("j1", 1)
		time.Sleep(5 * time.Second)
		require.Equal(t, "completed", r.state("j1"))
		name, _ := r.planner()
		r.kill(name)
		time.Sleep(10 * time.Second)
		submit("j2", 1)
		time.Sleep(5 * time.Second)
		require.Equal(t, "failed", r.state("large"))
		require.Equal(t, "completed", r.state("j2"))

		_, eng := r.planner()
		err := eng.Submit(t.Context(), work.Job{ID: "wide", Queue: "batch", Workspace: "w", Steps: []work.Step{{Count: 46}}})
		require.ErrorIs(t, err, engine.ErrTooLarge)
	})
}
