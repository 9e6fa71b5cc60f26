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
	port "sesameyoke/internal/peer/worker"
	"sesameyoke/internal/run/gang"
	"sesameyoke/internal/run/serve"
	standin "sesameyoke/internal/standin/worker"
)

// newWorkAfterLeaving lets the worker w0 leave while jobs keep coming, and counts
// what begins there more than three seconds later. The VM list never shows it.
func newWorkAfterLeaving(t *testing.T, change func(gang.Ports) gang.Ports) int {
	r := newRig(t, 2, plain("a"))
	x := r.start("x", change)
	leaving := r.workers["w0"].now.Load()
	leaving.SetFaults(standin.Faults{Leaving: true})
	left := time.Now()
	var wait sync.WaitGroup
	for i := range 24 {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * 200 * time.Millisecond)
			_, _ = r.caller(x).Submit(context.Background(), jobOf("a", fmt.Sprint("j", i), 1, 4, 100*time.Millisecond), 5*time.Second)
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

// TestLeavingWorker requires that a leaving worker gets no new work after three
// seconds. Without the word of its own replies the same check fails.
func TestLeavingWorker(t *testing.T) {
	require.Zero(t, newWorkAfterLeaving(t, nil))
	deaf := func(p gang.Ports) gang.Ports {
		renew := p.Renew
		p.Renew = func(ctx context.Context, w string, q port.RenewRequest) (port.Report, error) {
			rep, err := renew(ctx, w, q)
			rep.Leaving = false

			return rep, err
		}

		return p
	}
	require.Positive(t, newWorkAfterLeaving(t, deaf), "the check passes without the mechanism")
}

// brokenByLeaving holds requests open at the planner, with a gang half started, ends
// the VM by end, and counts the requests without a whole answer.
func brokenByLeaving(t *testing.T, end func(*rig, *serve.VM)) (broken int, drain time.Duration) {
	r := newRig(t, 4, plain("a"))
	slow := func(p gang.Ports) gang.Ports {
		p.Pause = func(step string) {
			if step == "go" {
				time.Sleep(200 * time.Millisecond)
			}
		}

		return p
	}
	x := r.start("x", slow)
	r.start("y", slow)
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := range 8 {
		wait.Go(func() {
			j := jobOf("a", fmt.Sprint("j", i), 1+i%2, 4, 600*time.Millisecond)
			if i%4 == 3 {
				j = once(j)
			}
			a, err := r.caller(x).Submit(context.Background(), j, 15*time.Second)
			if err != nil || ownAnswer(a, j.Key()) != nil {
				mu.Lock()
				broken++
				mu.Unlock()
			}
		})
	}
	time.Sleep(150 * time.Millisecond)
	began := time.Now()
	end(r, x)
	drain = time.Since(began)
	wait.Wait()

	return broken, drain
}

func shutdown(_ *rig, vm *serve.VM) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	vm.Shutdown(ctx)
}

// TestGracefulShutdown requires that no request in flight is interrupted and no job
// runs twice. A VM that is killed fails the same check.
func TestGracefulShutdown(t *testing.T) {
	broken, drain := brokenByLeaving(t, shutdown)
	t.Logf("drained in %v", drain)
	require.Zero(t, broken)
	broken, _ = brokenByLeaving(t, func(r *rig, vm *serve.VM) { r.kill(vm) })
	require.Positive(t, broken, "the check passes without the graceful shutdown")
}

// TestReconnect measures how long kept-alive connections hold up a leaving VM: its
// replies ask callers to reconnect, after which none of them comes back.
func TestReconnect(t *testing.T) {
	t.Parallel()
	r := newRig(t, 1, plain("a"))
	x := r.start("x", nil)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	get := func() *http.Response {
		resp, err := client.Get("http://" + x.Address() + "/v1/jobs/a/none")
		require.NoError(t, err)
		_ = resp.Body.Close()

		return resp
	}
	require.False(t, get().Close)
	x.Leave()
	require.True(t, get().Close, "the reply asks to reconnect")
}

