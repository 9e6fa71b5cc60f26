// Package cpushare limits the CPU share of best-effort tasks on a worker, so that serving
// tasks on the same worker meet their latency targets. It has no clock and no I/O.
package cpushare

import "time"

// Shares, in percent.
const (
	Full    = 100 // no limit
	Initial = 50  // initial share beside serving tasks
)

const (
	shrinkAbove  = 0.85                    // ratio of tail latency to target above which the share shrinks
	growBelow    = 0.65                    // ratio below which the share grows
	shrinkFactor = 0.7                     // applied per report with a ratio from shrinkAbove to 1
	cutFactor    = 0.4                     // applied per report with a missed target
	growStep     = 8                       // percent added per report with a ratio below growBelow
	minPercent   = 5                       // a share below this is set to 0
	missTimeout  = 1500 * time.Millisecond // time with a missed target after which the share is set to 0
)

type (
	// Serving is the state of a serving task as its worker reports it.
	Serving struct {
		Tail   time.Duration // recent tail latency
		Target time.Duration // upper bound of the tail latency; 0 for none
	}

	// Pace is the CPU share of the best-effort tasks on one worker.
	Pace struct {
		Percent     int
		MissedSince time.Duration // time since which a target is missed; 0 if none is
	}
)

// Next returns the pace after a report at the given time. The share is cut quickly while
// a target is missed, set to 0 if the target is still missed after missTimeout, and grows
// slowly. Without serving tasks there is no limit.
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
	case worst > 1 && p.MissedSince != 0 && now-p.MissedSince >= missTimeout:
		p.Percent = 0
	case worst > 1:
		p.Percent = int(cutFactor * float64(p.Percent))
	case worst > shrinkAbove:
		p.Percent = int(shrinkFactor * float64(p.Percent))
	case worst < growBelow:
		p.Percent = min(Full, p.Percent+growStep)
	}
	if p.Percent < minPercent {
		p.Percent = 0
	}
	if worst <= 1 {
		p.MissedSince = 0
	} else if p.MissedSince == 0 {
		p.MissedSince = now
	}

	return p
}
