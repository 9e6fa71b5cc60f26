// Package straggler detects stalled and slow runs from the progress that workers report,
// and decides which runs would end sooner on another worker. It also tracks the
// failures of workers. It has no clock and no I/O.
package straggler

import "time"

const (
	minInterval   = 900 * time.Millisecond  // shortest interval between readings that gives a rate
	minGain       = 8                       // minimum gain in percent for a rate to count as the best one; rounding distorts smaller gains
	stallTimeout  = 1500 * time.Millisecond // time without progress after which a run is stalled
	stallShare    = 0.04                    // the timeout is at least this share of the run length: long runs show progress less often
	slowFactor    = 2.2                     // slowdown from which a run is slow
	stallDuration = 4 * time.Second         // expected time until a stalled worker resumes
	moveCost      = 600 * time.Millisecond  // time to stop a run and start it on another worker
	moveFactor    = 1.3                     // minimum ratio of the remaining time without a move to that with one
	leaveLag      = 300 * time.Millisecond  // an announcement of leaving is this old when it is read
	lateFactor    = 3                       // multiple of the objective until which a job's result has value
	fullPercent   = 100
)

type (
	// Reading is a run's progress at one time.
	Reading struct {
		At      time.Duration
		Percent int
	}

	// Track follows the progress of one run.
	Track struct {
		// first is the reading at the start, last the one that ended the newest interval with
		// a rate, lastAdvance the first one with the highest percentage.
		first, last, lastAdvance Reading

		rate    float64 // percent per second over the newest interval
		best    float64 // highest rate over an interval with a gain of minGain or more
		hasRate bool
	}

	// Baseline is the usual run time that a run is compared with.
	Baseline struct {
		Length    time.Duration // 0 if unknown
		EqualWork bool          // measured on equal work, not on similar work
		SameJob   bool          // measured on other runs of the same job that do similar work
	}

	// RunSlowdown is the slowdown of one run on a worker.
	RunSlowdown struct {
		Job     string
		Factor  float64 // run time relative to the usual one
		Certain bool    // the run is slow, not just longer than usual
		SameJob bool    // compared with other runs of the same job that do similar work
	}

	// Run holds what the decision to move a run depends on.
	Run struct {
		Track       *Track
		Length      time.Duration // usual run time from start to end
		Checkpoints bool          // writes checkpoints: a moved run keeps its progress
		LeavesIn    time.Duration // time until its worker may leave; negative if it stays
		Elapsed     time.Duration // since its job was accepted
		Following   time.Duration // expected time from its end to the end of the job
		Objective   time.Duration // time within which the job should end, from its acceptance; 0 for none
	}
)

// Start begins a track with the progress at which the run started or resumed.
func (t *Track) Start(r Reading) { *t = Track{first: r, last: r, lastAdvance: r} }

// Add adds a reading. The rate changes only if minInterval has passed since the reading
// at which it last changed.
func (t *Track) Add(r Reading) {
	interval := r.At - t.last.At
	if r.Percent > t.lastAdvance.Percent {
		t.lastAdvance = r
	}
	if interval < minInterval {
		return
	}
	t.rate = float64(r.Percent-t.last.Percent) / interval.Seconds()
	if r.Percent-t.last.Percent >= minGain {
		t.best = max(t.best, t.rate)
	}
	t.last, t.hasRate = r, true
}

// HasRate reports whether a rate has been measured.
func (t *Track) HasRate() bool { return t.hasRate }

// Percent returns the highest progress reported.
func (t *Track) Percent() int { return t.lastAdvance.Percent }

// Length estimates the total run time from the mean rate so far; 0 if unknown.
func (t *Track) Length() time.Duration {
	done := t.last.Percent - t.first.Percent
	if !t.hasRate || done <= 0 || t.last.Percent >= fullPercent {
		return 0
	}

	return time.Duration(float64(t.last.At-t.first.At) * fullPercent / float64(done))
}

