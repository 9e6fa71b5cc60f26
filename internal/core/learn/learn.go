// Package learn estimates run times from what jobs of the same workspace and kind
// have taken before, since declared run times are often far off.
package learn

import (
	"math"
	"time"
)

const (
	// priorDeclared is the variance of the logarithm of true over declared run
	// time before anything is learnt: off by four both ways.
	priorDeclared = 0.64

	// priorKind is the variance of the logarithm of run times within one kind
	// before anything is learnt.
	priorKind = 2.0

	// priorCount is how many observations the priors weigh.
	priorCount = 4.0

	// maxCount bounds the memory of old observations, so that estimates follow
	// changes.
	maxCount = 200.0

	// overrun is the expected further run time over the run time so far, for each
	// unit of Sigma, of a job that has outlived its median.
	overrun = 0.6
)

type (
	// Name identifies what is learnt together.
	Name struct {
		Workspace string
		Kind      string
	}

	// series is a running mean and variance of logarithms.
	series struct {
		count float64
		mean  float64
		m2    float64 // sum of squared distances from the mean
	}

	// Kind holds what is learnt of one kind of job.
	Kind struct {
		taken series // logarithm of run times in seconds
		ratio series // logarithm of run time over declared run time
	}

	// Book holds what is learnt of all kinds.
	Book struct {
		kinds map[Name]*Kind
	}

	// Guess is an estimate of a run time: a log-normal distribution.
	Guess struct {
		Mu    float64 // mean of the logarithm of seconds
		Sigma float64 // standard deviation of the logarithm
	}
)

// New returns an empty book.
func New() *Book {
	return &Book{kinds: make(map[Name]*Kind)}
}

// Observe adds one finished job.
func (b *Book) Observe(n Name, declared, taken time.Duration) {
	k, ok := b.kinds[n]
	if !ok {
		k = &Kind{}
		b.kinds[n] = k
	}
	k.taken.add(logSeconds(taken))
	k.ratio.add(logSeconds(taken) - logSeconds(declared))
}

// Guess combines the declared run time with the kind's history, each weighed by
// how well it has foretold run times so far.
func (b *Book) Guess(n Name, declared time.Duration) Guess {
	k := b.kinds[n]
	if k == nil {
		return Guess{Mu: logSeconds(declared), Sigma: math.Sqrt(priorDeclared)}
	}
	fromDeclared := logSeconds(declared) + k.ratio.mean*k.ratio.count/(k.ratio.count+priorCount)
	varDeclared := k.ratio.variance(priorDeclared)
	varKind := k.taken.variance(priorKind) * (1 + priorCount/k.taken.count)
	weight := varKind / (varKind + varDeclared)
	mu := weight*fromDeclared + (1-weight)*k.taken.mean

	return Guess{Mu: mu, Sigma: math.Sqrt(varDeclared * varKind / (varDeclared + varKind))}
}

// Median returns the run time that half of such jobs stay under.
func (g Guess) Median() time.Duration {
	return seconds(math.Exp(g.Mu))
}

// Above returns the run time that a job exceeds with the odds of z standard
// deviations: 1 is 16 %, 2 is 2 %.
func (g Guess) Above(z float64) time.Duration {
	return seconds(math.Exp(g.Mu + z*g.Sigma))
}

// Left estimates the remaining run time of a job that has run for done. A job
// that has outlived its estimate is expected to go on in proportion to its age.
func (g Guess) Left(done time.Duration) time.Duration {
	median := g.Median()
	if done <= 0 {
		return median
	}
	z := (logSeconds(done) - g.Mu) / g.Sigma
	if z < 0 {
		return max(median-done, time.Duration(float64(done)*g.Sigma*overrun))
	}

	return time.Duration(float64(done) * g.Sigma * overrun)
}

func (s *series) add(x float64) {
	if s.count >= maxCount {
		s.m2 *= (maxCount - 1) / maxCount
		s.count--
	}
	s.count++
	d := x - s.mean
	s.mean += d / s.count
	s.m2 += d * (x - s.mean)
}

func (s *series) variance(prior float64) float64 {
	return (s.m2 + priorCount*prior) / (s.count + priorCount)
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d.Seconds(), 1e-3))
}

func seconds(s float64) time.Duration {
	const maxSeconds = 1e9

	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}
