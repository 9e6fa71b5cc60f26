package placement

import (
	"cmp"
	"slices"
	"time"
)

// priorityWeights holds, by priority, what a caller loses by the loss of a mean job of the
// queue. The least weight also holds for later priorities.
var priorityWeights = []float64{4, 3, 1}

const (
	baseValue = 0.3  // part of a job's value that does not depend on its work
	maxValue  = 4.0  // upper bound of a job's value, relative to the mean of its queue
	lateValue = 0.25 // part of a job's value that is left after its objective
	agedShare = 0.5  // share of the objective after which a unit has aged
	noNeed    = 1e-3 // least need in accelerator-seconds, for units that need almost nothing
)

type (
	// CostInput holds the facts that determine what a delay of a waiting unit costs its caller.
	CostInput struct {
		RankInput

		Work     float64       // work of its job, in core-seconds
		MeanWork float64       // mean work of the jobs of its queue, in core-seconds; 0 if it is not known
		Need     float64       // accelerator-seconds that the unit needs
		Wait     time.Duration // expected wait
	}

	// Waiting is a waiting unit as OrderByCost sees it.
	Waiting struct {
		CostInput

		Queue    string
		Accepted time.Duration // time from which its waiting time counts
	}
)

// Value returns the value of a job that ends within its objective: its work relative to that
// of its queue, weighted by its priority.
func (s CostInput) Value() float64 {
	relative := 1.0
	if s.MeanWork > 0 {
		relative = s.Work / s.MeanWork
	}

	return priorityWeights[min(max(0, s.Priority), len(priorityWeights)-1)] * min(maxValue, baseValue+(1-baseValue)*relative)
}

// Cost returns what is lost, per accelerator-second of need, if the unit is delayed by its
// expected wait. It is 0 for a unit whose job then still falls into the same class.
func (s CostInput) Cost() float64 {
	delayed := s.RankInput
	delayed.Waited += s.Wait
	lost := s.share() - delayed.certainShare()

	return max(0, lost) * s.density()
}

// density returns the value of the unit's job per accelerator-second of need.
func (s CostInput) density() float64 { return s.Value() / max(noNeed, s.Need) }

// OnTime reports whether the unit's job could still meet its objective if the unit started now.
func (s RankInput) OnTime() bool { return s.rank() <= rankOnTime }

// aged reports whether the unit has used up so much of its objective that later units of its
// queue no longer overtake it.
func (s RankInput) aged() bool {
	return s.Objective > 0 && s.Waited > time.Duration(agedShare*float64(s.Objective))
}

// OrderByCost returns the indexes of units in the order of their placement in a shortage. It
// answers a load in which all queues together need more than the workers have: by rank and
// priority as always, then those first whose delay costs most for what they need, then by
// acceptance. An aged unit comes before all later units of its queue that have its rank.
func OrderByCost(units []Waiting) []int {
	costs := make([]float64, len(units))
	order := make([]int, len(units))
	for i := range units {
		order[i], costs[i] = i, units[i].Cost()
	}
	raiseAged(units, costs)
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(units[a].rank(), units[b].rank()),
			cmp.Compare(units[a].Priority, units[b].Priority),
			cmp.Compare(costs[b], costs[a]),
			cmp.Compare(units[a].Accepted, units[b].Accepted),
		)
	})

	return order
}

// raiseAged raises the cost of each aged unit to the highest of the later units of its queue and rank.
func raiseAged(units []Waiting, costs []float64) {
	type class struct {
		queue string
		rank  int
	}
	latest := make([]int, len(units))
	for i := range latest {
		latest[i] = i
	}
	slices.SortStableFunc(latest, func(a, b int) int { return cmp.Compare(units[b].Accepted, units[a].Accepted) })
	highest := map[class]float64{}
	for _, i := range latest {
		u := &units[i]
		c := class{u.Queue, u.rank()}
		if u.aged() {
			costs[i] = max(costs[i], highest[c])
		}
		highest[c] = max(highest[c], costs[i])
	}
}

// LostValue returns, in core-seconds, the value that a job loses if a run is stopped and its
// unit starts again after the given wait, compared with the run's end after left. The value of
// an urgent job counts as its work, that of others less by their weights. It is 0 for a job
// that meets its objective all the same.
func (s CostInput) LostValue(left, wait time.Duration) float64 {
	goesOn, again := s.RankInput, s.RankInput
	goesOn.Remaining = left
	again.Waited += wait

	return max(0, goesOn.share()-again.share()) * s.Value() / priorityWeights[0] * s.MeanWork
}

// share returns the share of its value that a job keeps in its class.
func (s RankInput) share() float64 {
	switch s.rank() {
	case rankGuaranteed, rankOnTime:
		return 1
	case rankLate:
		return lateValue
	}

	return 0
}

// certainShare is share without an allowance for an estimate that is too long.
func (s RankInput) certainShare() float64 {
	switch end := s.Waited + s.Remaining; {
	case s.Guaranteed || s.Objective == 0 || end <= s.Objective:
		return 1
	case end <= lateFactor*s.Objective:
		return lateValue
	}

	return 0
}
