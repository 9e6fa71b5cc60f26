package plan_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"sesameyoke/internal/core/plan"
)

// BenchmarkPolicies replays the traces of both deployments through all policies
// and prints one line for each. "make bench" runs it.
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
	bound := t.bound()
	var out strings.Builder
	for _, mode := range []string{"fcfs", "skip", "best", "easy", "ours"} {
		if only := os.Getenv("POLICY"); only != "" && only != mode {
			continue
		}
		var p policy = newNaive(t.rules, mode)
		if mode == "ours" {
			p = plan.New(t.rules)
		}
		f := newReplay(t, p).all(nil)
		fmt.Fprintf(&out, "deployment=%s load=%.2f seed=%d policy=%s mean=%.0f p95=%.0f slow=%.2f largewait=%.0f "+
			"frag=%.3f reclaimmax=%.1f lost=%.4f bound=%.0f ratio=%.3f urgentmax=%.1f unfinished=%d\n",
			name, load, seed, mode, f.mean, f.p95, f.slow, f.largewait, f.frag, f.reclaim, f.lost, bound,
			f.mean/bound, f.urgent, f.unfinished)
	}

	return out.String()
}

func envInt(name string, def int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}

	return def
}
