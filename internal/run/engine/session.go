package engine

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/timer"
)

const (
	// A lease renewal times out this long after its wait has passed.
	renewalSlack = 400 * time.Millisecond
	// Pause after a lease renewal without an answer.
	renewalRetryPause = 120 * time.Millisecond
	// Pause between lease renewals while reported ends are not durable yet, and longest wait of
	// an idle session.
	pendingEndsPause = 700 * time.Millisecond
	// For this long after a takeover, runs of jobs whose open record has not been read are not
	// stopped.
	unmatchedGrace = 5 * time.Second
	// Wait of a lease renewal that is to settle an unanswered order, and polling interval of
	// awaitReports.
	confirmWait = 20 * time.Millisecond

	// While this VM is overloaded, a worker counts as silent only after 1/2 of its lease without
	// an answer.
	overloadGraceDivisor = 2
)

// sentOrder tells when an order was sent, and the worker's incarnation that was known then, on
// whose clock the order's deadline is.
type sentOrder struct {
	at          time.Duration
	incarnation int64
	deadline    int64 // 0 if it has none
}

// recipient is a worker in the incarnation that is known when an order is prepared for it.
type recipient struct {
	target.Address
	incarnation int64
}

// startSession starts the goroutine that renews a worker's lease and reads its reports.
func (e *Engine) startSession(w *worker) {
	e.background.Go(func() {
		for e.ctx.Err() == nil {
			renewal, to, due := e.nextRenewal(w)
			if e.isRemoved(w) {
				return
			}
			if !due || !e.Lease.Valid() {
				e.waitForWork(w)

				continue
			}
			e.sendRenewal(w, to, renewal)
		}
	})
}

func (e *Engine) isRemoved(w *worker) bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return w.removed
}

// waitForWork waits until the worker's session is woken, but no longer than pendingEndsPause.
func (e *Engine) waitForWork(w *worker) {
	t := time.NewTimer(pendingEndsPause)
	defer t.Stop()
	select {
	case <-e.ctx.Done():
	case <-w.wake:
	case <-t.C:
	}
}

// nextRenewal returns the next lease renewal for a worker, which also asks for a report, and
// whether one is due now.
func (e *Engine) nextRenewal(w *worker) (target.LeaseRenewal, recipient, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	renewal := target.LeaseRenewal{Token: e.Lease.Token, Wait: e.Timing.ReportWait}
	if w.Host == "" {
		e.expireLease(w)

		return renewal, recipient{}, false
	}
	if w.admitting {
		return renewal, recipient{}, false
	}
	if !w.reported {
		renewal.Wait = 0

		return renewal, w.recipient(), true
	}
	if w.needsNoReport(e.SinceBoot()) {
		return renewal, recipient{}, false
	}
	var due bool
	if renewal.Acked, renewal.Wait, due = e.renewalContent(w); !due {
		return renewal, recipient{}, false
	}
	if len(w.runs) > 0 && w.silentSince == 0 && w.mayHoldLease() { // the lease of a silent worker is not renewed, so that it can expire
		renewal.Deadline = w.nextDeadline(e.SinceBoot(), e.Timing.WorkerLease)
	}

	return renewal, w.recipient(), true
}

// renewalContent returns up to which number a renewal acknowledges ends, how long the worker may delay its
// answer, and whether the renewal is due now.
func (e *Engine) renewalContent(w *worker) (acked int64, wait time.Duration, due bool) {
	switch {
	case w.mayAck():
		return w.durableEnd, 0, true
	case w.silentSince != 0:
	case w.clockRestarted:
		return 0, 0, true
	case w.awaitsOutcome():
	case w.seenEnd > w.ackedEnd: // these ends cannot be acknowledged yet, so the worker would report them again at once
		waits := (len(w.runs) == 0 && w.seenEnd > w.durableEnd) || e.SinceBoot()-w.clockAt < pendingEndsPause

		return 0, 0, !waits
	}
	wait = e.Timing.ReportWait
	if len(w.runs) == 0 {
		wait = 0
	}
	if w.hasBestEffortBesideServing() {
		wait = min(wait, sharedReportWait)
	}
	if w.awaitsOutcome() {
		wait = min(wait, confirmWait)
	}

	return 0, wait, true
}

