package planner

import (
	"context"

	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/ledger"
	"sesameyoke/internal/run/gang"
)

// bind returns the protocol's calls, bound to the workers' addresses and the log.
func (p *Planner) bind() gang.Ports {
	w := p.Workers

	return gang.Ports{
		Reserve:  to(p.Address, w.Reserve),
		Arm:      to(p.Address, w.Arm),
		Go:       to(p.Address, w.Go),
		Release:  to(p.Address, w.Release),
		Stop:     to(p.Address, w.Stop),
		Save:     to(p.Address, w.Save),
		Throttle: to(p.Address, w.Throttle),
		Renew:    to(p.Address, w.Renew),
		Claim: func(ctx context.Context, k job.Key, c ledger.Claim) (ledger.Verdict, error) {
			ctx, cancel := context.WithTimeout(ctx, p.Timing.Accept.Duration)
			defer cancel()

			return p.Commit(ctx, ledger.Record{Kind: ledger.KindClaim, Key: k, Claim: &c})
		},
		Begin: func(ctx context.Context, k job.Key) {
			ctx, cancel := context.WithTimeout(ctx, p.Timing.Append.Duration)
			defer cancel()

			// Without the log an idempotent job starts all the same.
			_, _ = p.Commit(ctx, ledger.Record{Kind: ledger.KindBegin, Key: k})
		},
		Pause: func(string) {},
	}
}

// to turns a call to an address into one to a worker by name.
func to[In, Out any](
	address func(string) string, call func(context.Context, string, In) (Out, error),
) func(context.Context, string, In) (Out, error) {
	return func(ctx context.Context, name string, in In) (Out, error) {
		return call(ctx, address(name), in)
	}
}
