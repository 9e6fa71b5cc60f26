package watch

import "time"

const (
	barFails   = 2                       // failures in a row after which a worker is barred
	barFor     = 2500 * time.Millisecond // at first; twice as long after each further failure
	barMost    = 8 * time.Second
	distrust   = 30 * time.Second // a failure is forgotten after
	failCost   = 2.0              // of each failure in a row, in shares of a worker left free
	distrusted = 100.0            // the same of a worker that has been barred
)

// Record is how the runs on a worker have ended of late.
type Record struct {
	failed int // in a row, of jobs that have failed nowhere else
	at     time.Duration
	barred time.Duration // until then
}

// Succeed takes in a run that is done.
func (r *Record) Succeed() { *r = Record{} }

// Fail takes in a failed run, unless its job has failed elsewhere too: then the job
// may be at fault.
func (r *Record) Fail(now time.Duration, elsewhere bool) {
	if elsewhere {
		return
	}
	r.failed++
	r.at = now
	if r.failed >= barFails {
		r.barred = now + min(barMost, barFor<<min(r.failed-barFails, 2))
	}
}

// Barred reports whether the worker is to get no work for now.
func (r *Record) Barred(now time.Duration) bool { return now < r.barred }

// Doubtful reports whether a task that must not fail once more is to keep off.
func (r *Record) Doubtful(now time.Duration) bool { return r.failed > 0 && now-r.at < distrust }

// Penalty is the cost of the worker to a placement; 0 if its record is good.
func (r *Record) Penalty(now time.Duration) float64 {
	switch {
	case !r.Doubtful(now):
		return 0
	case r.failed >= barFails:
		return distrusted
	}

	return failCost * float64(r.failed)
}
