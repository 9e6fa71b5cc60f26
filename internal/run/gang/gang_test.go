package gang_test

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/ledger"
	"sesameyoke/internal/peer/worker"
	"sesameyoke/internal/run/gang"
)

var (
	errLost = errors.New("lost")
	key     = job.Key{Workspace: "w", ID: "pay"}
)

type (
	// simulation simulates two workers and a ledger. A hash of the seed and the step's
	// name decides which faults are injected, which makes a seed reproducible.
	simulation struct {
		seed         uint64
		mu           sync.Mutex
		ledger       *ledger.Ledger
		offset       int64
		states       map[string]worker.State // by worker/token
		incarnations map[string]int          // number of restarts by worker
		started      map[string]bool         // by worker/token
		attempts     int
		depth        int      // nesting of turns that interrupt another one
		violations   []string // violated invariants
		mutate       func(gang.Calls) gang.Calls
	}
)

// TestMain sets the seed of random sequences to 1 unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

func newSimulation(seed uint64, mutate func(gang.Calls) gang.Calls) *simulation {
	w := &simulation{
		seed: seed, ledger: ledger.New(func() time.Duration { return time.Hour }), offset: -1,
		states: map[string]worker.State{}, incarnations: map[string]int{}, started: map[string]bool{}, mutate: mutate,
	}
	w.record(ledger.Record{Kind: ledger.KindOpen, Job: &job.Job{Workspace: "w", ID: "pay"}})

	return w
}

// chance reports whether a fault is injected at the given step, which happens with a
// probability of percent/100. The result depends only on the seed and the step.
func (w *simulation) chance(percent uint64, format string, args ...any) bool {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d/"+format, append([]any{w.seed}, args...)...)

	return h.Sum64()>>7%100 < percent
}

func (w *simulation) record(r ledger.Record) ledger.Verdict {
	w.offset++
	r.ID, r.Key, r.Time = fmt.Sprint(w.offset), key, time.Unix(0, 0)
	raw, _ := json.Marshal(r)
	_, v := w.ledger.Apply(w.offset, raw)

	return v
}

// call simulates one request to a worker. The request or its reply may be lost.
// Before the request, the reservation may expire and the worker may restart.
func (w *simulation) call(verb, name, token string, act func(s worker.State) worker.State) (worker.Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	id := name + "/" + token
	if w.chance(12, "lapse %s %s", verb, id) && (w.states[id] == worker.Reserved || w.states[id] == worker.Armed) {
		w.states[id] = worker.Released
	}
	if w.chance(4, "restart %s %s", verb, id) {
		w.incarnations[name]++
		for k := range w.states {
			if k[:len(name)] == name {
				delete(w.states, k)
			}
		}
	}
	if w.chance(10, "request %s %s", verb, id) {
		return worker.Reply{}, errLost
	}
	s, known := w.states[id]
	if !known {
		s = worker.Missing
	}
	s = act(s)
	if s != worker.Missing {
		w.states[id] = s
	}
	if w.chance(15, "reply %s %s", verb, id) {
		return worker.Reply{}, errLost
	}

	return worker.Reply{State: s, Incarnation: fmt.Sprint(w.incarnations[name])}, nil
}

func (w *simulation) calls(holder string) gang.Calls {
	calls := gang.Calls{
		Reserve: func(_ context.Context, name string, r worker.ReserveRequest) (worker.Reply, error) {
			return w.call("reserve", name, r.Token, func(worker.State) worker.State { return worker.Reserved })
		},
		Arm: func(_ context.Context, name string, r worker.ArmRequest) (worker.Reply, error) {
			return w.call("arm", name, r.Token, func(s worker.State) worker.State {
				if s == worker.Reserved {
					return worker.Armed
				}

				return s
			})
		},
		Go: func(_ context.Context, name string, r worker.TokenRequest) (worker.Reply, error) {
			return w.call("go", name, r.Token, func(s worker.State) worker.State { return w.begin(s, name, r.Token) })
		},
		Release: func(_ context.Context, name string, r worker.TokenRequest) (worker.Reply, error) {
			return w.call("release", name, r.Token, func(s worker.State) worker.State {
				if s == worker.Reserved || s == worker.Armed {
					return worker.Released
				}

				return s
			})
		},
		Stop: func(_ context.Context, name string, r worker.TokenRequest) (worker.Reply, error) {
			return w.call("stop", name, r.Token, func(s worker.State) worker.State {
				if s == worker.Running {
					return worker.Stopped
				}

				return s
			})
		},
		Claim: func(_ context.Context, _ job.Key, c ledger.Claim) (ledger.Verdict, error) {
			if w.chance(10, "log down %s %d", holder, w.attempts) {
				return ledger.Skipped, errLost
			}
			v := w.record(ledger.Record{Kind: ledger.KindClaim, Claim: &c})
			if w.chance(15, "claim reply %s %d", holder, w.attempts) {
				return ledger.Skipped, errLost
			}

			return v, nil
		},
		AfterStep: func(step string) {
			if w.depth < 3 && w.chance(30, "pause %s %s %d", holder, step, w.depth) {
				w.depth++
				w.turn("successor")
				w.depth--
			}
		},
	}
	if w.mutate != nil {
		calls = w.mutate(calls)
	}

	return calls
}

