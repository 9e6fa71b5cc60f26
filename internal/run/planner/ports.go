package planner

import (
	"context"

	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/ledger"
	"sesameyoke/internal/peer/worker"
	"sesameyoke/internal/run/gang"
)

// bind returns the protocol's calls, bound to the workers' addresses and the log.
func (p *Planner) bind() gang.Ports {
	w := p.Workers
	at := p.Address

	return gang.Ports{
		Reserve: func(ctx context.Context, name string, r worker.ReserveRequest) (worker.Reply, error) {
			return w.Reserve(ctx, at(name), r)
		},
		Arm: func(ctx context.Context, name string, r worker.ArmRequest) (worker.Reply, error) {
			return w.Arm(ctx, at(name), r)
		},
		Go: func(ctx context.Context, name string, r worker.TokenRequest) (worker.Reply, error) {
			return w.Go(ctx, at(name), r)
		},
		Release: func(ctx context.Context, name string, r worker.TokenRequest) (worker.Reply, error) {
			return w.Release(ctx, at(name), r)
		},
		Stop: func(ctx context.Context, name string, r worker.TokenRequest) (worker.Reply, error) {
			return w.Stop(ctx, at(name), r)
		},
		Save: func(ctx context.Context, name string, r worker.TokenRequest) (worker.Reply, error) {
			return w.Save(ctx, at(name), r)
		},
		Throttle: func(ctx context.Context, name string, r worker.TokenRequest) (worker.Reply, error) {
			return w.Throttle(ctx, at(name), r)
		},
		Renew: func(ctx context.Context, name string, r worker.RenewRequest) (worker.Report, error) {
			return w.Renew(ctx, at(name), r)
		},
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
