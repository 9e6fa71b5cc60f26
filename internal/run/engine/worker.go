package engine

import (
	"slices"
	"time"

	"sesameyoke/internal/core/cpushare"
	"sesameyoke/internal/core/straggler"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

const (
	minClockRate = 0.98                   // lowest rate of a worker's clock relative to this VM's
	clockMargin  = 300 * time.Millisecond // added to the estimate of when a worker's lease has expired

	maxClockSkew = 3 * time.Second // largest difference between the times of day of two machines

	probeInterval = 600 * time.Millisecond // between requests to a silent worker without runs
)

// worker is the planner's view of one worker in its current incarnation.
type worker struct {
	target.Worker
	maxLease          time.Duration           // longest time for which a lease that it accepts now can be valid
	lateOrderWindow   time.Duration           // how long an unanswered order may still be executed
	listed            bool                    // is in the worker list
	reported          bool                    // has reported under this planner lease
	admitting         bool                    // has reported, and its entry in the silent record is being removed
	free              work.Shape              // capacity that no run reserves
	runs              map[work.Task][]*member // unreleased members, by task
	wake              chan struct{}           // wakes the worker's session
	removed           bool                    // no longer listed and without runs: its session ends
	clock             int64                   // newest clock value received from the worker, in milliseconds
	clockAt           time.Duration           // when clock was received
	deadline          int64                   // latest lease deadline sent, on the worker's clock
	expiredBy         time.Duration           // by then, runs started under earlier planner leases have ended even if the worker never reports
	notExpiredBefore  time.Duration           // the lease does not count as expired before this time
	unansweredAt      time.Duration           // when the newest unanswered order with a deadline had been sent; 0 if there is none
	staleAt           time.Duration           // the same for orders with a deadline on the clock of an earlier incarnation
	staleDeadline     int64                   // latest deadline of these orders, on whichever clock
	staleExpiry       time.Duration           // by then, the clock of the newest incarnation has reached that deadline
	startedAfter      time.Duration           // its newest incarnation has not started before; 0 if that is not known
	clockRestarted    bool                    // its clock has begun anew, but the new incarnation is not known yet
	seenEnd           int64                   // highest number of a processed run end
	durableEnd        int64                   // all run ends up to this number are durable
	ackedEnd          int64                   // all run ends up to this number have been acknowledged to the worker
	silentSince       time.Duration           // since when reports are missing; 0 while the worker reports
	lostAt            time.Duration           // when it broke its connection, else when it last answered before it was silent
	maintainedUntil   time.Duration           // a restart until then is due to maintenance of its host
	probedAt          time.Duration           // when a report was last requested from it while it was silent and without runs
	refusingUntil     time.Duration           // receives no starts until then, because it refused one
	cpuShare          cpushare.Limit          // CPU share of the best-effort tasks
	noBestEffortUntil time.Duration           // receives no best-effort tasks until then
	cordoned          bool                    // its host is about to go down for maintenance
	staysUntil        time.Duration           // earliest time at which a draining worker leaves

	baseSlowdown    float64                 // long-term estimate of how much longer than usual its runs take
	currentSlowdown float64                 // additional temporary factor, until slowUntil
	slowUntil       time.Duration           // counts as slow until then
	stalledUntil    time.Duration           // receives no starts until then, because its runs made no progress
	failures        straggler.FailureRecord // recent failures of runs on the worker
}

// newWorker returns a worker that has not reported yet.
func (e *Engine) newWorker(w target.Worker) *worker {
	return &worker{Worker: w, maxLease: e.maxLease(), lateOrderWindow: e.Timing.LateOrderWindow, free: w.Capacity, baseSlowdown: 1, cpuShare: cpushare.Limit{Percent: cpushare.Initial}, runs: map[work.Task][]*member{}, wake: make(chan struct{}, 1)}
}

// overcommitted reports whether more is reserved on the worker than it has of a resource that a
// task needs. That happens only when its capacity shrinks.
func (w *worker) overcommitted(need work.Shape) bool {
	return (need.CPU > 0 && w.free.CPU < 0) || (need.Memory > 0 && w.free.Memory < 0) || (need.Accelerators > 0 && w.free.Accelerators < 0)
}

func (w *worker) recipient() recipient {
	return recipient{Address: w.address(), incarnation: w.Incarnation}
}

func (w *worker) address() target.Address { return target.Address{ID: w.ID, Host: w.Host} }

// wakeSession makes the worker's session examine at once whether a lease renewal is due.
func (w *worker) wakeSession() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// estimateClock estimates the worker's clock. The estimate is never ahead of that clock.
func (w *worker) estimateClock(boot time.Duration) int64 {
	return w.clock + int64(float64((boot-w.clockAt).Milliseconds())*minClockRate)
}

// probeDue reports whether to request a report from a silent worker although it has no
// runs, and records the time if so. A silent worker receives no work until it has answered.
func (w *worker) probeDue(boot time.Duration) bool {
	if w.silentSince == 0 || boot < w.probedAt+probeInterval {
		return false
	}
	w.probedAt = boot

	return true
}

// nextDeadline returns the lease deadline for an order sent now, and remembers the
// latest one.
func (w *worker) nextDeadline(boot, lease time.Duration) int64 {
	d := w.estimateClock(boot) + lease.Milliseconds()
	w.deadline = max(w.deadline, d)

	return d
}

// leaseExpired reports whether the worker's lease must have expired, so that all its
// runs have ended.
func (w *worker) leaseExpired(boot time.Duration) bool {
	if boot < w.validUntilAtLeast() {
		return false
	}
	if !w.reported {
		return w.expiredBy != 0 && boot > w.expiredBy
	}
	left := time.Duration(float64(w.deadline-w.clock)/minClockRate) * time.Millisecond

	return boot > w.clockAt+left+clockMargin
}

// setClock records a clock value received from the worker.
func (w *worker) setClock(clock int64, boot time.Duration) {
	w.clock, w.clockAt = clock, boot
}

func (w *worker) removeRun(m *member) {
	t := m.task()
	rest := slices.DeleteFunc(w.runs[t], func(o *member) bool { return o == m })
	if len(rest) == 0 {
		delete(w.runs, t)

		return
	}
	w.runs[t] = rest
}

func (w *worker) findRun(t work.Task, run int64) *member {
	for _, m := range w.runs[t] {
		if m.unit.run == run {
			return m
		}
	}

	return nil
}

func (w *worker) members() []*member {
	var ms []*member
	for _, r := range w.runs {
		ms = append(ms, r...)
	}

	return ms
}

// recordOutcome adds the end of a run to the worker's record of failures. The argument
// elsewhere tells whether runs of the job have failed on other workers.
func (w *worker) recordOutcome(how target.How, boot time.Duration, elsewhere bool) {
	switch how {
	case target.Done:
		w.failures.Succeed()
	case target.Failed:
		w.failures.Fail(boot, elsewhere)
	}
}

// validUntilAtLeast returns the time before which the lease does not count as expired, because of
// orders with deadlines on the clock of an earlier incarnation. One without an answer may be
// executed late, and gives the worker the longest lease that it accepts, but none beyond the
// deadline.
func (w *worker) validUntilAtLeast() time.Duration {
	if w.staleAt == 0 {
		return w.notExpiredBefore
	}

	return max(w.notExpiredBefore, min(w.staleExpiry, w.staleAt+w.lateOrderWindow+w.maxLease))
}

// noteOutcome notes that an order, which had been sent at the latest at its time, has been answered
// or not. If the worker has restarted meanwhile, the order has perhaps extended the lease of the
// new incarnation, and without an answer it still may.
func (w *worker) noteOutcome(answered bool, o sentOrder, now time.Duration) {
	restarted := w.Incarnation != o.incarnation || w.clockRestarted
	switch {
	case o.deadline == 0:
	case restarted && answered:
		w.notExpiredBefore = max(w.notExpiredBefore, now+w.maxLease)
	case restarted && o.at >= w.startedAfter:
		w.noteStale(o.at, o.deadline, now)
	case !answered:
		w.unansweredAt = max(w.unansweredAt, o.at)
	}
}

// voidDeadlines is called when the worker's clock has begun anew. Orders with deadlines on the clock
// before may have given it the longest lease that it accepts.
func (w *worker) voidDeadlines(now time.Duration) {
	w.notExpiredBefore = max(w.notExpiredBefore, now+w.maxLease)
	w.noteStale(w.unansweredAt, w.deadline, now)
	w.unansweredAt = 0
}

// noteStale notes that unanswered orders, the newest of which had been sent at a time, have
// deadlines on the clock of an earlier incarnation. The newest incarnation has started before now.
func (w *worker) noteStale(at time.Duration, deadline int64, now time.Duration) {
	w.staleAt = max(w.staleAt, at)
	w.staleDeadline = max(w.staleDeadline, deadline)
	w.staleExpiry = now + time.Duration(float64(w.staleDeadline)/minClockRate)*time.Millisecond + clockMargin
}

// noteClock notes the clock value of the newest incarnation in the answer to a call that was sent
// at a time.
func (w *worker) noteClock(clock int64, sent time.Duration) {
	w.noteStart(sent - time.Duration(float64(clock)/minClockRate)*time.Millisecond)
}

// noteStart notes the earliest time at which the newest incarnation can have started. Orders that
// had been sent before cannot have reached it.
func (w *worker) noteStart(earliest time.Duration) {
	w.startedAfter = max(w.startedAfter, earliest)
	if w.staleAt < w.startedAfter {
		w.staleAt, w.staleDeadline = 0, 0
	}
}

// resetIncarnation discards the state of the previous incarnation.
func (w *worker) resetIncarnation(incarnation int64, now time.Duration) {
	w.Incarnation = incarnation
	w.voidDeadlines(now)
	w.clockRestarted = false
	w.seenEnd, w.durableEnd, w.ackedEnd = 0, 0, 0
	w.deadline = 0
	w.failures = straggler.FailureRecord{}
	w.slowUntil, w.stalledUntil, w.maintainedUntil = 0, 0, 0
}
