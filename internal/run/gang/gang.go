// Package gang implements the protocol that starts all members of one job (gang
// scheduling): reserve, claim, arm, go, and release, which aborts the start.
// model/gang.pml specifies the same steps under the same names.
//
// The first member is the commit point: whichever of go and release its worker
// processes first decides for the whole gang. Go and release therefore visit the
// members in the same order.
package gang

import (
	"context"
	"sync"
	"time"

	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/ledger"
	"sesameyoke/internal/core/unit"
	"sesameyoke/internal/peer/worker"
)

// Outcomes of Start and Settle.
const (
	Started    Outcome = "started"    // all members run
	NotStarted Outcome = "notstarted" // no member has started or ever will
	LostClaim  Outcome = "lostclaim"  // another attempt holds the claim; no member of this one will run
	Broken     Outcome = "broken"     // a member has started, but not all members can run
	InDoubt    Outcome = "indoubt"    // the outcome is unknown: the claim or the first worker's state could not be determined
)

// goTries is the maximum number of times that go is sent to a member until a reply
// arrives.
const goTries = 3

type (
	// Outcome is the state in which Start or Settle leaves a gang.
	Outcome string

	// Calls holds the calls to workers and to the log that the protocol and its callers
	// make.
	Calls struct {
		Reserve  func(ctx context.Context, worker string, r worker.ReserveRequest) (worker.Reply, error)
		Arm      func(ctx context.Context, worker string, r worker.ArmRequest) (worker.Reply, error)
		Go       func(ctx context.Context, worker string, r worker.TokenRequest) (worker.Reply, error)
		Release  func(ctx context.Context, worker string, r worker.TokenRequest) (worker.Reply, error)
		Stop     func(ctx context.Context, worker string, r worker.TokenRequest) (worker.Reply, error)
		Save     func(ctx context.Context, worker string, r worker.TokenRequest) (worker.Reply, error)
		Throttle func(ctx context.Context, worker string, r worker.TokenRequest) (worker.Reply, error)
		Renew    func(ctx context.Context, worker string, r worker.RenewRequest) (worker.Report, error)

		// Claim appends a claim to the log and returns its verdict once it has been
		// read back. After an error it is unknown whether the claim is in effect.
		Claim func(ctx context.Context, k job.Key, c ledger.Claim) (ledger.Verdict, error)

		// Begin records in the log that an idempotent job may have started, which
		// prevents it from being answered as not run.
		Begin func(ctx context.Context, k job.Key)

		// AfterStep is called after each step of the protocol with the step's name.
		// Tests use it to delay the protocol or to run another planner in between.
		AfterStep func(step string)
	}

	// Gang is one attempt to run a job.
	Gang struct {
		Job             job.Job
		Attempt         int
		Holder          string // the VM that runs the protocol, recorded in the claim
		Members         []ledger.Member
		Checkpoint      *ledger.Checkpoint // checkpoint to resume from, or nil
		ReservationTTL  time.Duration      // how long a reservation is held
		InitialLeaseTTL time.Duration      // lease that go grants, until the first renewal
		Calls           Calls
	}

	// Result is the result of Start or Settle.
	Result struct {
		Outcome Outcome
		Worker  string // the worker that refused a step or could not be reached
		Reason  string
	}
)

// Start runs the protocol until all members run or the start has failed.
func (g *Gang) Start(ctx context.Context) Result {
	if r := g.reserve(ctx); r.Outcome != "" {
		g.release(ctx)

		return r
	}
	g.Calls.AfterStep("reserve")
	if !g.Job.Idempotent {
		if r := g.claim(ctx); r.Outcome != "" {
			return r
		}
		g.Calls.AfterStep("claim")
	} else {
		g.Calls.Begin(ctx, g.Job.Key())
	}
	if r := g.arm(ctx); r.Outcome != "" {
		// The first member has not been sent go: this VM has not reached that step, and
		// a successor sends go only to the other members, after it has found that the
		// first one has started.
		settled := g.release(ctx)
		if settled.Outcome == NotStarted {
			return r
		}

		return settled
	}
	g.Calls.AfterStep("arm")

	return g.goAll(ctx)
}

// Settle determines whether a gang has started if its outcome is unknown, for example
// because the planner that was starting it has failed. If the first member has started,
// the remaining members are started too; if it never will, the gang is released; if its
// worker cannot tell, the outcome is InDoubt.
func (g *Gang) Settle(ctx context.Context) Result {
	return g.release(ctx)
}

// reserve reserves the accelerators of all members and records the incarnations of
// their workers.
func (g *Gang) reserve(ctx context.Context) Result {
	return g.forEachMember(func(i int) Result {
		m := &g.Members[i]
		reply, err := g.Calls.Reserve(ctx, m.Worker, worker.ReserveRequest{
			Token: m.Token, Key: g.Job.Key(), Attempt: g.Attempt, Member: i, Members: len(g.Members),
			First: m.First, Width: m.Width, TTL: unit.Duration{Duration: g.ReservationTTL},
		})
		if err != nil {
			return Result{Outcome: NotStarted, Worker: m.Worker, Reason: err.Error()}
		}
		if reply.State != worker.Reserved {
			return Result{Outcome: NotStarted, Worker: m.Worker, Reason: string(reply.State) + " " + reply.Reason}
		}
		m.Incarnation = reply.Incarnation

		return Result{}
	})
}

