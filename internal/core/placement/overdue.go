package placement

import "time"

const (
	overdueAfter     = 2 * time.Second  // wait of a unit without runs for its preferences if most of every resource is free
	overdueAfterBusy = 20 * time.Second // the same if most of some resource is free
	mostlyFree       = 0.5              // share in use below which most of a resource is free
	overdueRoom      = 2                // a unit is overdue only beside room for this multiple of it
)

// IsOverdue reports whether a unit may no longer wait for what it prefers, because nothing of
// its job has run for the given time although the workers have ample room. It answers a load
// of gangs that must be on one rack and are nearly as wide as a rack: runs scattered over all
// racks would keep them waiting without a bound.
func IsOverdue(u *Unit, s *Shortage, idle time.Duration) bool {
	tasks := 1
	if u.Gang {
		tasks = len(u.Tasks)
	}
	if s.Kept() < overdueRoom*tasks {
		return false
	}
	if max(s.UsedCPU, s.UsedMemory, s.UsedAccel) < mostlyFree {
		return idle >= overdueAfter
	}

	return idle >= overdueAfterBusy && min(s.UsedCPU, s.UsedMemory, s.UsedAccel) < mostlyFree
}
