// Package lead elects the planner. The planner's lease is a single record in the
// store that is acquired and renewed by conditional appends; its token is the
// planner's fencing token.
package lead

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"sesameyoke/internal/peer/store"
)

var (
	// ErrReplaced means that another process now listens at the holder's address.
	ErrReplaced = errors.New("another process listens at the lease holder's address")
	// ErrNoProcess means that nothing listens at the holder's address.
	ErrNoProcess = errors.New("nothing listens at the lease holder's address")
)

const (
	topic = "keyed.lead" // contains only the lease record
	key   = "planner"

	firstToken = 1 // fencing token of the first holder

	// GrantMark is the suffix of the name of a VM that durably records, as planner, that it is
	// about to grant workers leases. VMs of earlier versions don't.
	GrantMark = "/g"

	// CompactMark precedes GrantMark in the name of a VM that reads compact progress records.
	CompactMark = "/c"

	// HolderMark precedes CompactMark in the name of a VM that reads lease records with fields after
	// Holder.Released.
	HolderMark = "/h"

	// One renewal in so many has the form that VMs of all versions read: a VM of an earlier version that
	// starts later learns of the planner by it, and the planner of that VM by its heartbeat.
	firstFormInterval = 5

	renewRetryInterval = 100 * time.Millisecond // a renewal that gets no answer is resent at this interval
	renewAttempts      = 6                      // maximum number of copies sent of one renewal
)

// Strengths of a VM, by which the elector ranks candidates for planner.
const (
	Unknown Strength = iota
	Weak             // stronger VMs are eligible
	Strong
)

type (
	// Holder is the content of the lease record. encodeHolder tells its forms.
	Holder struct {
		Name     string // of the VM, including its incarnation
		Address  string // at which other VMs call it
		Token    int64  // fencing token
		Renewal  int64  // number of renewals under this token
		Released bool   // the holder has given up the lease

		MarkedSince int64 // the names of all holders from this token on have had GrantMark; 0 if that is not known
		Journal     Journal
	}

	// LeaseStatus is the planner's answer to a heartbeat: the state of its lease.
	LeaseStatus struct {
		Age     time.Duration // since the newest renewal
		Renewal int64         // number of that renewal
	}

	// Strength ranks this VM against the VMs that are eligible to plan.
	Strength int

	// Config of an Elector.
	Config struct {
		Store                 *store.Store
		Name                  string
		Address               string
		LeaseTimeout          time.Duration        // an unchanged lease may be taken over after this time
		DeadHolderTimeout     time.Duration        // replaces LeaseTimeout if nothing listens at the holder's address
		RenewInterval         time.Duration        // interval between renewals
		LeaseValidity         time.Duration        // the holder may act for this long after its newest renewal
		CallTimeout           time.Duration        // timeout of one call to the store
		HeartbeatInterval     time.Duration        // interval between heartbeats to the planner, and timeout of one
		WeakHeartbeatInterval time.Duration        // heartbeat interval of a weak VM
		TakeoverDelay         time.Duration        // delay before taking a free lease while the strength of the other VMs is unknown
		WeakTakeoverDelay     time.Duration        // the same delay for a weak VM
		SinceBoot             func() time.Duration // current boot time: time since boot, including time suspended
		Log                   *log.Logger

		// Heartbeat sends a heartbeat to the holder's VM and returns the state of its lease.
		Heartbeat func(ctx context.Context, h Holder) (LeaseStatus, error)
		// AllReadFields reports whether all VMs that this one knows of have HolderMark; nil if they do.
		AllReadFields func() bool
		// Strength ranks this VM against those eligible to plan; nil means Unknown.
		Strength func() Strength
		// Successor returns the preferred successor of this VM as planner.
		Successor func() (address string, ok bool)
		// Stronger returns a VM that should replace this one as planner; nil disables transfers.
		Stronger func() (address string, ok bool)
		// Offer offers the lease to a VM and reports whether that VM acquired it.
		Offer func(ctx context.Context, address string, token, end int64) (bool, error)
		// Plan runs the planner until its context ends or the lease is lost.
		Plan func(ctx context.Context, l *Lease)
	}

	// Elector monitors the lease and acquires it when it has been released or has expired.
	Elector struct {
		Config

		mu              sync.Mutex
		holder          Holder
		unreadable      bool          // the newest record cannot be read: its holder and token are not known
		known           bool          // the lease record has been read, or its offset came with an offer
		end             int64         // offset after the newest record
		unchangedSince  time.Duration // boot time since which the record is known not to have changed
		lastReadOK      bool          // the newest read of the record succeeded
		readableSince   time.Duration // boot time of the first successful read after the latest failed one
		status          LeaseStatus   // newest answer of the holder to a heartbeat
		statusRenewedAt time.Duration // boot time of the renewal named in status; 0 if there is none
		leaseTimeout    time.Duration // time after which the current holder's unchanged lease may be taken over
		missedAt        time.Duration // boot time of the latest failed heartbeat; 0 if the latest one succeeded
		lease           *Lease        // nil unless this VM holds the lease
		sightings       []sighting    // tokens seen, in ascending order
		endedToken      int64         // newest token whose holder is known to act no more
		leaving         bool
		offer           *offer        // pending offer of the lease to this VM
		lastOfferAt     time.Duration // boot time at which the lease was last offered to a stronger VM
		wake            chan struct{}
	}
)

