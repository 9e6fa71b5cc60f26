package serve_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/ledger"
	"sesameyoke/internal/peer/worker"
	"sesameyoke/internal/run/gang"
	"sesameyoke/internal/run/serve"
	standinworker "sesameyoke/internal/standin/worker"
)

var errLost = errors.New("message dropped by the test")

type (
	// faultInjector injects faults at random: it drops messages, delays planners, kills VMs,
	// restarts and silences workers, and makes the log unavailable.
	faultInjector struct {
		mu  sync.Mutex
		rng *rand.Rand
	}

	// outcome is the result of one call of runFaults.
	outcome struct {
		violations []string
		answers    map[code.Code]int
		unanswered int
		recovery   []time.Duration // from submission to answer
	}
)

func (c *faultInjector) chance(probability float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.rng.Float64() < probability
}

func (c *faultInjector) randomDuration(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()

	return time.Duration(c.rng.Int64N(int64(d)))
}

// wrapCalls drops one in twenty requests and one in ten replies. At random, it also delays
// the protocol after a step, in some cases for longer than the TTL of a reservation.
func (c *faultInjector) wrapCalls(calls gang.Calls) gang.Calls {
	calls.Reserve = lossy(c, calls.Reserve)
	calls.Arm = lossy(c, calls.Arm)
	calls.Go = lossy(c, calls.Go)
	calls.Release = lossy(c, calls.Release)
	calls.Stop = lossy(c, calls.Stop)
	calls.AfterStep = func(string) {
		if c.chance(.15) {
			time.Sleep(c.randomDuration(1200 * time.Millisecond))
		}
	}

	return calls
}

func lossy[In, Out any](c *faultInjector, f func(context.Context, string, In) (Out, error)) func(context.Context, string, In) (Out, error) {
	return func(ctx context.Context, w string, in In) (Out, error) {
		var none Out
		if c.chance(.05) {
			return none, errLost
		}
		out, err := f(ctx, w, in)
		if c.chance(.1) {
			return none, errLost
		}

		return out, err
	}
}

// runFaults submits non-idempotent jobs and gangs while VMs are killed and replaced,
// the log becomes unavailable and loses replies, and workers restart and stop
// answering. mutate, if not nil, wraps the planners' calls to disable a safety mechanism.
func runFaults(t *testing.T, seed uint64, timeout time.Duration, mutate func(gang.Calls) gang.Calls) outcome {
	c := &faultInjector{rng: rand.New(rand.NewPCG(seed, 3))}
	wrap := func(calls gang.Calls) gang.Calls {
		if mutate != nil {
			calls = mutate(calls)
		}

		return c.wrapCalls(calls)
	}
	tc := newTestCluster(t, 4, basicContract("a"))
	tc.start("v0", wrap)
	tc.start("v1", wrap)
	stop := make(chan struct{})
	var wait, faults sync.WaitGroup
	faults.Go(func() { c.injectFaults(tc, wrap, stop) })

	out := outcome{answers: map[code.Code]int{}}
	var mu sync.Mutex
	jobs := make([]job.Job, 10)
	answers := make([]job.Answer, len(jobs))
	for i := range jobs {
		jobs[i] = nonIdempotent(jobOf("a", fmt.Sprint("j", i), 1+i%2, 4, 50*time.Millisecond+c.randomDuration(300*time.Millisecond)))
		wait.Go(func() {
			time.Sleep(c.randomDuration(4 * time.Second))
			submitted := time.Now()
			a := tc.awaitAnswer(jobs[i], timeout)
			mu.Lock()
			defer mu.Unlock()

			answers[i] = a
			out.recovery = append(out.recovery, time.Since(submitted))
		})
	}
	wait.Wait()
	close(stop)
	faults.Wait()
	if mutate == nil {
		tc.awaitMissingAnswers(jobs, answers)
	}
	time.Sleep(workerLease)
	started := tc.startedTasks()
	for i, a := range answers {
		out.answers[a.Code]++
		if a.Finished.IsZero() {
			out.unanswered++
			out.violations = append(out.violations, fmt.Sprintf("%s: never answered: %s", jobs[i].Key(), a.Code))
		}
		out.violations = append(out.violations, findViolations(jobs[i], a, started[jobs[i].Key()])...)
	}

	return out
}

// awaitMissingAnswers waits for the answers that were missing when the faults ended.
func (tc *testCluster) awaitMissingAnswers(jobs []job.Job, answers []job.Answer) {
	var wait sync.WaitGroup
	for i := range jobs {
		if answers[i].Finished.IsZero() {
			wait.Go(func() { answers[i] = tc.awaitAnswer(jobs[i], 15*time.Second) })
		}
	}
	wait.Wait()
}

