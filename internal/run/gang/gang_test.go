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
	// simulation simulates two workers, a ledger and the planners that call them. A hash of
	// the seed and the step's name decides which faults are injected, so that the same seed
	// always gives the same run.
	simulation struct {
		seed         uint64
		mu           sync.Mutex
		ledger       *ledger.Ledger
		offset       int64
		states       map[string]worker.State // by worker/token
		incarnations map[string]int          // number of restarts by worker
		started      map[string]bool         // by worker/token
		turns        int
		depth        int      // number of turns that the current turn interrupts
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
	sim := &simulation{
		seed: seed, ledger: ledger.New(func() time.Duration { return time.Hour }), offset: -1,
		states: map[string]worker.State{}, incarnations: map[string]int{}, started: map[string]bool{}, mutate: mutate,
	}
	sim.record(ledger.Record{Kind: ledger.KindOpen, Job: &job.Job{Workspace: "w", ID: "pay"}})

	return sim
}

// chance reports whether the event described by format and args happens, such as a fault
// at a step. Its probability is percent/100. The result depends only on the seed and the
// description.
func (sim *simulation) chance(percent uint64, format string, args ...any) bool {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d/"+format, append([]any{sim.seed}, args...)...)

	return h.Sum64()>>7%100 < percent
}

func (sim *simulation) record(r ledger.Record) ledger.Verdict {
	sim.offset++
	r.ID, r.Key, r.Time = fmt.Sprint(sim.offset), key, time.Unix(0, 0)
	raw, _ := json.Marshal(r)
	_, v := sim.ledger.Apply(sim.offset, raw)

	return v
}

// call simulates one request to a worker. The request or its reply may be lost.
// Before the request, the reservation may expire and the worker may restart.
func (sim *simulation) call(verb, name, token string, act func(s worker.State) worker.State) (worker.Reply, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()

	id := name + "/" + token
	if sim.chance(12, "lapse %s %s", verb, id) && (sim.states[id] == worker.Reserved || sim.states[id] == worker.Armed) {
		sim.states[id] = worker.Released
	}
	if sim.chance(4, "restart %s %s", verb, id) {
		sim.incarnations[name]++
		for k := range sim.states {
			if k[:len(name)] == name {
				delete(sim.states, k)
			}
		}
	}
	if sim.chance(10, "request %s %s", verb, id) {
		return worker.Reply{}, errLost
	}
	s, known := sim.states[id]
	if !known {
		s = worker.Missing
	}
	s = act(s)
	if s != worker.Missing {
		sim.states[id] = s
	}
	if sim.chance(15, "reply %s %s", verb, id) {
		return worker.Reply{}, errLost
	}

	return worker.Reply{State: s, Incarnation: fmt.Sprint(sim.incarnations[name])}, nil
}

func (sim *simulation) calls(holder string) gang.Calls {
	calls := gang.Calls{
		Reserve: func(_ context.Context, name string, r worker.ReserveRequest) (worker.Reply, error) {
			return sim.call("reserve", name, r.Token, func(worker.State) worker.State { return worker.Reserved })
		},
		Arm: func(_ context.Context, name string, r worker.ArmRequest) (worker.Reply, error) {
			return sim.call("arm", name, r.Token, func(s worker.State) worker.State {
				if s == worker.Reserved {
					return worker.Armed
				}

				return s
			})
		},
		Go: func(_ context.Context, name string, r worker.TokenRequest) (worker.Reply, error) {
			return sim.call("go", name, r.Token, func(s worker.State) worker.State { return sim.begin(s, name, r.Token) })
		},
		Release: func(_ context.Context, name string, r worker.TokenRequest) (worker.Reply, error) {
			return sim.call("release", name, r.Token, func(s worker.State) worker.State {
				if s == worker.Reserved || s == worker.Armed {
					return worker.Released
				}

				return s
			})
		},
		Stop: func(_ context.Context, name string, r worker.TokenRequest) (worker.Reply, error) {
			return sim.call("stop", name, r.Token, func(s worker.State) worker.State {
				if s == worker.Running {
					return worker.Stopped
				}

				return s
			})
		},
		Claim: func(_ context.Context, _ job.Key, c ledger.Claim) (ledger.Verdict, error) {
			if sim.chance(10, "log down %s %d", holder, sim.turns) {
				return ledger.Skipped, errLost
			}
			v := sim.record(ledger.Record{Kind: ledger.KindClaim, Claim: &c})
			if sim.chance(15, "claim reply %s %d", holder, sim.turns) {
				return ledger.Skipped, errLost
			}

			return v, nil
		},
		AfterStep: func(step string) {
			if sim.depth < 3 && sim.chance(30, "pause %s %s %d", holder, step, sim.depth) {
				sim.depth++
				sim.turn("successor")
				sim.depth--
			}
		},
	}
	if sim.mutate != nil {
		calls = sim.mutate(calls)
	}

	return calls
}

