package engine

import (
	"context"
	"time"

	"sesameyoke/internal/core/cpushare"
	"sesameyoke/internal/peer/target"
)

const (
	sharedReportWait  = 500 * time.Millisecond // longest wait of a report from a worker that runs best-effort tasks beside serving ones
	bestEffortBackoff = 10 * time.Second       // a worker that left its best-effort tasks no CPU share receives no others for this long
	starvationLimit   = 5 * time.Second        // a best-effort task without a CPU share is moved elsewhere after this time
)

// isServing reports whether a member's task is a service with a latency target.
func (m *member) isServing() bool {
	st := &m.unit.job.Steps[m.unit.step]

	return st.LongRunning && st.Target > 0
}

// isBestEffort reports whether a member's task is best-effort: it uses only the CPU that
// other tasks leave idle.
func (m *member) isBestEffort() bool { return m.unit.job.Steps[m.unit.step].BestEffort }

// hasBestEffortBesideServing reports whether the worker runs both best-effort
// and serving tasks.
func (w *worker) hasBestEffortBesideServing() bool {
	serving, bestEffort := false, false
	for _, m := range w.members() {
		serving = serving || m.isServing()
		bestEffort = bestEffort || m.isBestEffort()
	}

	return serving && bestEffort
}

// paceWorker adjusts the CPU share of a worker's best-effort tasks after a report.
func (e *Engine) paceWorker(w *worker) {
	var (
		serving    []cpushare.ServingTask
		bestEffort []*member
	)
	for _, m := range w.members() {
		switch {
		case m.phase != running || m.unit.orphan:
		case m.isServing():
			target := time.Duration(m.unit.job.Steps[m.unit.step].Target) * time.Millisecond
			serving = append(serving, cpushare.ServingTask{TailLatency: time.Duration(m.usage) * time.Millisecond, Target: target})
		case m.isBestEffort():
			bestEffort = append(bestEffort, m)
		}
	}
	if len(bestEffort) == 0 {
		return
	}
	now, before := e.SinceBoot(), w.pace.Percent
	w.pace = w.pace.Next(now, serving)
	if w.pace.Percent != before {
		e.Log.Info().Str("event", "pace").Str("worker", w.ID).Int("percent", w.pace.Percent).Int("before", before).
			Int("serving", len(serving)).Int("filling", len(bestEffort)).Msg("")
	}
	for _, m := range bestEffort {
		e.paceMember(m, now)
	}
}

// paceMember sets a best-effort task to its worker's CPU share, or stops it for a start
// elsewhere if it has had no share for starvationLimit.
func (e *Engine) paceMember(m *member, now time.Duration) {
	w := m.worker
	switch {
	case w.pace.Percent > 0:
		m.starvedSince = 0
	case m.starvedSince == 0:
		m.starvedSince = now
	case now-m.starvedSince > starvationLimit:
		w.noBestEffortUntil = now + bestEffortBackoff
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
