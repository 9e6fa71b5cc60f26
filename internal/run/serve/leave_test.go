package serve_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/peer/worker"
	"sesameyoke/internal/run/gang"
	"sesameyoke/internal/run/serve"
	standinworker "sesameyoke/internal/standin/worker"
)

// countLateStarts makes the worker w0 report that it is leaving while jobs keep
// arriving, and counts the tasks that start on it more than three seconds later. The VM
// list does not show the worker as leaving.
func countLateStarts(t *testing.T, wrap func(gang.Calls) gang.Calls) int {
	tc := newTestCluster(t, 2, basicContract("a"))
	x := tc.start("x", wrap)
	leaving := tc.workers["w0"].current.Load()
	leaving.SetFaults(standinworker.Faults{Leaving: true})
	left := time.Now()
	var wait sync.WaitGroup
	for i := range 24 {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * 200 * time.Millisecond)
			_, _ = tc.caller(x).Submit(context.Background(), jobOf("a", fmt.Sprint("j", i), 1, 4, 100*time.Millisecond), 5*time.Second)
		})
	}
	wait.Wait()
	late := 0
	for _, b := range leaving.Journal() {
		if b.At.Sub(left) > 3*time.Second {
			late++
		}
	}

	return late
}

// TestLeavingWorker guards against a worker that still gets tasks after it has reported that
// it is leaving, because the VM list does not show this yet. No task may start on the worker
// more than three seconds after it has begun to report this. If the leaving flag in its
// reports is ignored, the same check must fail.
func TestLeavingWorker(t *testing.T) {
	require.Zero(t, countLateStarts(t, nil))
	ignoreLeaving := func(calls gang.Calls) gang.Calls {
		renew := calls.Renew
		calls.Renew = func(ctx context.Context, w string, q worker.RenewRequest) (worker.Report, error) {
			rep, err := renew(ctx, w, q)
			rep.Leaving = false

			return rep, err
		}

		return calls
	}
	require.Positive(t, countLateStarts(t, ignoreLeaving), "no late starts although the leaving flag is ignored")
}

// countInterrupted keeps requests open at a VM while gangs are being started, stops the
// VM with end, and counts the requests that get no complete answer.
func countInterrupted(t *testing.T, end func(*testCluster, *serve.VM)) (interrupted int, drain time.Duration) {
	tc := newTestCluster(t, 4, basicContract("a"))
	slow := func(calls gang.Calls) gang.Calls {
		calls.AfterStep = func(step string) {
			if step == "go" {
				time.Sleep(200 * time.Millisecond)
			}
		}

		return calls
	}
	x := tc.start("x", slow)
	tc.start("y", slow)
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := range 8 {
		wait.Go(func() {
			j := jobOf("a", fmt.Sprint("j", i), 1+i%2, 4, 600*time.Millisecond)
			if i%4 == 3 {
				j = nonIdempotent(j)
			}
			a, err := tc.caller(x).Submit(context.Background(), j, 15*time.Second)
			if err != nil || checkAnswer(a, j.Key()) != nil {
				mu.Lock()
				interrupted++
				mu.Unlock()
			}
		})
	}
	time.Sleep(150 * time.Millisecond)
	began := time.Now()
	end(tc, x)
	drain = time.Since(began)
	wait.Wait()

	return interrupted, drain
}

// shutdown stops a VM gracefully.
func shutdown(_ *testCluster, vm *serve.VM) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	vm.Shutdown(ctx)
}

// TestGracefulShutdown requires that a graceful shutdown interrupts no request in flight.
// If the VM is killed instead, the same check must fail.
func TestGracefulShutdown(t *testing.T) {
	interrupted, drain := countInterrupted(t, shutdown)
	t.Logf("drained in %v", drain)
	require.Zero(t, interrupted)
	interrupted, _ = countInterrupted(t, func(tc *testCluster, vm *serve.VM) { tc.kill(vm) })
	require.Positive(t, interrupted, "no request was interrupted without the graceful shutdown")
}

// TestReconnect guards against callers that keep sending requests to a leaving VM over their
// keep-alive connections, which delays its shutdown. The replies of a leaving VM must ask
// callers to reconnect.
func TestReconnect(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t, 1, basicContract("a"))
	x := tc.start("x", nil)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	get := func() *http.Response {
		resp, err := client.Get("http://" + x.Address() + "/v1/jobs/a/none")
		require.NoError(t, err)
		_ = resp.Body.Close()

		return resp
	}
	require.False(t, get().Close)
	x.Leave()
	require.True(t, get().Close, "the reply must ask to reconnect")
}