// Stalled reports whether a run of the given usual length is stalled.
func (t *Track) Stalled(length time.Duration) bool {
	if t.lastAdvance.Percent >= fullPercent {
		return false // finished, waiting for the other members of its gang
	}
	bound := max(stallTimeout, time.Duration(stallShare*float64(length)))

	return t.hasRate && t.last.At-t.lastAdvance.At >= bound
}

// Slowdown returns the current run time relative to the usual one. The factor is certain
// if the run itself was faster by slowFactor before, or if equal work is. Otherwise the
// run may just be longer than usual.
func (t *Track) Slowdown(b Baseline) (factor float64, certain bool) {
	if !t.hasRate || t.last.Percent >= fullPercent || t.rate <= 0 {
		return 1, false
	}
	ownFactor, usualFactor := t.best/t.rate, 0.0
	if b.Length > 0 {
		usualFactor = fullPercent / b.Length.Seconds() / t.rate
	}
	if ownFactor >= slowFactor || (b.EqualWork && usualFactor >= slowFactor) {
		return max(ownFactor, usualFactor), true
	}

	return usualFactor, false
}

// WorkerSlowdown returns the slowdown of a worker; 1 if it is unknown or small. Runs that may
// just be long count only if there are several, all of them are slow, and they belong to
// more than one job or are compared with other runs of their job: one job may be longer
// than usual.
func WorkerSlowdown(runs []RunSlowdown) float64 {
	lowest, highest, independent := 0.0, 1.0, false
	for i, r := range runs {
		if r.Certain {
			highest = max(highest, r.Factor)
		}
		if i == 0 || r.Factor < lowest {
			lowest = r.Factor
		}
		independent = independent || r.Job != runs[0].Job || (i > 0 && r.SameJob)
	}
	if highest == 1 && independent && lowest >= slowFactor {
		return lowest
	}

	return highest
}

// Remaining estimates the remaining time of the run on its current worker. A stalled run
// is expected to continue at the usual speed after stallDuration.
func (r Run) Remaining() time.Duration {
	rest := float64(fullPercent-r.Track.Percent()) / fullPercent
	switch {
	case r.Track.Stalled(r.Length):
		return stallDuration + time.Duration(rest*float64(r.Length))
	case r.Track.rate > 0:
		return time.Duration(float64(fullPercent-r.Track.Percent()) / r.Track.rate * float64(time.Second))
	}

	return time.Duration(rest * float64(r.Length))
}

// RemainingIfMoved estimates the remaining time of the run if it is moved now.
func (r Run) RemainingIfMoved() time.Duration {
	if !r.Checkpoints {
		return r.Length + moveCost
	}
	rest := float64(fullPercent-r.Track.Percent()) / fullPercent

	return time.Duration(rest*float64(r.Length)) + moveCost
}

// Classes of the end of a job, from best to worst.
const (
	onTime    = iota // within its objective
	late             // its result still has value
	worthless        // later than lateFactor times its objective
)

// class returns the class of the job's end if the run ends after the given time.
func (r Run) class(left time.Duration) int {
	switch end := r.Elapsed + left + r.Following; {
	case end <= r.Objective:
		return onTime
	case end <= lateFactor*r.Objective:
		return late
	}

	return worthless
}

// ShouldMove reports whether a run should be stopped and started on another worker: because
// its worker leaves before the run ends, or because it ends sooner there by moveFactor and its job
// falls into a better class. It answers workers that are taken away at short notice: one that is
// expected to stay longer than announced throws away the work of a whole gang. And it answers
// workers that slow down or stall under jobs with time to spare, whose work would be thrown away
// for nothing.
func (r Run) ShouldMove() bool {
	if r.Length <= 0 || r.Track.Percent() >= fullPercent {
		return false
	}
	left := r.Remaining()
	if r.LeavesIn >= 0 {
		stays := r.LeavesIn
		if !r.Checkpoints {
			stays -= leaveLag
		}
		if left > stays {
			return true
		}
	}
	moved := r.RemainingIfMoved()
	if float64(left) <= moveFactor*float64(moved) {
		return false
	}

	return r.Objective == 0 || r.Checkpoints || r.class(moved) < r.class(left)
}
