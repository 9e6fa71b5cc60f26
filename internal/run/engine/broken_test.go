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

// catchSeeds are played at most until a missing mechanism shows.
const catchSeeds = 400

// breakage takes a mechanism out of an engine.
type breakage struct {
	name   string
	config func(c *engine.Config)
}

var breakages = []breakage{
	{"store's fence", withoutStoreFence},
	{"durable end before its acknowledgement", withEarlyAcks},
}

// TestSequencesCatch plays the random sequences with one mechanism taken out.
// The checks must find that.
func TestSequencesCatch(t *testing.T) {
	for _, b := range breakages {
		t.Run(b.name, func(t *testing.T) {
			for seed := uint64(1); seed <= catchSeeds; seed++ {
				var faults []string
				synctest.Test(t, func(t *testing.T) { faults, _ = playSequence(t, seed, b) })
				if len(faults) > 0 {
					t.Logf("seed %d: %s", seed, faults[0])

					return
				}
			}
			require.Fail(t, "nothing found", "%d seeds without %s", catchSeeds, b.name)
		})
	}
}

// TestPausedBeforeStart freezes a planner after an assignment is durable and
// before the order goes out, until its successor has assigned the task anew. The
// workers' fence must keep the order out; without it the task runs twice.
func TestPausedBeforeStart(t *testing.T) {
	require.Empty(t, playStart(t, func(*engine.Config) {}, pauseStart))
	require.NotEmpty(t, playStart(t, withoutWorkerFence, pauseStart))
}

// TestLateStart has a start executed after its worker was cut off for longer than
// a lease. Its deadline must keep it out; without it the task runs twice.
func TestLateStart(t *testing.T) {
	require.Empty(t, playStart(t, func(*engine.Config) {}, delayStart))
	require.NotEmpty(t, playStart(t, withoutDeadline, delayStart))
}

// TestSilentWorker cuts a worker off and kills the planner. The successor must
// wait for the worker's lease; without that the task runs twice.
func TestSilentWorker(t *testing.T) {
	require.Empty(t, playSilent(t, func(*engine.Config) {}))
	require.NotEmpty(t, playSilent(t, func(c *engine.Config) { c.Timing.Overrun = -time.Hour }))
}

func playSilent(t *testing.T, tweak func(c *engine.Config)) (faults []string) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.broken.config = tweak
		r.fleet.Outcome = func(work.Task, int64, string) (time.Duration, target.How) { return 20 * time.Second, target.Done }
		for _, k := range []string{"k0", "k1"} {
			r.fleet.Add(k, "s", "r0", work.Shape{CPU: 8000, Memory: 8000, Accelerators: 8})
		}
		r.start("a")
		r.start("b")
		time.Sleep(time.Second)
		r.submit(work.Job{
			ID: "j", Queue: "batch", Workspace: "w", Spec: "x",
			Steps: []work.Step{{Count: 1, Need: work.Shape{Accelerators: 8}, Estimate: 20000}},
		})
		time.Sleep(time.Second)
		r.fleet.Cut(r.fleet.Entries()[0].Worker, true)
		name, _ := r.planner()
		r.kill(name)
		time.Sleep(40 * time.Second)
		r.stop()
		faults = r.fleet.Check()
	})

	return faults
}

// startCall is one start on its way to a worker.
type startCall func(ctx context.Context, a target.Address, s target.Start) (int64, error)

func pauseStart(r *rig, start startCall) startCall {
	return func(ctx context.Context, a target.Address, s target.Start) (int64, error) {
		name, _ := r.planner()
		r.freeze(name)
		r.fleet.Drain(a.ID, 0) // the successor takes the other worker
		go func() {
			time.Sleep(4 * time.Second)
			r.thaw(name)
		}()

		return start(context.WithoutCancel(ctx), a, s)
	}
}

func delayStart(r *rig, start startCall) startCall {
	return func(ctx context.Context, a target.Address, s target.Start) (int64, error) {
		r.fleet.Cut(a.ID, true)
		go func() {
			time.Sleep(9 * time.Second)
			r.fleet.Cut(a.ID, false)
			_, _ = start(context.WithoutCancel(ctx), a, s) // nobody waits for the outcome any more
		}()
		<-ctx.Done()

		return 0, target.ErrUnknown
	}
}

// playStart treats the first start in the given way and returns what went wrong.
func playStart(t *testing.T, tweak func(c *engine.Config), treat func(*rig, startCall) startCall) (faults []string) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		var once sync.Once
		r.broken.config = func(c *engine.Config) {
			tweak(c)
			w := *c.Workers
			start := w.Start
			w.Start = func(ctx context.Context, a target.Address, s target.Start) (int64, error) {
				call := start
				once.Do(func() { call = treat(r, start) })

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
		faults = r.fleet.Check()
	})

	return faults
}

// withoutWorkerFence gives every planner the same token at the workers.
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
		Hold: func(ctx context.Context, a target.Address, h target.Hold) (target.Report, error) {
			h.Token = 1

			return w.Hold(ctx, a, h)
		},
	}
}

// withoutStoreFence lets a planner that has been replaced go on writing.
func withoutStoreFence(c *engine.Config) {
	s := *c.Store
	c.Store = &store.Store{Read: s.Read, Newest: s.Newest, Append: func(ctx context.Context, a store.Append) (int64, error) {
		a.Producer = ""

		return s.Append(ctx, a)
	}}
}

// withoutDeadline lets starts be executed however late.
func withoutDeadline(c *engine.Config) {
	w := *c.Workers
	start := w.Start
	w.Start = func(ctx context.Context, a target.Address, s target.Start) (int64, error) {
		s.Deadline += time.Hour.Milliseconds()

		return start(ctx, a, s)
	}
	c.Workers = &w
}

// withEarlyAcks acknowledges ends as soon as they are listed.
func withEarlyAcks(c *engine.Config) {
	var (
		mu   sync.Mutex
		seen = map[string]int64{}
		w    = *c.Workers
		hold = w.Hold
	)
	w.Hold = func(ctx context.Context, a target.Address, h target.Hold) (target.Report, error) {
		mu.Lock()
		h.Acked = max(h.Acked, seen[a.ID])
		mu.Unlock()
		r, err := hold(ctx, a, h)
		mu.Lock()
		defer mu.Unlock()
		for _, e := range r.Ended {
			seen[a.ID] = max(seen[a.ID], e.Number)
		}

		return r, err
	}
	c.Workers = &w
}

// TestStaleHandins has a successor that reads what entry VMs wrote before the
// planner before has taken that in: it knows the progress of a job and not the job.
// The task must not be started again beside the run that its predecessor began.
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
		r.fleet.Submitted(j)
		require.NoError(t, r.direct(context.Background(), work.Key(work.OpenRecord, "j1"), j))
		time.Sleep(time.Second)
		require.Len(t, r.fleet.Entries(), 1)
		r.kill("a")
		r.broken.config = withStaleHandins
		r.start("b")
		time.Sleep(30 * time.Second)
		require.Equal(t, "completed", r.state("j1"))
		require.Empty(t, r.fleet.Check())
	})
}

// withStaleHandins lists no hand-in, and reads them all after that.
func withStaleHandins(c *engine.Config) {
	s := *c.Store
	newest := s.Newest
	s.Newest = func(ctx context.Context, topic, after string) (store.Page, error) {
		if topic == engine.HandinTopic {
			return store.Page{}, nil
		}

		return newest(ctx, topic, after)
	}
	c.Store = &s
}
