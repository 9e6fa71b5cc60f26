package engine

import "time"

const (
	minClockRate = 0.98                   // lowest rate of a worker's clock relative to this VM's
	clockMargin  = 300 * time.Millisecond // added to the estimate of when a worker's lease has expired
)

// estimateClock estimates the worker's clock. The estimate is never ahead of that clock.
func (w *worker) estimateClock(boot time.Duration) int64 {
	return w.clock + int64(float64((boot-w.clockAt).Milliseconds())*minClockRate)
}

// nextDeadline returns the lease deadline for an order sent now, and remembers the latest one.
func (w *worker) nextDeadline(boot, lease time.Duration) int64 {
	d := w.estimateClock(boot) + lease.Milliseconds()
	w.deadline = max(w.deadline, d)

	return d
}

// mayHoldLease reports whether a run has a lease that is to be renewed. Starts set the lease
// themselves. Without this, a worker that was idle gets two orders by a clock value that may be that of
// an earlier incarnation, and the later one may be unanswered for long.
func (w *worker) mayHoldLease() bool {
	for _, ms := range w.runs {
		for _, m := range ms {
			if m.phase != planned && m.phase != starting {
				return true
			}
		}
	}

	return false
}

// leaseExpired reports whether the worker's lease must have expired, so that all its runs have ended. That is so
// when all leases have expired that may have been given: by this planner (grantedUntil), by earlier ones if the
// worker has not reported to this one (expiredBy), and by orders to an earlier incarnation, whether they have been
// executed (notExpiredBefore) or may be executed late (lateUntil).
func (w *worker) leaseExpired(boot time.Duration) bool {
	if boot < w.validUntilAtLeast() {
		return false
	}
	if !w.reported {
		return w.expiredBy != 0 && boot > w.expiredBy
	}

	return boot > w.grantedUntil()
}

// grantedUntil returns the time by which the newest lease that this planner has granted the worker
// must have expired.
func (w *worker) grantedUntil() time.Duration {
	left := time.Duration(float64(w.deadline-w.clock)/minClockRate) * time.Millisecond

	return w.clockAt + left + clockMargin
}

// setClock records a clock value received from the worker.
func (w *worker) setClock(clock int64, boot time.Duration) {
	w.clock, w.clockAt = clock, boot
}

// validUntilAtLeast returns the time before which the lease does not count as expired, because of orders
// with deadlines on the clock of an earlier incarnation.
func (w *worker) validUntilAtLeast() time.Duration {
	until := max(w.notExpiredBefore, w.lateUntil)
	for _, ms := range w.runs {
		for _, m := range ms {
			if m.phase == starting && m.lateIfUnanswered != 0 {
				until = max(until, m.lateIfUnanswered+w.maxLease)
			}
		}
	}

	return until
}

// voidDeadlines is called when the worker's clock has begun anew. Orders with deadlines on the clock before
// may have given it the longest lease that it accepts. Until the new incarnation has answered a call with a higher
// token, starts without an answer may still do so, too. Those in flight may yet be answered, and count no longer then.
func (e *Engine) voidDeadlines(w *worker) {
	now := e.SinceBoot()
	w.notExpiredBefore = max(w.notExpiredBefore, now+w.maxLease)
	for _, m := range w.members() {
		if m.lateStartUntil > now {
			w.lateUntil = max(w.lateUntil, m.lateStartUntil+w.maxLease)
		}
		if m.phase == starting {
			m.lateIfUnanswered = now + e.Timing.LateOrderWindow
		}
	}
	w.deadline = 0
}

// noteFenced is called when the newest incarnation of a worker has answered a call with a token above those of all
// orders to earlier incarnations. From now on it refuses these orders, but they may have given it the longest lease.
func (e *Engine) noteFenced(w *worker, clock int64) {
	w.lateUntil = 0
	for _, m := range w.members() {
		m.lateIfUnanswered = 0
	}
	age := time.Duration(float64(clock)/minClockRate) * time.Millisecond
	if (w.life > 0 && age < e.Timing.LateOrderWindow+w.maxLease) || e.mayHaveFormerOrders(w, age) {
		w.notExpiredBefore = max(w.notExpiredBefore, e.SinceBoot()+w.maxLease)
	}
}

// mayHaveFormerOrders reports whether an incarnation of the given age may have received orders of earlier planners that
// were meant for the one before. They would have noticed the restart, and recorded it, within LateOrderWindow.
func (e *Engine) mayHaveFormerOrders(w *worker, age time.Duration) bool {
	now, until := e.SinceBoot(), e.earlierOrdersUntil(w)
	sinceLast := now - (until - e.Timing.LateOrderWindow)

	return until != 0 && now < until+w.maxLease && age < sinceLast+e.Timing.LateOrderWindow
}

// earlierOrdersUntil returns a time from which the worker executes no orders of earlier planners, not even late;
// 0 if there were no such planners.
func (e *Engine) earlierOrdersUntil(w *worker) time.Duration {
	token := e.lastGranter
	if s, ok := e.inheritedSilent[w.ID]; ok {
		token = s.Token
	}
	until := e.Lease.ActiveUntil(token, e.Timing.PredecessorValidity)
	if until == 0 {
		return 0
	}

	return until + e.Timing.LateOrderWindow
}
