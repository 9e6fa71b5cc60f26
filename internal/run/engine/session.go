package engine

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/crash"
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

	// Wait of a lease renewal while a suspect runs on the worker: what the worker reports next tells whether
	// a crash can be due to it.
	suspectReportWait = 200 * time.Millisecond

	// A worker that has restarted gets no starts for this long: what made it restart often strikes again.
	restartBackoff = 2 * time.Second

	// While this VM is overloaded, a worker counts as silent only after 1/2 of its lease without
	// an answer.
	overloadGraceDivisor = 2
)

// sentOrder tells when an order was sent, and the worker's incarnation that was known then.
type sentOrder struct {
	at   time.Duration
	life int // worker.life
}

// recipient is a worker in the incarnation that is known when an order is prepared for it.
type recipient struct {
	target.Address
	life int // worker.life
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
	renewal := target.LeaseRenewal{Token: e.orderToken(w.ID), Wait: e.Timing.ReportWait}
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
	if len(w.suspectJobs(e.SinceBoot(), crash.Probation)) > 0 {
		wait = min(wait, suspectReportWait)
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
	if renewal.Acked > 0 {
		e.beginAck(w, to, &renewal)
	}
	ctx, cancel := context.WithTimeout(e.ctx, renewal.Wait+renewalSlack)
	defer cancel()
	if !e.beginRenewal(w, to, cancel) {
		return
	}
	sent := e.SinceBoot()
	r, err := e.Workers.RenewLease(ctx, to.Address, renewal)
	e.mu.Lock()
	defer e.mu.Unlock()
	w.cancelRenewal = nil
	if w.removed || e.ctx.Err() != nil {
		return
	}
	if err != nil && w.life != to.life {
		return // the worker is known to have restarted: its next report is due
	}
	err = e.orderError(w.ID, renewal.Token, err)
	if renewal.Deadline > 0 || renewal.Acked > 0 {
		e.raiseIfUnanswered(w.ID, err)
	}
	if renewal.Acked > 0 {
		e.endAck(w, to, renewal, r, err)
	}
	switch {
	case err == nil:
		e.contain("report", w.ID, func() { e.handleReport(w, r, sent, renewal.Token) })
	case errors.Is(err, errOvertaken):
		e.pauseAfterAck(renewal)
	default:
		e.handleNoReport(w, sent, ctx.Err() != nil, err)
	}
}

// pauseAfterAck pauses after an acknowledgement that was refused. Its token is always below that of the next order, so
// the refusal does not tell whether a successor has fenced this planner. The caller holds mu, which is released meanwhile.
func (e *Engine) pauseAfterAck(renewal target.LeaseRenewal) {
	if renewal.Acked == 0 {
		return
	}
	e.mu.Unlock()
	timer.Pause(e.ctx, renewalRetryPause)
	e.mu.Lock()
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
		e.logExpiry(w)
		e.handleExpiry(w)
		e.endAll(w, target.LeaseExpired)
	}
	if !w.listed {
		w.removed = true
		delete(e.workers, w.ID)
	}
}

// beginRenewal lets a restart of the worker end the call that is about to be sent. It returns false if the worker
// has restarted since the call was prepared.
func (e *Engine) beginRenewal(w *worker, to recipient, cancel context.CancelFunc) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.life != to.life {
		return false
	}
	w.cancelRenewal = cancel

	return true
}

// logExpiry logs why the lease of a worker counts as expired: until when it had been granted, or what earlier
// planners had granted is taken to have expired, and until when orders of an earlier clock counted.
func (e *Engine) logExpiry(w *worker) {
	now := e.SinceBoot()
	until := w.grantedUntil()
	if !w.reported {
		until = w.expiredBy
	}
	e.Log.Warn().Str("event", "lease-lapsed").Str("worker", w.ID).Int("runs", len(w.runs)).Int64("born", w.Incarnation).
		Bool("reported", w.reported).Dur("granted", now-until).Dur("earlier", now-w.notExpiredBefore).Dur("late", now-w.lateUntil).
		Dur("answered", now-w.clockAt).Msg("")
}

// endAll ends all runs of a worker.
func (e *Engine) endAll(w *worker, how target.How) {
	for _, m := range w.members() {
		if m.phase == starting {
			m.unit.job.begun = true // the start may have been received
		}
		e.handleEnd(m, target.End{How: how})
	}
}

