package engine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

// TestAdvisedGang submits a gang to an advised queue, of which a fifth of the workers may run
// tasks: enough for it, but not among those named in one request. It guards against a gang that
// waits on an idle fleet because some workers with tickets have room for some of its tasks.
func TestAdvisedGang(t *testing.T) {
	for _, count := range []int{4, 8, 10, 20} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1)
				defer r.stop()
				r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 5 * time.Second, target.Done }
				r.fleet.Ticketed = map[string]bool{}
				for i := range 200 {
					id := fmt.Sprintf("k%d", i)
					r.fleet.Add(id, "s", fmt.Sprintf("r%d", i%4), work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
					r.fleet.Ticketed[id] = i%5 == 0
				}
				for _, n := range []string{"a", "b"} {
					r.start(n)
				}
				time.Sleep(2 * time.Second)
				require.True(t, r.submit(work.Job{ID: "j", Queue: "advised", Workspace: "w", Spec: "x", Steps: []work.Step{
					{Count: count, Need: work.Shape{CPU: 1000, Accelerators: 8}, Estimate: 5000, Gang: true}}}))
				began := time.Now()
				for time.Since(began) < 40*time.Second && len(r.fleet.Runs()) == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				require.Less(t, time.Since(began), 5*time.Second)
			})
		})
	}
}

// TestAdvisedSilentWorker guards against a gang that waits because workers with tickets are
// silent but listed, while enough others may run it too.
func TestAdvisedSilentWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		defer r.stop()
		r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 5 * time.Second, target.Done }
		r.fleet.Ticketed = map[string]bool{}
		for i := range 60 {
			id := fmt.Sprintf("k%d", i)
			r.fleet.Add(id, "s", "r0", work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
			r.fleet.Ticketed[id] = true
			if i%3 > 0 {
				r.fleet.Cut(id, true)
			}
		}
		r.start("a")
		time.Sleep(2 * time.Second)
		require.True(t, r.submit(work.Job{ID: "j", Queue: "advised", Workspace: "w", Spec: "x", Steps: []work.Step{
			{Count: 15, Need: work.Shape{CPU: 1000, Accelerators: 8}, Estimate: 5000, Gang: true}}}))
		began := time.Now()
		for time.Since(began) < 40*time.Second && len(r.fleet.Runs()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		require.Less(t, time.Since(began), 5*time.Second)
	})
}
