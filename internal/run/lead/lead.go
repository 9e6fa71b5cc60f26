// Package lead keeps the planner's lease: one record that is taken and renewed
// by conditional appends. Its number is the planner's fencing token.
package lead

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"sesameyoke/internal/peer/store"
)

var (
	// ErrReplaced means that another process has the holder's address.
	ErrReplaced = errors.New("holder's process has been replaced")
	// ErrNoProcess means that nothing listens at the holder's address.
	ErrNoProcess = errors.New("nothing listens at the holder's address")
)

const (
	topic = "keyed.lead" // holds the lease's record only
	key   = "planner"

	renewAgain = 100 * time.Millisecond // a renewal without an answer is sent again after
	renewTries = 6                      // of one renewal
)

// Strengths of a VM.
const (
	Unknown Strength = iota
	Weak             // stronger VMs may plan
	Strong
)

type (
	// Holder is the content of the lease's record.
	Holder struct {
		_        struct{} `cbor:",toarray"`
		Name     string   // of the VM, with its incarnation
		Address  string   // where the other VMs reach it
		Token    int64
		Renewal  int64
		Released bool
	}

	// Sign is what a planner tells of its lease.
	Sign struct {
		Age     time.Duration // since the newest renewal
		Renewal int64         // its number
	}

	// Strength compares a VM with the others.
	Strength int

	// Config of an Elector.
	Config struct {
		Store     *store.Store
		Name      string
		Address   string
		Life      time.Duration        // after which an unchanged lease may be taken
		Brief     time.Duration        // the same, if nothing listens at the holder's address
		Renew     time.Duration        // between renewals
		Keep      time.Duration        // a holder acts for so long after its newest renewal
		Call      time.Duration        // bound of one call to the store
		Beat      time.Duration        // between questions to the planner, and bound of one
		WeakBeat  time.Duration        // the same between those of a VM that knows of stronger ones
		Defer     time.Duration        // waited before a free lease is taken, while the other VMs' strength is not known
		WeakDefer time.Duration        // waited by a VM that knows of stronger ones
		Boot      func() time.Duration // time since boot, suspension included
		Log       *log.Logger

		// Ask asks the holder's VM for a sign of the planner.
		Ask func(ctx context.Context, h Holder) (Sign, error)
		// Strength tells how this VM compares with those that may plan; nil if unknown.
		Strength func() Strength
		// Heir returns the VM that may best plan next.
		Heir func() (address string, ok bool)
		// Stronger returns a VM that should plan in place of this one; nil if none ever should.
		Stronger func() (address string, ok bool)
		// Offer offers the lease to a VM and reports whether it has taken it.
		Offer func(ctx context.Context, address string, token, end int64) (bool, error)
		// Plan runs the planner until its context ends or the lease is lost.
		Plan func(ctx context.Context, l *Lease)
	}

	// Elector follows the lease, and takes it when its holder is gone.
	Elector struct {
		Config

		mu       sync.Mutex
		holder   Holder
		known    bool
		end      int64         // offset after the newest record
		since    time.Duration // the record has been seen unchanged since
		sound    bool          // the newest reading succeeded
		regained time.Duration // readings have succeeded since
		sign     Sign          // the holder's newest one
		signed   time.Duration // the renewal that it names was made at
		life     time.Duration // after which the holder's unchanged lease may be taken
		missed   time.Duration // the holder's VM gave no answer at; 0 if it answered last
		lease    *Lease
		leaving  bool
		offer    *offer
		moved    time.Duration // the lease was last offered to a stronger VM at
		wake     chan struct{}
	}

	// Lease is held by this VM.
	Lease struct {
		Token int64

		boot    func() time.Duration
		until   atomic.Int64    // boot time up to which orders may be given
		renewed atomic.Int64    // boot time of the newest renewal
		renewal atomic.Int64    // its number
		ctx     context.Context // ends with the lease
		cancel  context.CancelFunc
	}
)

// New returns an elector that knows nothing.
func New(c Config) *Elector {
	return &Elector{Config: c, life: c.Life, wake: make(chan struct{}, 1)}
}

// Valid reports whether orders may be given under the lease.
func (l *Lease) Valid() bool { return int64(l.boot()) < l.until.Load() }

// Age returns the time since the newest renewal.
func (l *Lease) Age() time.Duration { return l.boot() - time.Duration(l.renewed.Load()) }

// Renewed returns the time since the newest renewal, and its number.
func (l *Lease) Renewed() (time.Duration, int64) { return l.Age(), l.renewal.Load() }

// Lose ends the planner; another one has been seen.
func (l *Lease) Lose() {
	l.until.Store(0)
	l.cancel()
}

// Holder returns the newest holder that was read.
func (e *Elector) Holder() (Holder, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.holder, e.known && !e.holder.Released
}

// Lease returns the lease while this VM holds it, or nil.
func (e *Elector) Lease() *Lease {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.lease
}

// Hear makes the elector look at the lease at once: the planner did not answer.
func (e *Elector) Hear() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run follows the lease until the context ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if l := e.accept(ctx); l != nil {
			e.hold(ctx, l)

			continue
		}
		if e.followed(ctx) {
			e.sleep(ctx, e.beat())

			continue
		}
		if err := e.observe(ctx); err != nil {
			e.sleep(ctx, e.Renew/2)

			continue
		}
		if wait := e.deferral(); wait > 0 && e.free() {
			e.giveWay(ctx, wait)
			if err := e.observe(ctx); err != nil {
				continue
			}
		}
		if l := e.tryTake(ctx); l != nil {
			e.hold(ctx, l)

			continue
		}
		e.sleep(ctx, e.Renew/3)
	}
}

