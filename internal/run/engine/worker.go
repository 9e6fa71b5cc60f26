package engine

import (
	"context"
	"slices"
	"time"

	"sesameyoke/internal/core/cpushare"
	"sesameyoke/internal/core/speed"
	"sesameyoke/internal/core/straggler"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

const probeInterval = 600 * time.Millisecond // between requests to a silent worker without runs

// worker is the planner's view of one worker in its current incarnation.
type worker struct {
	target.Worker
	maxLease          time.Duration           // longest time for which a lease that it accepts now can be valid
	listed            bool                    // is in the worker list
	reported          bool                    // has reported under this planner lease
	withdrawn         bool                    // receives no leases from this planner any more, until it reports again
	admitting         bool                    // has reported, and its entry in the silent record is being removed
	free              work.Shape              // capacity that no run reserves
	runs              map[work.Task][]*member // unreleased members, by task
	wake              chan struct{}           // wakes the worker's session
	cancelRenewal     context.CancelFunc      // ends the lease renewal in flight; nil without one
	removed           bool                    // no longer listed and without runs: its session ends
	clock             int64                   // newest clock value received from the worker, in milliseconds
	clockAt           time.Duration           // when clock was received
	deadline          int64                   // latest lease deadline sent, on the worker's clock
	expiredBy         time.Duration           // by then, runs started under earlier planner leases have ended even if the worker never reports
	notExpiredBefore  time.Duration           // the lease does not count as expired before this time
	lateUntil         time.Duration           // the same because of orders to earlier incarnations that the newest one may still execute
	life              int                     // number of restarts that this planner knows of
	fence             int64                   // token from which on calls show that the newest incarnation refuses orders to earlier ones
	bornUnknown       bool                    // only its clock has told of the newest incarnation: Incarnation is that of the one before
	incarnationAt     time.Duration           // when its incarnation became known
	superseded        int64                   // an earlier incarnation that has a higher start time; 0 if there is none
	formerIncarnation int64                   // the newest incarnation with another start time than the present one; 0 if it is not known
	bornShared        bool                    // as far as is known, the incarnation before the present one has the same start time
	listedIncarnation int64                   // of the newest entry in the worker list
	seenEnd           int64                   // highest number of a processed run end
	durableEnd        int64                   // all run ends up to this number are durable
	heldEnd           int64                   // lowest number of an end that is not acknowledged because its job is on hold; 0 if there is none
	reportDue         bool                    // a report is requested even without runs
	ackedEnd          int64                   // all run ends up to this number have been acknowledged to the worker
	silentSince       time.Duration           // since when reports are missing; 0 while the worker reports
	lostAt            time.Duration           // when it broke its connection, else when it last answered before it was silent
	maintainedUntil   time.Duration           // a restart until then is due to maintenance of its host
	probedAt          time.Duration           // when a report was last requested from it while it was silent and without runs
	refusingUntil     time.Duration           // receives no starts until then, because it refused one
	cpuShare          cpushare.Limit          // CPU share of the best-effort tasks
	noBestEffortUntil time.Duration           // receives no best-effort tasks until then
	evacuated         bool                    // is in a domain that was evacuated in the newest pass
	cordoned          bool                    // its host is about to go down for maintenance
	coldUntil         time.Duration           // its runs are not slow any more from then on, by the newest entry
	staysUntil        time.Duration           // earliest time at which a draining worker leaves

	baseSlowdown    float64                 // long-term estimate of how much longer than usual its runs take
	currentSlowdown float64                 // additional temporary factor, until slowUntil
	slowUntil       time.Duration           // counts as slow until then
	speed           speed.Estimate          // estimated speed, used in an uneven fleet
	speedFactor     float64                 // run time relative to the usual one by that estimate; 0 in an even fleet
	stalledUntil    time.Duration           // receives no starts until then, because its runs made no progress
	failures        straggler.FailureRecord // whether runs on the worker prove sound
}

// newWorker returns a worker that has not reported yet. One that has had orders of this planner before may have
// restarted meanwhile.
func (e *Engine) newWorker(t target.Worker) *worker {
	w := &worker{
		Worker: t, coldUntil: e.SinceBoot() + t.ColdFor, maxLease: e.maxLease(), notExpiredBefore: e.inheritedStaleUntil(t.ID), free: t.Capacity,
		baseSlowdown: 1, speed: e.inheritedSpeed(t.ID), cpuShare: cpushare.Limit{Percent: cpushare.Initial}, runs: map[work.Task][]*member{}, wake: make(chan struct{}, 1),
	}
	if e.admitted[t.ID] {
		w.life = 1
		e.raiseToken(t.ID)
		w.fence = e.orderToken(t.ID)
	}

	return w
}

// overcommitted reports whether more is reserved on the worker than it has of a resource that a
// task needs. That happens only when its capacity shrinks.
func (w *worker) overcommitted(need work.Shape) bool {
	return (need.CPU > 0 && w.free.CPU < 0) || (need.Memory > 0 && w.free.Memory < 0) || (need.Accelerators > 0 && w.free.Accelerators < 0)
}

func (w *worker) recipient() recipient {
	return recipient{Address: w.address(), life: w.life}
}

func (w *worker) address() target.Address { return target.Address{ID: w.ID, Host: w.Host} }

// wakeSession makes the worker's session examine at once whether a lease renewal is due.
func (w *worker) wakeSession() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
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

// resetIncarnation discards the state of the previous incarnation.
func (w *worker) resetIncarnation(incarnation int64, now time.Duration) {
	w.life++
	w.incarnationAt = now
	w.learnIncarnation(incarnation)
	w.seenEnd, w.durableEnd, w.ackedEnd, w.heldEnd = 0, 0, 0, 0
	w.failures = straggler.FailureRecord{}
	w.slowUntil, w.stalledUntil, w.maintainedUntil = 0, 0, 0
}

// learnIncarnation sets the start time of the newest incarnation.
func (w *worker) learnIncarnation(incarnation int64) {
	if w.superseded = max(w.superseded, w.Incarnation); w.superseded <= incarnation {
		w.superseded = 0
	}
	w.bornShared = incarnation == w.Incarnation
	if !w.bornShared {
		w.formerIncarnation = w.Incarnation
	}
	w.Incarnation, w.bornUnknown = incarnation, false
}

// isOlder reports whether an entry of the worker list was written before the newest one: earlier in the same
// incarnation, or by the one before. The store may execute a worker's write late. Sequence numbers begin anew in
// each incarnation, so they tell nothing if two have the same start time. A lower start time tells nothing either:
// the worker's time of day may have been set back.
func (w *worker) isOlder(t target.Worker) bool {
	switch t.Incarnation {
	case 0:
		return false
	case w.Incarnation:
		return !w.bornShared && w.listedIncarnation == t.Incarnation && t.Sequence < w.Sequence
	}

	return t.Incarnation == w.formerIncarnation
}

// needsNoReport reports whether the worker has no runs, nothing is to be acknowledged to it, and no report
// of it is due.
func (w *worker) needsNoReport(now time.Duration) bool {
	return len(w.runs) == 0 && w.durableEnd <= w.ackedEnd && !w.reportDue && !w.probeDue(now)
}

// holdEnd keeps an end, and those that follow, from being acknowledged.
func (w *worker) holdEnd(number int64) {
	if w.heldEnd == 0 || number < w.heldEnd {
		w.heldEnd = number
	}
}

// ackable returns the highest number, up to the given one, that may be acknowledged.
func (w *worker) ackable(number int64) int64 {
	if w.heldEnd != 0 {
		return min(number, w.heldEnd-1)
	}

	return number
}
