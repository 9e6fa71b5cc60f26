package engine_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/engine"
)

// mutationSeeds is the largest number of seeds that are run to detect a mutation.
const mutationSeeds = 400

// mutation disables one safety mechanism of an engine.
type mutation struct {
	name            string
	config          func(c *engine.Config)
	schedulingDelay time.Duration // reported by all VMs; 0 for that of the emulated processor
}

var mutations = []mutation{
	{name: "store fencing", config: withoutStoreFence},
	{name: "durable end before its acknowledgement", config: withEarlyAcks},
}

// TestSequencesDetectMutations runs the random sequences with one safety mechanism disabled.
// It guards against checks that miss violations: they must find one in at most mutationSeeds
// sequences.
func TestSequencesDetectMutations(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			for seed := uint64(1); seed <= mutationSeeds; seed++ {
				var violations []string
				synctest.Test(t, func(t *testing.T) { violations, _ = runSequence(t, seed, m, func(*rig) {}) })
				if len(violations) > 0 {
					t.Logf("seed %d: %s", seed, violations[0])

					return
				}
			}
			require.Fail(t, "mutation not detected", "%d seeds without %s", mutationSeeds, m.name)
		})
	}
}

// TestPausedBeforeStart freezes a planner between a durable assignment and the start order,
// until its successor has reassigned the task. The workers' fencing must reject the stale
// order. With fencing disabled, the task runs twice.
func TestPausedBeforeStart(t *testing.T) {
	require.Empty(t, runFirstStart(t, func(*engine.Config) {}, pauseStart))
	require.NotEmpty(t, runFirstStart(t, withoutWorkerFence, pauseStart))
}

// TestLateStart delivers a start after its worker was unreachable for longer than a lease.
// By then the task has been started elsewhere. The worker must reject the start because its
// deadline has passed. With a later deadline, the task runs twice.
func TestLateStart(t *testing.T) {
	require.Empty(t, runFirstStart(t, func(*engine.Config) {}, delayStart))
	require.NotEmpty(t, runFirstStart(t, withoutDeadline, delayStart))
}

// TestSilentWorker makes a worker unreachable and kills the planner. The successor must wait
// until the worker's lease has expired before it starts the task elsewhere. Without that
// wait, the task runs twice.
func TestSilentWorker(t *testing.T) {
	require.Empty(t, runSilentWorker(t, func(*engine.Config) {}))
	require.NotEmpty(t, runSilentWorker(t, func(c *engine.Config) { c.Timing.PredecessorValidity = -time.Hour }))
}

// runSilentWorker runs the sequence of TestSilentWorker. It returns the violations in the
// workers' journal.
func runSilentWorker(t *testing.T, modify func(c *engine.Config)) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.mutation.config = modify
		r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 20 * time.Second, target.Done }
		for _, k := range []string{"k0", "k1"} {
			r.fleet.Add(k, "s", "r0", work.Shape{CPU: 8000, Memory: 8000, Accelerators: 8})
		}
		r.start("a")
		r.start("b")
		time.Sleep(time.Minute) // a worker that may have just restarted gets a longer wait of its own
		r.submit(work.Job{
			ID: "j", Queue: "batch", Workspace: "w", Spec: "x",
			Steps: []work.Step{{Count: 1, Need: work.Shape{Accelerators: 8}, Estimate: 20000}},
		})
		time.Sleep(time.Second)
		r.fleet.Cut(r.fleet.Runs()[0].Worker, true)
		name, _ := r.planner()
		r.kill(name)
		time.Sleep(40 * time.Second)
		r.stop()
		violations = r.fleet.Violations()
	})

	return violations
}

// startCall sends a start to a worker.
type startCall func(ctx context.Context, a target.Address, s target.Start) (int64, error)

// pauseStart freezes the planner before a start and resumes it 4 s later, which sends the
// start.
func pauseStart(r *rig, start startCall) startCall {
	return func(ctx context.Context, a target.Address, s target.Start) (int64, error) {
		name, _ := r.planner()
		r.freeze(name)
		r.fleet.Drain(a.ID, 0) // the successor chooses the other worker
		go func() {
			time.Sleep(4 * time.Second)
			r.thaw(name)
		}()

		return start(context.WithoutCancel(ctx), a, s)
	}
}

// delayStart makes the worker unreachable and delivers the start 9 s later.
func delayStart(r *rig, start startCall) startCall {
	return func(ctx context.Context, a target.Address, s target.Start) (int64, error) {
		r.fleet.Cut(a.ID, true)
		go func() {
			time.Sleep(9 * time.Second)
			r.fleet.Cut(a.ID, false)
			_, _ = start(context.WithoutCancel(ctx), a, s) // the caller has given up
		}()
		<-ctx.Done()

		return 0, target.ErrUnknown
	}
}