func (e *Elector) strength() Strength {
	if e.Strength == nil {
		return Unknown
	}

	return e.Strength()
}

// beat returns the time between questions to the planner: only VMs that may take its
// lease soon need to know at once that it is gone.
func (e *Elector) beat() time.Duration {
	if e.strength() == Weak {
		return e.WeakBeat
	}

	return e.Beat
}

// deferral returns how long stronger VMs are left to take a free lease.
func (e *Elector) deferral() time.Duration {
	switch e.strength() {
	case Weak:
		return e.WeakDefer
	case Strong:
		return 0
	}

	return e.Defer
}

// giveWay leaves stronger VMs the time to take a free lease. Calls that the planner
// does not answer wake the elector, but do not shorten it; an offer does.
func (e *Elector) giveWay(ctx context.Context, wait time.Duration) {
	until := e.Boot() + wait
	for left := wait; left > 0 && ctx.Err() == nil && !e.offered(); left = until - e.Boot() {
		e.sleep(ctx, left)
	}
}

// followed reports whether the known holder answers and renews.
func (e *Elector) followed(ctx context.Context) bool {
	h, ok := e.Holder()
	if !ok || h.Name == e.Name {
		return false
	}
	if e.missed != 0 && e.Boot()-e.missed < e.Beat {
		return false // its lease is looked at meanwhile
	}
	ctx, cancel := context.WithTimeout(ctx, e.Beat)
	defer cancel()
	sign, err := e.Ask(ctx, h)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life, e.missed = e.Life, e.Boot()
	switch {
	case err == nil:
		e.missed = 0
		e.sign, e.signed = sign, e.Boot()-sign.Age
	case errors.Is(err, ErrReplaced):
		e.life = 0
	case errors.Is(err, ErrNoProcess):
		e.life = e.Brief
	}

	return err == nil && sign.Age < e.Life
}

// observe reads the lease's record.
func (e *Elector) observe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, e.Call)
	defer cancel()
	e.mu.Lock()
	from, known := e.end, e.known
	e.mu.Unlock()
	records, end, err := e.read(ctx, from, known)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.sound = false

		return err
	}
	if !e.sound {
		e.regained = e.Boot()
	}
	if !e.sound || end != e.end || !e.known {
		e.since = e.Boot()
	}
	e.sound, e.known, e.end = true, true, end
	for _, r := range records {
		if r.Key != key {
			continue
		}
		var h Holder
		if err := cbor.Unmarshal(r.Value, &h); err != nil {
			e.Log.Warn().Str("event", "lease-record-unreadable").Err(err).Int64("offset", r.Offset).Msg("")

			continue
		}
		if h.Token != e.holder.Token {
			e.signed, e.life = 0, e.Life // what is known is of another holder
		}
		if h.Token != e.holder.Token || h.Released != e.holder.Released {
			e.Log.Info().Str("event", "planner-seen").Str("planner", h.Name).Int64("token", h.Token).Bool("released", h.Released).Msg("")
		}
		e.holder = h
	}
	if e.signed != 0 && e.sign.Renewal == e.holder.Renewal {
		e.since = min(e.since, e.signed) // the holder itself has told when it renewed
		if e.missed == 0 {
			e.since = max(e.since, e.regained) // it answers, and nobody could renew before
		}
	}

	return nil
}

func (e *Elector) read(ctx context.Context, from int64, known bool) ([]store.Record, int64, error) {
	var gone *store.TruncatedError
	if known {
		r, err := e.Store.Read(ctx, topic, from, 0)
		if err == nil || !errors.As(err, &gone) {
			return r.Records, r.End, err
		}
	}

	return e.Store.All(ctx, topic)
}

// free reports whether the lease may be taken.
func (e *Elector) free() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.holder.Token == 0 || e.holder.Released || e.Boot()-e.since >= e.life
}

// tryTake takes the lease if it is free, or finds it taken by an earlier call.
func (e *Elector) tryTake(ctx context.Context) *Lease {
	e.mu.Lock()
	h, end := e.holder, e.end
	mine := h.Name == e.Name && !h.Released
	leaving := e.leaving
	e.mu.Unlock()
	if leaving || (!mine && !e.free()) {
		return nil
	}
	next := Holder{Name: e.Name, Address: e.Address, Token: h.Token + 1}
	sent := e.Boot()
	now, err := e.append(ctx, next, end, 1)
	if err != nil {
		e.Log.Info().Str("event", "lease-not-taken").Err(err).Int64("token", next.Token).Int64("offset", end).Msg("")

		return nil
	}
	l := &Lease{Token: next.Token, boot: e.Boot}
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.extend(sent, e.Keep, next.Renewal)
	e.mu.Lock()
	e.holder, e.end, e.lease, e.since = next, now, l, sent
	e.mu.Unlock()
	e.Log.Info().Str("event", "lease-taken").Int64("token", next.Token).Int64("offset", now).Str("predecessor", h.Name).Msg("")

	return l
}

func (l *Lease) extend(sent, keep time.Duration, renewal int64) {
	l.renewed.Store(int64(sent))
	l.renewal.Store(renewal)
	l.until.Store(int64(sent + keep))
}

// append writes the lease's record where the topic ends; it sends it up to tries times
// while no answer comes.
func (e *Elector) append(ctx context.Context, h Holder, at int64, tries int) (int64, error) {
	b, err := cbor.Marshal(h)
	if err != nil {
		return 0, errors.Wrap(err, "encode lease")
	}
	ctx, cancel := context.WithTimeout(ctx, e.Call)
	defer cancel()

	return e.Store.AppendAgain(ctx, store.Append{Topic: topic, Records: []store.Record{{Key: key, Value: b}}, At: at}, renewAgain, tries)
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
