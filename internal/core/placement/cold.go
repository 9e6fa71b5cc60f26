package placement

import "time"

const (
	coldFull         = 5 * time.Second // remaining time from which a worker costs the whole coldCost
	urgentColdCost   = 6.0             // cost of a cold worker to units of priority 0: less than that of a worker on another rack than the data
	standardColdCost = 3.0             // the same for other units: more than a worker whose whole capacity is unused
)

// coldCost returns the cost of a worker that is still slow after its start. It decreases with the
// time for which that lasts, and is highest for urgent units, which have the least slack. It answers
// domains that are restored: all their workers are cold and idle, and would attract the work that
// waits although warm workers have room.
func (w *Worker) coldCost(u *Unit) float64 {
	if w.ColdFor <= 0 {
		return 0
	}
	cost := standardColdCost
	if u.Priority == 0 {
		cost = urgentColdCost
	}

	return cost * min(1, w.ColdFor.Seconds()/coldFull.Seconds())
}
