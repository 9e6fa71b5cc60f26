package serve_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/config"
	"sesameyoke/internal/core/contract"
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/run/serve"
)

// TestAnswers guards against answers that are incomplete or reach the wrong caller. It
// submits many jobs concurrently through different VMs while replies to appends are lost,
// and requires that each caller gets the complete answer to its own request.
func TestAnswers(t *testing.T) {
	tc := newTestCluster(t, 4, basicContract("a"))
	x, y := tc.start("x", nil), tc.start("y", nil)
	tc.log.SetFaults(logFaults{LoseReply: 3})
	var wait sync.WaitGroup
	answers := make([]job.Answer, 40)
	for i := range answers {
		wait.Go(func() {
			vm := x
			if i%2 == 1 {
				vm = y
			}
			j := jobOf("a", fmt.Sprint("j", i), 1+i%2, 1, 20*time.Millisecond)
			a, err := tc.caller(vm).Submit(context.Background(), j, 20*time.Second)
			if err == nil {
				answers[i] = a
			}
		})
	}
	wait.Wait()
	for i, a := range answers {
		require.NoError(t, checkAnswer(a, job.Key{Workspace: "a", ID: fmt.Sprint("j", i)}))
	}
	// The check must reject the answer of another job, and one with a missing part.
	require.Error(t, checkAnswer(answers[0], answers[1].Key))
	truncated := answers[1]
	truncated.Parts = truncated.Parts[:1]
	require.Error(t, checkAnswer(truncated, truncated.Key))
}

// checkAnswer returns an error unless a is a complete, successful answer of the job.
func checkAnswer(a job.Answer, k job.Key) error {
	if a.Code != code.OK || a.Key != k || !a.Intact() {
		return fmt.Errorf("%s: code %s, key %s, complete %v, %s", k, a.Code, a.Key, a.Intact(), a.Reason)
	}
	for i, p := range a.Parts {
		if !strings.Contains(p.Data, fmt.Sprintf("member %d of %d of %s:", i, len(a.Parts), k)) {
			return fmt.Errorf("part %d of %s is %q", i, k, p.Data)
		}
	}

	return nil
}

// TestDuplicateRequest guards against a non-idempotent job that runs twice because its
// caller submits it again through another VM. It submits the same request through two VMs
// concurrently, and requires that the job runs once. Another job with the same ID must be
// refused.
func TestDuplicateRequest(t *testing.T) {
	tc := newTestCluster(t, 2, basicContract("a"))
	x, y := tc.start("x", nil), tc.start("y", nil)
	j := nonIdempotent(jobOf("a", "pay", 1, 1, 100*time.Millisecond))
	var wait sync.WaitGroup
	var a, b job.Answer
	wait.Go(func() { a, _ = tc.caller(x).Submit(context.Background(), j, 10*time.Second) })
	wait.Go(func() { b, _ = tc.caller(y).Submit(context.Background(), j, 10*time.Second) })
	wait.Wait()
	require.Equal(t, code.OK, a.Code, a.Reason)
	require.Equal(t, a.Digest, b.Digest)
	require.Len(t, tc.startedTasks()[j.Key()], 1)
	j.Payload = "another"
	c, err := tc.caller(x).Submit(context.Background(), j, time.Second)
	require.NoError(t, err)
	require.Equal(t, code.Conflict, c.Code)
}

// TestReclaim guards against promised capacity that stays occupied by jobs of a workspace
// without a promise. It fills all racks with such jobs, and requires that a job within the
// promise of another workspace starts within the checkpoint time that the contract allows,
// and that the preempted jobs start again.
func TestReclaim(t *testing.T) {
	tc := newTestCluster(t, 4, basicContract("a", contract.Promise{Blocks: 1, Width: 16}), basicContract("b"))
	x := tc.start("x", nil)
	c := tc.caller(x)
	for i := range 4 {
		_, err := c.Submit(context.Background(), jobOf("b", fmt.Sprint("fill", i), 1, 8, time.Minute), 0)
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return len(tc.startedTasks()) == 4 }, 5*time.Second, 10*time.Millisecond)
	submitted := time.Now()
	a, err := c.Submit(context.Background(), jobOf("a", "mine", 2, 8, 10*time.Millisecond), 10*time.Second)
	require.NoError(t, err)
	require.Equal(t, code.OK, a.Code, a.Reason)
	tasks := tc.startedTasks()[job.Key{Workspace: "a", ID: "mine"}]
	require.Len(t, tasks, 2)
	require.Less(t, tasks[0].At.Sub(submitted), 2*time.Second)
	// The preempted jobs resume from their checkpoints.
	require.Eventually(t, func() bool {
		for i := range 4 {
			if len(tc.startedTasks()[job.Key{Workspace: "b", ID: fmt.Sprint("fill", i)}]) == 0 {
				return false
			}
		}

		return len(tc.startedTasks()[job.Key{Workspace: "b", ID: "fill0"}])+len(tc.startedTasks()[job.Key{Workspace: "b", ID: "fill1"}])+
			len(tc.startedTasks()[job.Key{Workspace: "b", ID: "fill2"}])+len(tc.startedTasks()[job.Key{Workspace: "b", ID: "fill3"}]) == 6
	}, 5*time.Second, 20*time.Millisecond)
}

