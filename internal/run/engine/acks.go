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
	maps.DeleteFunc(e.lateAcks, func(_ string, until time.Duration) bool { return now > until })
	w.ackBefore = e.lateAcks[w.ID]
	e.lateAcks[w.ID] = now + e.Timing.LateOrderWindow

	return true
}

// endAck notes the outcome of a renewal that acknowledges ends. Without an answer, it may still be executed
// until LateOrderWindow after it was sent.
func (e *Engine) endAck(w *worker, to recipient, renewal target.LeaseRenewal, r target.Report, err error, sentBy time.Duration) {
	if errors.Is(err, target.ErrUnknown) {
		e.lateAcks[w.ID] = max(w.ackBefore, sentBy+e.Timing.LateOrderWindow)
	} else {
		e.lateAcks[w.ID] = w.ackBefore
	}
	if err == nil && w.Incarnation == to.incarnation && (r.Incarnation == 0 || r.Incarnation == to.incarnation) {
		w.ackedEnd = max(w.ackedEnd, renewal.Acked)

		return
	}
	if w.Incarnation != to.incarnation || w.clockRestarted {
		w.forgetsUntil = e.lateAcks[w.ID]
	}
	e.Log.Warn().Str("event", "ack-uncertain").Str("worker", w.ID).Int64("to", to.incarnation).Int64("born", r.Incarnation).
		Int64("number", renewal.Acked).Err(err).Msg("")
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
	until := e.lateAcks[to.ID]
	e.mu.Unlock()
	if e.SinceBoot() >= until {
		return nil
	}
	ctx, cancel := context.WithTimeout(e.ctx, e.Timing.StartTimeout)
	defer cancel()
	r, err := e.Workers.RenewLease(ctx, to.Address, target.LeaseRenewal{Token: e.Lease.Token})
	switch {
	case errors.Is(err, target.ErrFenced):
		return err
	case err != nil:
		return errors.Wrap(target.ErrRefused, err.Error())
	case r.Incarnation != 0 && r.Incarnation != to.incarnation:
		return errors.Wrap(target.ErrRefused, "worker has restarted")
	}

	return nil
}
