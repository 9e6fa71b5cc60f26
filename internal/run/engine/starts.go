package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/share"
	"sesameyoke/internal/peer/target"
)

const (
	doubtParts = 3                      // after this part of its time a start without an answer is looked for
	startTries = 3                      // of a start while this VM is slow itself
	lateFrom   = 100 * time.Millisecond // lateness of this VM from which it is slow itself
)

// startAnswer is a worker's answer to a start.
type startAnswer struct {
	clock  int64
	err    error
	unsent bool // the order was not given
	again  bool // the order was given more than once, and one of them had no answer
}

// sendStart queues the order for a planned member. Its assignment is durable.
func (e *Engine) sendStart(m *member) {
	e.starts.push(m, e.rules(m.unit.job.Queue).Priority)
	e.sendStarts()
}

// sendStarts sends as many of the queued starts as may be on their way.
func (e *Engine) sendStarts() {
	if !e.Lease.Valid() {
		return // the next pass looks again
	}
	for m := e.starts.pop(); m != nil; m = e.starts.pop() {
		switch {
		case m.phase != planned:
		case m.unit.aborted || !m.worker.reached:
			e.release(m)
		default:
			e.sendOne(m)
		}
	}
}

// sendOne gives the order for a planned member.
func (e *Engine) sendOne(m *member) {
	u, w := m.unit, m.worker
	m.phase = starting
	e.starts.sent++
	order := target.Start{
		Task: m.task(), Run: u.run, Spec: u.job.Spec, Token: e.Lease.Token, Saved: m.from, Ticket: m.ticket,
		Deadline: w.extend(e.Boot(), e.Timing.Lease),
	}
	to := w.address()
	e.session.Go(func() {
		if !e.Lease.Valid() {
			e.answered(m, startAnswer{unsent: true})

			return
		}
		sent := e.Boot()
		a := e.start(to, order)
		e.Observe("start_seconds", e.Boot()-sent)
		e.answered(m, a)
	})
}

// answered takes in the answer to a start, and sends the next ones.
func (e *Engine) answered(m *member, a startAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts.sent--
	switch {
	case a.unsent:
		m.phase = planned
		if m.unit.aborted {
			e.release(m)
		} else {
			e.starts.push(m, e.rules(m.unit.job.Queue).Priority)
		}
	case a.again:
		e.rememberLate(m)
		fallthrough
	default:
		e.started(m, a.clock, a.err)
	}
	e.sendStarts()
}

// start gives an order, again if this VM was too slow to see the answer: a worker
// carries an order out once.
func (e *Engine) start(to target.Address, order target.Start) startAnswer {
	var a startAnswer
	for range startTries {
		again := a.err != nil
		a = e.tryStart(to, order)
		a.again = again
		if !errors.Is(a.err, target.ErrUnknown) || !e.late() || !e.Lease.Valid() {
			break
		}
	}

	return a
}

// tryStart gives an order once. One whose answer is late or lost counts as carried
// out if the worker lists the run.
func (e *Engine) tryStart(to target.Address, order target.Start) startAnswer {
	ctx, cancel := context.WithTimeout(e.ctx, e.Timing.Start)
	defer cancel()
	answers := make(chan startAnswer, 1)
	e.session.Go(func() {
		clock, err := e.Workers.Start(ctx, to, order)
		answers <- startAnswer{clock: clock, err: err}
	})
	doubt := time.NewTimer(e.Timing.Start / doubtParts)
	defer doubt.Stop()
	var a startAnswer
	select {
	case a = <-answers:
	case <-doubt.C:
		if clock, ok := e.lists(to, order); ok {
			return startAnswer{clock: clock}
		}
		a = <-answers
	}
	if errors.Is(a.err, target.ErrUnknown) {
		if clock, ok := e.lists(to, order); ok {
			return startAnswer{clock: clock}
		}
	}

	return a
}

// late reports whether this VM itself has been so slow of late that a call without an
// answer says nothing about a worker.
func (e *Engine) late() bool { return e.Late != nil && e.Late() >= lateFrom }

// lists asks a worker whether a run is there, and for its clock.
func (e *Engine) lists(to target.Address, order target.Start) (int64, bool) {
	ctx, cancel := context.WithTimeout(e.ctx, e.Timing.Start)
	defer cancel()
	r, err := e.Workers.Hold(ctx, to, target.Hold{Token: order.Token})
	if err != nil {
		return 0, false // the next report or the stop will tell
	}
	for _, run := range r.Running {
		if run.Task == order.Task && run.Run == order.Run {
			return r.Clock, true
		}
	}

	return 0, false
}

// started takes in the answer to a start.
func (e *Engine) started(m *member, clock int64, err error) {
	u, w := m.unit, m.worker
	if m.phase != starting {
		return
	}
	if clock > 0 {
		w.hear(clock, e.Boot())
	}
	if err == nil {
		m.phase, m.settled, m.began = running, e.Boot(), e.Boot()
		e.trackFrom(m, clock)
		m.paced = share.Full
		if m.fills() && w.shares() {
			e.paceMember(m, e.Boot())
		}
		e.Log.Info().Str("event", "run-started").Str("id", u.job.ID).Str("unit", u.name).Int("task", m.index).
			Int64("run", u.run).Str("worker", w.ID).Str("saved", m.from).Dur("age", e.Boot()-u.job.accepted).Msg("")
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
		e.lose(w.ID)
	case errors.Is(err, target.ErrUnknown):
		m.phase = unsure
		e.rememberLate(m)
		e.sendStop(m)
	case errors.Is(err, target.ErrTicket):
		if a := e.advised[stepName(u.job, u.occur, u.step)]; a != nil {
			delete(a.tickets, w.ID)
			delete(a.asked, w.ID)
		}
		e.release(m)
	default:
		w.refusing = e.Boot() + e.Timing.Backoff
		e.release(m)
	}
	e.abort(u, "start not done")
}
