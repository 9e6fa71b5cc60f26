package placement

import "time"

const (
	overdueAfter = 2 * time.Second // longest wait of a unit without runs for its preferences beside ample room
	overdueUse   = 0.5             // share of the capacity in use from which preferences hold longer
	overdueRoom  = 2               // ample room is that for this multiple of the unit

	// The same for a task that is to run until its job is cancelled, however much of the capacity is in use.
	longRunningOverdueAfter = 3 * time.Second
)

// MayBeOverdue reports whether a unit of which nothing has run for the given time may be overdue
// while the given share of its service's capacity is in use. A long-running one may be, however much that is: callers
// expect it to run again within seconds, and gangs can't wait for its end.
func MayBeOverdue(u *Unit, idle time.Duration, used float64) bool {
	if u.LongRunning && idle >= longRunningOverdueAfter {
		return true
	}

	return idle >= overdueAfter && used < overdueUse
}

// IsOverdue reports whether a unit may no longer wait for what it prefers, because nothing of
// its job has run for the given time although the workers have ample room. It answers a load
// of gangs that must be on one rack and are nearly as wide as a rack: runs scattered over all
// racks would keep them waiting without a bound.
func IsOverdue(u *Unit, s *Shortage, idle time.Duration) bool {
	tasks := 1
	if u.Gang {
		tasks = len(u.Tasks)
	}

	return MayBeOverdue(u, idle, s.Used) && s.Kept() >= overdueRoom*tasks
}
