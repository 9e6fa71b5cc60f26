package engine

import (
	"context"
	"time"

	"sesameyoke/internal/core/cpushare"
	"sesameyoke/internal/peer/target"
)

const (
	// Longest wait of a lease renewal at a worker that runs best-effort tasks beside serving ones.
	sharedReportWait = 500 * time.Millisecond
	// A worker receives no best-effort tasks for this long after it left one without a CPU share.
	bestEffortBackoff = 10 * time.Second
	// A best-effort task that has no CPU share for this long is stopped, to start elsewhere.
	starvationLimit = 5 * time.Second
)

// isServing reports whether a member's task is a service with a latency target.
func (m *member) isServing() bool {
	st := &m.unit.job.Steps[m.unit.step]

	return st.LongRunning && st.LatencyTarget > 0
}

// isBestEffort reports whether a member's task is best-effort: it uses only the CPU that
// other tasks leave idle.
func (m *member) isBestEffort() bool { return m.unit.job.Steps[m.unit.step].BestEffort }

// hasBestEffortBesideServing reports whether the worker runs both best-effort and serving
// tasks.
func (w *worker) hasBestEffortBesideServing() bool {
	serving, bestEffort := false, false
	for _, m := range w.members() {
		serving = serving || m.isServing()
		bestEffort = bestEffort || m.isBestEffort()
	}

	return serving && bestEffort
}

// adjustCPUShare adjusts the CPU share of a worker's best-effort tasks to the tail latencies
// that it has reported for its serving tasks.
func (e *Engine) adjustCPUShare(w *worker) {
	var (
		serving    []cpushare.ServingTask
		bestEffort []*member
	)
	for _, m := range w.members() {
		switch {
		case m.phase != running || m.unit.orphan:
		case m.isServing():
			target := time.Duration(m.unit.job.Steps[m.unit.step].LatencyTarget) * time.Millisecond
			serving = append(serving, cpushare.ServingTask{TailLatency: time.Duration(m.usage) * time.Millisecond, Target: target})
		case m.isBestEffort():
			bestEffort = append(bestEffort, m)
		}
	}
	if len(bestEffort) == 0 {
		return
	}
	now, before := e.SinceBoot(), w.cpuShare.Percent
	w.cpuShare = w.cpuShare.Next(now, serving)
	if w.cpuShare.Percent != before {
		e.Log.Info().Str("event", "pace").Str("worker", w.ID).Int("percent", w.cpuShare.Percent).Int("before", before).
			Int("serving", len(serving)).Int("filling", len(bestEffort)).Msg("")
	}
	for _, m := range bestEffort {
		e.applyCPUShare(m, now)
	}
}

// applyCPUShare sets a best-effort task to the CPU share that its worker leaves to such tasks,
// unless the worker has confirmed that share. A task that has had no share for
// starvationLimit is stopped instead, to start elsewhere, but a long-running one only while few enough others of its
// step are unavailable.
func (e *Engine) applyCPUShare(m *member, now time.Duration) {
	w := m.worker
	switch {
	case w.cpuShare.Percent > 0:
		m.starvedSince = 0
	case m.starvedSince == 0:
		m.starvedSince = now
	case now-m.starvedSince > starvationLimit && (!m.unit.job.Steps[m.unit.step].LongRunning || e.mayStop(m)):
		w.noBestEffortUntil = now + bestEffortBackoff
		e.abort(m.unit, "no CPU share left")

		return
	}
	if m.confirmedShare == w.cpuShare.Percent || m.shareInFlight {
		return
	}
	m.shareInFlight = true
	order := target.Pace{Task: m.task(), Run: m.unit.run, Percent: w.cpuShare.Percent, Token: e.orderToken(w.ID)}
	to := w.recipient()
	e.background.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, e.Timing.StartTimeout)
		defer cancel()
		_, err := e.Workers.Pace(ctx, to.Address, order)
		e.mu.Lock()
		defer e.mu.Unlock()
		m.shareInFlight = false
		err = e.orderError(to.ID, order.Token, err)
		e.raiseIfUnanswered(to.ID, err)
		if err == nil {
			m.confirmedShare = order.Percent
		} else {
			e.Log.Warn().Str("event", "pace-not-set").Str("id", m.unit.job.ID).Str("worker", w.ID).Int("percent", order.Percent).Err(err).Msg("")
		}
	})
}
