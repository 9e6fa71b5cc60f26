package straggler

import "time"

const (
	// LivedLong is the age of a run from which its worker has shown that it starts runs soundly. A
	// run that fails sooner is evidence against its worker. In the observed loads such workers
	// fail every run within 30 ms.
	LivedLong = time.Second

	maxDoubts      = 2                       // jobs in turn that have failed elsewhere too from which their failures count
	barThreshold   = 2                       // consecutive failures from which a worker is barred
	barBase        = 2500 * time.Millisecond // how long a worker is barred at first; doubled with each further failure
	barMax         = 8 * time.Second         // maximum time for which a worker is barred
	probation      = 30 * time.Second        // time after a failure during which a worker counts as unreliable
	failurePenalty = 2.0                     // placement cost per consecutive failure; leaving all accelerators of a worker unused costs 1
	suspectPenalty = 20.0                    // placement cost of a suspect: it is used after workers that are slow or on another rack
	barredPenalty  = 100.0                   // placement cost of a worker with at least barThreshold failures
)

// FailureRecord holds the evidence about one worker: when it last accepted a run that proved
// sound, and its failures since. It answers workers that fail every run at once: they are always
// free and would attract the work that others have no room for.
type FailureRecord struct {
	failures    int           // since the newest good start, of jobs that have not failed on other workers
	lastFailure time.Duration // the newest of them
	quick       bool          // it ended sooner than LivedLong: the worker is suspect
	barredUntil time.Duration
	goodStart   time.Duration // when the newest run that lived for LivedLong or was done was accepted; 0 if there is none
	anyFailure  time.Duration // newest failure of a run of any job; 0 if there is none
	doubts      int           // jobs in turn whose runs ended as quickly since the newest good start, but have failed on other workers too
	doubtJob    string        // the newest of them
}

// Accepted records that a run that was accepted at the given time has lived for LivedLong or is
// done. That clears earlier failures. A run that was accepted before a failure tells nothing about
// the time after it.
func (r *FailureRecord) Accepted(at time.Duration) {
	r.goodStart = max(r.goodStart, at)
	if at >= r.anyFailure {
		r.doubts, r.doubtJob = 0, ""
	}
	if at >= r.lastFailure {
		r.failures, r.lastFailure, r.quick, r.barredUntil = 0, 0, false, 0
	}
}

// Fail records that a run of a job has failed at the given time, after it had lived for the given
// time. elsewhere means that the job has failed on other workers too. Such a run is ignored, because
// the job may be the cause. It counts if it has failed quickly, and either the worker is suspect already
// or this is the second such job in turn: jobs that fail on one failing worker after the other have
// all failed elsewhere. Fail reports whether the worker has become suspect.
func (r *FailureRecord) Fail(now, lived time.Duration, job string, elsewhere bool) bool {
	r.anyFailure = now
	quick := lived < LivedLong
	if elsewhere && quick && job != r.doubtJob {
		r.doubts++
		r.doubtJob = job
	}
	if elsewhere && (!quick || (!r.quick && r.doubts < maxDoubts)) {
		return false
	}
	before := r.quick
	r.failures++
	r.lastFailure, r.quick = now, quick
	if r.failures >= barThreshold {
		r.barredUntil = now + min(barMax, barBase<<min(r.failures-barThreshold, 2))
	}

	return quick && !before
}

// Barred reports whether the worker must not get runs at the given time.
func (r *FailureRecord) Barred(now time.Duration) bool { return now < r.barredUntil }

// Unreliable reports whether the worker has failed runs recently. Tasks on their last
// attempt avoid such workers.
func (r *FailureRecord) Unreliable(now time.Duration) bool {
	return r.failures > 0 && now-r.lastFailure < probation
}

// Proven reports whether the worker has accepted a run that proved sound, and has failed none
// since.
func (r *FailureRecord) Proven() bool {
	return r.goodStart > 0 && (r.anyFailure == 0 || r.goodStart >= r.anyFailure)
}

// FailedSince reports whether a run of any job has failed on the worker recently, and none that it
// accepted later has proved sound.
func (r *FailureRecord) FailedSince(now time.Duration) bool {
	return r.anyFailure > r.goodStart && now-r.anyFailure < probation
}

// suspect reports whether the newest evidence about the worker is a run that failed at once.
func (r *FailureRecord) suspect(now time.Duration) bool { return r.quick && r.Unreliable(now) }

// Penalty returns the additional cost of placing a task on the worker; 0 if it is not
// unreliable.
func (r *FailureRecord) Penalty(now time.Duration) float64 {
	switch {
	case !r.Unreliable(now):
		return 0
	case r.failures >= barThreshold:
		return barredPenalty
	case r.quick:
		return suspectPenalty
	}

	return failurePenalty * float64(r.failures)
}
