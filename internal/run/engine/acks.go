package engine

import "sesameyoke/internal/peer/target"

// Each incarnation of a worker numbers its ends from 1. An acknowledgement that reaches the next
// incarnation makes it forget ends that the planner has not read. Hence a renewal that acknowledges ends is
// answered at once, is sent only while no earlier order can have started a run on an incarnation that is not known,
// and is overtaken by the orders that follow it.

// mayAck reports whether ends are to be acknowledged to the worker now. A start without an answer may have
// been the first order to a new incarnation.
func (w *worker) mayAck() bool {
	if w.durableEnd <= w.ackedEnd || w.silentSince != 0 || !w.reported {
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

// beginAck prepares a renewal that acknowledges ends just before it is sent. It acknowledges none if it is no
// longer certain to be the first order to an incarnation that is not known. All orders that follow overtake it.
func (e *Engine) beginAck(w *worker, to recipient, renewal *target.LeaseRenewal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.life != to.life || !w.mayAck() {
		renewal.Acked = 0

		return
	}
	renewal.Token = e.orderToken(w.ID)
	e.raiseToken(w.ID)
}

// endAck notes the outcome of a renewal that acknowledges ends.
func (e *Engine) endAck(w *worker, to recipient, renewal target.LeaseRenewal, r target.Report, err error) {
	if err == nil && w.life == to.life && (r.Incarnation == 0 || r.Incarnation == w.Incarnation) {
		w.ackedEnd = max(w.ackedEnd, renewal.Acked)

		return
	}
	e.Log.Warn().Str("event", "ack-uncertain").Str("worker", w.ID).Int64("to", w.Incarnation).Int64("born", r.Incarnation).
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
	life, ackable := w.life, w.ackable(highest)
	e.writer.after(func(err error) {
		if err == nil && w.life == life {
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