// New returns an elector that has not read the lease record yet.
func New(c Config) *Elector {
	return &Elector{Config: c, leaseTimeout: c.LeaseTimeout, wake: make(chan struct{}, 1)}
}

// Holder returns the newest known holder. It reports false if the lease has not been read
// yet or has been released.
func (e *Elector) Holder() (Holder, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.holder, e.known && !e.holder.Released
}

// Lease returns the lease if this VM holds it, and nil otherwise.
func (e *Elector) Lease() *Lease {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.lease
}

// CheckNow makes the elector check the lease immediately. It is called when the planner
// did not answer a call, or when another VM offers the lease.
func (e *Elector) CheckNow() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run monitors the lease, and plans while this VM holds it, until the context ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if l := e.acceptOffer(ctx); l != nil {
			e.hold(ctx, l)

			continue
		}
		if e.plannerAlive(ctx) {
			e.sleep(ctx, e.heartbeatInterval())

			continue
		}
		if err := e.observe(ctx); err != nil {
			e.sleep(ctx, e.RenewInterval/2)

			continue
		}
		if wait := e.takeoverDelay(); wait > 0 && e.free() {
			e.waitForStronger(ctx, wait)
			if err := e.observe(ctx); err != nil {
				continue
			}
		}
		if l := e.tryAcquire(ctx); l != nil {
			e.hold(ctx, l)

			continue
		}
		e.sleep(ctx, e.RenewInterval/3)
	}
}

func (e *Elector) strength() Strength {
	if e.Strength == nil {
		return Unknown
	}

	return e.Strength()
}

// heartbeatInterval returns the time between heartbeats to the planner. It is longer for
// weak VMs: only the VMs that take over first need to detect quickly that the planner
// has failed.
func (e *Elector) heartbeatInterval() time.Duration {
	if e.strength() == Weak {
		return e.WeakHeartbeatInterval
	}

	return e.HeartbeatInterval
}

// takeoverDelay returns how long this VM leaves a free lease to stronger VMs before it
// takes the lease itself.
func (e *Elector) takeoverDelay() time.Duration {
	switch e.strength() {
	case Weak:
		return e.WeakTakeoverDelay
	case Strong:
		return 0
	}

	return e.TakeoverDelay
}

