package lead

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"sesameyoke/internal/peer/store"
)

// hold runs the planner and renews its lease until the lease is lost or handed over.
func (e *Elector) hold(ctx context.Context, l *Lease) {
	ctx = l.ctx
	defer l.cancel()
	var wait sync.WaitGroup
	wait.Go(func() {
		defer l.cancel()
		e.Plan(ctx, l)
	})
	for ctx.Err() == nil {
		e.sleep(ctx, e.RenewInterval)
		if ctx.Err() != nil {
			break
		}
		if e.transferToStronger(ctx, l) || !e.renew(ctx, l) {
			l.Invalidate()
		}
	}
	l.validUntil.Store(0)
	wait.Wait()
	e.mu.Lock()
	e.lease, e.lastReadOK = nil, false
	e.mu.Unlock()
	e.Log.Info().Str("event", "lease-lost").Int64("token", l.Token).Msg("")
}

// renew renews the lease and reports whether this VM still holds it.
func (e *Elector) renew(ctx context.Context, l *Lease) bool {
	e.mu.Lock()
	h, end := e.holder, e.end
	e.mu.Unlock()
	h.Renewal++
	h.Journal = l.nextJournal()
	sent := e.SinceBoot()
	newEnd, err := e.append(ctx, h, end, renewAttempts)
	if err == nil {
		e.mu.Lock()
		e.holder, e.end = h, newEnd
		e.mu.Unlock()
		l.extend(sent, e.LeaseValidity, h.Renewal)
		l.noteJournal(h.Journal)

		return true
	}
	if !l.Valid() {
		e.Log.Warn().Str("event", "lease-expired").Err(err).Int64("token", l.Token).Dur("age", l.Age()).Msg("")

		return false
	}
	var conflict *store.ConditionError
	if !errors.As(err, &conflict) {
		e.Log.Warn().Str("event", "lease-renewal-failed").Err(err).Int64("token", l.Token).Dur("age", l.Age()).Msg("")
	}
	if err := e.observe(ctx); err != nil {
		return true // the store is unavailable: the lease stays valid until it expires
	}
	found, _ := e.Holder()
	mine := found.Name == e.Name && found.Token == l.Token && !found.Released
	if mine {
		l.noteJournal(found.Journal) // the renewal found may be an earlier attempt at this one
	}
	if mine && found.Renewal == h.Renewal {
		l.extend(sent, e.LeaseValidity, h.Renewal) // the renewal was stored but its answer was lost
	}

	return mine
}
