// Package maintenance decides when the hosts of a maintenance wave are cordoned, drained and
// taken down. It has no clock and no I/O.
package maintenance

import (
	"cmp"
	"slices"
	"time"
)

// hostOverhead is the time that the maintenance of a host takes besides its downtime:
// stopping its runs, ordering the maintenance, and starting its next worker.
const hostOverhead = 2 * time.Second

type (
	// Host is the state of a host of a wave.
	Host struct {
		Name        string
		Done        bool          // maintained in this wave already, or no longer exists
		MaybeDown   bool          // down, or may go down at any moment because of an order
		Idle        bool          // up and without runs
		CordonedFor time.Duration // time since the host was cordoned; negative if it is not
		LostWork    float64       // core-seconds of work that are lost if the host goes down now
		NoDrain     bool          // runs a long-running task that must not be stopped now
	}

	// Wave is the state of a maintenance wave.
	Wave struct {
		Hosts     []Host
		MaxDown   int           // maximum number of hosts that are down at once
		Remaining time.Duration // time until the deadline of the wave
		Downtime  time.Duration // downtime of a host
	}

	// Decision lists hosts by what is to be done with them. A host is in one list at most.
	Decision struct {
		Cordon []string // cordon: accept no new runs
		Drain  []string // drain: stop or move the runs
		Down   []string // take down now
	}
)

// Decide takes idle hosts down first and those that would lose most work last. It cordons
// the hosts of the current and the next round, and drains a cordoned host once waiting
// longer for its runs to end would make the wave miss its deadline.
func Decide(w Wave) Decision {
	var (
		d         Decision
		pending   []Host
		downCount int
	)
	for _, h := range w.Hosts {
		switch {
		case h.MaybeDown:
			downCount++
		case !h.Done:
			pending = append(pending, h)
		}
	}
	slices.SortFunc(pending, compareHosts)
	free := max(0, w.MaxDown-downCount)
	budget := w.drainBudget(len(pending))
	for i, h := range pending {
		switch {
		case i >= free+w.MaxDown: // stays schedulable; the next round is cordoned early, so that its runs can end
		case i < free && h.Idle:
			d.Down = append(d.Down, h.Name)
		case i < free && !h.NoDrain && h.CordonedFor >= budget:
			d.Drain = append(d.Drain, h.Name)
		default:
			d.Cordon = append(d.Cordon, h.Name)
		}
	}

	return d
}

// compareHosts orders hosts for maintenance: idle ones first and those that must not be
// drained last, then by the time since they were cordoned, longest first, then by the work
// lost, then by name.
func compareHosts(a, b Host) int {
	if a.Idle != b.Idle {
		return map[bool]int{true: -1, false: 1}[a.Idle]
	}
	if a.NoDrain != b.NoDrain {
		return map[bool]int{true: 1, false: -1}[a.NoDrain]
	}
	if c := cmp.Compare(b.CordonedFor, a.CordonedFor); c != 0 && (a.CordonedFor >= 0 || b.CordonedFor >= 0) {
		return c
	}
	if c := cmp.Compare(a.LostWork, b.LostWork); c != 0 {
		return c
	}

	return cmp.Compare(a.Name, b.Name)
}

// drainBudget returns how long a cordoned host may wait for its runs to end, with the
// given number of hosts still to be maintained.
func (w Wave) drainBudget(pending int) time.Duration {
	if pending == 0 || w.MaxDown <= 0 {
		return 0
	}
	rounds := time.Duration((pending + w.MaxDown - 1) / w.MaxDown)

	return max(0, w.Remaining/rounds-w.Downtime-hostOverhead)
}
