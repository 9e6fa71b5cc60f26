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

// TestUnreadableSilentRecord guards against a record in another version's format that ends the
// wait for the lease of a silent worker.
func TestUnreadableSilentRecord(t *testing.T) {
	for _, content := range []string{"", "\xff\xff", "\x83\x01\xa0\x00"} {
		t.Run(fmt.Sprintf("%x", content), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1)
				r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 60 * time.Second, target.Done }
				capacity := work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8}
				r.fleet.Add("k0", "s", "r0", capacity)
				r.start("b")
				time.Sleep(time.Second)
				r.start("a")
				time.Sleep(2 * time.Second)
				require.True(t, r.submit(work.Job{ID: "j", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 1, Need: work.Shape{CPU: 1000}, Estimate: 40000}}}))
				time.Sleep(2 * time.Second)
				require.Len(t, r.fleet.Runs(), 1)
				if content != "" {
					r.store.Put(engine.JobsTopic, work.Key(work.SilentRecord, ""), []byte(content))
				}
				r.fleet.Cut("k0", true)
				r.fleet.Add("k1", "s", "r0", capacity)
				name, _ := r.planner()
				r.kill(name)
				time.Sleep(40 * time.Second)
				r.stop()
				require.Empty(t, r.fleet.Violations())
			})
		})
	}
}