// begin starts an armed member and checks that no other attempt has started and that
// the second member never starts before the first.
func (w *simulation) begin(s worker.State, name, token string) worker.State {
	if s != worker.Armed {
		return s
	}
	w.started[name+"/"+token] = true
	attempt := token[:len(token)-2]
	for other := range w.started {
		if o := other[3 : len(other)-2]; o != attempt {
			w.violations = append(w.violations, "attempts "+o+" and "+attempt+" both started")
		}
	}
	if name == "w1" && !w.started["w0/"+attempt+".0"] {
		w.violations = append(w.violations, "the second member of "+attempt+" started before the first")
	}
	w.checkAnswer()

	return worker.Running
}

// checkAnswer checks that a job answered as not run has never started.
func (w *simulation) checkAnswer() {
	if a := w.ledger.Get(key).Answer; a != nil && a.Ran == code.RanNo && len(w.started) > 0 {
		w.violations = append(w.violations, "the job was answered as not run, but a member has started")
	}
}

func (w *simulation) gang(holder string, attempt int) *gang.Gang {
	return &gang.Gang{
		Job: job.Job{Workspace: "w", ID: "pay"}, Attempt: attempt, Holder: holder,
		ReservationTTL: time.Second, InitialLeaseTTL: time.Second, Calls: w.calls(holder),
	}
}

// turn runs one step of a planner: it settles the claim in effect, cancels the job,
// or makes an attempt to start it.
func (w *simulation) turn(holder string) {
	e := w.ledger.Get(key)
	w.attempts++
	switch {
	case e.Answer != nil:
	case e.Claim != nil:
		g := w.gang(holder, e.Claim.Attempt)
		g.Members = e.Claim.Members
		w.recordOutcome(g, g.Settle(context.Background()))
	case w.chance(10, "cancel %d", w.attempts):
		a := job.NewAnswer(key, code.Cancelled, "")
		w.record(ledger.Record{Kind: ledger.KindClose, Answer: &a})
		w.checkAnswer()
	default:
		g := w.gang(holder, e.Attempts+1)
		id := fmt.Sprint("t", w.attempts)
		g.Members = []ledger.Member{{Worker: "w0", Token: id + ".0", Width: 1}, {Worker: "w1", Token: id + ".1", Width: 1}}
		w.recordOutcome(g, g.Start(context.Background()))
	}
}

func (w *simulation) recordOutcome(g *gang.Gang, r gang.Result) {
	switch r.Outcome {
	case gang.NotStarted:
		w.record(ledger.Record{Kind: ledger.KindVoid, Token: g.Members[0].Token})
	case gang.Started, gang.Broken:
		a := job.NewAnswer(key, code.OK, "")
		a.Attempt = g.Attempt
		w.record(ledger.Record{Kind: ledger.KindClose, Answer: &a})
	}
}

// run lets two planners take six turns and then closes a job that is still open with
// code deadline. It returns the violated invariants.
func (w *simulation) run() []string {
	for i := range 6 {
		w.turn([]string{"first", "second"}[i%2])
	}
	a := job.NewAnswer(key, code.Deadline, "")
	w.record(ledger.Record{Kind: ledger.KindClose, Answer: &a})
	w.checkAnswer()

	return w.violations
}

// TestSequences runs the protocol under random interleavings of planners, lost
// messages, expired reservations and worker restarts, and checks the invariants of
// model/gang.pml.
func TestSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for i := range uint64(20) {
			require.Empty(t, newSimulation(rapid.Uint64().Draw(t, "seed")+i, nil).run())
		}
	})
}

// TestSequencesDetectMutations disables one mechanism of the protocol at a time and
// requires that the checks of TestSequences find a violation within 20000 seeds.
func TestSequencesDetectMutations(t *testing.T) {
	cases := map[string]func(gang.Calls) gang.Calls{
		"every claim is won": func(calls gang.Calls) gang.Calls {
			calls.Claim = func(context.Context, job.Key, ledger.Claim) (ledger.Verdict, error) { return ledger.Won, nil }

			return calls
		},
		"unknown token counts as released": func(calls gang.Calls) gang.Calls {
			release := calls.Release
			calls.Release = func(ctx context.Context, n string, r worker.TokenRequest) (worker.Reply, error) {
				reply, err := release(ctx, n, r)
				if reply.State == worker.Missing {
					reply.State = worker.Released
				}

				return reply, err
			}

			return calls
		},
		"unreachable worker counts as released": func(calls gang.Calls) gang.Calls {
			release := calls.Release
			calls.Release = func(ctx context.Context, n string, r worker.TokenRequest) (worker.Reply, error) {
				reply, err := release(ctx, n, r)
				if err != nil {
					reply.State = worker.Released
				}

				return reply, nil
			}

			return calls
		},
	}
	for name, mutate := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20000) {
				if violations := newSimulation(seed, mutate).run(); len(violations) > 0 {
					t.Logf("violation found at seed %d: %s", seed, violations[0])

					return
				}
			}
			require.Fail(t, "no seed violates an invariant although the mechanism is disabled")
		})
	}
}
