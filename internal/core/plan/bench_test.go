package plan_test

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sesameyoke/internal/core/contract"
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/plan"
)

// BenchmarkPolicies replays traces of both deployments with each policy and prints one line
// of results per replay. "make bench" runs it.
func BenchmarkPolicies(b *testing.B) {
	jobs := envInt("JOBS", 4000)
	for b.Loop() {
		var wait sync.WaitGroup
		var lines []chan string
		for _, name := range []string{"baltmala", "cuenca"} {
			for _, load := range []float64{.6, .85, 1.05} {
				for seed := 1; seed <= envInt("SEEDS", 3); seed++ {
					out := make(chan string, 1)
					lines = append(lines, out)
					wait.Go(func() { out <- comparePolicies(name, load, jobs, uint64(seed)) })
				}
			}
		}
		wait.Wait()
		for _, out := range lines {
			fmt.Print(<-out)
		}
	}
}

func comparePolicies(name string, load float64, jobs int, seed uint64) string {
	t := newTrace(name, load, jobs, seed)
	bound := t.meanLowerBound()
	var out strings.Builder
	for _, mode := range []string{"fcfs", "skip", "best", "easy", "ours"} {
		if only := os.Getenv("POLICY"); only != "" && only != mode {
			continue
		}
		var p policy = newNaive(t.config, mode)
		if mode == "ours" {
			p = plan.New(t.config)
		}
		res := newReplay(t, p).playAll(nil)
		fmt.Fprintf(&out, "deployment=%s load=%.2f seed=%d policy=%s mean=%.0f p95=%.0f slow=%.2f largewait=%.0f "+
			"frag=%.3f reclaimmax=%.1f lost=%.4f bound=%.0f ratio=%.3f urgentmax=%.1f unfinished=%d\n",
			name, load, seed, mode, res.mean, res.p95, res.p95Slowdown, res.p95LargeWait, res.fragmentation, res.maxEntitledWait, res.wastedShare, bound,
			res.mean/bound, res.maxUrgentWait, res.unfinished)
	}

	return out.String()
}

func envInt(name string, def int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}

	return def
}

// BenchmarkDecision measures one decision: a job finishes, a new one is submitted, and a
// waiting one is started in its place. All jobs that run have one accelerator. Each worker
// has 16 accelerators, which matches the number of tasks per worker at the target size; 96
// workspaces have waiting jobs of four shapes each.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{50, 500, 5000, 20000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s, running := fullState(workers)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := time.Duration(i+1) * time.Millisecond
				done := running[i%len(running)]
				next := job.Key{Workspace: done.Workspace, ID: fmt.Sprint("n", i)}
				for _, a := range s.Step(now, plan.Event{Kind: plan.Finish, Key: done}, submitOf(next, 1, now)) {
					if a.Kind == plan.Start {
						running[i%len(running)] = a.Key
					}
				}
			}
			b.StopTimer()
			b.ReportMetric(heapPerTask(len(running)), "heap-B/task")
			runtime.KeepAlive(s)
		})
	}
}

// fullState returns a state in which all accelerators are in use and jobs wait, and the keys
// of the running jobs.
func fullState(workers int) (*plan.State, []job.Key) {
	config := plan.Config{Contracts: contract.Book{}}
	config.Policy.Defaults()
	for i := range workers {
		if i%4 == 0 {
			config.Fleet.Racks = append(config.Fleet.Racks, contract.Rack{Name: fmt.Sprint("r", i/4), Region: "r", Domain: "d"})
		}
		r := &config.Fleet.Racks[len(config.Fleet.Racks)-1]
		r.Workers = append(r.Workers, contract.Worker{Name: fmt.Sprint("w", i), Accelerators: 16})
	}
	for w := range 96 {
		c := contract.Contract{Workspace: fmt.Sprint("ws", w), Queue: 1 << 30}
		c.Defaults()
		config.Contracts[c.Workspace] = c
	}
	s := plan.New(config)
	events := make([]plan.Event, 0, workers*16)
	for i := range workers * 16 {
		events = append(events, submitOf(job.Key{Workspace: fmt.Sprint("ws", i%96), ID: fmt.Sprint("t", i)}, 1, 0))
	}
	var running []job.Key
	for _, a := range s.Step(0, events...) {
		if a.Kind == plan.Start {
			running = append(running, a.Key)
		}
	}
	events = make([]plan.Event, 0, 96*4)
	for i := range 96 * 4 {
		k := job.Key{Workspace: fmt.Sprint("ws", i%96), ID: fmt.Sprint("q", i)}
		events = append(events, submitOf(k, 1<<(i/96), 0))
	}
	s.Step(0, events...)

	return s, running
}

func submitOf(k job.Key, size int, now time.Duration) plan.Event {
	return plan.Event{Kind: plan.Submit, Job: plan.Job{
		Key: k, Kind: "k", Shape: job.Shape{Members: 1, Width: size, Adjacent: true}, Preemptible: true,
		Declared: time.Hour, SubmittedAt: now,
	}}
}

func heapPerTask(tasks int) float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)

	return float64(m.HeapAlloc) / float64(tasks)
}
