// Package entry decides what callers are answered: it checks keys and queues
// against the configuration, and hands jobs to the planner or to the store.
package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/policy"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/planner"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/run/engine"
	"sesameyoke/internal/run/lead"
	"sesameyoke/internal/run/timer"
)

const (
	askTimeout    = 900 * time.Millisecond // for one answer of the planner
	tryPause      = 60 * time.Millisecond
	directTimeout = 900 * time.Millisecond // for one append of this VM
	refuseAfter   = 700 * time.Millisecond // a job that nobody takes is refused
	pendingAge    = 1500 * time.Millisecond
	answerSlack   = 150 * time.Millisecond // answers are sent so long before the caller leaves
	proofShare    = 0.8                    // of the revocation bound; older proofs do not count
	// RetryAfter is when a refused caller may come back.
	RetryAfter = time.Second
)

type (
	// Config of an Entry.
	Config struct {
		Name     string
		Address  string // for calls between VMs
		Cores    float64
		Born     int64        // start of the process, Unix milliseconds
		Store    *store.Store // by the way that works
		Direct   *store.Store // as this VM itself reaches it
		Follower *Follower
		Elector  *lead.Elector
		Peers    *planner.Client
		Revoke   time.Duration
		Boot     func() time.Duration
		Log      *log.Logger
		Observe  func(name string, d time.Duration)
	}

	// Entry answers callers.
	Entry struct {
		Config

		engine    atomic.Pointer[engine.Engine]
		pending   atomic.Pointer[pendingCount]
		leaving   atomic.Bool
		strongest atomic.Uint64 // most cores of a VM that may plan next, as float bits

		mu    sync.Mutex
		peers map[string]peer // by address
	}

	pendingCount struct {
		byQueue map[string]int32
		at      time.Duration
	}

	// Grant is what a call may do.
	Grant struct {
		Queue     *policy.Queue
		Workspace string
	}
)

// New returns an entry.
func New(c Config) *Entry {
	return &Entry{Config: c, peers: map[string]peer{}}
}

// Planning sets the engine while this VM plans; nil ends it.
func (e *Entry) Planning(g *engine.Engine) { e.engine.Store(g) }

// Leave makes this VM not ready.
func (e *Entry) Leave() { e.leaving.Store(true) }

// Leaving reports whether callers are asked to reconnect elsewhere.
func (e *Entry) Leaving() bool { return e.leaving.Load() }

// Ready reports whether callers may be sent here.
func (e *Entry) Ready() bool { return !e.leaving.Load() && e.current() }

// current reports whether the configuration is proven to be fresh enough.
func (e *Entry) current() bool {
	return e.Follower.Policy() != nil && e.Follower.Age() < time.Duration(proofShare*float64(e.Revoke))
}

// Authorize checks a call against the configuration.
func (e *Entry) Authorize(host, path, key string) (Grant, code.Code) {
	if !e.current() {
		return Grant{}, code.NotReady
	}
	p := e.Follower.Policy()
	q := p.Route(host, path)
	if q == nil {
		return Grant{}, code.NoWorkspace
	}
	w, ok := p.KeyOwner(key)
	if !ok && !q.Public {
		return Grant{}, code.Unauthorized
	}

	return Grant{Queue: q, Workspace: w}, code.OK
}

// Submit hands a job in. The answer "not run" is given only when no attempt can
// have reached the store.
func (e *Entry) Submit(ctx context.Context, j work.Job) code.Code {
	record, err := work.Encode(j)
	if err != nil {
		e.Log.Error().Str("event", "record-not-encoded").Str("id", j.ID).Err(err).Msg("")

		return code.BadRequest
	}
	began, maybe := e.Boot(), false
	for ctx.Err() == nil {
		c := e.submitOnce(ctx, j, record)
		if c == code.OK || c == code.BadRequest {
			return c
		}
		maybe = maybe || c == code.Unknown
		if !maybe && e.Boot()-began > refuseAfter {
			break
		}
		timer.Pause(ctx, tryPause)
	}
	if maybe {
		return code.Unknown
	}

	return code.LogDown
}

// submitOnce tries the planner, the store and another VM in turn.
func (e *Entry) submitOnce(ctx context.Context, j work.Job, record []byte) code.Code {
	c := e.plannerSubmit(ctx, record, false)
	if c == code.OK || c == code.BadRequest {
		return c
	}
	maybe := c == code.Unknown
	switch c = e.direct(ctx, store.Record{Key: work.Key(work.OpenRecord, j.ID), Value: record}); c {
	case code.OK:
		return c
	case code.Unknown:
		maybe = true
	default:
		if c = e.relaySubmit(ctx, record); c == code.OK {
			return c
		}
		maybe = maybe || c == code.Unknown
	}
	if maybe {
		return code.Unknown
	}

	return code.LogDown
}

// direct writes a record to the store past the planner, which reads it there.
func (e *Entry) direct(ctx context.Context, r store.Record) code.Code {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	_, err := e.Store.Append(ctx, store.Append{Topic: engine.HandinTopic, Records: []store.Record{r}, At: -1})
	e.Log.Info().Str("event", "direct-append").Str("key", r.Key).Err(err).Msg("")
	switch {
	case err == nil:
		return code.OK
	case errors.Is(err, store.ErrRefused):
		return code.LogDown
	}

	return code.Unknown
}

