package lead

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	transferInterval = 2 * time.Second // minimum time between two offers of the lease to stronger VMs
	suspended        = -1              // value of validUntil while the lease is being offered: no orders are issued
)

// offer is a planner's offer to hand its lease over to this VM.
type offer struct {
	token, end int64     // token of the lease, and offset after its record
	acquired   chan bool // receives whether this VM acquired the lease
}

// Leave gives up the lease if this VM holds it, and keeps the VM from acquiring it again. An acquisition
// that is under way gives the lease up when it has succeeded.
func (e *Elector) Leave(ctx context.Context) {
	e.mu.Lock()
	e.leaving = true
	l := e.lease
	e.mu.Unlock()
	if l != nil {
		e.handOver(ctx, l)
	}
}

// handOver ends the lease that this VM holds, and hands it over to the preferred successor or marks it as
// released.
func (e *Elector) handOver(ctx context.Context, l *Lease) {
	l.Invalidate()
	e.mu.Lock()
	h, end := e.holder, e.end
	e.mu.Unlock()
	if to, ok := e.Successor(); ok && l.offerable() && e.offerLease(ctx, to, h, end) == nil {
		return
	}
	h.Released = true
	if _, err := e.append(ctx, h, end, 1); err != nil {
		e.Log.Warn().Str("event", "lease-release-failed").Err(err).Int64("token", h.Token).Msg("")
	}
}

// errOfferRefused means that the VM to which the lease was offered answered that it has not
// acquired it.
var errOfferRefused = errors.New("offered lease was refused")

// offerLease offers the lease to another VM. It returns nil if that VM acquired the lease,
// errOfferRefused if it answered that it did not, and any other error if the outcome is unknown.
func (e *Elector) offerLease(ctx context.Context, to string, h Holder, end int64) error {
	ctx, cancel := context.WithTimeout(ctx, e.CallTimeout)
	defer cancel()
	acquired, err := e.Offer(ctx, to, h.Token, end)
	e.Log.Info().Str("event", "lease-offered").Str("peer", to).Bool("taken", acquired).Err(err).Int64("token", h.Token).Msg("")
	if err == nil && !acquired {
		return errOfferRefused
	}

	return err
}

// transferToStronger offers the lease to a stronger VM, if there is one, and reports
// whether that VM acquired it. No orders are issued while the outcome is unknown.
func (e *Elector) transferToStronger(ctx context.Context, l *Lease) bool {
	if e.Stronger == nil || !l.offerable() || e.SinceBoot() < e.lastOfferAt+transferInterval {
		return false
	}
	to, ok := e.Stronger()
	if !ok {
		return false
	}
	e.lastOfferAt = e.SinceBoot()
	e.mu.Lock()
	h, end := e.holder, e.end
	e.mu.Unlock()
	until := l.validUntil.Swap(suspended)
	err := e.offerLease(ctx, to, h, end)
	if errors.Is(err, errOfferRefused) {
		l.validUntil.CompareAndSwap(suspended, until) // unless the lease was invalidated in the meantime
	}

	return err == nil
}

// hasOffer reports whether an offer of the lease is pending.
func (e *Elector) hasOffer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.offer != nil
}

// HandleOffer handles a planner's offer of its lease and reports whether this VM acquired it.
func (e *Elector) HandleOffer(ctx context.Context, token, end int64) bool {
	o := &offer{token: token, end: end, acquired: make(chan bool, 1)}
	e.mu.Lock()
	refused := e.leaving || e.lease != nil || e.holder.Token > token
	if !refused {
		e.replaceOffer(o)
	}
	e.mu.Unlock()
	if refused {
		return false
	}
	e.CheckNow()
	select {
	case acquired := <-o.acquired:
		return acquired
	case <-ctx.Done():
	}
	e.mu.Lock()
	if e.offer == o {
		e.replaceOffer(nil)
	}
	e.mu.Unlock()

	return <-o.acquired // an offer that was being accepted is not refused
}

// replaceOffer replaces the pending offer, which it refuses. The caller holds mu.
func (e *Elector) replaceOffer(o *offer) {
	if e.offer != nil {
		e.offer.acquired <- false
	}
	e.offer = o
}

// acceptOffer acquires the lease of a pending offer. It returns nil if there is no offer, the
// offer is outdated or the lease could not be acquired.
func (e *Elector) acceptOffer(ctx context.Context) *Lease {
	e.mu.Lock()
	o := e.offer
	if o == nil || o.token < e.holder.Token {
		e.replaceOffer(nil)
		e.mu.Unlock()

		return nil
	}
	e.offer = nil
	ended := e.endedToken
	e.holder.Token, e.holder.Released, e.holder.Journal = o.token, true, Journal{} // no other one is offered
	e.known, e.unreadable, e.end = true, false, o.end
	e.endedToken = max(e.endedToken, o.token) // its holder issues no orders once the offer is accepted
	e.mu.Unlock()
	l := e.tryAcquire(ctx)
	if l == nil {
		e.forgetHolder(ended)
	}
	o.acquired <- l != nil

	return l
}

// forgetHolder discards what an offer told about the holder of the lease, which goes on because
// the offer was not accepted. The record must be read again.
func (e *Elector) forgetHolder(endedToken int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holder, e.known, e.endedToken = Holder{}, false, endedToken
	e.leaseTimeout, e.statusRenewedAt = e.LeaseTimeout, 0
}
