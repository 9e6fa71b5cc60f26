// Package relay routes calls to the platform's store: directly, or through another VM
// while this VM cannot reach the store.
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
	routeTimeShare      = 0.4                    // share of the remaining time in which a reply must begin if other routes are left
	directProbeInterval = 600 * time.Millisecond // interval at which a failing direct route is tried first
	peerBackoff         = 400 * time.Millisecond // no other VM is used for this long after one has failed
	maxPeers            = 3                      // maximum number of other VMs tried for one call
)

type (
	// Config configures a Relay.
	Config struct {
		Direct    *store.Store                      // the store as reached directly
		Peers     func() []string                   // addresses of the other VMs, in order of preference
		Via       func(address string) *store.Store // the store as reached through another VM
		SinceBoot func() time.Duration              // time since boot, including time suspended
		Log       *log.Logger
	}

	// Relay chooses the route of each call: direct or through another VM.
	Relay struct {
		Config

		mu            sync.Mutex
		directDown    bool          // the latest call by the direct route failed
		directProbeAt time.Duration // time since boot from which the direct route is tried first again
		peersRetryAt  time.Duration // time since boot before which no other VM is used
		preferredPeer string        // VM through which the latest call succeeded; empty if none
	}
)

// New returns a store whose calls go directly or through another VM, whichever works.
func New(c Config) *store.Store {
	r := &Relay{Config: c}

	return &store.Store{
		Append: func(ctx context.Context, a store.Append) (end int64, err error) {
			err = r.try(ctx, idempotent(a), func(ctx context.Context, s *store.Store) error {
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
		Newest: func(ctx context.Context, topic string, part int, after string) (p store.Page, err error) {
			err = r.try(ctx, true, func(ctx context.Context, s *store.Store) error {
				p, err = s.Newest(ctx, topic, part, after)

				return err
			})

			return p, err
		},
	}
}

// idempotent reports whether an append that got no answer may be sent again by another
// route: its sequence number or its keys make a second copy harmless. A conditional append
// is not idempotent, because the second copy fails if the first one succeeded.
func idempotent(a store.Append) bool { return a.ExpectedEnd < 0 }

// try makes a call by one route after another until the store answers. canRetry states
// whether the call may be made again after an attempt that may have been executed.
func (r *Relay) try(ctx context.Context, canRetry bool, call func(context.Context, *store.Store) error) error {
	var (
		err       error
		uncertain bool // an attempt may have been executed
	)
	routes := r.routes()
	for i, route := range routes {
		err = r.callVia(ctx, route, canRetry && i < len(routes)-1, call)
		r.recordResult(route, err)
		if !routeFailed(err) {
			return err
		}
		uncertain = uncertain || errors.Is(err, store.ErrUnknown)
		if ctx.Err() != nil || (uncertain && !canRetry) {
			break
		}
	}
	if uncertain && !errors.Is(err, store.ErrUnknown) {
		return errors.Wrap(store.ErrUnknown, err.Error())
	}

	return err
}

// routeFailed reports whether a call was not executed or got no answer, so that another
// route may succeed. Any other error is the store's answer.
func routeFailed(err error) bool {
	return (errors.Is(err, store.ErrRefused) || errors.Is(err, store.ErrUnknown)) && !errors.Is(err, store.ErrInvalid)
}

// routes returns the VMs through which to make a call, in order. An empty name is the
// direct route.
func (r *Relay) routes() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.SinceBoot()
	var peers []string
	if now >= r.peersRetryAt {
		peers = r.Peers()
	}
	if i := slices.Index(peers, r.preferredPeer); i > 0 {
		peers[0], peers[i] = peers[i], peers[0]
	}
	peers = peers[:min(len(peers), maxPeers)]
	if r.directDown && now < r.directProbeAt {
		return append(peers, "")
	}
	if r.directDown {
		r.directProbeAt = now + directProbeInterval
	}

	return append([]string{""}, peers...)
}

// callVia makes a call by one route. If limitTime is set, the reply must begin to arrive
// within a share of the remaining time, so that other routes can be tried afterwards. A
// reply that is arriving is not abandoned: the others would take as long.
func (r *Relay) callVia(ctx context.Context, route string, limitTime bool, call func(context.Context, *store.Store) error) error {
	if deadline, ok := ctx.Deadline(); ok && limitTime {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		limit := time.AfterFunc(time.Duration(routeTimeShare*float64(time.Until(deadline))), cancel)
		defer limit.Stop()
		ctx = store.OnReply(ctx, func() { limit.Stop() })
	}
	if route == "" {
		return call(ctx, r.Direct)
	}

	return call(ctx, r.Via(route))
}

// recordResult updates the state from which routes derives the order of the routes.
func (r *Relay) recordResult(route string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case route == "":
		r.recordDirectResult(err)
	case routeFailed(err):
		r.peersRetryAt = r.SinceBoot() + peerBackoff
		r.preferredPeer = ""
	case r.preferredPeer != route:
		r.peersRetryAt, r.preferredPeer = 0, route
		r.Log.Info().Str("event", "store-through-peer").Str("peer", route).Msg("")
	default:
		r.peersRetryAt = 0
	}
}

func (r *Relay) recordDirectResult(err error) {
	switch down := routeFailed(err); {
	case down && !r.directDown:
		r.directDown, r.directProbeAt = true, r.SinceBoot()+directProbeInterval
		r.Log.Warn().Str("event", "store-turns-away").Err(err).Msg("")
	case !down && r.directDown:
		r.directDown, r.preferredPeer = false, ""
		r.Log.Info().Str("event", "store-reached").Msg("")
	}
}