// findViolations compares a job's answer with the tasks that the workers' journals show
// as started, and describes each contradiction.
func findViolations(j job.Job, a job.Answer, started []standinworker.JournalEntry) []string {
	var out []string
	seen := map[int]int{}
	for _, b := range started {
		seen[b.Member]++
		if seen[b.Member] > 1 {
			out = append(out, fmt.Sprintf("%s: member %d started twice", j.Key(), b.Member))
		}
	}
	if len(started) > 0 && a.Ran == code.RanNo && !a.Finished.IsZero() {
		out = append(out, fmt.Sprintf("%s: answered %s, but member %d started", j.Key(), a.Code, started[0].Member))
	}
	if len(seen) < j.Shape.Members {
		for _, b := range started {
			if b.Ended.Sub(b.At) > initialLease+workerLease {
				out = append(out, fmt.Sprintf("%s: member %d ran without its gang for %v", j.Key(), b.Member, b.Ended.Sub(b.At)))
			}
		}
	}
	if a.Code == code.OK && len(seen) != j.Shape.Members {
		out = append(out, fmt.Sprintf("%s: answered ok, but %d members started", j.Key(), len(seen)))
	}

	return out
}

// injectFaults injects random faults one after the other until stop is closed. VMs that
// replace killed ones get their calls wrapped by wrap.
func (c *faultInjector) injectFaults(tc *testCluster, wrap func(gang.Calls) gang.Calls, stop chan struct{}) {
	for n := 2; ; n++ {
		select {
		case <-stop:
			tc.log.SetFaults(logFaults{})

			return
		case <-time.After(200*time.Millisecond + c.randomDuration(500*time.Millisecond)):
		}
		switch {
		case c.chance(.35):
			tc.mu.Lock()
			var victim *serve.VM
			for _, v := range tc.vms {
				victim = v
			}
			tc.mu.Unlock()
			tc.launch(tc.settings(fmt.Sprint("v", n)), wrap)
			tc.kill(victim)
		case c.chance(.3):
			tc.log.SetFaults(logFaults{Down: true})
			time.Sleep(c.randomDuration(800 * time.Millisecond))
			tc.log.SetFaults(logFaults{LoseReply: 2})
		case c.chance(.4):
			tc.workers[fmt.Sprint("w", int(c.randomDuration(4)))].restart(tc.t.Context())
		default:
			w := tc.workers[fmt.Sprint("w", int(c.randomDuration(4)))].current.Load()
			w.SetFaults(standinworker.Faults{Silent: true})
			time.Sleep(c.randomDuration(600 * time.Millisecond))
			w.SetFaults(standinworker.Faults{})
		}
	}
}

// TestAtMostOnce injects failures at every step and requires that, according to the
// workers' journals, no non-idempotent job starts twice, no job that was answered as not
// run has started, and no member runs without its gang for longer than its initial
// lease and one regular lease. FAULT_SEEDS raises the number of seeds.
func TestAtMostOnce(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("FAULT_SEEDS"))
	for seed := range uint64(max(3, seeds)) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			out := runFaults(t, seed, 25*time.Second, nil)
			t.Logf("violations=%d answers=%v open=%d recovery=%v", len(out.violations), out.answers, out.unanswered, out.recovery)
			require.Empty(t, out.violations)
		})
	}
}

// TestAtMostOnceDetectsViolations disables one safety mechanism at a time and requires
// that the check of TestAtMostOnce finds violations within a few seeds.
func TestAtMostOnceDetectsViolations(t *testing.T) {
	cases := map[string]func(gang.Calls) gang.Calls{
		"claim": func(calls gang.Calls) gang.Calls {
			calls.Claim = func(context.Context, job.Key, ledger.Claim) (ledger.Verdict, error) { return ledger.Won, nil }

			return calls
		},
		"unknown token is not released": func(calls gang.Calls) gang.Calls {
			release := calls.Release
			calls.Release = func(ctx context.Context, w string, r worker.TokenRequest) (worker.Reply, error) {
				reply, err := release(ctx, w, r)
				if err != nil || reply.State == worker.Missing || reply.State.HasStarted() {
					reply.State = worker.Released
				}

				return reply, nil
			}

			return calls
		},
	}
	for name, mutate := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				if out := runFaults(t, seed, 4*time.Second, mutate); len(out.violations) > 0 {
					t.Logf("caught at seed %d: %s", seed, out.violations[0])

					return
				}
			}
			require.Fail(t, "no violation found with the mechanism disabled")
		})
	}
}
