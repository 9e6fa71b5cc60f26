package lead

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// sighting is the first time at which this VM knew that a token had been issued.
	sighting struct {
		token  int64
		at     time.Duration // boot time
		marked bool          // the holder's name has GrantMark
		since  int64         // Holder.MarkedSince of its record
	}

	// Lease is the planner's lease while this VM holds it.
	Lease struct {
		Token int64 // fencing token

		sightings        []sighting
		predecessorEnded bool // the previous holder was known to act no more when this lease was acquired
		sinceBoot        func() time.Duration
		validUntil       atomic.Int64    // boot time up to which orders may be issued
		renewedAt        atomic.Int64    // boot time of the newest renewal
		renewal          atomic.Int64    // number of the newest renewal
		ctx              context.Context // cancelled when the lease ends
		cancel           context.CancelFunc
		wake             func() // makes the elector renew the lease at once

		mu       sync.Mutex
		journal  Journal       // named by the newest renewal that is known to be stored
		proposed *Journal      // to be named by the next renewal; nil if that is the same one
		recorded chan struct{} // closed when a stored renewal names it
	}
)

// Valid reports whether orders may still be issued under the lease.
func (l *Lease) Valid() bool { return int64(l.sinceBoot()) < l.validUntil.Load() }

// Age returns the time since the newest renewal.
func (l *Lease) Age() time.Duration { return l.sinceBoot() - time.Duration(l.renewedAt.Load()) }

// Renewed returns the time since the newest renewal and the number of that renewal.
func (l *Lease) Renewed() (time.Duration, int64) { return l.Age(), l.renewal.Load() }

// ActiveUntil returns a boot time from which no holder of the given token or of an earlier one,
// which must all be older than this lease, issues orders. A holder acts for at most the given
// validity after its successor has acquired the lease, and no longer if it is known to have
// given the lease up or to have been replaced by another process.
func (l *Lease) ActiveUntil(token int64, validity time.Duration) time.Duration {
	switch {
	case token < firstToken:
		return 0
	case token == l.Token-1 && l.predecessorEnded:
		return max(l.supersededAt(token), l.ActiveUntil(token-1, validity))
	}

	return l.supersededAt(token) + validity
}

// AllMarked reports whether the names of all holders between the given token and this lease have
// GrantMark, as far as this VM has seen them or their records tell.
func (l *Lease) AllMarked(after int64) bool { return oldestMarked(l.sightings, l.Token) <= after+1 }

// oldestMarked returns the lowest token of which it is known that its holder and all later ones before
// the given token have GrantMark; the given token if the one before is not known to.
func oldestMarked(sightings []sighting, token int64) int64 {
	for _, s := range slices.Backward(sightings) {
		switch {
		case s.token >= token:
		case s.token < token-1 || !s.marked:
			return token
		default:
			token = s.token
			if s.since > 0 {
				token = min(token, s.since)
			}
		}
	}

	return token
}

// supersededAt returns the earliest boot time at which this VM knew that a later token than
// the given one had been issued.
func (l *Lease) supersededAt(token int64) time.Duration {
	for _, s := range l.sightings {
		if s.token > token {
			return s.at
		}
	}

	return l.sinceBoot()
}

// Invalidate invalidates the lease and cancels its context, which stops the planner. It is
// called when another holder has been seen or the lease is given up.
func (l *Lease) Invalidate() {
	l.validUntil.Store(0)
	l.cancel()
}

// extend records a renewal sent at boot time sent, after which the holder may act for the
// given validity.
func (l *Lease) extend(sent, validity time.Duration, renewal int64) {
	l.renewedAt.Store(int64(sent))
	l.renewal.Store(renewal)
	l.validUntil.Store(int64(sent + validity))
}
