package assign

import (
	"math"
	"time"
)

// Standing is what the order of a waiting unit depends on.
type Standing struct {
	Priority  int
	Waited    time.Duration // since its job was accepted
	Left      time.Duration // run time that its job still needs
	Objective time.Duration // from acceptance to the end of the job
	Reserved  bool          // its workspace's guarantee covers it
}

// Ranks of units, the first to be placed first.
const (
	rankReserved = iota
	rankInTime   // the objective can still be met
	rankLate     // it will be late, and still worth something
	rankHopeless // too late to be worth anything; it has to end all the same

	lateShare     = 3   // a job is worth something until so many times its objective
	rankStep      = 1e9 // between ranks, in seconds of the order
	prioStep      = 1e6 // between priorities within a rank
	estimateSlack = 0.5 // share of the run time by which its estimate may be off
)

// Rank returns the place of a unit in the order; lower comes first.
func Rank(s Standing, accepted time.Duration) float64 {
	return float64(s.rank())*rankStep + float64(s.Priority)*prioStep + accepted.Seconds()
}

func (s Standing) rank() int {
	end := s.Waited + s.Left
	switch {
	case s.Reserved:
		return rankReserved
	case s.Objective == 0 || end <= s.Objective+time.Duration(estimateSlack*float64(s.Left)):
		return rankInTime
	case end <= lateShare*s.Objective:
		return rankLate
	}

	return rankHopeless
}

// Expected returns the run time that a job may be expected to need: between what it
// declares, which is often far off, and what its queue's runs have taken, which says
// nothing of jobs that are longer than others.
func Expected(declared, usual time.Duration) time.Duration {
	if declared <= 0 {
		return usual
	}

	return time.Duration(math.Sqrt(float64(declared) * float64(usual)))
}