// handleReport processes a worker's report, which was requested at the given time with the given token. One that
// was requested after the planner had learnt of the newest incarnation is not from an earlier one, even if its
// start time is lower: the worker's time of day may have been set back.
func (e *Engine) handleReport(w *worker, r target.Report, sent time.Duration, token int64) {
	if r.Incarnation != 0 && r.Incarnation < w.Incarnation && sent <= w.incarnationAt {
		return // from an earlier incarnation
	}
	if token < w.fence {
		return // requested before the worker restarted, or it may still accept orders for the incarnation before
	}
	if e.noteIncarnation(w, r, sent) {
		return // its next report is the first one of which it is certain that no earlier order takes effect after it
	}
	if w.silentSince != 0 {
		e.Log.Info().Str("event", "worker-regained").Str("worker", w.ID).Dur("after", e.SinceBoot()-w.silentSince).Msg("")
		w.silentSince = 0
	}
	w.setClock(r.Clock, e.SinceBoot())
	if !w.reported && !w.admitting {
		e.noteFenced(w, r.Clock)
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

// noteIncarnation processes what a report tells about the worker's incarnation, and reports whether that is a
// new one. If a worker's time of day has been set back, only its clock may tell.
func (e *Engine) noteIncarnation(w *worker, r target.Report, sent time.Duration) bool {
	switch {
	case w.bornUnknown && r.Incarnation != 0:
		w.learnIncarnation(r.Incarnation)

		return false
	case r.Incarnation != 0 && r.Incarnation != w.Incarnation:
	case w.clockAt == 0 || sent < w.incarnationAt || r.Clock >= w.estimateClock(sent)-clockMargin.Milliseconds():
		return false
	}
	e.handleRestart(w, cmp.Or(r.Incarnation, w.Incarnation), w.Draining) // before the state of the loss is reset
	w.setClock(r.Clock, e.SinceBoot())

	return true
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
// incarnation gave it. A clock that is behind its estimate is that of a new incarnation, whose start time
// its first report tells.
func (e *Engine) readClock(w *worker, clock int64, err error, order sentOrder) {
	now := e.SinceBoot()
	switch {
	case clock < 0 || (clock == 0 && err != nil) || w.life != order.life || order.at < w.incarnationAt || w.clockAt == 0: // no clock to compare with
	case clock < w.estimateClock(order.at)-clockMargin.Milliseconds(): // also if it is above the newest one: that may be old
		e.handleRestart(w, w.Incarnation, w.Draining)
		w.bornUnknown = true
		w.setClock(clock, now)
	case clock >= w.clock:
		w.setClock(clock, now)
	}
}

// handleRestart switches a worker to a new incarnation. The worker gets no starts and no lease until it has
// answered a call with a higher token than all orders to its earlier incarnations, which it refuses from then
// on. That report also tells which runs have ended: it is not known which incarnation answered a start.
// The argument draining tells whether the previous incarnation had announced that it leaves.
func (e *Engine) handleRestart(w *worker, incarnation int64, draining bool) {
	e.raiseToken(w.ID)
	w.fence = e.orderToken(w.ID)
	before := w.Incarnation
	e.handleLoss(w, e.restartCause(w, draining), incarnation)
	w.resetIncarnation(incarnation, e.SinceBoot())
	e.voidDeadlines(w)
	w.reported, w.expiredBy = false, w.notExpiredBefore
	e.Log.Warn().Str("event", "worker-restarted").Str("worker", w.ID).Int64("born", incarnation).Int64("before", before).Int64("token", w.fence).
		Dur("late", max(0, w.lateUntil-e.SinceBoot())).Int("runs", len(w.runs)).Msg("")
	for _, m := range w.members() {
		if m.phase != planned && m.phase != starting {
			m.phase, m.answeredAt, m.stopInFlight, m.lost = unconfirmed, e.SinceBoot(), false, true
		}
	}
	w.refusingUntil = max(w.refusingUntil, e.SinceBoot()+restartBackoff)
	e.recordNewStale(w)
	if w.cancelRenewal != nil { // it may wait for seconds for a run to end
		w.cancelRenewal()
	}
	w.wakeSession()
}

// recordRunning processes a run that a worker reports as running.
func (e *Engine) recordRunning(w *worker, r target.Run, inReport map[*member]bool) {
	m := w.findRun(r.Task, r.Run)
	if m == nil {
		e.stopOrphan(w, r)

		return
	}
	inReport[m] = true
	m.crash, m.lost = nil, false // the new incarnation has received the start
	if r.Saved != "" && r.Saved != m.checkpoint {
		m.checkpoint, m.checkpointAt = r.Saved, e.SinceBoot()
	}
	if m.phase == unconfirmed && !m.stopInFlight {
		m.phase, m.answeredAt, m.began = running, e.SinceBoot(), e.SinceBoot()
		if m.unit.aborted {
			e.sendStop(m)
		}
	}
	m.usage = r.Usage
	if m.phase == running {
		e.recordLiving(m)
		e.recordProgress(m, r.Percent)
	}
}
