// Package entry handles the calls that an entry VM receives: it checks API keys and
// routes against the configuration, and passes jobs to the planner or to the store.
package entry

import (
	"context"
	"math/rand/v2"
	"slices"
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
	callTimeout      = 900 * time.Millisecond // of one call to the planner or to another VM
	retryInterval    = 60 * time.Millisecond
	handinTimeout    = 900 * time.Millisecond  // of one append to HandinTopic, which bypasses the planner
	refuseAfter      = 700 * time.Millisecond  // a job is refused if every attempt up to this time has certainly failed
	pendingMaxAge    = 1500 * time.Millisecond // older counts of pending jobs are not used
	responseMargin   = 150 * time.Millisecond  // the answer is sent this long before the caller's deadline
	proofMaxAgeShare = 0.8                     // of the revocation bound; older proofs that the configuration is current do not count
	// RetryAfter is how long a refused caller should wait before it retries.
	RetryAfter = time.Second
)

type (
	// Config of an Entry.
	Config struct {
		Name            string
		Address         string // at which other VMs call this one
		Cores           float64
		StartTime       int64        // start of the process, Unix milliseconds
		Store           *store.Store // client that goes through another VM if this one cannot reach the store
		Direct          *store.Store // client that goes directly only
		Watcher         *ConfigWatcher
		Elector         *lead.Elector
		PeerClient      *planner.Client
		RecordBytes     int                  // size of the largest record that the store accepts; 0 for work.DefaultRecordBytes
		HandinBytes     int                  // size of the jobs, by work.Job.KeptBytes, that may be appended to the store at once without the planner; 0 for no limit
		RevocationBound time.Duration        // a withdrawn key must be refused within this time
		SinceBoot       func() time.Duration // current boot time: time since boot, including time suspended
		Log             *log.Logger
		Observe         func(name string, d time.Duration) // adds a duration to a metric
	}

	// Entry handles the calls of clients and of other VMs.
	Entry struct {
		Config

		engine         atomic.Pointer[engine.Engine]
		pending        atomic.Pointer[pendingCount]
		leaving        atomic.Bool
		handins        handinBudget
		successorCores atomic.Uint64 // cores of the planner's preferred successor, as float bits; 0 if unknown

		mu    sync.Mutex
		peers map[string]peer // by address
	}

	// pendingCount is the number of pending jobs of each queue, as reported by the planner.
	pendingCount struct {
		byQueue map[string]int32
		at      time.Duration // boot time of the report
	}

	// Grant is the result of authorizing a call.
	Grant struct {
		Queue     *policy.Queue
		Version   int64 // of the configuration
		Workspace string
	}
)

// New returns an entry that knows no other VMs yet.
func New(c Config) *Entry {
	if c.RecordBytes == 0 {
		c.RecordBytes = work.DefaultRecordBytes
	}

	return &Entry{Config: c, peers: map[string]peer{}, handins: handinBudget{bytes: c.HandinBytes}}
}

// SetEngine sets the engine that runs while this VM is the planner, or nil when it no
// longer is.
func (e *Entry) SetEngine(g *engine.Engine) { e.engine.Store(g) }

// Leave marks this VM as shutting down, which makes it not ready.
func (e *Entry) Leave() { e.leaving.Store(true) }

// Leaving reports whether this VM is shutting down, so that callers are asked to reconnect
// elsewhere.
func (e *Entry) Leaving() bool { return e.leaving.Load() }

// Ready reports whether this VM may receive calls.
func (e *Entry) Ready() bool { return !e.leaving.Load() && e.configCurrent() }

// configCurrent reports whether the configuration was proven to be the newest recently
// enough to honor the revocation bound.
func (e *Entry) configCurrent() bool {
	return e.Watcher.Policy() != nil && e.Watcher.Age() < time.Duration(proofMaxAgeShare*float64(e.RevocationBound))
}

// Authorize routes a call to a queue and checks its API key against the configuration.
func (e *Entry) Authorize(host, path, key string) (Grant, code.Code) {
	if !e.configCurrent() {
		return Grant{}, code.NotReady
	}
	p := e.Watcher.Policy()
	q := p.Route(host, path)
	if q == nil {
		return Grant{}, code.NoWorkspace
	}
	w, ok := p.KeyOwner(key)
	if !ok && !q.Public {
		return Grant{}, code.Unauthorized
	}

	return Grant{Queue: q, Version: p.Version, Workspace: w}, code.OK
}

