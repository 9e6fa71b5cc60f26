// Package speed estimates how much longer runs take on each worker than on the others of its
// fleet. It answers a load on uneven workers: a gang is as slow as its slowest member, so an
// urgent gang that has lost time can meet its objective only if all its members are on fast
// workers. It has no clock and no I/O.
package speed

import (
	"math"
	"slices"
	"time"
)

const (
	priorVariance   = 0.16                    // of the logarithm of an unknown worker's factor
	fadePerSecond   = 0.0007                  // growth of the variance: an estimate is half forgotten after a few minutes
	gangDeviation   = 0.05                    // deviation of the logarithm of the run times of tasks that do equal work
	stepDeviation   = 0.2                     // the same for tasks of one step
	minVariance     = 0.01                    // a worker may change its speed at any time
	knownVariance   = 0.06                    // a worker with a lower variance is known
	oddFactor       = 1.4                     // ratio to the median factor from which a known worker counts as fast or slow
	unevenShare     = 0.05                    // share of fast and slow workers among the known ones from which the fleet is uneven
	evenShare       = 0.02                    // share below which it is even again
	minKnown        = 20                      // known workers below which the fleet counts as even
	smallDifference = 0.18                    // difference of the logarithm from the usual one that counts as none
	minPeers        = 2                       // runs in a comparison, with the one compared
	faultFactor     = 3.0                     // larger differences are taken for a fault, which straggler detects
	minElapsed      = 25                      // progress in percent from which a projected run time is compared
	minRunTime      = 1500 * time.Millisecond // or the run time from which it is
)

type (
	// Estimate is the estimated run time on one worker relative to the usual one, on a
	// logarithmic scale.
	Estimate struct {
		Log      float64
		Variance float64       // 0 for a worker without observations
		At       time.Duration // when it was last updated
	}

	// Observation is the run time of one run, with the estimate for its worker.
	Observation struct {
		Length   time.Duration
		Estimate Estimate
	}

	// Fleet summarizes the estimates of all workers.
	Fleet struct {
		Uneven bool
		Known  int     // workers with a reliable estimate
		Fast   int     // those of them that are fast
		Slow   int     // those of them that are slow
		Usual  float64 // logarithm of the mean factor of the known ones
	}
)

// variance returns the variance of the estimate at the given time.
func (e Estimate) variance(now time.Duration) float64 {
	if e.Variance == 0 {
		return priorVariance
	}

	return min(priorVariance, e.Variance+fadePerSecond*(now-e.At).Seconds())
}

// Ready reports whether the projected run time of a run may be compared with others.
func Ready(percent int, elapsed time.Duration) bool {
	return percent >= minElapsed || elapsed >= minRunTime
}

// Compare returns the new estimates for the workers of runs that should take equally long: the
// members of a gang, or tasks of one step. Each run is compared with the mean of the others.
func Compare(runs []Observation, equalWork bool, now time.Duration) []Estimate {
	next := make([]Estimate, len(runs))
	var sound []int
	median := medianLog(runs)
	for i, r := range runs {
		next[i] = r.Estimate
		if math.Abs(r.normalizedLog()-median) < math.Log(faultFactor) {
			sound = append(sound, i)
		}
	}
	if len(sound) < minPeers {
		return next
	}
	deviation := stepDeviation
	if equalWork {
		deviation = gangDeviation
	}
	sum, variances := 0.0, 0.0
	for _, i := range sound {
		sum += runs[i].normalizedLog()
		variances += runs[i].Estimate.variance(now)
	}
	others := float64(len(sound) - 1)
	for _, i := range sound {
		e := runs[i].Estimate
		v, normalized := e.variance(now), runs[i].normalizedLog()
		observed := e.Log + normalized - (sum-normalized)/others
		noise := deviation*deviation*(1+1/others) + (variances-v)/(others*others)
		next[i] = e.update(observed, v, noise, now)
	}

	return next
}

// normalizedLog returns the logarithm of the run time on a usual worker, by the estimate.
func (o Observation) normalizedLog() float64 { return math.Log(o.Length.Seconds()) - o.Estimate.Log }

// medianLog returns the median of the normalized run times.
func medianLog(runs []Observation) float64 {
	if len(runs) == 0 {
		return 0
	}
	logs := make([]float64, len(runs))
	for i, r := range runs {
		logs[i] = r.normalizedLog()
	}
	slices.Sort(logs)

	return logs[len(logs)/2]
}

// update combines the estimate, whose variance is v, with an observation.
func (e Estimate) update(observed, v, noise float64, now time.Duration) Estimate {
	gain := v / (v + noise)
	bound := math.Log(faultFactor)
	l := e.Log + gain*(observed-e.Log)

	return Estimate{Log: min(bound, max(-bound, l)), Variance: max(minVariance, (1-gain)*v), At: now}
}

// Summarize returns the summary of a fleet's estimates, given the one before.
func Summarize(all []Estimate, before Fleet, now time.Duration) Fleet {
	known := make([]float64, 0, len(all))
	for _, e := range all {
		if e.variance(now) <= knownVariance {
			known = append(known, e.Log)
		}
	}
	f := Fleet{Known: len(known)}
	if f.Known < minKnown {
		return f
	}
	slices.Sort(known)
	median, sum := known[len(known)/2], 0.0
	for _, l := range known {
		sum += math.Exp(l)
		switch {
		case l-median >= math.Log(oddFactor):
			f.Slow++
		case median-l >= math.Log(oddFactor):
			f.Fast++
		}
	}
	f.Usual = math.Log(sum / float64(len(known)))
	share := float64(f.Fast+f.Slow) / float64(f.Known)
	f.Uneven = share >= unevenShare || (before.Uneven && share >= evenShare)

	return f
}

// Factor returns the expected run time on a worker relative to the mean of the fleet. Small
// differences count as none.
func (f Fleet) Factor(e Estimate, now time.Duration) float64 {
	if e.Variance == 0 {
		return 1
	}
	l := (e.Log - f.Usual) * (1 - e.variance(now)/priorVariance)
	if math.Abs(l) < smallDifference {
		return 1
	}

	return math.Exp(l)
}
