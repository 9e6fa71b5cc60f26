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
	// world is two workers and a ledger. What goes wrong is decided by a hash of the
	// seed and the step's name, so that a seed always plays the same.
	world struct {
		seed     uint64
		mu       sync.Mutex
		ledger   *ledger.Ledger
		offset   int64
		states   map[string]worker.State // by worker/token
		lives    map[string]int          // restarts by worker
		began    map[string]bool         // by worker/token
		attempts int
		depth    int
		faults   []string // violations
		change   func(gang.Ports) gang.Ports
	}
)

// TestMain fixes the seed of random sequences unless the command line names one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

func newWorld(seed uint64, change func(gang.Ports) gang.Ports) *world {
	w := &world{
		seed: seed, ledger: ledger.New(func() time.Duration { return time.Hour }), offset: -1,
		states: map[string]worker.State{}, lives: map[string]int{}, began: map[string]bool{}, change: change,
	}
	w.record(ledger.Record{Kind: ledger.KindOpen, Job: &job.Job{Workspace: "w", ID: "pay"}})

	return w
}

// odds reports whether something happens at a step, in so many of a hundred cases.
func (w *world) odds(percent uint64, format string, args ...any) bool {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d/"+format, append([]any{w.seed}, args...)...)

	return h.Sum64()>>7%100 < percent
}

func (w *world) record(r ledger.Record) ledger.Verdict {
	w.offset++
	r.ID, r.Key, r.Time = fmt.Sprint(w.offset), key, time.Unix(0, 0)
	raw, _ := json.Marshal(r)
	_, v := w.ledger.Apply(w.offset, raw)

	return v
}

// call plays one request to a worker: lost on the way, lost on the way back, or
// answered; before it, reservations may lapse and the worker may restart.
func (w *world) call(verb, name, token string, act func(s worker.State) worker.State) (worker.Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	id := name + "/" + token
	if w.odds(12, "lapse %s %s", verb, id) && (w.states[id] == worker.Reserved || w.states[id] == worker.Armed) {
		w.states[id] = worker.Released
	}
	if w.odds(4, "restart %s %s", verb, id) {
		w.lives[name]++
		for k := range w.states {
			if k[:len(name)] == name {
				delete(w.states, k)
			}
		}
	}
	if w.odds(10, "request %s %s", verb, id) {
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
	if w.odds(15, "reply %s %s", verb, id) {
		return worker.Reply{}, errLost
	}

	return worker.Reply{State: s, Life: fmt.Sprint(w.lives[name])}, nil
}

func (w *world) ports(holder string) gang.Ports {
	p := gang.Ports{
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
			if w.odds(10, "log down %s %d", holder, w.attempts) {
				return ledger.Skipped, errLost
			}
			v := w.record(ledger.Record{Kind: ledger.KindClaim, Claim: &c})
			if w.odds(15, "claim reply %s %d", holder, w.attempts) {
				return ledger.Skipped, errLost
			}

			return v, nil
		},
		Pause: func(step string) {
			if w.depth < 3 && w.odds(30, "pause %s %s %d", holder, step, w.depth) {
				w.depth++
				w.turn("successor")
				w.depth--
			}
		},
	}
	if w.change != nil {
		p = w.change(p)
	}

	return p
}

// begin starts a member and checks that it never begins before the first one.
func (w *world) begin(s worker.State, name, token string) worker.State {
	if s != worker.Armed {
		return s
	}
	w.began[name+"/"+token] = true
	attempt := token[:len(token)-2]
	for other := range w.began {
		if o := other[3 : len(other)-2]; o != attempt {
			w.faults = append(w.faults, "attempts "+o+" and "+attempt+" both began")
		}
	}
	if name == "w1" && !w.began["w0/"+attempt+".0"] {
		w.faults = append(w.faults, "the second member of "+attempt+" began without the first")
	}
	w.checkAnswer()

	return worker.Running
}