// plannerSubmit hands a job's record to the planner.
func (e *Entry) plannerSubmit(ctx context.Context, record []byte, relayed bool) code.Code {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if g := e.engine.Load(); g != nil {
		return submitTo(ctx, g, record)
	}
	to, ok := e.planner()
	if !ok {
		return code.NotReady
	}
	c, err := e.Peers.Submit(ctx, to, record, relayed)
	if err != nil {
		e.Log.Warn().Str("event", "planner-silent").Str("call", "submit").Str("planner", to).Err(err).Msg("")
		e.Elector.Hear()
	}

	return c
}

// submitTo decodes a record and hands it to the engine of this VM.
func submitTo(ctx context.Context, g *engine.Engine, record []byte) code.Code {
	j, err := work.DecodeJob(record)
	if err != nil {
		return code.BadRequest
	}
	switch err := g.Submit(ctx, j); {
	case err == nil:
		return code.OK
	case errors.Is(err, engine.ErrNotPlanning):
		return code.NotReady
	}

	return code.Unknown
}

func (e *Entry) planner() (string, bool) {
	h, ok := e.Elector.Holder()

	return h.Address, ok && h.Name != e.Name
}

// relaySubmit hands a job's record to another VM that may reach the planner.
func (e *Entry) relaySubmit(ctx context.Context, record []byte) code.Code {
	to, ok := e.anyPeer()
	if !ok {
		return code.NotReady
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	c, err := e.Peers.Submit(ctx, to, record, true)
	if err != nil {
		e.Log.Warn().Str("event", "peer-silent").Str("call", "submit").Str("peer", to).Err(err).Msg("")
	}

	return c
}

// anyPeer returns a VM other than this one and the planner.
func (e *Entry) anyPeer() (string, bool) {
	plans, _ := e.planner()
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []string
	for a := range e.peers {
		if a != plans && a != e.Address {
			all = append(all, a)
		}
	}
	if len(all) == 0 {
		return "", false
	}

	return all[rand.IntN(len(all))], true
}

// Cancel ends a job.
func (e *Entry) Cancel(ctx context.Context, id, workspace string) code.Code {
	for ctx.Err() == nil {
		c := e.plannerCancel(ctx, id, workspace, false)
		if c == code.OK || c == code.NotFound {
			return c
		}
		if to, ok := e.anyPeer(); ok {
			call, cancel := context.WithTimeout(ctx, askTimeout)
			c, err := e.Peers.Cancel(call, to, id, workspace, true)
			cancel()
			if err == nil && (c == code.OK || c == code.NotFound) {
				return c
			}
		}
		if c = e.direct(ctx, store.Record{Key: work.Key(work.CancelRecord, id), Value: []byte(workspace)}); c == code.OK {
			return c
		}
		timer.Pause(ctx, tryPause)
	}

	return code.Unknown
}

func (e *Entry) plannerCancel(ctx context.Context, id, workspace string, relayed bool) code.Code {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if g := e.engine.Load(); g != nil {
		switch err := g.Cancel(ctx, id, workspace); {
		case err == nil:
			return code.OK
		case errors.Is(err, engine.ErrUnknownJob):
			return code.NotFound
		case errors.Is(err, engine.ErrNotPlanning):
			return code.NotReady
		}

		return code.Unknown
	}
	to, ok := e.planner()
	if !ok {
		return code.NotReady
	}
	c, err := e.Peers.Cancel(ctx, to, id, workspace, relayed)
	if err != nil {
		e.Log.Warn().Str("event", "planner-silent").Str("call", "cancel").Str("planner", to).Str("id", id).Err(err).Msg("")
		e.Elector.Hear()
	}

	return c
}

// State returns a job's phase.
func (e *Entry) State(ctx context.Context, id, workspace string) (work.Phase, code.Code) {
	for ctx.Err() == nil {
		p, c := e.plannerState(ctx, id, workspace, false)
		if c == code.OK || c == code.NotFound {
			return p, c
		}
		if to, ok := e.anyPeer(); ok {
			call, cancel := context.WithTimeout(ctx, askTimeout)
			p, c, err := e.Peers.State(call, to, id, workspace, true)
			cancel()
			if err == nil && (c == code.OK || c == code.NotFound) {
				return p, c
			}
		}
		timer.Pause(ctx, 2*tryPause)
	}

	return 0, code.NotReady
}

func (e *Entry) plannerState(ctx context.Context, id, workspace string, relayed bool) (work.Phase, code.Code) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if g := e.engine.Load(); g != nil {
		p, err := g.State(id, workspace)
		switch {
		case err == nil:
			return p, code.OK
		case errors.Is(err, engine.ErrUnknownJob):
			return p, code.NotFound
		}

		return p, code.NotReady
	}
	to, ok := e.planner()
	if !ok {
		return 0, code.NotReady
	}
	p, c, err := e.Peers.State(ctx, to, id, workspace, relayed)
	if err != nil {
		e.Elector.Hear()
	}

	return p, c
}

// Pending returns how many jobs of a queue have not begun.
func (e *Entry) Pending(ctx context.Context, queue string) (int32, code.Code) {
	for ctx.Err() == nil {
		if g := e.engine.Load(); g != nil {
			if n, ok := g.Pending(); ok {
				return n[queue], code.OK
			}
		}
		if p := e.pending.Load(); p != nil && e.Boot()-p.at < pendingAge {
			return p.byQueue[queue], code.OK
		}
		if h, ok := e.Elector.Holder(); ok && h.Name != e.Name {
			if _, err := e.Ask(ctx, h); err == nil {
				continue
			}
		}
		timer.Pause(ctx, 2*tryPause)
	}

	return 0, code.NotReady
}
