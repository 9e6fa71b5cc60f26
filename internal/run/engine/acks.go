package engine

import "sesameyoke/internal/peer/target"

// logAck logs an acknowledgement that may have reached another incarnation than the one whose ends it
// names: it got no answer, or another incarnation answered.
func (e *Engine) logAck(w *worker, to recipient, renewal target.LeaseRenewal, r target.Report, err error) {
	if renewal.Acked == 0 || (err == nil && r.Incarnation == to.incarnation) {
		return
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
