package straggler

import "time"

const (
	barThreshold   = 2                       // consecutive failures from which a worker is barred
	barBase        = 2500 * time.Millisecond // first bar; doubled after each further failure
	barMax         = 8 * time.Second         // longest bar
	probation      = 30 * time.Second        // time after a failure during which a worker counts as doubtful
	failurePenalty = 2.0                     // cost per consecutive failure, relative to a worker left wholly unused
	barredPenalty  = 100.0                   // cost of a worker that has been barred
)

// FailureRecord tracks the recent failures of runs on one worker.
type FailureRecord struct {
	failures    int // consecutive, of jobs that have not failed on other workers
	lastFailure time.Duration
	barredUntil time.Duration
}

// Succeed records a successful run, which clears the record.
func (r *FailureRecord) Succeed() { *r = FailureRecord{} }

// Fail records a failed run. It ignores the run if its job has failed on other workers
// too, because the job may then be the cause.
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

// Doubtful reports whether the worker has failed runs recently. Tasks on their last
// attempt avoid such workers.
func (r *FailureRecord) Doubtful(now time.Duration) bool {
	return r.failures > 0 && now-r.lastFailure < probation
}

// Penalty returns the cost of placing a task on the worker; 0 if it is not doubtful.
func (r *FailureRecord) Penalty(now time.Duration) float64 {
	switch {
	case !r.Doubtful(now):
		return 0
	case r.failures >= barThreshold:
		return barredPenalty
	}

	return failurePenalty * float64(r.failures)
}