// waitForStronger waits to let stronger VMs take a free lease. Failed calls to the
// planner wake the elector but do not shorten the wait; an offer of the lease ends it.
func (e *Elector) waitForStronger(ctx context.Context, wait time.Duration) {
	until := e.SinceBoot() + wait
	for remaining := wait; remaining > 0 && ctx.Err() == nil && !e.hasOffer(); remaining = until - e.SinceBoot() {
		e.sleep(ctx, remaining)
	}
}

// plannerAlive sends the known holder a heartbeat and reports whether it answers and its
// lease has been renewed within the lease timeout.
func (e *Elector) plannerAlive(ctx context.Context) bool {
	h, ok := e.Holder()
	if !ok || h.Name == e.Name {
		return false
	}
	if e.missedAt != 0 && e.SinceBoot()-e.missedAt < e.HeartbeatInterval {
		return false // after a failed heartbeat, Run reads the lease record until the next one is due
	}
	ctx, cancel := context.WithTimeout(ctx, e.HeartbeatInterval)
	defer cancel()
	status, err := e.Heartbeat(ctx, h)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaseTimeout, e.missedAt = e.LeaseTimeout, e.SinceBoot()
	switch {
	case err == nil:
		e.missedAt = 0
		e.status, e.statusRenewedAt = status, e.SinceBoot()-status.Age
	case errors.Is(err, ErrReplaced):
		e.leaseTimeout = 0
		e.endedToken = max(e.endedToken, h.Token)
	case errors.Is(err, ErrNoProcess):
		e.leaseTimeout = e.DeadHolderTimeout
	}

	return err == nil && status.Age < e.LeaseTimeout
}

// observe reads the lease record.
func (e *Elector) observe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, e.CallTimeout)
	defer cancel()
	e.mu.Lock()
	from, known := e.end, e.known
	e.mu.Unlock()
	records, end, err := e.read(ctx, from, known)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.lastReadOK = false

		return err
	}
	if !e.lastReadOK {
		e.readableSince = e.SinceBoot()
	}
	if !e.lastReadOK || end != e.end || !e.known {
		e.unchangedSince = e.SinceBoot()
	}
	e.lastReadOK, e.known, e.end = true, true, end
	for _, r := range records {
		if r.Key != key {
			continue
		}
		h, err := decodeHolder(r.Value)
		if err != nil {
			e.Log.Warn().Str("event", "lease-record-unreadable").Err(err).Int64("offset", r.Offset).Msg("")
			e.unreadable = true

			continue
		}
		e.unreadable = false
		if h.Token != e.holder.Token {
			e.statusRenewedAt, e.leaseTimeout = 0, e.LeaseTimeout // the recorded status and timeout refer to the previous holder
		}
		if h.Token != e.holder.Token || h.Released != e.holder.Released {
			e.Log.Info().Str("event", "planner-seen").Str("planner", h.Name).Int64("token", h.Token).Bool("released", h.Released).Msg("")
		}
		e.holder = h
		e.recordSighting(h)
		if h.Released {
			e.endedToken = max(e.endedToken, h.Token)
		}
	}
	if e.statusRenewedAt != 0 && e.status.Renewal == e.holder.Renewal {
		e.unchangedSince = min(e.unchangedSince, e.statusRenewedAt) // the holder itself reported when it made this renewal
		if e.missedAt == 0 {
			e.unchangedSince = max(e.unchangedSince, e.readableSince) // it is alive, and could not renew while the store was not reachable
		}
	}

	return nil
}

// read reads the lease record: all records if the offset is unknown or truncated, else
// those from that offset.
func (e *Elector) read(ctx context.Context, from int64, known bool) ([]store.Record, int64, error) {
	var truncated *store.TruncatedError
	if known {
		r, err := e.Store.Read(ctx, topic, from, 0)
		if err == nil || !errors.As(err, &truncated) {
			return r.Records, r.End, err
		}
	}

	return e.Store.All(ctx, topic)
}

