package engine

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/peer/target"
)

// Each incarnation of a worker numbers its ends from 1. An acknowledgement that reaches the next
// incarnation, because the restart is not known yet or because the call is executed late, makes it forget
// ends that the planner has not read. Hence a renewal that acknowledges ends is answered at once, and is
// sent only while it is certain which incarnation receives it.

// confirmAttempts is how often a worker is asked for its incarnation before a start to it is given up. All
// attempts together take no longer than a start.
const confirmAttempts = 2

// errRestarted means that a worker is not the incarnation that is known any more.
var errRestarted = errors.New("worker has restarted")

// lateAck is an acknowledgement without an answer.
type lateAck struct {
	incarnation int64         // for which it was meant
	until       time.Duration // until then, it may still be executed
	earlier     time.Duration // the same for acknowledgements that were meant for earlier incarnations
}

// mayForgetUntil returns until when an incarnation of a worker may forget ends that have not been read.
func (e *Engine) mayForgetUntil(worker string, incarnation int64) time.Duration {
	late := e.lateAcks[worker]
	if late.incarnation == incarnation {
		return late.earlier
	}

	return late.until
}

// mayForgetEnd reports whether a member's worker may forget the end of its run. Long-running tasks start
// again however they end.
func (e *Engine) mayForgetEnd(m *member) bool {
	return e.SinceBoot() < m.worker.forgetsUntil && !m.unit.job.Steps[m.unit.step].LongRunning
}

// mayAck reports whether ends are to be acknowledged to the worker now. A start without an answer may have
// been the first order to a new incarnation.
func (w *worker) mayAck() bool {
	if w.durableEnd <= w.ackedEnd || w.silentSince != 0 || w.clockRestarted {
		return false
	}
	for _, m := range w.members() {
		if m.answeredAt == 0 && (m.phase == starting || m.phase == unconfirmed) {
			return false
		}
	}

	return true
}

// awaitsOutcome reports whether the next report settles a run whose start got no answer.
func (w *worker) awaitsOutcome() bool {
	for _, m := range w.members() {
		if m.answeredAt != 0 && m.phase == unconfirmed {
			return true
		}
	}

	return false
}

// beginAck notes that a renewal that acknowledges ends is about to be sent, unless that is no longer
// certain to reach the incarnation. Until it is answered, a later incarnation may execute it.
func (e *Engine) beginAck(w *worker, to recipient) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.Incarnation != to.incarnation || !w.mayAck() {
		return false
	}
	now := e.SinceBoot()
	maps.DeleteFunc(e.lateAcks, func(_ string, a lateAck) bool { return now > a.until })
	before := e.lateAcks[w.ID]
	w.ackBefore = before
	late := lateAck{incarnation: w.Incarnation, until: now + e.Timing.LateOrderWindow, earlier: before.earlier}
	if before.incarnation != w.Incarnation {
		late.earlier = before.until
	}
	e.lateAcks[w.ID] = late

	return true
}

// endAck notes the outcome of a renewal that acknowledges ends. Without an answer, it may still be executed
// until LateOrderWindow after it was sent.
func (e *Engine) endAck(w *worker, to recipient, renewal target.LeaseRenewal, r target.Report, err error, sentBy time.Duration) {
	switch {
	case errors.Is(err, target.ErrUnknown):
		late := e.lateAcks[w.ID]
		late.until = max(w.ackBefore.until, sentBy+e.Timing.LateOrderWindow)
		e.lateAcks[w.ID] = late
	case w.ackBefore.until == 0:
		delete(e.lateAcks, w.ID)
	default:
		e.lateAcks[w.ID] = w.ackBefore
	}
	if err == nil && w.Incarnation == to.incarnation && (r.Incarnation == 0 || r.Incarnation == to.incarnation) {
		w.ackedEnd = max(w.ackedEnd, renewal.Acked)

		return
	}
	if w.Incarnation != to.incarnation || w.clockRestarted {
		w.forgetsUntil = e.lateAcks[w.ID].until
	}
	e.Log.Warn().Str("event", "ack-uncertain").Str("worker", w.ID).Int64("to", to.incarnation).Int64("born", r.Incarnation).
		Int64("number", renewal.Acked).Err(err).Msg("")
}