// TestCancel cancels a queued job and a running one, and requires that the queued one does
// not start and the running one is stopped.
func TestCancel(t *testing.T) {
	tc := newTestCluster(t, 1, basicContract("a"))
	x := tc.start("x", nil)
	c := tc.caller(x)
	run := jobOf("a", "run", 1, 8, time.Minute)
	wait := nonIdempotent(jobOf("a", "wait", 1, 8, time.Minute))
	_, err := c.Submit(context.Background(), run, 0)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(tc.startedTasks()) == 1 }, 5*time.Second, 10*time.Millisecond)
	_, err = c.Submit(context.Background(), wait, 0)
	require.NoError(t, err)
	a, err := c.Cancel(context.Background(), wait.Key())
	require.NoError(t, err)
	require.Equal(t, code.Cancelled, a.Code, a.Reason)
	a, err = c.Cancel(context.Background(), run.Key())
	require.NoError(t, err)
	require.Equal(t, code.Stopped, a.Code, a.Reason)
	require.Empty(t, tc.startedTasks()[wait.Key()])
}

// TestBadInput requires that invalid requests get errors that name the fault, and that an
// operator's request with a wrong token is refused.
func TestBadInput(t *testing.T) {
	tc := newTestCluster(t, 1, basicContract("a"))
	x := tc.start("x", nil)
	for body, want := range map[string]string{
		`{"workspace":"a","id":"no spaces"}`:                          "id:",
		`{"workspace":"a","id":"j","x":1}`:                            "unknown field",
		`{"workspace":"a"`:                                            "not a job",
		`{"workspace":"a","id":"j","shape":{"members":65,"width":1}}`: "shape.members",
		`{"workspace":"a","id":"j"}`:                                  "deadline",
		`{"workspace":"nobody","id":"j","idempotent":true}`:           "no contract",
	} {
		resp, err := http.Post("http://"+x.Address()+"/v1/jobs", "application/json", strings.NewReader(body))
		require.NoError(t, err)
		text := make([]byte, 4096)
		n, _ := resp.Body.Read(text)
		_ = resp.Body.Close()
		require.Contains(t, string(text[:n]), want, body)
		require.GreaterOrEqual(t, resp.StatusCode, 400, body)
	}
	bad := tc.operator(x)
	bad.Token = "wrong-token-here"
	_, err := bad.Config(context.Background())
	require.ErrorContains(t, err, "11 unauthorized")
}

// TestNewContract guards against a planner that refuses a job because it does not know the
// workspace's contract yet. It submits a job as soon as its contract is in force at one VM.
// The planner may be on another VM, which applies the contract a little later.
func TestNewContract(t *testing.T) {
	tc := newTestCluster(t, 1, basicContract("a"))
	x, y := tc.start("x", nil), tc.start("y", nil)
	for i := range 10 {
		vm := []*serve.VM{x, y}[i%2]
		w := fmt.Sprint("new", i)
		c := basicContract(w)
		e, err := tc.operator(vm).Publish(context.Background(), config.Change{Kind: config.KindContract, Author: "op", Contract: &c})
		require.NoError(t, err)
		require.Equal(t, code.Accepted, e.Code, e.Reason)
		a, err := tc.caller(vm).Submit(context.Background(), jobOf(w, "j", 1, 1, time.Millisecond), 5*time.Second)
		require.NoError(t, err)
		require.NoError(t, checkAnswer(a, job.Key{Workspace: w, ID: "j"}))
	}
}