// Submit submits a job to the granted queue, retrying until the context ends. It returns
// code.LogDown, which tells the caller that the job did not run, only if no attempt can have
// reached the store. The duration is how long a rejected caller should wait before it retries; 0
// for RetryAfter.
func (e *Entry) Submit(ctx context.Context, g Grant, j work.Job) (code.Code, time.Duration) {
	record, err := work.Encode(j)
	if err != nil {
		e.Log.Error().Str("event", "record-not-encoded").Str("id", j.ID).Err(err).Msg("")

		return code.BadRequest, 0
	}
	handin := []store.Record{{Key: work.Key(work.OpenRecord, j.ID), Value: record}}
	if queue, err := engine.QueueRecord(*g.Queue, g.Version); err == nil {
		handin = append(handin, queue)
	} else { // the planner that reads the job has to know the queue
		e.Log.Error().Str("event", "record-not-encoded").Str("id", j.ID).Str("queue", g.Queue.Name).Err(err).Msg("")
	}
	claim := &handinClaim{budget: &e.handins, size: j.KeptBytes()}
	start, uncertain := e.SinceBoot(), false // uncertain: an attempt may have reached the store
	for ctx.Err() == nil {
		c, retryAfter := e.submitOnce(ctx, record, handin, claim)
		if isFinal(c, uncertain) {
			return c, retryAfter
		}
		uncertain = uncertain || c == code.Unknown
		if !uncertain && e.SinceBoot()-start > refuseAfter {
			break
		}
		timer.Pause(ctx, retryInterval)
	}
	if uncertain {
		return code.Unknown, 0
	}
	claim.release()

	return code.LogDown, 0
}

// isFinal reports whether a result is the answer to a submission. While an earlier attempt may have been
// executed, the lack of room doesn't tell that the job was not accepted.
func isFinal(c code.Code, uncertain bool) bool {
	return c == code.OK || c == code.BadRequest || c == code.TooLarge || (c == code.Overloaded && !uncertain)
}

// submitOnce makes one attempt by way of the planner, then by an append to the store, and
// if the store refuses, through another VM.
func (e *Entry) submitOnce(ctx context.Context, record []byte, handin []store.Record, claim *handinClaim) (code.Code, time.Duration) {
	c, retryAfter := e.plannerSubmit(ctx, record, false)
	if isFinal(c, false) {
		return c, retryAfter
	}
	uncertain := c == code.Unknown
	if !claim.take(e.SinceBoot()) {
		if uncertain {
			return code.Unknown, 0
		}

		return code.Overloaded, 0
	}
	switch c = e.appendHandin(ctx, handin...); {
	case c == code.OK, c == code.BadRequest, c == code.TooLarge && !uncertain:
		return c, 0
	case c == code.Unknown:
		uncertain = true
	default:
		if c, retryAfter = e.relaySubmit(ctx, record); c == code.OK || (c == code.Overloaded && !uncertain) {
			return c, retryAfter
		}
		uncertain = uncertain || c == code.Unknown
	}
	if uncertain {
		return code.Unknown, 0
	}

	return code.LogDown, 0
}

// appendHandin appends records to HandinTopic, from which the planner reads them, without
// calling the planner. The key of the first one is logged. A record without a value would delete its key, so
// nothing is appended then.
func (e *Entry) appendHandin(ctx context.Context, records ...store.Record) code.Code {
	if slices.ContainsFunc(records, store.Record.IsDeletion) {
		e.Log.Error().Str("event", "handin-empty").Str("key", records[0].Key).Msg("")

		return code.BadRequest
	}
	ctx, cancel := context.WithTimeout(ctx, handinTimeout)
	defer cancel()
	_, err := e.Store.Append(ctx, store.Append{Topic: engine.HandinTopic, Records: records, ExpectedEnd: -1})
	e.Log.Info().Str("event", "direct-append").Str("key", records[0].Key).Err(err).Msg("")
	switch {
	case err == nil:
		return code.OK
	case errors.Is(err, store.ErrInvalid):
		return code.TooLarge
	case errors.Is(err, store.ErrRefused):
		return code.LogDown
	}

	return code.Unknown
}

// plannerSubmit submits a job's record to the planner, which may be this VM.
func (e *Entry) plannerSubmit(ctx context.Context, record []byte, relayed bool) (code.Code, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if g := e.engine.Load(); g != nil {
		return submitLocal(ctx, g, record)
	}
	to, ok := e.planner()
	if !ok {
		return code.NotReady, 0
	}
	c, retryAfter, err := e.PeerClient.Submit(ctx, to, record, relayed)
	if err != nil {
		e.Log.Warn().Str("event", "planner-silent").Str("call", "submit").Str("planner", to).Err(err).Msg("")
		e.Elector.CheckNow()
	}

	return c, retryAfter
}

// submitLocal decodes a job's record and submits it to the engine of this VM.
func submitLocal(ctx context.Context, g *engine.Engine, record []byte) (code.Code, time.Duration) {
	j, err := work.DecodeJob(record)
	if err != nil {
		return code.BadRequest, 0
	}
	err = g.Submit(ctx, j)
	var overload *engine.OverloadError
	if errors.As(err, &overload) {
		return code.Overloaded, overload.RetryAfter
	}

	return submitCode(err), 0
}

