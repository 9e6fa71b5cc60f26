package engine_test

import (
	"cmp"
	"slices"
)

const longestInterval = 60 // longest interval over which the lost credit is bounded, in seconds

// unavoidableLoss returns a lower bound of the credit that every policy loses. Jobs that arrive
// and have to end within an interval share the accelerators of that interval; if they need
// more, those with the least credit for an accelerator's time end late. The bound is the
// largest loss of any interval.
func (l *load) unavoidableLoss(all []*arrival) float64 {
	worst := 0.0
	for from := range int(l.Seconds) + 4 {
		for length := 1; length <= longestInterval; length++ {
			worst = max(worst, l.lossWithin(all, float64(from), float64(from+length)))
		}
	}

	return worst
}

// lossWithin returns a lower bound of the credit lost on jobs that arrive and have to end
// between two times, in seconds.
func (l *load) lossWithin(all []*arrival, from, to float64) float64 {
	var within []*arrival
	excess := -float64(l.Workers) * workerAccelerators * (to - from)
	for _, a := range all {
		if !a.poison && a.cancel == 0 && a.sent.Seconds() >= from && (a.sent+a.objective()).Seconds() <= to {
			within = append(within, a)
			excess += a.acceleratorSeconds()
		}
	}
	slices.SortFunc(within, func(a, b *arrival) int {
		return cmp.Compare(a.atStake*b.acceleratorSeconds(), b.atStake*a.acceleratorSeconds())
	})
	loss := 0.0
	for _, a := range within {
		if excess <= 0 {
			break
		}
		loss += a.atStake * min(1, excess/a.acceleratorSeconds())
		excess -= a.acceleratorSeconds()
	}

	return loss
}

// acceleratorSeconds returns the time that a job needs, summed over its accelerators.
func (a *arrival) acceleratorSeconds() float64 {
	sum := 0.0
	for _, l := range a.lengths {
		sum += l
	}

	return sum * float64(a.Steps[0].Need.Accelerators)
}
