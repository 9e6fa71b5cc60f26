// Package share decides at what share tasks that fill may work beside tasks that
// serve their own users on the same worker. It has no clock and no I/O.
package share

import "time"

// Shares, in percent.
const (
	Full  = 100 // a filling task works as it can
	First = 50  // filling tasks begin so beside serving ones
)

const (
	high     = 0.85 // of a target: above it the share shrinks a little
	low      = 0.65 // below it the share grows
	shrink   = 0.7  // each time that the tail is near its target
	cut      = 0.4  // each time that it is above
	grow     = 8    // percent each time that it is low
	least    = 5    // percent; less is none at all
	patience = 1500 * time.Millisecond
)

type (
	// Serving is a task that serves, as its worker reports it.
	Serving struct {
		Tail   time.Duration // of its newest response times
		Target time.Duration // that the tail must stay under
	}

	// Pace is the share of the tasks that fill on one worker.
	Pace struct {
		Percent int
		Over    time.Duration // some target is missed since; 0 if none is
	}
)

// Next returns the pace after a report at the given time. The share is cut fast when
// a target is missed, and ends when that does not help; it grows slowly.
func (p Pace) Next(now time.Duration, serving []Serving) Pace {
	worst := 0.0
	for _, s := range serving {
		if s.Target > 0 {
			worst = max(worst, float64(s.Tail)/float64(s.Target))
		}
	}
	switch {
	case len(serving) == 0:
		return Pace{Percent: Full}
	case worst > 1 && p.Over != 0 && now-p.Over >= patience:
		p.Percent = 0
	case worst > 1:
		p.Percent = int(cut * float64(p.Percent))
	case worst > high:
		p.Percent = int(shrink * float64(p.Percent))
	case worst < low:
		p.Percent = min(Full, p.Percent+grow)
	}
	if p.Percent < least {
		p.Percent = 0
	}
	if worst <= 1 {
		p.Over = 0
	} else if p.Over == 0 {
		p.Over = now
	}

	return p
}
