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

// TestLargeAppends lets the records of 1,500 jobs change, and expire, at the same time, with a store
// that accepts small appends. It guards against an append that is refused for good, which holds up
// everybody's work: of what is written, and of what is deleted from either topic.
func TestLargeAppends(t *testing.T) {
	for _, handin := range []bool{false, true} {
		t.Run(fmt.Sprintf("handin=%v", handin), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runLargeAppends(t, handin) })
		})
	}
}

func runLargeAppends(t *testing.T, handin bool) {
	const jobs, recordBytes, appendBytes = 1500, 9000, 36000
	r := newRig(t, 1)
	defer r.stop()
	r.store.RecordMax, r.store.AppendMax = recordBytes, appendBytes
	r.mutation.config = func(c *engine.Config) { c.RecordBytes, c.RequestBytes = recordBytes, appendBytes }
	for i := range 4 {
		r.fleet.Add(fmt.Sprintf("k%d", i), "s", "r0", work.Shape{CPU: 1 << 30, Memory: 1 << 30, Accelerators: 8})
	}
	r.start("a")
	time.Sleep(time.Second)
	ids := make([]string, jobs)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i)
		j := work.Job{ID: ids[i], Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 1}}}
		if handin {
			r.fleet.RecordSubmission(j)
			require.NoError(t, r.writeHandin(t.Context(), j))
		} else {
			go r.submit(j)
		}
	}
	time.Sleep(time.Minute)
	for _, id := range ids {
		require.Equal(t, "completed", r.state(id))
	}
	r.kill("a")
	time.Sleep(5 * time.Minute) // all expire
	r.start("b")
	time.Sleep(30 * time.Second)
	require.True(t, r.submit(work.Job{ID: "after", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 1}}}))
	time.Sleep(10 * time.Second)
	require.Equal(t, "completed", r.state("after"))
	require.Less(t, len(r.store.Keys(engine.JobsTopic))+len(r.store.Keys(engine.HandinTopic)), 10)
}

// TestLargeAppendsOnWeakLink lets the state of wide jobs change together, while the planner's VM and the
// other one have a link that is weak and shared. It guards against an append that takes longer than its timeout, each time
// it is repeated, and holds up everybody's work.
func TestLargeAppendsOnWeakLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		defer r.stop()
		r.fleet.EndsPerReport = 500
		for i := range 4 {
			r.fleet.Add(fmt.Sprintf("%d%s", i, strings.Repeat("k", 200)), "s", "r0", work.Shape{CPU: 1 << 30, Memory: 1 << 30, Accelerators: 8})
		}
		for _, name := range []string{"a", "b"} {
			r.store.Limit(name, weakLink/2)
			r.start(name)
			time.Sleep(time.Second)
		}
		for i := range 2 {
			require.True(t, r.submit(wideJob(fmt.Sprintf("wide%d", i), 2000)))
		}
		time.Sleep(5 * time.Second)
		require.True(t, r.submit(wideJob("small", 1)))
		time.Sleep(time.Minute)
		for _, id := range []string{"small", "wide0", "wide1"} {
			require.Equal(t, "completed", r.state(id))
		}
		require.Empty(t, r.fleet.Violations())
	})
}
