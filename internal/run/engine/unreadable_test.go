package engine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/engine"
)

// TestUnreadableJob lets a planner find a record of a job that it can't read, as that of a later
// version, while the job's tasks run and end. It guards against a planner that runs the job again, or
// acknowledges its ends: the next one, which can read the record, goes on from there.
func TestUnreadableJob(t *testing.T) {
	for _, kind := range []work.Kind{work.ProgressRecord, work.OpenRecord} {
		for _, content := range []string{"\xff\x82\x02\x03", "\x83\x01\xf5\x00"} {
			for _, length := range []time.Duration{6 * time.Second, 20 * time.Second} {
				t.Run(fmt.Sprintf("%d/%x/%v", kind, content, length), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runUnreadable(t, kind, []byte(content), length, true) })
				})
			}
		}
	}
}

// TestUnreadableJobFails is TestUnreadableJob with a record that no planner can read. It guards against
// a job that is on hold for ever, with the ends of others' tasks behind its own.
func TestUnreadableJobFails(t *testing.T) {
	for _, kind := range []work.Kind{work.ProgressRecord, work.OpenRecord} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runUnreadable(t, kind, []byte("\xff"), 6*time.Second, false) })
		})
	}
}

// runUnreadable replaces a record of a job while its tasks, which take the given time, run, and loses
// the planner. If the record is to be readable again, it is before the next loss.
func runUnreadable(t *testing.T, kind work.Kind, content []byte, length time.Duration, readable bool) {
	const tasks = 8
	r := newRig(t, 1)
	defer r.stop()
	r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return length, target.Done }
	for i := range 2 {
		r.fleet.Add(fmt.Sprintf("k%d", i), "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
	}
	for _, n := range []string{"a", "b", "c"} {
		r.start(n)
		time.Sleep(time.Second)
	}
	key := work.Key(kind, "held")
	require.True(t, r.submit(wideJob("held", tasks)))
	require.True(t, r.submit(wideJob("other", tasks)))
	time.Sleep(4 * time.Second)
	before := r.store.Value(engine.JobsTopic, key)
	require.NotEmpty(t, before)
	r.store.Put(engine.JobsTopic, key, content)
	name, _ := r.planner()
	r.kill(name)
	time.Sleep(10 * time.Second)
	require.NotEqual(t, "job is not known", r.state("held"))
	require.Equal(t, content, r.store.Value(engine.JobsTopic, key))
	if readable {
		r.store.Put(engine.JobsTopic, key, before)
		name, _ = r.planner()
		r.kill(name)
	}
	time.Sleep(time.Minute)
	require.Equal(t, "completed", r.state("other"))
	require.True(t, r.submit(wideJob("later", tasks)))
	time.Sleep(time.Minute)
	require.Equal(t, "completed", r.state("later"))
	want := "completed"
	if !readable {
		want = "failed"
		if kind == work.OpenRecord {
			r.store.Put(engine.JobsTopic, key, before)
		}
		name, _ = r.planner()
		r.kill(name)
		r.start(name)
		time.Sleep(20 * time.Second)
	}
	require.Equal(t, want, r.state("held"))
	require.Equal(t, fmt.Sprintf("%d runs, 0 discarded", tasks), r.countRuns("held"))
	require.Empty(t, r.fleet.Violations())
}

// TestUnreadableQueue replaces the record of a queue by one that can't be read, and loses the planner. It
// guards against jobs that wait for it while the configuration has the queue.
func TestUnreadableQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		defer r.stop()
		r.fleet.Add("k0", "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
		for _, n := range []string{"a", "b"} {
			r.start(n)
			time.Sleep(time.Second)
		}
		j := wideJob("j", 1)
		j.Steps = append(j.Steps, work.Step{Count: 1, After: []int{0}})
		require.True(t, r.submit(j))
		r.store.Put(engine.JobsTopic, work.Key(work.QueueRecord, "batch"), []byte("\xff"))
		name, _ := r.planner()
		r.kill(name)
		time.Sleep(20 * time.Second)
		require.Equal(t, "completed", r.state("j"))
		require.Empty(t, r.fleet.Violations())
	})
}
