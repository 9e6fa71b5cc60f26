package engine

import (
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/cpushare"
	"sesameyoke/internal/peer/target"
)

const (
	// After 1/3 of its timeout without an answer, a start is looked up in the worker's report.
	probeDivisor = 3
	// Attempts at a start that gets no answer while this VM is overloaded.
	maxStartAttempts = 3
	// Scheduling delay from which this VM counts as overloaded.
	overloadThreshold = 100 * time.Millisecond
	// No starts are sent by an older list of workers: the capacity of one may have shrunk.
	maxListAge = 2500 * time.Millisecond
)

// startAnswer is the outcome of sending a start to a worker.
type startAnswer struct {
	clock   int64
	err     error
	order   sentOrder
	unsent  bool // the order was not sent
	retried bool // the order was sent more than once, and an attempt got no answer
}

// queueStart queues the start of a planned member whose assignment is durable.
func (e *Engine) queueStart(m *member) {
	e.starts.push(m, e.queuePolicy(m.unit.job.Queue).Priority)
	e.sendStarts()
}

// sendStarts sends queued starts up to the limit of starts in flight.
func (e *Engine) sendStarts() {
	if !e.Lease.Valid() || e.SinceBoot() > e.listedAt+maxListAge || !e.evacuationsKnown() {
		return // the next pass tries again
	}
	for m := e.starts.pop(); m != nil; m = e.starts.pop() {
		switch {
		case m.phase != planned:
		case m.unit.aborted:
			e.release(m)
		case !m.worker.reported: // without this member, the rest of a gang would wait in vain
			e.abort(m.unit, "worker restarted")
			e.release(m)
		case e.isEvacuated(m.worker):
			e.abortInEvacuated(m)
		case m.worker.Draining: // announced since the placement
			e.abort(m.unit, "worker leaves")
			e.release(m)
		case m.worker.overcommitted(m.demand()):
			e.abort(m.unit, "capacity has shrunk")
		default:
			e.dispatchStart(m)
		}
	}
}

// dispatchStart sends the start of a planned member in the background.
func (e *Engine) dispatchStart(m *member) {
	u, w := m.unit, m.worker
	m.phase, m.sentAt = starting, e.SinceBoot()
	e.starts.inFlight++
	order := target.Start{
		Task: m.task(), Run: u.run, Spec: u.job.Spec, Token: e.orderToken(w.ID), Saved: m.resumedFrom, Ticket: m.ticket,
		Deadline: w.nextDeadline(e.SinceBoot(), e.Timing.WorkerLease),
	}
	to := w.recipient()
	e.background.Go(func() {
		sent := e.SinceBoot()
		a := e.startWithRetry(m, to, order)
		a.order = sentOrder{at: sent, life: to.life}
		e.Observe("start_seconds", e.SinceBoot()-sent)
		e.handleStartAnswer(m, a)
	})
}

// handleStartAnswer processes the outcome of a start and sends the next queued ones.
func (e *Engine) handleStartAnswer(m *member, a startAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts.inFlight--
	if a.retried || errors.Is(a.err, target.ErrUnknown) {
		e.raiseToken(m.worker.ID)
		e.noteUnansweredStart(m)
	} else if w := m.worker; m.lateIfUnanswered != 0 { // the newest incarnation may have executed it just now
		w.notExpiredBefore = max(w.notExpiredBefore, e.SinceBoot()+w.maxLease)
	}
	notDone := a.unsent || errors.Is(a.err, errOvertaken)
	switch {
	case notDone && m.phase != starting: // it has been released meanwhile
	case notDone:
		m.phase = planned
		if m.unit.aborted {
			e.release(m)
		} else {
			e.starts.push(m, e.queuePolicy(m.unit.job.Queue).Priority)
		}
	default:
		e.applyStartAnswer(m, a)
	}
	m.worker.wakeSession() // ends may wait to be acknowledged
	e.sendStarts()
}

// startWithRetry sends a start and retries it if this VM was probably too slow to
// receive the answer. Retries are safe because starts are idempotent.
func (e *Engine) startWithRetry(m *member, to recipient, order target.Start) startAnswer {
	var a startAnswer
	for i := range maxStartAttempts {
		resends := maxResends
		if i > 0 {
			resends = 0
		}
		next := e.tryStart(m, to, order, resends)
		retried := a.err != nil
		if next.unsent && retried {
			break // the outcome is that of the attempts before
		}
		a = next
		a.retried = a.retried || retried
		if retried {
			a.err = uncertain(a.err)
		}
		if !errors.Is(a.err, target.ErrUnknown) || !e.overloaded() || !e.Lease.Valid() {
			break
		}
	}

	return a
}

// overloaded reports whether this VM has recently been so slow that an unanswered call
// is no evidence against the worker.
func (e *Engine) overloaded() bool {
	return e.SchedulingDelay != nil && e.SchedulingDelay() >= overloadThreshold
}

// applyStartAnswer applies the answer to a start, or its error, to the member. A failed
// start aborts the whole unit.
func (e *Engine) applyStartAnswer(m *member, a startAnswer) {
	u, w, err := m.unit, m.worker, a.err
	if m.phase != starting {
		return
	}
	e.readClock(w, a.clock, a.err, a.order)
	if err == nil {
		u.job.begun = true
		m.phase, m.answeredAt, m.began = running, e.SinceBoot(), e.SinceBoot()
		e.startTrack(m, a.clock)
		m.confirmedShare = cpushare.Full
		if m.isBestEffort() && w.hasBestEffortBesideServing() {
			e.applyCPUShare(m, e.SinceBoot())
		}
		e.Log.Info().Str("event", "run-started").Str("id", u.job.ID).Str("unit", u.name).Int("task", m.index).
			Int64("run", u.run).Str("worker", w.ID).Str("saved", m.resumedFrom).Dur("age", e.SinceBoot()-u.job.acceptedAt).Msg("")
		if u.aborted {
			e.sendStop(m)
		}

		return
	}
	e.Log.Warn().Str("event", "start-not-done").Str("id", u.job.ID).Str("unit", u.name).Int("task", m.index).
		Int64("run", u.run).Str("worker", w.ID).Err(err).Msg("")
	e.Count("starts_not_done", 1)
	switch {
	case errors.Is(err, target.ErrFenced):
		e.loseLease(w.ID)
	case errors.Is(err, target.ErrUnknown):
		m.phase = unconfirmed
		e.sendStop(m)
	case errors.Is(err, target.ErrTicket):
		if a := e.adviceByStep[stepName(u.job, u.occur, u.step)]; a != nil {
			a.drop(w.ID)
		}
		e.release(m)
	default:
		w.refusingUntil = e.SinceBoot() + e.Timing.RefusalBackoff
		e.release(m)
	}
	e.abort(u, "start failed")
}