// sendRenewal sends a lease renewal and processes the outcome.
func (e *Engine) sendRenewal(w *worker, to recipient, renewal target.LeaseRenewal) {
	if renewal.Wait == 0 && renewal.Deadline == 0 { // a renewal of a lease must not wait
		if !e.calls.acquire(e.ctx.Done()) {
			return
		}
		defer e.calls.release()
	}
	if renewal.Acked > 0 && !e.beginAck(w, to) {
		renewal.Acked = 0
	}
	ctx, cancel := context.WithTimeout(e.ctx, renewal.Wait+renewalSlack)
	defer cancel()
	sent := e.SinceBoot()
	ctx, sentBy := e.traceSending(ctx)
	r, err := e.Workers.RenewLease(ctx, to.Address, renewal)
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.removed || e.ctx.Err() != nil {
		return
	}
	if renewal.Deadline > 0 {
		w.settleOrder(to.incarnation)
	}
	e.noteOutcome(w, err, sentOrder{at: sentBy(), incarnation: to.incarnation, deadline: renewal.Deadline})
	if renewal.Acked > 0 {
		e.endAck(w, to, renewal, r, err, sentBy())
	}
	if err == nil {
		e.contain("report", w.ID, func() { e.handleReport(w, r, sent) })

		return
	}
	e.handleNoReport(w, sent, ctx.Err() != nil, err)
}

// noteOutcome notes the outcome of an order for the worker's lease.
func (e *Engine) noteOutcome(w *worker, err error, o sentOrder) {
	before := w.staleAt
	w.noteOutcome(!errors.Is(err, target.ErrUnknown), o, e.SinceBoot())
	if w.staleAt != before {
		e.logStale(w)
	}
}

// logStale logs until when a restarted worker's lease counts as valid because of an unanswered order
// with a deadline on its earlier clock.
func (e *Engine) logStale(w *worker) {
	if w.staleAt != 0 {
		e.Log.Warn().Str("event", "order-stale").Str("worker", w.ID).Dur("sent", e.SinceBoot()-w.staleAt).Int64("deadline", w.staleDeadline).
			Dur("leased", w.validUntilAtLeast()-e.SinceBoot()).Msg("")
	}
	e.recordNewStale(w)
}

// traceSending returns a context for a call to a worker, and a function that returns after the call
// by when it had been sent.
func (e *Engine) traceSending(ctx context.Context) (context.Context, func() time.Duration) {
	var sent atomic.Int64
	ctx = target.OnSent(ctx, func() { sent.Store(int64(e.SinceBoot())) })

	return ctx, func() time.Duration {
		if at := sent.Load(); at != 0 {
			return time.Duration(at)
		}

		return e.SinceBoot()
	}
}

// handleNoReport handles a lease renewal that returned no report, in time or at all. The caller holds mu, which
// is released during the pause before the next request.
func (e *Engine) handleNoReport(w *worker, sent time.Duration, timedOut bool, err error) {
	switch {
	case errors.Is(err, target.ErrFenced):
		e.loseLease(w.ID)

		return
	case errors.Is(err, target.ErrOtherIncarnation):
		e.Log.Warn().Str("event", "worker-replaced").Str("worker", w.ID).Str("address", w.Host).Msg("")
		e.handleLoss(w, e.restartCause(w, w.Draining), 0)
		e.endAll(w, target.LeaseExpired)
		w.Host = ""

		return
	}
	if e.overloaded() && w.reported && w.silentSince == 0 && e.SinceBoot() < w.clockAt+e.Timing.WorkerLease/overloadGraceDivisor {
		e.Count("reports_late", 1) // the request is repeated, because the delay is probably this VM's

		return
	}
	if w.silentSince == 0 {
		w.silentSince, w.lostAt = sent, e.SinceBoot()
		if timedOut {
			w.lostAt = w.clockAt
		}
		e.Log.Warn().Str("event", "worker-lost").Str("worker", w.ID).Err(err).Int("runs", len(w.runs)).Msg("")
	}
	e.expireLease(w)
	e.mu.Unlock()
	timer.Pause(e.ctx, renewalRetryPause)
	e.mu.Lock()
}

// expireLease ends the runs of a worker whose lease must have expired by now.
func (e *Engine) expireLease(w *worker) {
	if !w.leaseExpired(e.SinceBoot()) {
		return
	}
	if len(w.runs) > 0 {
		e.Log.Warn().Str("event", "lease-lapsed").Str("worker", w.ID).Int("runs", len(w.runs)).Msg("")
		e.handleExpiry(w)
		e.endAll(w, target.LeaseExpired)
	}
	if !w.listed {
		w.removed = true
		delete(e.workers, w.ID)
	}
}

// endAll ends all runs of a worker.
func (e *Engine) endAll(w *worker, how target.How) {
	for _, m := range w.members() {
		if m.phase == starting {
			e.recordUnansweredStart(m)
		}
		e.handleEnd(m, target.End{How: how})
	}
}