// recordEnds processes the reported ends that are new. They are acknowledged to the
// worker once everything up to them is durable.
func (e *Engine) recordEnds(w *worker, ends []target.End, inReport map[*member]bool) {
	highest := w.seenEnd
	e.logGap(w, ends)
	for _, end := range ends {
		m := w.findRun(end.Task, end.Run)
		if m != nil {
			inReport[m] = true
		}
		if end.Number <= w.seenEnd {
			continue
		}
		highest = max(highest, end.Number)
		switch {
		case e.onHold(end.Task.Job):
			w.holdEnd(end.Number)
			if m != nil {
				e.release(m)
			}
		case m != nil:
			m.unit.job.begun = true // the answer to its start may be late or lost
			e.handleEnd(m, end)
			if m.unit.orphan { // its task may be waiting, or run under another number
				e.handleLateEnd(w, end)
			}
		default:
			e.handleLateEnd(w, end)
		}
	}
	if highest == w.seenEnd {
		return
	}
	w.seenEnd = highest
	incarnation, ackable := w.Incarnation, w.ackable(highest)
	e.writer.after(func(err error) {
		if err == nil && w.Incarnation == incarnation {
			w.durableEnd = max(w.durableEnd, ackable)
			w.wakeSession()
		}
	})
}

// logGap logs that a report lacks ends before the first new one, which the worker must have forgotten.
func (e *Engine) logGap(w *worker, ends []target.End) {
	for _, end := range ends {
		if end.Number <= w.seenEnd {
			continue
		}
		if end.Number > w.seenEnd+1 {
			e.Log.Error().Str("event", "ends-missing").Str("worker", w.ID).Int64("born", w.Incarnation).Int64("seen", w.seenEnd).
				Int64("next", end.Number).Msg("")
		}

		return
	}
}

// logMissing logs that a complete report lists a run neither as running nor as ended. That is so if it
// ran on an earlier incarnation, or was stopped before its start arrived; else its end was forgotten.
func (e *Engine) logMissing(m *member) {
	u := m.unit
	e.Log.Warn().Str("event", "run-missing").Str("id", u.job.ID).Str("unit", u.name).Int("task", m.index).Int64("run", u.run).
		Str("worker", m.worker.ID).Int64("born", m.worker.Incarnation).Dur("since", e.SinceBoot()-m.answeredAt).Msg("")
}

// confirmIncarnation asks a worker to which a start is about to be sent whether it is still the incarnation
// that is known. It does so only while an acknowledgement may be executed late: the next incarnation, whose
// start is not known yet, could forget the end of the run.
func (e *Engine) confirmIncarnation(to recipient) error {
	e.mu.Lock()
	until := e.lateAcks[to.ID].until
	e.mu.Unlock()
	if e.SinceBoot() >= until {
		return nil
	}
	var err error
	for range confirmAttempts {
		if err = e.askIncarnation(to); err == nil || errors.Is(err, target.ErrFenced) || errors.Is(err, errRestarted) {
			break
		}
	}
	if err == nil || errors.Is(err, target.ErrFenced) {
		return err
	}

	return errors.Wrap(target.ErrRefused, err.Error())
}

// askIncarnation returns an error unless the worker answers in the incarnation that is known.
func (e *Engine) askIncarnation(to recipient) error {
	ctx, cancel := context.WithTimeout(e.ctx, e.Timing.StartTimeout/confirmAttempts)
	defer cancel()
	r, err := e.Workers.RenewLease(ctx, to.Address, target.LeaseRenewal{Token: e.Lease.Token})
	if err == nil && r.Incarnation != 0 && r.Incarnation != to.incarnation {
		return errRestarted
	}

	return err
}
