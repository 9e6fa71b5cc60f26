// Package gang runs the protocol that starts one job: reserve, claim, arm, go,
// and its counterpart release. model/gang.pml specifies the same steps by the same
// names.
//
// The first member is the commit point: its worker's answer to go or release,
// whichever comes first, decides the whole gang. Go and release therefore visit
// the members in the same order.
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
	NotStarted Outcome = "notstarted" // no member has run or ever will
	LostClaim  Outcome = "lostclaim"  // another attempt holds the claim; no member of this one will run
	Broken     Outcome = "broken"     // some member has begun and the gang cannot be whole
	InDoubt    Outcome = "indoubt"    // a worker that has to be asked cannot be reached
)

// goTries is how often a lost reply to go is asked for again.
const goTries = 3

type (
	// Outcome is how far a gang has come.
	Outcome string

	// Ports are the calls that the protocol makes.
	Ports struct {
		Reserve  func(ctx context.Context, worker string, r worker.ReserveRequest) (worker.Reply, error)
		Arm      func(ctx context.Context, worker string, r worker.ArmRequest) (worker.Reply, error)
		Go       func(ctx context.Context, worker string, r worker.TokenRequest) (worker.Reply, error)
		Release  func(ctx context.Context, worker string, r worker.TokenRequest) (worker.Reply, error)
		Stop     func(ctx context.Context, worker string, r worker.TokenRequest) (worker.Reply, error)
		Save     func(ctx context.Context, worker string, r worker.TokenRequest) (worker.Reply, error)
		Throttle func(ctx context.Context, worker string, r worker.TokenRequest) (worker.Reply, error)
		Renew    func(ctx context.Context, worker string, r worker.RenewRequest) (worker.Report, error)

		// Claim writes a claim to the log and returns its verdict once it has been
		// read back. An error leaves open whether the claim stands.
		Claim func(ctx context.Context, k job.Key, c ledger.Claim) (ledger.Verdict, error)

		// Begin writes to the log that an idempotent job may have begun, so that it
		// is never said not to have run.
		Begin func(ctx context.Context, k job.Key)

		// Pause is called between any two steps; tests use it to stop there.
		Pause func(step string)
	}

	// Gang is one attempt to run a job.
	Gang struct {
		Job     job.Job
		Attempt int
		Holder  string // the VM that runs the protocol
		Members []ledger.Member
		Save    *ledger.Save  // checkpoint to go on from
		Reserve time.Duration // life of the reservations
		First   time.Duration // life of the first lease
		Ports   Ports
	}

	// Result is what Start or Settle found.
	Result struct {
		Outcome Outcome
		Worker  string // the worker that refused or could not be reached
		Reason  string
	}
)

// Start runs the protocol up to all members running.
func (g *Gang) Start(ctx context.Context) Result {
	if r := g.reserve(ctx); r.Outcome != "" {
		g.release(ctx)

		return r
	}
	g.Ports.Pause("reserve")
	if !g.Job.Idempotent {
		if r := g.claim(ctx); r.Outcome != "" {
			return r
		}
		g.Ports.Pause("claim")
	} else {
		g.Ports.Begin(ctx, g.Job.Key())
	}
	if r := g.arm(ctx); r.Outcome != "" {
		// No go has been sent by anyone: this VM has not, and a successor sends one
		// only after it has found the first member running.
		settled := g.release(ctx)
		if settled.Outcome == NotStarted {
			return r
		}

		return settled
	}
	g.Ports.Pause("arm")

	return g.goAll(ctx)
}

// Settle finds out what became of a gang whose coordinator is gone, and finishes
// it: a gang whose first member has begun is carried on, any other is released.
func (g *Gang) Settle(ctx context.Context) Result {
	return g.release(ctx)
}

