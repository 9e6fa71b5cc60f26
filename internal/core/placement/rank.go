package placement

import (
	"math"
	"time"
)

// RankInput holds the facts that determine the rank of a waiting unit.
type RankInput struct {
	Priority   int
	Waited     time.Duration // since its job was accepted, or since its occurrence was due
	Remaining  time.Duration // estimated remaining run time of its job
	Objective  time.Duration // time within which the job should end, from the same start as Waited; 0 for none
	Guaranteed bool          // covered by the accelerators guaranteed to its workspace
}

// Ranks of units, in the order of their placement.
const (
	rankGuaranteed = iota
	rankOnTime     // the objective can still be met
	rankLate       // the objective will be missed, but the result still has value
	rankWorthless  // too late for the result to have value; the job still has to be completed

	lateFactor    = 3   // multiple of the objective until which a job's result has value
	rankStep      = 1e9 // distance between ranks in the sort key, in seconds
	priorityStep  = 1e6 // distance between priorities within a rank
	minSpeedup    = 0.3 // no worker needs less than this share of the usual time
	estimateSlack = 0.5 // relative error allowed for the estimate of the remaining run time
)

// Rank returns the sort key of a unit accepted at the given time; lower is placed first.
// Units are ordered by rank, then by priority, then by acceptance.
func Rank(s RankInput, accepted time.Duration) float64 {
	return float64(s.rank())*rankStep + float64(s.Priority)*priorityStep + accepted.Seconds()
}

func (s RankInput) rank() int {
	end := s.Waited + s.Remaining
	switch {
	case s.Guaranteed:
		return rankGuaranteed
	case s.Objective == 0 || end <= s.Objective+time.Duration(estimateSlack*float64(s.Remaining)):
		return rankOnTime
	case end <= lateFactor*s.Objective:
		return rankLate
	}

	return rankWorthless
}

// MaxSlowdown returns the slowdown of the slowest workers on which a unit can still end within its
// objective, or 0 if any or none will do. The length is that of the unit on a usual worker. It
// answers a load of urgent gangs on uneven workers: a gang that has lost time meets its objective
// only on fast workers.
func MaxSlowdown(s RankInput, length time.Duration) float64 {
	if s.Objective == 0 || length <= 0 {
		return 0
	}
	following := max(0, s.Remaining-length)
	limit := float64(s.Objective-s.Waited-following) / float64(length)
	if limit < minSpeedup || limit > slowThreshold {
		return 0
	}

	return limit
}

// ExpectedRunTime estimates a run time as the geometric mean of the declared one, which is
// often far off, and the usual one of the queue, which does not tell long jobs from
// short ones.
func ExpectedRunTime(declared, usual time.Duration) time.Duration {
	if declared <= 0 {
		return usual
	}

	return time.Duration(math.Sqrt(float64(declared) * float64(usual)))
}
