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
	// ServingTask is the state of a serving task as its worker reports it.
	ServingTask struct {
		TailLatency time.Duration // recent tail latency
		Target      time.Duration // upper bound of the tail latency; 0 for none
	}

	// Limit is the upper bound of the CPU share of the best-effort tasks on one worker.
	Limit struct {
		Percent     int
		MissedSince time.Duration // since when a target has been missed; 0 if none is missed
	}
)

// Next returns the limit after a report at the given time. The share is cut quickly while
// a target is missed, set to 0 if the target is still missed after missTimeout, and grows
// slowly. Without serving tasks there is no limit.
func (l Limit) Next(now time.Duration, serving []ServingTask) Limit {
	worst := 0.0
	for _, s := range serving {
		if s.Target > 0 {
			worst = max(worst, float64(s.TailLatency)/float64(s.Target))
		}
	}
	switch {
	case len(serving) == 0:
		return Limit{Percent: Full}
	case worst > 1 && l.MissedSince != 0 && now-l.MissedSince >= missTimeout:
		l.Percent = 0
	case worst > 1:
		l.Percent = int(cutFactor * float64(l.Percent))
	case worst > shrinkAbove:
		l.Percent = int(shrinkFactor * float64(l.Percent))
	case worst < growBelow:
		l.Percent = min(Full, l.Percent+growStep)
	}
	if l.Percent < minPercent {
		l.Percent = 0
	}
	if worst <= 1 {
		l.MissedSince = 0
	} else if l.MissedSince == 0 {
		l.MissedSince = now
	}

	return l
}
