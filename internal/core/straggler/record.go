package straggler

import "time"

const (
	barThreshold   = 2                       // consecutive failures from which a worker is barred
	barBase        = 2500 * time.Millisecond // how long a worker is barred at first; doubled with each further failure
	barMax         = 8 * time.Second         // maximum time for which a worker is barred
	probation      = 30 * time.Second        // time after a failure during which a worker counts as unreliable
	failurePenalty = 2.0                     // placement cost per consecutive failure; leaving all accelerators of a worker unused costs 1
	barredPenalty  = 100.0                   // placement cost of a worker with at least barThreshold failures
)

// FailureRecord tracks the recent failures of runs on one worker.
type FailureRecord struct {
	failures    int // consecutive, of jobs that have not failed on other workers
	lastFailure time.Duration
	barredUntil time.Duration
}

// Succeed records a successful run, which clears the record.
func (r *FailureRecord) Succeed() { *r = FailureRecord{} }

// Fail records a failed run. elsewhere means that the job has failed on other workers too;
// such a run is ignored, because the job may be the cause.
func (r *FailureRecord) Fail(now time.Duration, elsewhere bool) {
	if elsewhere {
		return
	}
	r.failures++
	r.lastFailure = now
	if r.failures >= barThreshold {
		r.barredUntil = now + min(barMax, barBase<<min(r.failures-barThreshold, 2))
	}
}

// Barred reports whether the worker must not get runs at the given time.
func (r *FailureRecord) Barred(now time.Duration) bool { return now < r.barredUntil }

// Unreliable reports whether the worker has failed runs recently. Tasks on their last
// attempt avoid such workers.
func (r *FailureRecord) Unreliable(now time.Duration) bool {
	return r.failures > 0 && now-r.lastFailure < probation
}

// Penalty returns the additional cost of placing a task on the worker; 0 if it is not
// unreliable.
func (r *FailureRecord) Penalty(now time.Duration) float64 {
	switch {
	case !r.Unreliable(now):
		return 0
	case r.failures >= barThreshold:
		return barredPenalty
	}

	return failurePenalty * float64(r.failures)
}
