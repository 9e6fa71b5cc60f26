package engine_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/cloud"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/engine"
)

const lateWaveSeeds = 20 // seeds of TestLateMaintenanceAfterTakeover

// TestLateMaintenanceAfterTakeover kills the planner while its order to take a host down has no
// answer yet. The order is carried out seconds later. It guards against a successor that does
// not count it: no more hosts than allowed may be down at once, and the wave must end.
func TestLateMaintenanceAfterTakeover(t *testing.T) {
	for seed := range uint64(lateWaveSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runLateWave(t, seed, func(*rig) {}) })
		})
	}
}

// TestLateMaintenanceUnreadableRecord is TestLateMaintenanceAfterTakeover with a record of the wave or
// of its orders that can't be read. It guards against a successor that takes that of the orders for an
// empty one, and against a wave that does not end.
func TestLateMaintenanceUnreadableRecord(t *testing.T) {
	for _, suffix := range []string{"", "/orders"} {
		for seed := range uint64(lateWaveSeeds) {
			t.Run(fmt.Sprintf("wave%s/%d", suffix, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					runLateWave(t, seed, func(r *rig) { r.store.Put(engine.JobsTopic, work.WaveKey(1)+suffix, []byte("\xff\xff")) })
				})
			})
		}
	}
}

// runLateWave runs a case, and calls lost when the planner is lost.
func runLateWave(t *testing.T, seed uint64, lost func(r *rig)) {
	r := newRig(t, seed)
	sent := make(chan struct{})
	delay := 2*time.Second + time.Duration(seed)*500*time.Millisecond
	r.mutation.config = func(c *engine.Config) {
		if c.Lease.Token == 1 {
			c.Cloud = delayMaintenance(c.Cloud, delay, sent)
		}
	}
	r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 20 * time.Second, target.Done }
	for i := range 4 {
		r.fleet.Add(fmt.Sprintf("k%d", i), "s", fmt.Sprintf("r%d", i), work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
	}
	r.start("a")
	time.Sleep(10 * time.Second)
	r.start("b")
	r.fleet.RequestMaintenance(cloud.Wave{Number: 1, TimeLimit: time.Minute, MaxDown: 1, Hosts: []string{"h-k0", "h-k1", "h-k2"}})
	<-sent
	time.Sleep(100 * time.Millisecond)
	r.kill("a")
	lost(r)
	// The successor takes the other hosts down first, while the first one has a run.
	require.True(t, r.submit(work.Job{
		ID: "j", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 1, Need: work.Shape{CPU: 1000}, Estimate: 20000, Rack: "r0"}},
	}))
	time.Sleep(2 * time.Minute)
	state, n := r.fleet.WaveState(1)
	r.stop()
	require.Empty(t, r.fleet.Violations())
	require.NotContains(t, r.store.Keys(engine.JobsTopic), work.WaveKey(1)+"/orders")
	require.Equal(t, "done, 3 hosts", fmt.Sprintf("%s, %d hosts", state, n))
}

// delayMaintenance returns a client whose first order gets no answer and is carried out after the
// delay. It closes sent when that is sent.
func delayMaintenance(c *cloud.Client, delay time.Duration, sent chan struct{}) *cloud.Client {
	var first sync.Once
	delayed := *c
	delayed.Maintain = func(ctx context.Context, o cloud.Order, wave int) (err error) {
		first.Do(func() {
			close(sent)
			go func() {
				time.Sleep(delay)
				_ = c.Maintain(context.Background(), o, wave) // nobody waits for the answer
			}()
			<-ctx.Done()
			err = cloud.ErrUnknown
		})
		if err != nil {
			return err
		}

		return c.Maintain(ctx, o, wave)
	}

	return &delayed
}
