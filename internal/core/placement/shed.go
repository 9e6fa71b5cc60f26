package placement

import "time"

const (
	shedUse    = 0.9 // share of the accelerators in use below which no job is rejected
	shedMargin = 0.5 // relative error that is allowed for the estimates of the wait and of the run time
)

// Backlog is the work that a new job finds.
type Backlog struct {
	Accelerators int       // of the schedulable workers
	Used         float64   // share of them in use
	Running      float64   // accelerator-seconds until the current runs end that the job cannot evict
	Waiting      []Waiting // units that wait for placement
}

// Wait returns a lower bound of the time until a new unit starts. It counts the runs, and the
// waiting units that stay ahead of the new one for as long as both can end in a better class.
func (b *Backlog) Wait(u CostInput) time.Duration {
	ahead := b.Running
	for i := range b.Waiting {
		if b.Waiting[i].staysAhead(u) {
			ahead += b.Waiting[i].Need
		}
	}

	return time.Duration(ahead / float64(max(1, b.Accelerators)) * float64(time.Second))
}

// staysAhead reports whether a waiting unit is placed before a new one now and whenever time has
// brought either of them into a later class.
func (s CostInput) staysAhead(u CostInput) bool {
	if s.Guaranteed {
		return true
	}

	first := s.Priority < u.Priority || (s.Priority == u.Priority && s.Cost() > 0 && s.density() >= u.density())

	return first && s.OnTime() && s.slack(1) >= u.slack(1) && s.slack(lateFactor) >= u.slack(lateFactor)
}

// slack returns how long the unit may wait so that its job ends within a multiple of its objective.
func (s RankInput) slack(factor time.Duration) time.Duration {
	return factor*s.Objective - s.Waited - s.Remaining
}

// Shed reports whether a new job is rejected because it will certainly end too late for its
// result to have value, and the wait to expect. It answers a load that grows faster than it is
// worked off: a job that is accepted all the same takes capacity from others and earns nothing.
// The objective is that of a run time that exceeds the estimate by shedMargin.
func Shed(b *Backlog, u CostInput) (time.Duration, bool) {
	if b.Accelerators == 0 || b.Used < shedUse || u.Guaranteed || u.Objective == 0 {
		return 0, false
	}
	wait := b.Wait(u)
	longest := time.Duration((1 + shedMargin) * float64(u.Remaining))
	limit := time.Duration((1 + shedMargin) * float64(lateFactor*u.Objective))
	certain := time.Duration((1 - shedMargin) * float64(wait))

	return wait, certain+longest > limit
}
