// Package estimate estimates run times from those of earlier jobs of the same workspace and
// kind, because declared run times are often far off.
package estimate

import (
	"math"
	"time"
)

const (
	// priorDeclaredVariance is the prior variance of the logarithm of actual over declared
	// run time. It assumes that declared times are off by a factor of up to four in
	// either direction.
	priorDeclaredVariance = 0.64

	// priorKindVariance is the prior variance of the logarithm of run times within one kind.
	priorKindVariance = 2.0

	// priorCount is the weight of the priors, in observations.
	priorCount = 4.0

	// maxWeight bounds the weight of earlier observations, so that estimates follow changes.
	maxWeight = 200.0

	// overrunFactor is the expected remaining run time of a job that has exceeded its
	// median, as a multiple of Sigma times the run time so far.
	overrunFactor = 0.6
)

type (
	// Key identifies a kind of job of one workspace. Each has its own statistics.
	Key struct {
		Workspace string
		Kind      string
	}

	// runningStats is a running mean and variance of logarithms.
	runningStats struct {
		count      float64
		mean       float64
		sumSquares float64 // sum of squared distances from the mean
	}

	// kindStats holds the statistics of one kind of job.
	kindStats struct {
		runTimes      runningStats // logarithm of run times in seconds
		declaredRatio runningStats // logarithm of run time over declared run time
	}

	// History holds the statistics of all kinds of jobs.
	History struct {
		kinds map[Key]*kindStats
	}

	// Estimate is an estimated run time, as a log-normal distribution.
	Estimate struct {
		Mu    float64 // mean of the logarithm of seconds
		Sigma float64 // standard deviation of the logarithm
	}
)

// New returns a history without observations.
func New() *History {
	return &History{kinds: make(map[Key]*kindStats)}
}

// Observe adds the declared and the actual run time of a finished job.
func (h *History) Observe(key Key, declared, actual time.Duration) {
	k, ok := h.kinds[key]
	if !ok {
		k = &kindStats{}
		h.kinds[key] = k
	}
	k.runTimes.add(logSeconds(actual))
	k.declaredRatio.add(logSeconds(actual) - logSeconds(declared))
}

// Estimate estimates a run time from the declared one and from the history of the kind,
// each weighted by the inverse of its variance, that is by how well it has predicted run
// times so far.
func (h *History) Estimate(key Key, declared time.Duration) Estimate {
	k := h.kinds[key]
	if k == nil {
		return Estimate{Mu: logSeconds(declared), Sigma: math.Sqrt(priorDeclaredVariance)}
	}
	fromDeclared := logSeconds(declared) + k.declaredRatio.mean*k.declaredRatio.count/(k.declaredRatio.count+priorCount)
	varDeclared := k.declaredRatio.variance(priorDeclaredVariance)
	varKind := k.runTimes.variance(priorKindVariance) * (1 + priorCount/k.runTimes.count)
	weight := varKind / (varKind + varDeclared)
	mu := weight*fromDeclared + (1-weight)*k.runTimes.mean

	return Estimate{Mu: mu, Sigma: math.Sqrt(varDeclared * varKind / (varDeclared + varKind))}
}

// Median returns the median of the run time.
func (e Estimate) Median() time.Duration {
	return seconds(math.Exp(e.Mu))
}

// AboveMedian returns the run time that is z standard deviations (of the logarithm) above
// the median. A job exceeds it with a probability of 16 % for z = 1 and 2 % for z = 2.
func (e Estimate) AboveMedian(z float64) time.Duration {
	return seconds(math.Exp(e.Mu + z*e.Sigma))
}

// Remaining estimates the remaining run time of a job that has run for the given time. A job
// that has exceeded its median is expected to continue in proportion to its run time. Before
// the median, the estimate is the time left to the median, but no less than that proportion.
func (e Estimate) Remaining(elapsed time.Duration) time.Duration {
	median := e.Median()
	if elapsed <= 0 {
		return median
	}
	z := (logSeconds(elapsed) - e.Mu) / e.Sigma
	if z < 0 {
		return max(median-elapsed, time.Duration(float64(elapsed)*e.Sigma*overrunFactor))
	}

	return time.Duration(float64(elapsed) * e.Sigma * overrunFactor)
}

// add adds an observation. At maxWeight it first reduces the weight of the earlier ones.
func (s *runningStats) add(x float64) {
	if s.count >= maxWeight {
		s.sumSquares *= (maxWeight - 1) / maxWeight
		s.count--
	}
	s.count++
	d := x - s.mean
	s.mean += d / s.count
	s.sumSquares += d * (x - s.mean)
}

// variance returns the variance of the observations, combined with a prior variance.
func (s *runningStats) variance(prior float64) float64 {
	return (s.sumSquares + priorCount*prior) / (s.count + priorCount)
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d.Seconds(), 1e-3))
}

func seconds(s float64) time.Duration {
	const maxSeconds = 1e9

	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}
