package planner

import (
	"context"

	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/ledger"
	"sesameyoke/internal/run/gang"
)

// gangCalls returns the calls to the workers, by name, and to the log.
func (p *Planner) gangCalls() gang.Calls {
	w := p.Workers

	return gang.Calls{
		Reserve:  byName(p.Address, w.Reserve),
		Arm:      byName(p.Address, w.Arm),
		Go:       byName(p.Address, w.Go),
		Release:  byName(p.Address, w.Release),
		Stop:     byName(p.Address, w.Stop),
		Save:     byName(p.Address, w.Save),
		Throttle: byName(p.Address, w.Throttle),
		Renew:    byName(p.Address, w.Renew),
		Claim: func(ctx context.Context, k job.Key, c ledger.Claim) (ledger.Verdict, error) {
			ctx, cancel := context.WithTimeout(ctx, p.Timing.AcceptTimeout.Duration)
			defer cancel()

			return p.Commit(ctx, ledger.Record{Kind: ledger.KindClaim, Key: k, Claim: &c})
		},
		Begin: func(ctx context.Context, k job.Key) {
			ctx, cancel := context.WithTimeout(ctx, p.Timing.AppendTimeout.Duration)
			defer cancel()

			// The error is ignored: an idempotent job starts even if the log is down.
			_, _ = p.Commit(ctx, ledger.Record{Kind: ledger.KindBegin, Key: k})
		},
		AfterStep: func(string) {},
	}
}

// byName converts a call to a worker's address into a call to a worker's name.
func byName[In, Out any](
	address func(string) string, call func(context.Context, string, In) (Out, error),
) func(context.Context, string, In) (Out, error) {
	return func(ctx context.Context, name string, in In) (Out, error) {
		return call(ctx, address(name), in)
	}
}
