// Package journal decides which partition of the topic of jobs holds the planner's state. The load
// that it handles is a store of which single partitions do not answer for seconds while the others,
// that of the planner's lease among them, work. It has no clock and no I/O.
package journal

import "time"

const (
	// MaxParts is the number of partitions that are used. An outage of one moves the journal once, and
	// the partition is cleaned soon after it answers again, so a few suffice.
	MaxParts = 4

	stallTime   = 700 * time.Millisecond // time without an answer after which the partition counts as down
	leaseFresh  = 700 * time.Millisecond // the store works otherwise if the lease was renewed within this time
	moveBackoff = 2 * time.Second        // time between two moves, and before a partition is tried again
	homeDelay   = 30 * time.Second       // time after the last move before the journal returns to partition 0
)

// Reasons for which a journal whose partition does not answer stays there.
const (
	Lease      Reason = "lease not renewed"
	Recent     Reason = "moved recently"
	Earlier    Reason = "a VM of an earlier version is known"
	Unreadable Reason = "records unreadable"
	TooLarge   Reason = "too large"
	NoTarget   Reason = "no clean partition"
)

type (
	// Reason tells why the journal is not moved; empty if it need not be.
	Reason string

	// State is what the decision depends on.
	State struct {
		Part       int                   // partition of the journal
		Parts      int                   // number of partitions of the topic; below 2 the journal never moves
		Stalled    time.Duration         // time since the oldest append without an answer; 0 if there is none
		Transfer   time.Duration         // time that the records of this append take on a slow link
		LeaseAge   time.Duration         // time since the newest renewal of the planner's lease
		SinceMove  time.Duration         // time since the last move or, if that is later, since the takeover
		Unclean    map[int]bool          // partitions that may hold records of an earlier journal
		Tried      map[int]time.Duration // time since a partition did not take the journal
		AllRead    bool                  // all known VMs read a journal in any partition
		Unreadable bool                  // some records cannot be read, and may be those of a later version
		TooLarge   bool                  // the journal is too large to be moved
	}
)

// Target returns the partition to which the journal is to move. It returns false if the journal
// stays, and the reason if its partition does not answer. From another partition, the journal
// returns to partition 0 in a calm time, so that the state is again one that all versions read; sooner
// if a VM of an earlier version is known.
func Target(s State) (part int, ok bool, why Reason) {
	stalled := s.Stalled >= stallTime+s.Transfer
	calm := s.Stalled == 0 && s.Part != 0 && (s.SinceMove >= homeDelay || !s.AllRead)
	switch {
	case s.Parts < 2 || (!stalled && !calm):
		return s.Part, false, ""
	case s.LeaseAge >= leaseFresh:
		why = Lease
	case s.SinceMove < moveBackoff:
		why = Recent
	case !s.AllRead && stalled:
		why = Earlier
	case s.Unreadable:
		why = Unreadable
	case s.TooLarge:
		why = TooLarge
	default:
		return target(s, stalled)
	}
	if !stalled {
		why = ""
	}

	return s.Part, false, why
}

// target chooses the lowest clean partition, or only partition 0 if the present one works.
func target(s State, stalled bool) (int, bool, Reason) {
	wait := moveBackoff
	if !stalled {
		wait = homeDelay
	}
	for p := range min(s.Parts, MaxParts) {
		since, tried := s.Tried[p]
		if p != s.Part && !s.Unclean[p] && (!tried || since >= wait) {
			return p, true, ""
		}
		if !stalled {
			return s.Part, false, ""
		}
	}

	return s.Part, false, NoTarget
}