// submitCode returns the code of a submission's result.
func submitCode(err error) code.Code {
	switch {
	case err == nil:
		return code.OK
	case errors.Is(err, engine.ErrNotPlanning), errors.Is(err, engine.ErrUnknownQueue):
		return code.NotReady
	case errors.Is(err, engine.ErrTooLarge):
		return code.TooLarge
	case errors.Is(err, engine.ErrFull):
		return code.Overloaded
	}

	return code.Unknown
}

// planner returns the address of the planner if it is known and is another VM.
func (e *Entry) planner() (string, bool) {
	h, ok := e.Elector.Holder()

	return h.Address, ok && h.Name != e.Name
}

// relaySubmit submits a job's record through another VM, which may be able to reach the
// planner.
func (e *Entry) relaySubmit(ctx context.Context, record []byte) (code.Code, time.Duration) {
	to, ok := e.randomPeer()
	if !ok {
		return code.NotReady, 0
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, retryAfter, err := e.PeerClient.Submit(ctx, to, record, true)
	if err != nil {
		e.Log.Warn().Str("event", "peer-silent").Str("call", "submit").Str("peer", to).Err(err).Msg("")
	}

	return c, retryAfter
}

// randomPeer returns a random VM other than this one and the planner.
func (e *Entry) randomPeer() (string, bool) {
	plannerAddress, _ := e.planner()
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []string
	for a := range e.peers {
		if a != plannerAddress && a != e.Address {
			all = append(all, a)
		}
	}
	if len(all) == 0 {
		return "", false
	}

	return all[rand.IntN(len(all))], true
}

// Cancel cancels a job, retrying until the context ends.
func (e *Entry) Cancel(ctx context.Context, id, workspace string) code.Code {
	for ctx.Err() == nil {
		c := e.plannerCancel(ctx, id, workspace, false)
		if c == code.OK || c == code.NotFound {
			return c
		}
		if to, ok := e.randomPeer(); ok {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			c, err := e.PeerClient.Cancel(call, to, id, workspace, true)
			cancel()
			if err == nil && (c == code.OK || c == code.NotFound) {
				return c
			}
		}
		c = e.appendHandin(ctx, store.Record{Key: work.Key(work.CancelRecord, id), Value: work.EncodeCancel(workspace)})
		if c == code.OK || c == code.BadRequest {
			return c
		}
		timer.Pause(ctx, retryInterval)
	}

	return code.Unknown
}

func (e *Entry) plannerCancel(ctx context.Context, id, workspace string, relayed bool) code.Code {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
	c, err := e.PeerClient.Cancel(ctx, to, id, workspace, relayed)
	if err != nil {
		e.Log.Warn().Str("event", "planner-silent").Str("call", "cancel").Str("planner", to).Str("id", id).Err(err).Msg("")
		e.Elector.CheckNow()
	}

	return c
}

// State returns a job's phase, retrying until the context ends.
func (e *Entry) State(ctx context.Context, id, workspace string) (work.Phase, code.Code) {
	for ctx.Err() == nil {
		p, c := e.plannerState(ctx, id, workspace, false)
		if c == code.OK || c == code.NotFound {
			return p, c
		}
		if to, ok := e.randomPeer(); ok {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			p, c, err := e.PeerClient.State(call, to, id, workspace, true)
			cancel()
			if err == nil && (c == code.OK || c == code.NotFound) {
				return p, c
			}
		}
		timer.Pause(ctx, 2*retryInterval)
	}

	return 0, code.NotReady
}

func (e *Entry) plannerState(ctx context.Context, id, workspace string, relayed bool) (work.Phase, code.Code) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
	p, c, err := e.PeerClient.State(ctx, to, id, workspace, relayed)
	if err != nil {
		e.Elector.CheckNow()
	}

	return p, c
}

// Pending returns the number of jobs of a queue that have not started.
func (e *Entry) Pending(ctx context.Context, queue string) (int32, code.Code) {
	for ctx.Err() == nil {
		if g := e.engine.Load(); g != nil {
			if n, ok := g.Pending(); ok {
				return n[queue], code.OK
			}
		}
		if p := e.pending.Load(); p != nil && e.SinceBoot()-p.at < pendingMaxAge {
			return p.byQueue[queue], code.OK
		}
		if h, ok := e.Elector.Holder(); ok && h.Name != e.Name {
			if _, err := e.Heartbeat(ctx, h); err == nil {
				continue
			}
		}
		timer.Pause(ctx, 2*retryInterval)
	}

	return 0, code.NotReady
}