// TestGangLoss kills the worker of one member while its gang runs, and requires that
// the other member ends within the life of a lease, and the job runs again whole.
func TestGangLoss(t *testing.T) {
	r := newRig(t, 4, plain("a"))
	x := r.start("x", nil)
	j := jobOf("a", "gang", 2, 8, 4*time.Second)
	_, err := r.caller(x).Submit(context.Background(), j, 0)
	require.NoError(t, err)
	var victim string
	require.Eventually(t, func() bool {
		for name, w := range r.workers {
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
	r.workers[victim].now.Load().SetFaults(standin.Faults{Silent: true})
	var ended time.Time
	require.Eventually(t, func() bool {
		for _, b := range r.begun()[j.Key()] {
			if b.Member == 0 && !b.Ended.IsZero() {
				ended = b.Ended
			}
		}

		return !ended.IsZero()
	}, 6*time.Second, 10*time.Millisecond)
	t.Logf("the other member ended %v after the loss", ended.Sub(lost))
	require.Less(t, ended.Sub(lost), lease+500*time.Millisecond)
	a := r.settle(j, 15*time.Second)
	require.Equal(t, code.OK, a.Code, a.Reason)
	require.Len(t, a.Parts, 2)
}

// TestTakeover kills the planner while gangs run, and requires that they are adopted
// and answered without beginning again.
func TestTakeover(t *testing.T) {
	t.Parallel()
	r := newRig(t, 4, plain("a"))
	x, y := r.start("x", nil), r.start("y", nil)
	jobs := []job.Job{jobOf("a", "one", 1, 1, 2*time.Second), jobOf("a", "gang", 2, 8, 2*time.Second), once(jobOf("a", "pay", 2, 8, 2*time.Second))}
	for _, j := range jobs {
		_, err := r.caller(x).Submit(context.Background(), j, 0)
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return len(r.begun()) == 3 }, 5*time.Second, 5*time.Millisecond)
	time.Sleep(200 * time.Millisecond) // the gangs are confirmed
	planner := x
	if y.Plans("x") {
		planner = y
	}
	r.kill(planner)
	z := r.start("z", nil)
	for _, j := range jobs {
		a, err := r.caller(z).Submit(context.Background(), j, 10*time.Second)
		require.NoError(t, err)
		require.NoError(t, ownAnswer(a, j.Key()))
		require.Len(t, r.begun()[j.Key()], j.Shape.Members, j.ID)
	}
}

// TestThrottle holds a job to its declared share, which is enough to let it finish.
func TestThrottle(t *testing.T) {
	t.Parallel()
	r := newRig(t, 1, plain("a"))
	x := r.start("x", nil)
	j := jobOf("a", "hungry", 1, 1, time.Second)
	j.Payload = `{"work":"1s","share":4}`
	a, err := r.caller(x).Submit(context.Background(), j, 10*time.Second)
	require.NoError(t, err)
	require.NoError(t, ownAnswer(a, j.Key()))
	require.Len(t, r.begun()[j.Key()], 1, "throttled, not checkpointed")
	require.Equal(t, 1, r.workers["w0"].now.Load().Throttled())
}

// TestBadWorker fails everything on one worker; the jobs are answered all the same.
func TestBadWorker(t *testing.T) {
	t.Parallel()
	r := newRig(t, 2, plain("a"))
	x := r.start("x", nil)
	r.workers["w0"].now.Load().SetFaults(standin.Faults{FailAll: true})
	for i := range 6 {
		j := jobOf("a", fmt.Sprint("j", i), 1, 2, 200*time.Millisecond)
		a, err := r.caller(x).Submit(context.Background(), j, 10*time.Second)
		require.NoError(t, err)
		require.NoError(t, ownAnswer(a, j.Key()))
	}
	require.LessOrEqual(t, len(r.workers["w0"].journal()), 3, "a worker that has failed three jobs is put aside")
}

// TestRestartWhileStarting restarts a worker after a task has begun there and before
// the planner has noted it, and requires that both kinds of job are answered.
func TestRestartWhileStarting(t *testing.T) {
	r := newRig(t, 1, plain("a"))
	var restarts sync.Map
	ports := func(p gang.Ports) gang.Ports {
		start := p.Go
		p.Go = func(ctx context.Context, w string, q port.TokenRequest) (port.Reply, error) {
			reply, err := start(ctx, w, q)
			if n, _ := restarts.LoadOrStore("count", new(int)); *n.(*int) < 2 {
				*n.(*int)++
				r.workers["w0"].restart(t.Context())
				time.Sleep(300 * time.Millisecond) // the new incarnation is reported
			}

			return reply, err
		}

		return p
	}
	x := r.start("x", ports)
	pay := once(jobOf("a", "pay", 1, 1, 50*time.Millisecond))
	a, err := r.caller(x).Submit(context.Background(), pay, 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, code.Unknown, a.Code, a.Reason)
	b, err := r.caller(x).Submit(context.Background(), jobOf("a", "again", 1, 1, 50*time.Millisecond), 8*time.Second)
	require.NoError(t, err)
	require.NoError(t, ownAnswer(b, job.Key{Workspace: "a", ID: "again"}))
	require.Len(t, r.begun()[pay.Key()], 1)
}

// TestForgotten makes a worker forget a task that runs, as a planner that took it for
// finished would, and requires that the job is answered all the same.
func TestForgotten(t *testing.T) {
	t.Parallel()
	r := newRig(t, 1, plain("a"))
	x := r.start("x", nil)
	pay := once(jobOf("a", "pay", 1, 1, 300*time.Millisecond))
	_, err := r.caller(x).Submit(context.Background(), pay, 0)
	require.NoError(t, err)
	w := r.workers["w0"].now.Load()
	require.Eventually(t, func() bool { return len(w.Journal()) == 1 }, 5*time.Second, 5*time.Millisecond)
	w.Lose()
	a := r.settle(pay, 4*lease+8*time.Second)
	require.Equal(t, code.Unknown, a.Code, a.Reason)
}
