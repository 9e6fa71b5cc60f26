package engine

import (
	"context"

	"github.com/pkg/errors"

	"sesameyoke/internal/peer/target"
)

// probeGone asks a worker that has left the list with runs whether it still answers. A request that
// waits for its next report may take seconds to fail.
func (e *Engine) probeGone(w *worker) {
	if len(w.runs) == 0 || !w.reported || w.silentSince != 0 || w.Host == "" {
		return
	}
	to, token := w.recipient(), e.orderToken(w.ID)
	e.background.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, e.Timing.OrderTimeout)
		defer cancel()
		sent := e.SinceBoot()
		_, err := e.Workers.RenewLease(ctx, to.Address, target.LeaseRenewal{Token: token})
		e.mu.Lock()
		defer e.mu.Unlock()
		if !errors.Is(err, target.ErrRefused) && !errors.Is(err, target.ErrUnknown) {
			return // the worker's session will get the same answer
		}
		if w.listed || w.removed || w.life != to.life || w.silentSince != 0 || w.clockAt >= sent {
			return
		}
		w.silentSince, w.lostAt = sent, w.clockAt
		e.Log.Warn().Str("event", "worker-lost").Str("worker", w.ID).Err(err).Int("runs", len(w.runs)).Msg("")
		e.recordSilent()
	})
}

// withdrawGone withdraws the workers with runs that have left the list and do not answer: they get
// no more leases before the silent record is without them. So the next planner need not count the
// leases that this one might still have granted.
func (e *Engine) withdrawGone() {
	for _, w := range e.workers {
		if !w.listed && w.reported && w.silentSince != 0 && len(w.runs) > 0 {
			w.expiredBy = w.grantedUntil()
			w.reported, w.withdrawn = false, true
		}
	}
}