func (w *world) checkAnswer() {
	if a := w.ledger.Get(key).Answer; a != nil && a.Ran == code.RanNo && len(w.began) > 0 {
		w.faults = append(w.faults, "answered not run, but it began")
	}
}

func (w *world) gang(holder string, attempt int) *gang.Gang {
	return &gang.Gang{
		Job: job.Job{Workspace: "w", ID: "pay"}, Attempt: attempt, Holder: holder,
		Reserve: time.Second, First: time.Second, Ports: w.ports(holder),
	}
}

// turn is what a planner does with the job: settle a claim that stands, or make an
// attempt, or answer that it was not run.
func (w *world) turn(holder string) {
	e := w.ledger.Get(key)
	w.attempts++
	switch {
	case e.Answer != nil:
	case e.Claim != nil:
		g := w.gang(holder, e.Claim.Attempt)
		g.Members = e.Claim.Members
		w.conclude(g, g.Settle(context.Background()))
	case w.odds(10, "cancel %d", w.attempts):
		a := job.Conclude(key, code.Cancelled, "")
		w.record(ledger.Record{Kind: ledger.KindClose, Answer: &a})
		w.checkAnswer()
	default:
		g := w.gang(holder, e.Attempts+1)
		id := fmt.Sprint("t", w.attempts)
		g.Members = []ledger.Member{{Worker: "w0", Token: id + ".0", Width: 1}, {Worker: "w1", Token: id + ".1", Width: 1}}
		w.conclude(g, g.Start(context.Background()))
	}
}

func (w *world) conclude(g *gang.Gang, r gang.Result) {
	switch r.Outcome {
	case gang.NotStarted:
		w.record(ledger.Record{Kind: ledger.KindVoid, Token: g.Members[0].Token})
	case gang.Started, gang.Broken:
		a := job.Conclude(key, code.OK, "")
		a.Attempt = g.Attempt
		w.record(ledger.Record{Kind: ledger.KindClose, Answer: &a})
	}
}

// play lets planners take turns until the job is answered, and then an hour later
// whoever is left cancels.
func (w *world) play() []string {
	for i := range 6 {
		w.turn([]string{"first", "second"}[i%2])
	}
	a := job.Conclude(key, code.Deadline, "")
	w.record(ledger.Record{Kind: ledger.KindClose, Answer: &a})
	w.checkAnswer()

	return w.faults
}

// TestSequences plays random interleavings of planners, lost messages, lapses and
// restarts over the protocol's code, and checks the model's invariants.
func TestSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for i := range uint64(20) {
			require.Empty(t, newWorld(rapid.Uint64().Draw(t, "seed")+i, nil).play())
		}
	})
}

// TestSequencesCatch takes mechanisms out and requires that the same check finds a
// violation within so many seeds.
func TestSequencesCatch(t *testing.T) {
	cases := map[string]func(gang.Ports) gang.Ports{
		"claim": func(p gang.Ports) gang.Ports {
			p.Claim = func(context.Context, job.Key, ledger.Claim) (ledger.Verdict, error) { return ledger.Won, nil }

			return p
		},
		"a forgotten token is no proof": func(p gang.Ports) gang.Ports {
			release := p.Release
			p.Release = func(ctx context.Context, n string, r worker.TokenRequest) (worker.Reply, error) {
				reply, err := release(ctx, n, r)
				if reply.State == worker.Missing {
					reply.State = worker.Released
				}

				return reply, err
			}

			return p
		},
		"a silent worker is no proof": func(p gang.Ports) gang.Ports {
			release := p.Release
			p.Release = func(ctx context.Context, n string, r worker.TokenRequest) (worker.Reply, error) {
				reply, err := release(ctx, n, r)
				if err != nil {
					reply.State = worker.Released
				}

				return reply, nil
			}

			return p
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20000) {
				if faults := newWorld(seed, change).play(); len(faults) > 0 {
					t.Logf("caught at seed %d: %s", seed, faults[0])

					return
				}
			}
			require.Fail(t, "the check passes without the mechanism")
		})
	}
}