// handleReport processes a worker's report. One that was requested after the planner had learnt of the
// newest incarnation is not from an earlier one, even if its start time is lower: the worker's time of day
// may have been set back.
func (e *Engine) handleReport(w *worker, r target.Report, sent time.Duration) {
	if r.Incarnation != 0 && r.Incarnation < w.Incarnation && sent <= w.incarnationAt {
		return // from an earlier incarnation
	}
	restarted := r.Incarnation != 0 && r.Incarnation != w.Incarnation
	if restarted {
		e.handleRestart(w, r.Incarnation, w.Draining) // before the state of the loss is reset
	}
	if w.silentSince != 0 {
		e.Log.Info().Str("event", "worker-regained").Str("worker", w.ID).Dur("after", e.SinceBoot()-w.silentSince).Msg("")
		w.silentSince = 0
	}
	w.setClock(r.Clock, e.SinceBoot())
	w.noteClock(r.Clock, sent)
	if restarted {
		e.logStale(w)
	} else if sent > w.clockRestartedAt {
		w.clockRestarted = false // it has not restarted
	}
	e.admitReports(w)
	w.reportDue = false
	inReport := map[*member]bool{}
	e.recordEnds(w, r.Ended, inReport)
	for _, run := range r.Running {
		if !run.Task.Possible() {
			e.Log.Warn().Str("event", "run-impossible").Str("worker", w.ID).Str("id", run.Task.Job).Int("occur", run.Task.Occur).
				Int("step", run.Task.Step).Int("task", run.Task.Index).Msg("")

			continue
		}
		e.recordRunning(w, run, inReport)
	}
	e.assessWorker(w)
	e.adjustCPUShare(w)
	if !r.Partial {
		e.endOmitted(w, inReport, sent)
	}
}

// endOmitted ends the runs that are not in a complete report, which was requested at the given
// time: the worker's lease has expired.
func (e *Engine) endOmitted(w *worker, inReport map[*member]bool, sent time.Duration) {
	for _, m := range w.members() {
		if !inReport[m] && m.phase != planned && m.phase != starting && m.answeredAt != 0 && sent > m.answeredAt {
			e.logMissing(m)
			e.handleEnd(m, target.End{How: target.LeaseExpired})
		}
	}
}

// readClock processes the clock value in the answer to an order. The answer does not tell which
// incarnation gave it. A clock that is behind its estimate is that of a new incarnation: deadlines of the
// previous one mean nothing to it, and its lease may be as long as a worker accepts.
func (e *Engine) readClock(w *worker, clock int64, err error, order sentOrder) {
	now := e.SinceBoot()
	switch {
	case clock < 0 || (clock == 0 && err != nil) || w.Incarnation != order.incarnation || w.clockAt == 0: // no clock to compare with
	case clock < w.estimateClock(order.at)-clockMargin.Milliseconds(): // also if it is above the newest one: that may be old
		w.clockRestarted, w.clockRestartedAt = true, now
		w.voidDeadlines(now)
		w.forgetsUntil = e.lateAcks[w.ID].until
		w.setClock(clock, now)
		w.deadline = 0
		w.noteClock(clock, order.at)
		e.recordNewStale(w)
	case clock >= w.clock:
		w.setClock(clock, now)
	}
}

// handleRestart switches a worker to a new incarnation. It is not known which incarnation
// answered a start, so a run counts as ended only if the new incarnation does not report it.
// The argument draining tells whether the previous incarnation had announced that it leaves.
func (e *Engine) handleRestart(w *worker, incarnation int64, draining bool) {
	e.Log.Warn().Str("event", "worker-restarted").Str("worker", w.ID).Int64("born", incarnation).Int64("before", w.Incarnation).Int("runs", len(w.runs)).Msg("")
	e.handleLoss(w, e.restartCause(w, draining), incarnation)
	w.resetIncarnation(incarnation, e.SinceBoot())
	w.forgetsUntil = e.mayForgetUntil(w.ID, incarnation)
	for _, m := range w.members() {
		// An unanswered start may still reach the new incarnation. Only a stop that this
		// incarnation answers rules that out. For all other runs, its report shows whether
		// they have ended.
		if (m.phase == unconfirmed || e.mayStartAgain(m)) && !m.inherited {
			m.phase, m.answeredAt, m.stopInFlight = unconfirmed, 0, false
			e.abort(m.unit, "worker restarted")
			e.sendStop(m)
		}
	}
	e.stopUnansweredStarts(w)
}

// recordRunning processes a run that a worker reports as running.
func (e *Engine) recordRunning(w *worker, r target.Run, inReport map[*member]bool) {
	m := w.findRun(r.Task, r.Run)
	if m == nil {
		e.stopOrphan(w, r)

		return
	}
	inReport[m] = true
	m.crash = nil // the new incarnation has received the start
	if r.Saved != "" && r.Saved != m.checkpoint {
		m.checkpoint, m.checkpointAt = r.Saved, e.SinceBoot()
	}
	if m.phase == unconfirmed && !m.stopInFlight {
		m.phase, m.answeredAt, m.began = running, e.SinceBoot(), e.SinceBoot()
	}
	m.usage = r.Usage
	if m.phase == running {
		e.recordLiving(m)
		e.recordProgress(m, r.Percent)
	}
}
