package straggler

import "time"

const (
	backoffBase   = 250 * time.Millisecond // delay after the first failure; doubled with each further one
	backoffMax    = 2 * time.Second        // maximum delay
	backoffWindow = 10 * time.Second       // a failure later than this after the one before counts as the first
	maxDoublings  = 3                      // doublings from backoffBase to backoffMax

	// A task on its last attempt waits at least this long for a worker that has proved sound.
	lastAttemptWait = 6 * time.Second
	// Time from a takeover until the reports of runs that live have arrived: LivedLong, and the
	// interval of reports.
	evidenceTime = 3 * time.Second
)

// Backoff delays the starts of a task that has failed. It answers tasks that used up all their
// attempts on failing workers within a second, before these were known to fail.
type Backoff struct {
	failures int
	last     time.Duration
}

// Fail records a failure.
func (b *Backoff) Fail(now time.Duration) {
	if now-b.last >= backoffWindow {
		b.failures = 0
	}
	b.failures++
	b.last = now
}

// Last returns the time of the newest failure; 0 if there is none.
func (b *Backoff) Last() time.Duration { return b.last }

// Until returns the time until which the task must not start again.
func (b *Backoff) Until() time.Duration {
	if b.failures == 0 {
		return 0
	}

	return b.last + min(backoffMax, backoffBase<<min(b.failures-1, maxDoublings))
}

// LastAttempt holds what the choice of workers for a task on its last attempt depends on.
type LastAttempt struct {
	Waited    time.Duration // since its newest failure
	Objective time.Duration // time within which its job should end
	CouldHold bool          // the workers that have proved sound could hold it
	Planning  time.Duration // how long this planner, which learns anew which workers are sound, has been planning
}

// OnlyProven reports whether the task may start only on workers that have proved sound. It answers
// sound jobs that failed because their last attempt, too, was made on a failing worker. The wait is
// bounded, because a late result is worth more than none.
func (a LastAttempt) OnlyProven() bool {
	if !a.CouldHold && a.Planning >= evidenceTime {
		return false
	}

	return a.MayWait()
}

// MayWait reports whether the wait of the task is still within its bound. Until then, it does not
// start on workers that have failed since their newest good start, even if it is overdue: the
// capacity beside which it is overdue may be theirs.
func (a LastAttempt) MayWait() bool { return a.Waited < max(lastAttemptWait, a.Objective) }
