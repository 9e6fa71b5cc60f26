// Package crash decides which task is to blame when workers crash, and when such a task is
// given up. One crash does not tell: all runs of the worker are lost with it. But a task that
// crashes its workers does so soon after its start, and each time. It has no clock and no I/O.
package crash

import (
	"slices"
	"time"

	"sesameyoke/internal/core/work"
)

const (
	// Fresh is the time from a start in which a crash of the worker may be due to it.
	Fresh = time.Second
	// Probation is the time after which a run is not to blame for earlier crashes.
	Probation = 2 * Fresh
	// maxReturn is the time after which a crashed worker is back, as a rule. If it is back later, its run of
	// unknown age has most likely outlived Fresh, or had ended before the crash.
	maxReturn = 5 * time.Second
)

const (
	// A task is given up after this many crashes, one after the other, that it may have caused.
	maxBlamed = 3
	// A task is given up after this many crashes, whether it may have caused them or not.
	maxCrashes = 5
)

// Run is the run of a task under which a worker has crashed.
type Run struct {
	Number      int64
	Age         time.Duration // from its start to the crash, at least; negative if it is not known
	UntilReturn time.Duration // from its assignment until its worker was back, at most; 0 if that is not known
	Outlasted   bool          // it has surely run for Probation
	Unanswered  bool          // its start was sent and never answered, nor was it reported: it may never have begun
	LongRunning bool          // the task runs until its job is cancelled
}

// Suspect reports whether a run may have caused the crash: it has just started, as far as is
// known.
func (r Run) Suspect() bool {
	if r.Age < 0 && r.UntilReturn > Fresh+maxReturn {
		return false
	}

	return r.Age <= Fresh && !r.Outlasted
}

// Count counts a crash under a run. It returns false if that has been counted before.
func Count(c work.TaskCrashes, r Run) (work.TaskCrashes, bool) {
	if slices.Contains(c.Runs, r.Number) {
		return c, false
	}
	next := c
	next.Runs = append(slices.Clone(c.Runs), r.Number)
	switch {
	case r.Suspect():
		next.Blamed++
		if r.Unanswered {
			next.Doubtful++
		}
	case r.Outlasted:
		next.Blamed, next.Doubtful = 0, 0
	}
	if r.LongRunning && r.Outlasted {
		next.Runs = []int64{r.Number} // workers may crash now and then under a task without an end
	}

	return next, true
}

// GiveUp reports whether a task is not to be started again. Crashes under runs that may never have
// begun do not count towards maxBlamed: starts that are sent to a worker while it crashes for
// another reason get no answer either.
func GiveUp(c work.TaskCrashes) bool {
	return c.Blamed-c.Doubtful >= maxBlamed || len(c.Runs) >= maxCrashes
}
