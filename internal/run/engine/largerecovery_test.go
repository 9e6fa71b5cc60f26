package engine_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/run/engine"
)

const (
	weakLink = 10_000_000 / 8 // bytes per second
	// maxLargeRecovery is the longest permitted time until a weak VM that starts first plans,
	// beyond the time in which its link transfers all jobs.
	maxLargeRecovery = 4 * time.Second
)

// TestLargeRecovery starts a weak VM while the store holds many jobs, and measures how long
// it takes to plan. It guards against a recovery that never ends because one attempt must
// read everything in a fixed time.
func TestLargeRecovery(t *testing.T) {
	for _, topic := range []string{engine.HandinTopic, engine.JobsTopic} {
		for _, n := range []int{250, 500, 750, 1000, 2000, 4000} {
			t.Run(fmt.Sprintf("%s/%d", topic, n), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runLargeRecovery(t, topic, n, 1000) })
			})
		}
		t.Run(topic+"/largest", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runLargeRecovery(t, topic, 1000, 3900) })
		})
	}
}

// runLargeRecovery starts a weak VM, and two that it can reach the store through, while a
// topic holds n jobs with specifications of the given size.
func runLargeRecovery(t *testing.T, topic string, n, specBytes int) {
	r := newRig(t, 1)
	defer r.stop()
	r.store.PageSize = 500
	for i := range 4 {
		r.fleet.Add(fmt.Sprintf("k%d", i), "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
	}
	size := r.putJobs(t, topic, n, specBytes)
	for _, name := range []string{"a", "b", "c"} {
		r.cores[name] = 0.2
		r.store.Limit(name, weakLink)
		r.start(name)
	}
	limit := maxLargeRecovery + time.Duration(size)*time.Second/weakLink
	began := time.Now()
	for time.Since(began) < 30*time.Second && !r.hasNewPlanner(nil) {
		time.Sleep(time.Millisecond)
	}
	took := time.Since(began)
	if os.Getenv("SESAMEYOKE_FIGURES") != "" {
		fmt.Printf("topic=%s jobs=%d spec=%d bytes=%d took=%v limit=%v\n", topic, n, specBytes, size, took, limit)
	}
	require.Less(t, took, limit)
}

// putJobs writes n cancelled jobs to a topic and returns the size of their records.
func (r *rig) putJobs(t *testing.T, topic string, n, specBytes int) int {
	size := 0
	for i := range n {
		j := work.Job{
			ID: fmt.Sprintf("%016x", i), Queue: "batch", Workspace: "w", Spec: strings.Repeat("x", specBytes), Sent: time.Now().UnixMilli(),
			Steps: []work.Step{{Count: 10, Need: work.Shape{CPU: 1000, Memory: 1000, Accelerators: 1}, Estimate: 2000}},
		}
		b, err := work.Encode(j)
		require.NoError(t, err)
		p, err := work.Encode(work.Progress{Phase: work.Cancelled, Ended: j.Sent})
		require.NoError(t, err)
		r.store.Put(topic, work.Key(work.OpenRecord, j.ID), b)
		r.store.Put(engine.JobsTopic, work.Key(work.ProgressRecord, j.ID), p)
		size += len(b) + len(p)
	}

	return size
}

// TestLargeBacklog cuts the planner's VM, which is weak, off from the hand-ins until the
// records after its offset have expired and many jobs are handed in. It guards against a
// planner that never knows them, because it must read all hand-ins in a fixed time.
func TestLargeBacklog(t *testing.T) {
	for _, kept := range []time.Duration{time.Hour, time.Second} {
		t.Run(kept.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runLargeBacklog(t, kept) })
		})
	}
}

// runLargeBacklog keeps records for the given time.
func runLargeBacklog(t *testing.T, kept time.Duration) {
	r := newRig(t, 1)
	defer r.stop()
	r.store.PageSize, r.store.Retention = 500, kept
	r.fleet.Add("k0", "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
	r.cores["a"] = 0.2
	r.store.Limit("a", weakLink)
	r.start("a")
	time.Sleep(2 * time.Second)
	r.store.Cut("a", true)
	time.Sleep(1500 * time.Millisecond) // until the read that waits has ended
	r.putJobs(t, engine.HandinTopic, 2000, 1500)
	j := work.Job{ID: "g", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 1}}}
	r.fleet.RecordSubmission(j)
	require.NoError(t, r.writeHandin(t.Context(), j))
	time.Sleep(1500 * time.Millisecond)
	r.store.Cut("a", false)
	began := time.Now()
	for time.Since(began) < 30*time.Second && len(r.fleet.Runs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	if os.Getenv("SESAMEYOKE_FIGURES") != "" {
		fmt.Printf("kept=%v read after %v\n", kept, time.Since(began))
	}
	require.Less(t, time.Since(began), 12*time.Second)
}