// claim acquires the exclusive right to start this attempt. If the claim is lost or
// its verdict is unknown, the gang is released.
func (g *Gang) claim(ctx context.Context) Result {
	c := ledger.Claim{Attempt: g.Attempt, Holder: g.Holder, Members: g.Members}
	v, err := g.Calls.Claim(ctx, g.Job.Key(), c)
	if err != nil {
		g.release(ctx)

		return Result{Outcome: InDoubt, Reason: err.Error()}
	}
	if v != ledger.Won {
		g.release(ctx)

		return Result{Outcome: LostClaim}
	}

	return Result{}
}

// arm loads the work of all members. A worker refuses a token whose reservation has
// expired.
func (g *Gang) arm(ctx context.Context) Result {
	return g.forEachMember(func(i int) Result {
		m := g.Members[i]
		r := worker.ArmRequest{
			Token: m.Token, Incarnation: m.Incarnation, Kind: g.Job.Kind, Run: g.Job.Run,
			Payload: g.Job.Payload, TTL: unit.Duration{Duration: g.ReservationTTL},
		}
		if g.Checkpoint != nil && i < len(g.Checkpoint.Data) {
			r.Checkpoint = g.Checkpoint.Data[i]
		}
		reply, err := g.Calls.Arm(ctx, m.Worker, r)
		if err != nil {
			return Result{Outcome: NotStarted, Worker: m.Worker, Reason: err.Error()}
		}
		if reply.State != worker.Armed {
			return Result{Outcome: NotStarted, Worker: m.Worker, Reason: string(reply.State)}
		}

		return Result{}
	})
}

// goAll starts the members in order. If the first member's reply is lost, release
// determines whether that member has started.
func (g *Gang) goAll(ctx context.Context) Result {
	reply, err := g.goOne(ctx, 0)
	if err != nil || !reply.State.HasStarted() {
		return g.release(ctx)
	}
	g.Calls.AfterStep("go")

	return g.goRest(ctx)
}

// goRest starts the members after the first, which has already started.
func (g *Gang) goRest(ctx context.Context) Result {
	for i := 1; i < len(g.Members); i++ {
		reply, err := g.goOne(ctx, i)
		if err == nil && reply.State.HasStarted() {
			continue
		}
		g.StopAll(ctx)

		return Result{Outcome: Broken, Worker: g.Members[i].Worker, Reason: "a member did not start"}
	}

	return Result{Outcome: Started}
}

func (g *Gang) goOne(ctx context.Context, i int) (worker.Reply, error) {
	m := g.Members[i]
	var reply worker.Reply
	var err error
	for range goTries {
		reply, err = g.Calls.Go(ctx, m.Worker, worker.TokenRequest{
			Token: m.Token, Incarnation: m.Incarnation, TTL: unit.Duration{Duration: g.InitialLeaseTTL},
		})
		if err == nil || ctx.Err() != nil {
			break
		}
	}

	return reply, err
}

// release aborts the gang unless its first member has started, in which case the
// others are started too. Only the state "released" of the first member proves that
// the gang has not run. A worker that cannot be reached or no longer knows the token
// (it may have restarted) proves nothing, because the member may have run before.
func (g *Gang) release(ctx context.Context) Result {
	first := g.Members[0]
	reply, err := g.Calls.Release(ctx, first.Worker, worker.TokenRequest{Token: first.Token, Incarnation: first.Incarnation})
	if err != nil {
		return Result{Outcome: InDoubt, Worker: first.Worker, Reason: err.Error()}
	}
	g.Calls.AfterStep("release")
	switch {
	case reply.State.HasStarted():
		return g.goRest(ctx)
	case reply.State != worker.Released:
		return Result{Outcome: InDoubt, Worker: first.Worker, Reason: "the worker does not know the token"}
	}
	for _, m := range g.Members[1:] {
		// Errors are ignored: a reservation that is not released expires.
		_, _ = g.Calls.Release(ctx, m.Worker, worker.TokenRequest{Token: m.Token, Incarnation: m.Incarnation})
	}

	return Result{Outcome: NotStarted}
}

// StopAll sends stop to all members at once. A member whose worker cannot be
// reached stops when its lease expires.
func (g *Gang) StopAll(ctx context.Context) {
	g.forEachMember(func(i int) Result {
		m := g.Members[i]
		_, _ = g.Calls.Stop(ctx, m.Worker, worker.TokenRequest{Token: m.Token, Incarnation: m.Incarnation})

		return Result{}
	})
}

// forEachMember calls f for all members concurrently. It returns the first result in
// member order that has an outcome, or an empty result.
func (g *Gang) forEachMember(f func(i int) Result) Result {
	results := make([]Result, len(g.Members))
	var wait sync.WaitGroup
	for i := range g.Members {
		wait.Add(1)
		go func() {
			defer wait.Done()
			results[i] = f(i)
		}()
	}
	wait.Wait()
	for _, r := range results {
		if r.Outcome != "" {
			return r
		}
	}

	return Result{}
}
