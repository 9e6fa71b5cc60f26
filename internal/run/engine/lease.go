package engine

import "time"

const (
	minClockRate = 0.98                   // lowest rate of a worker's clock relative to this VM's
	clockMargin  = 300 * time.Millisecond // added to the estimate of when a worker's lease has expired

	maxClockSkew = 3 * time.Second // largest difference between the times of day of a worker and this VM
)

// estimateClock estimates the worker's clock. The estimate is never ahead of that clock.
func (w *worker) estimateClock(boot time.Duration) int64 {
	return w.clock + int64(float64((boot-w.clockAt).Milliseconds())*minClockRate)
}

// nextDeadline returns the lease deadline for an order sent now, and remembers the
// latest one. settleOrder follows when the order has been answered or has timed out.
func (w *worker) nextDeadline(boot, lease time.Duration) int64 {
	d := w.estimateClock(boot) + lease.Milliseconds()
	w.deadline = max(w.deadline, d)
	w.inFlight++

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

// settleOrder notes that an order with a deadline is no longer in flight.
func (w *worker) settleOrder(incarnation int64) {
	if w.inFlight > 0 && (w.Incarnation == incarnation || w.staleInFlight == 0) {
		w.inFlight--
	} else {
		w.staleInFlight = max(0, w.staleInFlight-1)
	}
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

// validUntilAtLeast returns the time before which the lease does not count as expired, because of
// orders with deadlines on the clock of an earlier incarnation. One without an answer may be
// executed late, and gives the worker the longest lease that it accepts, but none beyond the
// deadline.
func (w *worker) validUntilAtLeast() time.Duration {
	return max(w.notExpiredBefore, w.staleUntil())
}

// staleUntil returns the time by which a lease that such an order gives must have expired; 0 if there
// is no such order.
func (w *worker) staleUntil() time.Duration {
	if w.staleAt == 0 {
		return 0
	}

	return min(w.staleExpiry, w.staleAt+w.lateOrderWindow+w.maxLease)
}

// staleForSuccessor returns the time until which a later planner has to count such orders. Those that
// are in flight count too: their outcome is not known to it.
func (w *worker) staleForSuccessor() time.Duration {
	if w.staleInFlight == 0 {
		return w.staleUntil()
	}

	return max(w.staleUntil(), w.inFlightExpiry)
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
	w.staleInFlight, w.inFlight = w.staleInFlight+w.inFlight, 0
	w.inFlightExpiry = now + min(w.lateOrderWindow+w.maxLease, time.Duration(float64(w.deadline)/minClockRate)*time.Millisecond+clockMargin)
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