// begin starts an armed member. It checks that no other attempt has started, that the
// second member does not start before the first, and that the job has not been answered as
// not run.
func (sim *simulation) begin(s worker.State, name, token string) worker.State {
	if s != worker.Armed {
		return s
	}
	sim.started[name+"/"+token] = true
	attempt := token[:len(token)-2]
	for other := range sim.started {
		// The slice removes the worker's name and the member's index.
		if o := other[3 : len(other)-2]; o != attempt {
			sim.violations = append(sim.violations, "attempts "+o+" and "+attempt+" both started")
		}
	}
	if name == "w1" && !sim.started["w0/"+attempt+".0"] {
		sim.violations = append(sim.violations, "the second member of "+attempt+" started before the first")
	}
	sim.checkAnswer()

	return worker.Running
}

// checkAnswer checks that a job answered as not run has never started.
func (sim *simulation) checkAnswer() {
	if a := sim.ledger.Get(key).Answer; a != nil && a.Ran == code.RanNo && len(sim.started) > 0 {
		sim.violations = append(sim.violations, "the job was answered as not run, but a member has started")
	}
}

func (sim *simulation) gang(holder string, attempt int) *gang.Gang {
	return &gang.Gang{
		Job: job.Job{Workspace: "w", ID: "pay"}, Attempt: attempt, Holder: holder,
		ReservationTTL: time.Second, InitialLeaseTTL: time.Second, Calls: sim.calls(holder),
	}
}

// turn makes a planner take one decision about the job: it settles the claim in effect,
// cancels the job, or makes an attempt to start it.
func (sim *simulation) turn(holder string) {
	e := sim.ledger.Get(key)
	sim.turns++
	switch {
	case e.Answer != nil:
	case e.Claim != nil:
		g := sim.gang(holder, e.Claim.Attempt)
		g.Members = e.Claim.Members
		sim.recordOutcome(g, g.Settle(context.Background()))
	case sim.chance(10, "cancel %d", sim.turns):
		a := job.NewAnswer(key, code.Cancelled, "")
		sim.record(ledger.Record{Kind: ledger.KindClose, Answer: &a})
		sim.checkAnswer()
	default:
		g := sim.gang(holder, e.Attempts+1)
		id := fmt.Sprint("t", sim.turns)
		g.Members = []ledger.Member{{Worker: "w0", Token: id + ".0", Width: 1}, {Worker: "w1", Token: id + ".1", Width: 1}}
		sim.recordOutcome(g, g.Start(context.Background()))
	}
}

func (sim *simulation) recordOutcome(g *gang.Gang, r gang.Result) {
	switch r.Outcome {
	case gang.NotStarted:
		sim.record(ledger.Record{Kind: ledger.KindVoid, Token: g.Members[0].Token})
	case gang.Started, gang.Broken:
		a := job.NewAnswer(key, code.OK, "")
		a.Attempt = g.Attempt
		sim.record(ledger.Record{Kind: ledger.KindClose, Answer: &a})
	}
}

// run lets two planners take six turns and then closes a job that is still open with
// code deadline. It returns the violated invariants.
func (sim *simulation) run() []string {
	for i := range 6 {
		sim.turn([]string{"first", "second"}[i%2])
	}
	a := job.NewAnswer(key, code.Deadline, "")
	sim.record(ledger.Record{Kind: ledger.KindClose, Answer: &a})
	sim.checkAnswer()

	return sim.violations
}

// TestSequences guards against two attempts of a non-idempotent job that both start, a
// second member that starts before the first, and a job that is answered as not run
// although it has started. It runs the protocol under random interleavings of planners,
// lost messages, expired reservations and worker restarts, and checks the invariants of
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