// runFirstStart runs one job whose first start is replaced by what intercept returns. It
// returns the violations in the workers' journal.
func runFirstStart(t *testing.T, modify func(c *engine.Config), intercept func(*rig, startCall) startCall) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		var once sync.Once
		r.mutation.config = func(c *engine.Config) {
			modify(c)
			w := *c.Workers
			start := w.Start
			w.Start = func(ctx context.Context, a target.Address, s target.Start) (int64, error) {
				call := start
				once.Do(func() { call = intercept(r, start) })

				return call(ctx, a, s)
			}
			c.Workers = &w
		}
		r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 5 * time.Second, target.Done }
		for _, k := range []string{"k0", "k1"} {
			r.fleet.Add(k, "s", "r0", work.Shape{CPU: 8000, Memory: 8000, Accelerators: 8})
		}
		r.start("a")
		r.start("b")
		time.Sleep(time.Second)
		r.submit(work.Job{
			ID: "j", Queue: "batch", Workspace: "w", Spec: "x",
			Steps: []work.Step{{Count: 1, Need: work.Shape{Accelerators: 8}, Estimate: 5000}},
		})
		time.Sleep(20 * time.Second)
		r.stop()
		violations = r.fleet.Violations()
	})

	return violations
}

// withoutWorkerFence makes every planner send the same token to the workers.
func withoutWorkerFence(c *engine.Config) {
	w := *c.Workers
	c.Workers = &target.Client{
		Start: func(ctx context.Context, a target.Address, s target.Start) (int64, error) {
			s.Token = 1

			return w.Start(ctx, a, s)
		},
		Stop: func(ctx context.Context, a target.Address, s target.Stop) (int64, error) {
			s.Token = 1

			return w.Stop(ctx, a, s)
		},
		RenewLease: func(ctx context.Context, a target.Address, l target.LeaseRenewal) (target.Report, error) {
			l.Token = 1

			return w.RenewLease(ctx, a, l)
		},
	}
}

// withoutStoreFence lets a replaced planner go on writing to the store.
func withoutStoreFence(c *engine.Config) {
	s := *c.Store
	c.Store = &store.Store{Read: s.Read, Newest: s.Newest, Append: func(ctx context.Context, a store.Append) (int64, error) {
		a.Producer = ""

		return s.Append(ctx, a)
	}}
}

// withoutDeadline lets starts be executed up to an hour late.
func withoutDeadline(c *engine.Config) {
	w := *c.Workers
	start := w.Start
	w.Start = func(ctx context.Context, a target.Address, s target.Start) (int64, error) {
		s.Deadline += time.Hour.Milliseconds()

		return start(ctx, a, s)
	}
	c.Workers = &w
}

// withEarlyAcks acknowledges ends as soon as they are reported, before they are durable.
func withEarlyAcks(c *engine.Config) {
	var (
		mu         sync.Mutex
		seen       = map[string]int64{}
		w          = *c.Workers
		renewLease = w.RenewLease
	)
	w.RenewLease = func(ctx context.Context, a target.Address, l target.LeaseRenewal) (target.Report, error) {
		mu.Lock()
		l.Acked = max(l.Acked, seen[a.ID])
		mu.Unlock()
		r, err := renewLease(ctx, a, l)
		mu.Lock()
		defer mu.Unlock()
		for _, e := range r.Ended {
			seen[a.ID] = max(seen[a.ID], e.Number)
		}

		return r, err
	}
	c.Workers = &w
}

// TestStaleHandins lets a successor read an outdated HandinTopic, so that it knows the
// progress of a job but not yet the job itself. It must adopt the run that the previous
// planner started, and must not start the task again while that run goes on.
func TestStaleHandins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		defer r.stop()
		r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 6 * time.Second, target.Done }
		r.fleet.Add("k0", "s", "r0", work.Shape{CPU: 8000, Memory: 8000, Accelerators: 8})
		r.fleet.Add("k1", "s", "r0", work.Shape{CPU: 8000, Memory: 8000, Accelerators: 8})
		r.start("a")
		time.Sleep(time.Second)
		j := work.Job{ID: "j1", Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{{Count: 1, Need: work.Shape{Accelerators: 8}}}}
		r.fleet.RecordSubmission(j)
		require.NoError(t, r.writeHandin(context.Background(), j))
		time.Sleep(time.Second)
		require.Len(t, r.fleet.Runs(), 1)
		r.kill("a")
		r.mutation.config = withStaleHandins
		r.start("b")
		time.Sleep(30 * time.Second)
		require.Equal(t, "completed", r.state("j1"))
		require.Empty(t, r.fleet.Violations())
	})
}

// withStaleHandins omits the hand-ins from the listing of HandinTopic, but not from later reads.
func withStaleHandins(c *engine.Config) {
	s := *c.Store
	newest := s.Newest
	s.Newest = func(ctx context.Context, topic string, part int, after string) (store.Page, error) {
		if topic == engine.HandinTopic {
			return store.Page{}, nil
		}

		return newest(ctx, topic, part, after)
	}
	c.Store = &s
}