// free reports whether the lease may be taken: it has never been held, has been
// released, or has been unchanged for the lease timeout.
func (e *Elector) free() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	neverHeld := e.holder.Token == 0 && !e.unreadable
	released := e.holder.Released && !e.unreadable

	return neverHeld || released || e.SinceBoot()-e.unchangedSince >= e.leaseTimeout
}

// tryAcquire acquires the lease if it is free, or if the record already names this process:
// an earlier call may have acquired it without receiving the answer.
func (e *Elector) tryAcquire(ctx context.Context) *Lease {
	e.mu.Lock()
	h, end := e.holder, e.end
	mine := h.Name == e.Name && !h.Released && !e.unreadable
	leaving, token := e.leaving, e.nextToken()
	since := e.markedSince(token)
	e.mu.Unlock()
	if leaving || (!mine && !e.free()) {
		return nil
	}
	next := Holder{Name: e.Name, Address: e.Address, Token: token, MarkedSince: since, Journal: h.Journal}
	sent := e.SinceBoot()
	newEnd, err := e.append(ctx, next, end, 1)
	if err != nil {
		e.Log.Info().Str("event", "lease-not-taken").Err(err).Int64("token", next.Token).Int64("offset", end).Msg("")

		return nil
	}
	l := &Lease{Token: next.Token, sinceBoot: e.SinceBoot, wake: e.CheckNow, journal: next.Journal}
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.extend(sent, e.LeaseValidity, next.Renewal)
	e.mu.Lock()
	e.holder, e.end, e.lease, e.unchangedSince, e.unreadable = next, newEnd, l, sent, false
	e.recordSighting(next)
	l.sightings, l.predecessorEnded = slices.Clone(e.sightings), mine || e.endedToken >= h.Token
	leaving = e.leaving
	e.mu.Unlock()
	e.Log.Info().Str("event", "lease-taken").Int64("token", next.Token).Int64("offset", newEnd).Str("predecessor", h.Name).Bool("leaving", leaving).Msg("")
	if leaving { // Leave was called meanwhile and found no lease
		e.handOver(ctx, l)
	}

	return l
}

// nextToken returns the token of the next holder. If that of the newest holder cannot be read, it is
// the time of day in seconds: tokens grow by one with each holder, so they are far lower. The caller
// holds mu.
func (e *Elector) nextToken() int64 {
	if e.unreadable {
		return max(e.holder.Token+1, time.Now().Unix())
	}

	return e.holder.Token + 1
}

// recordSighting records that a holder's token has been issued. The caller holds mu.
func (e *Elector) recordSighting(h Holder) {
	n := len(e.sightings)
	switch {
	case n > 0 && h.Token == e.sightings[n-1].token: // a renewal may tell more than the first record
		e.sightings[n-1].since = max(e.sightings[n-1].since, h.MarkedSince)
	case n == 0 || h.Token > e.sightings[n-1].token:
		e.sightings = append(e.sightings, sighting{h.Token, e.SinceBoot(), strings.HasSuffix(h.Name, GrantMark), h.MarkedSince})
	}
}

// markedSince returns the token since which all holders have had GrantMark, if this VM gets the given
// token. The caller holds mu.
func (e *Elector) markedSince(token int64) int64 {
	if !strings.HasSuffix(e.Name, GrantMark) {
		return 0
	}

	return oldestMarked(e.sightings, token)
}

// append writes the lease record on condition that the topic still ends at offset at. It
// sends up to tries copies while no answer arrives.
func (e *Elector) append(ctx context.Context, h Holder, at int64, tries int) (int64, error) {
	allRead := e.AllReadFields == nil || e.AllReadFields()
	b, err := encodeHolder(h, allRead && h.Renewal%firstFormInterval != firstFormInterval-1)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, e.CallTimeout)
	defer cancel()

	return e.Store.AppendWithRetry(ctx, store.Append{Topic: topic, Records: []store.Record{{Key: key, Value: b}}, ExpectedEnd: at}, renewRetryInterval, tries)
}

func (e *Elector) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-e.wake:
	}
}
