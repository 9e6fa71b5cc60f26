package engine_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/run/engine"
)

// TestRefusedRecords lets the store refuse records that are smaller than it says. It guards against a
// refused append that is repeated for ever, with everybody's work behind it: a job that can't be stored
// is rejected, one whose progress can't be stored fails, and all others run, also those of the same
// append, and after the planner is lost.
func TestRefusedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		defer r.stop()
		r.store.RecordMax = 3000
		for i := range 4 {
			r.fleet.Add(fmt.Sprintf("k%d", i), "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
		}
		for _, n := range []string{"a", "b"} {
			r.start(n)
			time.Sleep(time.Second)
		}
		for round := range 2 {
			small := r.submitRefused(t, round)
			time.Sleep(10 * time.Second)
			for _, id := range small {
				require.Equal(t, "completed", r.state(id))
			}
			require.Equal(t, "failed", r.state(fmt.Sprintf("wide%d", round)))
			require.Equal(t, engine.ErrUnknownJob.Error(), r.state(fmt.Sprintf("large%d", round)))
			name, _ := r.planner()
			r.kill(name)
			r.start(name)
			time.Sleep(10 * time.Second)
		}
		require.Equal(t, "failed", r.state("wide0"))
		require.Empty(t, r.fleet.Violations())
	})
}

const smallJobs = 5 // jobs that the store accepts, beside those that it refuses

// submitRefused submits at once a job whose record the store refuses, one whose progress it refuses, and
// some others, whose IDs it returns.
func (r *rig) submitRefused(t *testing.T, round int) []string {
	_, eng := r.planner()
	large := work.Job{ID: fmt.Sprintf("large%d", round), Queue: "batch", Workspace: "w", Steps: []work.Step{{Count: 1, Image: string(make([]byte, 4000))}}}
	require.NoError(t, large.CheckSize(work.DefaultRecordBytes))
	wide := wideJob(fmt.Sprintf("wide%d", round), 400)
	wide.Times, wide.First = 1, time.Now().Add(2*time.Second).UnixMilli()
	r.fleet.RecordSubmission(wide)
	var wait sync.WaitGroup
	small := make([]string, 0, smallJobs)
	r.fleet.RecordSubmission(large)
	wait.Go(func() {
		if err := eng.Submit(t.Context(), large); err != engine.ErrTooLarge {
			t.Errorf("large job: %v", err)
		}
		r.fleet.RecordRefusal(large.ID)
	})
	wait.Go(func() {
		if err := eng.Submit(t.Context(), wide); err != nil {
			t.Errorf("wide job: %v", err)
		}
	})
	for i := range smallJobs {
		id := fmt.Sprintf("small%d-%d", round, i)
		small = append(small, id)
		j := wideJob(id, 2)
		r.fleet.RecordSubmission(j)
		wait.Go(func() {
			if err := eng.Submit(t.Context(), j); err != nil {
				t.Errorf("job %s: %v", id, err)
			}
		})
	}
	wait.Wait()

	return small
}

// TestRefusedHandin guards the stand-in: an append that is too large is refused for good, by the error
// that tells so.
func TestRefusedHandin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		defer r.stop()
		err := r.writeHandinRecords(t.Context(), store.Record{Key: "k", Value: make([]byte, 300<<10)})
		require.ErrorIs(t, err, store.ErrInvalid)
		require.ErrorIs(t, err, store.ErrRefused)
	})
}
