// Package relay keeps the platform's store in reach of a VM that it turns away:
// the calls then go through another VM.
package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"sesameyoke/internal/peer/store"
)

const (
	wayShare   = 0.4                    // of the time left that one way may take if others follow
	probeEvery = 600 * time.Millisecond // between tries of the direct way while it fails
	restAfter  = 400 * time.Millisecond // no other VM is asked after one has failed
	mostPeers  = 3                      // tried for one call
)

type (
	// Config of a Relay.
	Config struct {
		Direct *store.Store
		Peers  func() []string                   // addresses of other VMs, the most promising first
		Via    func(address string) *store.Store // the store as another VM reaches it
		Boot   func() time.Duration
		Log    *log.Logger
	}

	// Relay chooses the way of each call.
	Relay struct {
		Config

		mu     sync.Mutex
		away   bool          // the direct way has failed
		probe  time.Duration // the direct way is tried again from then
		rest   time.Duration // no other VM is asked before
		sticky string        // VM whose calls have succeeded
	}
)

// New returns a store that is reached by the way that works.
func New(c Config) *store.Store {
	r := &Relay{Config: c}

	return &store.Store{
		Append: func(ctx context.Context, a store.Append) (end int64, err error) {
			err = r.try(ctx, repeatable(a), func(ctx context.Context, s *store.Store) error {
				end, err = s.Append(ctx, a)

				return err
			})

			return end, err
		},
		Read: func(ctx context.Context, topic string, from int64, wait time.Duration) (got store.Range, err error) {
			err = r.try(ctx, wait == 0, func(ctx context.Context, s *store.Store) error {
				got, err = s.Read(ctx, topic, from, wait)

				return err
			})

			return got, err
		},
		Newest: func(ctx context.Context, topic, after string) (p store.Page, err error) {
			err = r.try(ctx, true, func(ctx context.Context, s *store.Store) error {
				p, err = s.Newest(ctx, topic, after)

				return err
			})

			return p, err
		},
	}
}

// repeatable reports whether an append without an answer may be sent again by
// another way: its sequence number or its keys make that harmless. A conditional
// one would fail on its own first copy.
func repeatable(a store.Append) bool { return a.At < 0 }

// try makes a call by one way after the other until the store is reached.
func (r *Relay) try(ctx context.Context, again bool, call func(context.Context, *store.Store) error) error {
	var (
		err   error
		maybe bool // an attempt may have been executed
	)
	ways := r.ways()
	for i, w := range ways {
		err = r.callBy(ctx, w, again && i < len(ways)-1, call)
		r.note(w, err)
		if !failed(err) {
			return err
		}
		maybe = maybe || errors.Is(err, store.ErrUnknown)
		if ctx.Err() != nil || (maybe && !again) {
			break
		}
	}
	if maybe && !errors.Is(err, store.ErrUnknown) {
		return errors.Wrap(store.ErrUnknown, err.Error())
	}

	return err
}

// failed reports whether the store was not reached: any other answer is its own.
func failed(err error) bool {
	return errors.Is(err, store.ErrRefused) || errors.Is(err, store.ErrUnknown)
}

// ways returns the VMs to call by, in order; an empty name is this VM.
func (r *Relay) ways() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Boot()
	var peers []string
	if now >= r.rest {
		peers = r.Peers()
	}
	if i := slices.Index(peers, r.sticky); i > 0 {
		peers[0], peers[i] = peers[i], peers[0]
	}
	peers = peers[:min(len(peers), mostPeers)]
	if r.away && now < r.probe {
		return append(peers, "")
	}
	if r.away {
		r.probe = now + probeEvery
	}

	return append([]string{""}, peers...)
}

// callBy makes a call by one way. With others to follow it leaves them time.
func (r *Relay) callBy(ctx context.Context, way string, more bool, call func(context.Context, *store.Store) error) error {
	if until, ok := ctx.Deadline(); ok && more {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(wayShare*float64(time.Until(until))))
		defer cancel()
	}
	if way == "" {
		return call(ctx, r.Direct)
	}

	return call(ctx, r.Via(way))
}

// note remembers which way has worked.
func (r *Relay) note(way string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case way == "":
		r.noteDirect(err)
	case failed(err):
		r.rest = r.Boot() + restAfter
		r.sticky = ""
	case r.sticky != way:
		r.rest, r.sticky = 0, way
		r.Log.Info().Str("event", "store-through-peer").Str("peer", way).Msg("")
	default:
		r.rest = 0
	}
}

func (r *Relay) noteDirect(err error) {
	switch away := failed(err); {
	case away && !r.away:
		r.away, r.probe = true, r.Boot()+probeEvery
		r.Log.Warn().Str("event", "store-turns-away").Err(err).Msg("")
	case !away && r.away:
		r.away, r.sticky = false, ""
		r.Log.Info().Str("event", "store-reached").Msg("")
	}
}
