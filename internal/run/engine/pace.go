package engine

import (
	"context"
	"time"

	"sesameyoke/internal/core/share"
	"sesameyoke/internal/peer/target"
)

const (
	sharedReportWait = 500 * time.Millisecond // longest wait of a report from a worker that runs fillers beside serving tasks
	fillerBackoff    = 10 * time.Second       // a worker that left its fillers no CPU share receives no others for this long
	starvationLimit  = 5 * time.Second        // a filler without a CPU share is moved elsewhere after this time
)

// isServing reports whether a member's task is a service with a latency target.
func (m *member) isServing() bool {
	st := &m.unit.job.Steps[m.unit.step]

	return st.LongRunning && st.Target > 0
}

// isFiller reports whether a member's task is a filler, which uses only the CPU that
// other tasks leave.
func (m *member) isFiller() bool { return m.unit.job.Steps[m.unit.step].BestEffort }

// hasFillersBesideServing reports whether the worker runs both fillers and serving tasks.
func (w *worker) hasFillersBesideServing() bool {
	serves, fills := false, false
	for _, m := range w.members() {
		serves = serves || m.isServing()
		fills = fills || m.isFiller()
	}

	return serves && fills
}

// paceWorker adjusts the CPU share of a worker's fillers after a report.
func (e *Engine) paceWorker(w *worker) {
	var (
		serving []share.Serving
		fillers []*member
	)
	for _, m := range w.members() {
		switch {
		case m.phase != running || m.unit.orphan:
		case m.isServing():
			target := time.Duration(m.unit.job.Steps[m.unit.step].Target) * time.Millisecond
			serving = append(serving, share.Serving{Tail: time.Duration(m.usage) * time.Millisecond, Target: target})
		case m.isFiller():
			fillers = append(fillers, m)
		}
	}
	if len(fillers) == 0 {
		return
	}
	now, before := e.Boot(), w.pace.Percent
	w.pace = w.pace.Next(now, serving)
	if w.pace.Percent != before {
		e.Log.Info().Str("event", "pace").Str("worker", w.ID).Int("percent", w.pace.Percent).Int("before", before).
			Int("serving", len(serving)).Int("filling", len(fillers)).Msg("")
	}
	for _, m := range fillers {
		e.paceMember(m, now)
	}
}

// paceMember sets a filler to its worker's CPU share, or stops it for a start elsewhere
// if it has had no share for starvationLimit.
func (e *Engine) paceMember(m *member, now time.Duration) {
	w := m.worker
	switch {
	case w.pace.Percent > 0:
		m.starvedSince = 0
	case m.starvedSince == 0:
		m.starvedSince = now
	case now-m.starvedSince > starvationLimit:
		w.noFillersUntil = now + fillerBackoff
		e.abort(m.unit, "no CPU share left")

		return
	}
	if m.confirmedPace == w.pace.Percent || m.paceInFlight {
		return
	}
	m.paceInFlight = true
	order := target.Pace{Task: m.task(), Run: m.unit.run, Percent: w.pace.Percent, Token: e.Lease.Token}
	to := w.address()
	e.background.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, e.Timing.StartTimeout)
		defer cancel()
		_, err := e.Workers.Pace(ctx, to, order)
		e.mu.Lock()
		defer e.mu.Unlock()
		m.paceInFlight = false
		if err == nil {
			m.confirmedPace = order.Percent
		} else {
			e.Log.Warn().Str("event", "pace-not-set").Str("id", m.unit.job.ID).Str("worker", w.ID).Int("percent", order.Percent).Err(err).Msg("")
		}
	})
}
