package engine_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/policy"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/run/engine"
	"sesameyoke/internal/standin/fleet"
)

// TestLongQueueName removes a queue whose name is longer than a key of the store may be, and loses the
// planner. It guards against an accepted job that never goes on because nobody knows its queue any
// more, and against records of the queue that are kept for ever.
func TestLongQueueName(t *testing.T) {
	for _, handin := range []bool{false, true} {
		t.Run(fmt.Sprintf("handin=%v", handin), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runLongQueueName(t, handin) })
		})
	}
}

func runLongQueueName(t *testing.T, handin bool) {
	r := newRig(t, 1)
	defer r.stop()
	name := strings.Repeat("q", 300)
	p := *r.policy.Load()
	p.Version++
	p.Queues = append(p.Queues, policy.Queue{Name: name, Service: "s", Priority: 1, Attempts: fleet.Attempts, Stretch: 3})
	r.setPolicy(&p)
	r.fleet.Add("k0", "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
	for _, n := range []string{"a", "b"} {
		r.start(n)
		time.Sleep(time.Second)
	}
	j := work.Job{ID: "j", Queue: name, Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 1}, {Count: 1, After: []int{0}}}}
	if handin {
		r.fleet.RecordSubmission(j)
		require.NoError(t, r.writeHandin(t.Context(), j))
	} else {
		require.True(t, r.submit(j))
	}
	time.Sleep(time.Second)
	r.removeQueues([]string{name})
	planner, _ := r.planner()
	r.kill(planner)
	time.Sleep(15 * time.Second)
	require.Equal(t, "completed", r.state("j"))
	time.Sleep(10 * time.Minute)
	require.Empty(t, queueKeys(r, engine.JobsTopic))
	require.Empty(t, queueKeys(r, engine.HandinTopic))
}

// queueKeys returns the keys of the records of queues in a topic.
func queueKeys(r *rig, topic string) []string {
	var keys []string
	for _, key := range r.store.Keys(topic) {
		if kind, _ := work.ParseKey(key); kind == work.QueueRecord {
			keys = append(keys, key)
		}
	}

	return keys
}