// TestGangMemberLoss guards against a member that keeps its accelerators after the rest of
// its gang is lost. It makes the worker of one member stop answering while the gang runs.
// The other member must end soon after the duration of a lease, and the job must be run
// again with all members.
func TestGangMemberLoss(t *testing.T) {
	tc := newTestCluster(t, 4, basicContract("a"))
	x := tc.start("x", nil)
	j := jobOf("a", "gang", 2, 8, 4*time.Second)
	_, err := tc.caller(x).Submit(context.Background(), j, 0)
	require.NoError(t, err)
	var victim string
	require.Eventually(t, func() bool {
		for name, w := range tc.workers {
			for _, b := range w.journal() {
				if b.Member == 1 {
					victim = name
				}
			}
		}

		return victim != ""
	}, 5*time.Second, 10*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	lost := time.Now()
	tc.workers[victim].current.Load().SetFaults(standinworker.Faults{Silent: true})
	var ended time.Time
	require.Eventually(t, func() bool {
		for _, b := range tc.startedTasks()[j.Key()] {
			if b.Member == 0 && !b.Ended.IsZero() {
				ended = b.Ended
			}
		}

		return !ended.IsZero()
	}, 6*time.Second, 10*time.Millisecond)
	t.Logf("the other member ended %v after the loss", ended.Sub(lost))
	require.Less(t, ended.Sub(lost), workerLease+500*time.Millisecond)
	a := tc.awaitAnswer(j, 15*time.Second)
	require.Equal(t, code.OK, a.Code, a.Reason)
	require.Len(t, a.Parts, 2)
}

// TestTakeover guards against jobs that are lost or started again when their planner fails.
// It kills the planner while gangs run, and requires that another VM takes the gangs over
// and answers their jobs without starting them again.
func TestTakeover(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t, 4, basicContract("a"))
	x, y := tc.start("x", nil), tc.start("y", nil)
	jobs := []job.Job{jobOf("a", "one", 1, 1, 2*time.Second), jobOf("a", "gang", 2, 8, 2*time.Second), nonIdempotent(jobOf("a", "pay", 2, 8, 2*time.Second))}
	for _, j := range jobs {
		_, err := tc.caller(x).Submit(context.Background(), j, 0)
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return len(tc.startedTasks()) == 3 }, 5*time.Second, 5*time.Millisecond)
	time.Sleep(200 * time.Millisecond) // time for the gangs to be confirmed
	planner := x
	if y.IsPlanner("x") {
		planner = y
	}
	tc.kill(planner)
	z := tc.start("z", nil)
	for _, j := range jobs {
		a, err := tc.caller(z).Submit(context.Background(), j, 10*time.Second)
		require.NoError(t, err)
		require.NoError(t, checkAnswer(a, j.Key()))
		require.Len(t, tc.startedTasks()[j.Key()], j.Shape.Members, j.ID)
	}
}

// TestThrottle runs a job that uses more CPU than its declared share, and requires that
// it is throttled to that share and finishes without a checkpoint.
func TestThrottle(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t, 1, basicContract("a"))
	x := tc.start("x", nil)
	j := jobOf("a", "hungry", 1, 1, time.Second)
	j.Payload = `{"work":"1s","share":4}`
	a, err := tc.caller(x).Submit(context.Background(), j, 10*time.Second)
	require.NoError(t, err)
	require.NoError(t, checkAnswer(a, j.Key()))
	require.Len(t, tc.startedTasks()[j.Key()], 1, "the job must be throttled, not checkpointed")
	require.Equal(t, 1, tc.workers["w0"].current.Load().Throttled())
}

// TestFailingWorker guards against a faulty worker on which one job after the other fails. It
// makes all tasks on one worker fail, and requires that the jobs still succeed and that the
// worker gets no more tasks after a few failures.
func TestFailingWorker(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t, 2, basicContract("a"))
	x := tc.start("x", nil)
	tc.workers["w0"].current.Load().SetFaults(standinworker.Faults{FailAll: true})
	for i := range 6 {
		j := jobOf("a", fmt.Sprint("j", i), 1, 2, 200*time.Millisecond)
		a, err := tc.caller(x).Submit(context.Background(), j, 10*time.Second)
		require.NoError(t, err)
		require.NoError(t, checkAnswer(a, j.Key()))
	}
	require.LessOrEqual(t, len(tc.workers["w0"].journal()), 3, "a worker on which three jobs have failed must get no more")
}

// TestRestartWhileStarting guards against a restart that goes unnoticed because it happens
// after a task has started and before the planner has processed the reply. A non-idempotent
// job must be answered as unknown and not started again, and an idempotent one must succeed.
func TestRestartWhileStarting(t *testing.T) {
	tc := newTestCluster(t, 1, basicContract("a"))
	var restarts sync.Map
	wrap := func(calls gang.Calls) gang.Calls {
		start := calls.Go
		calls.Go = func(ctx context.Context, w string, q worker.TokenRequest) (worker.Reply, error) {
			reply, err := start(ctx, w, q)
			if n, _ := restarts.LoadOrStore("count", new(int)); *n.(*int) < 2 {
				*n.(*int)++
				tc.workers["w0"].restart(t.Context())
				time.Sleep(300 * time.Millisecond) // time for the new incarnation to be reported
			}

			return reply, err
		}

		return calls
	}
	x := tc.start("x", wrap)
	pay := nonIdempotent(jobOf("a", "pay", 1, 1, 50*time.Millisecond))
	a, err := tc.caller(x).Submit(context.Background(), pay, 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, code.Unknown, a.Code, a.Reason)
	b, err := tc.caller(x).Submit(context.Background(), jobOf("a", "again", 1, 1, 50*time.Millisecond), 8*time.Second)
	require.NoError(t, err)
	require.NoError(t, checkAnswer(b, job.Key{Workspace: "a", ID: "again"}))
	require.Len(t, tc.startedTasks()[pay.Key()], 1)
}

// TestTaskUnknownToWorker guards against a job that is never answered because its worker no
// longer reports its task. It makes a worker drop a running task, as if a planner had
// wrongly discarded it as finished, and requires that the job is answered as unknown.
func TestTaskUnknownToWorker(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t, 1, basicContract("a"))
	x := tc.start("x", nil)
	pay := nonIdempotent(jobOf("a", "pay", 1, 1, 300*time.Millisecond))
	_, err := tc.caller(x).Submit(context.Background(), pay, 0)
	require.NoError(t, err)
	w := tc.workers["w0"].current.Load()
	require.Eventually(t, func() bool { return len(w.Journal()) == 1 }, 5*time.Second, 5*time.Millisecond)
	w.DropTokens()
	a := tc.awaitAnswer(pay, 4*workerLease+8*time.Second)
	require.Equal(t, code.Unknown, a.Code, a.Reason)
}