// reserve holds the accelerators of all members and takes down the incarnations
// of their workers.
func (g *Gang) reserve(ctx context.Context) Result {
	return g.each(func(i int) Result {
		m := &g.Members[i]
		reply, err := g.Ports.Reserve(ctx, m.Worker, worker.ReserveRequest{
			Token: m.Token, Key: g.Job.Key(), Attempt: g.Attempt, Member: i, Members: len(g.Members),
			First: m.First, Width: m.Width, TTL: unit.Duration{Duration: g.Reserve},
		})
		if err != nil {
			return Result{Outcome: NotStarted, Worker: m.Worker, Reason: err.Error()}
		}
		if reply.State != worker.Reserved {
			return Result{Outcome: NotStarted, Worker: m.Worker, Reason: string(reply.State) + " " + reply.Reason}
		}
		m.Life = reply.Life

		return Result{}
	})
}

// claim takes the right to start this attempt.
func (g *Gang) claim(ctx context.Context) Result {
	c := ledger.Claim{Attempt: g.Attempt, Holder: g.Holder, Members: g.Members}
	v, err := g.Ports.Claim(ctx, g.Job.Key(), c)
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

// arm loads the work of all members. A worker refuses a token that has lapsed.
func (g *Gang) arm(ctx context.Context) Result {
	return g.each(func(i int) Result {
		m := g.Members[i]
		r := worker.ArmRequest{
			Token: m.Token, Life: m.Life, Kind: g.Job.Kind, Run: g.Job.Run,
			Payload: g.Job.Payload, TTL: unit.Duration{Duration: g.Reserve},
		}
		if g.Save != nil && i < len(g.Save.Data) {
			r.Save = g.Save.Data[i]
		}
		reply, err := g.Ports.Arm(ctx, m.Worker, r)
		if err != nil {
			return Result{Outcome: NotStarted, Worker: m.Worker, Reason: err.Error()}
		}
		if reply.State != worker.Armed {
			return Result{Outcome: NotStarted, Worker: m.Worker, Reason: string(reply.State)}
		}

		return Result{}
	})
}

// goAll starts the members in order. When the first one's reply is lost, release
// asks it which came first.
func (g *Gang) goAll(ctx context.Context) Result {
	reply, err := g.goOne(ctx, 0)
	if err != nil || !reply.State.Began() {
		return g.release(ctx)
	}
	g.Ports.Pause("go")

	return g.carryOn(ctx)
}

// carryOn starts the members after the first, which has begun.
func (g *Gang) carryOn(ctx context.Context) Result {
	for i := 1; i < len(g.Members); i++ {
		reply, err := g.goOne(ctx, i)
		if err == nil && reply.State.Began() {
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
		reply, err = g.Ports.Go(ctx, m.Worker, worker.TokenRequest{
			Token: m.Token, Life: m.Life, TTL: unit.Duration{Duration: g.First},
		})
		if err == nil || ctx.Err() != nil {
			break
		}
	}

	return reply, err
}

// release gives up the gang unless its first member has begun, in which case the
// others are started too. Only a first member that says "released" proves that
// the gang has not run; one that cannot be reached, or has forgotten the token,
// proves nothing.
func (g *Gang) release(ctx context.Context) Result {
	first := g.Members[0]
	reply, err := g.Ports.Release(ctx, first.Worker, worker.TokenRequest{Token: first.Token, Life: first.Life})
	if err != nil {
		return Result{Outcome: InDoubt, Worker: first.Worker, Reason: err.Error()}
	}
	g.Ports.Pause("release")
	switch {
	case reply.State.Began():
		return g.carryOn(ctx)
	case reply.State != worker.Released:
		return Result{Outcome: InDoubt, Worker: first.Worker, Reason: "the worker does not know the token"}
	}
	for _, m := range g.Members[1:] {
		// The others lapse by themselves when they cannot be reached.
		_, _ = g.Ports.Release(ctx, m.Worker, worker.TokenRequest{Token: m.Token, Life: m.Life})
	}

	return Result{Outcome: NotStarted}
}

// StopAll stops every member that can be reached. The others stop when their
// leases lapse.
func (g *Gang) StopAll(ctx context.Context) {
	g.each(func(i int) Result {
		m := g.Members[i]
		_, _ = g.Ports.Stop(ctx, m.Worker, worker.TokenRequest{Token: m.Token, Life: m.Life})

		return Result{}
	})
}

// each calls f for all members at once and returns the first result, in member
// order, that has an outcome.
func (g *Gang) each(f func(i int) Result) Result {
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
