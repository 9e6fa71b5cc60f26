// Package upkeep decides when the hosts of a maintenance wave go down. It has no
// clock and no I/O.
package upkeep

import (
	"cmp"
	"slices"
	"time"
)

// overhead is what the round of a host takes besides its maintenance: stopping
// what runs there, the order, and the start of its next worker.
const overhead = 2 * time.Second

type (
	// Host is a host of a wave as a decision sees it.
	Host struct {
		Name   string
		Done   bool          // has been down for the wave, or is gone
		Away   bool          // is down, or may be at any moment
		Idle   bool          // nothing runs there
		Closed time.Duration // since it was closed for new work; negative if it is open
		Lost   float64       // core-seconds that going down now would throw away
		Held   bool          // a lasting task there may not be stopped now
	}

	// Wave is what is left of a wave.
	Wave struct {
		Hosts []Host
		Most  int           // hosts that may be away at once
		Left  time.Duration // until all are to be done
		Each  time.Duration // that a host is down
	}

	// Decision names hosts, each in one list at most.
	Decision struct {
		Close []string // take no new work
		Clear []string // what runs there is to be stopped or moved
		Down  []string // go down now
	}
)

// Decide lets idle hosts go down first, and those that lose most last. A host is
// closed while others are away, and cleared when its round would end late.
func Decide(w Wave) Decision {
	var (
		d    Decision
		todo []Host
		away int
	)
	for _, h := range w.Hosts {
		switch {
		case h.Away:
			away++
		case !h.Done:
			todo = append(todo, h)
		}
	}
	slices.SortFunc(todo, before)
	free := max(0, w.Most-away)
	patience := w.patience(len(todo))
	for i, h := range todo {
		switch {
		case i >= free+w.Most: // the hosts of the next round wait for their work to end
		case i < free && h.Idle:
			d.Down = append(d.Down, h.Name)
		case i < free && !h.Held && h.Closed >= patience:
			d.Clear = append(d.Clear, h.Name)
		default:
			d.Close = append(d.Close, h.Name)
		}
	}

	return d
}

// before orders hosts: idle ones, then those closed longest, then the cheapest.
func before(a, b Host) int {
	if a.Idle != b.Idle {
		return map[bool]int{true: -1, false: 1}[a.Idle]
	}
	if a.Held != b.Held {
		return map[bool]int{true: 1, false: -1}[a.Held]
	}
	if c := cmp.Compare(b.Closed, a.Closed); c != 0 && (a.Closed >= 0 || b.Closed >= 0) {
		return c
	}
	if c := cmp.Compare(a.Lost, b.Lost); c != 0 {
		return c
	}

	return cmp.Compare(a.Name, b.Name)
}

// patience is how long a closed host may wait for its work to end.
func (w Wave) patience(todo int) time.Duration {
	if todo == 0 || w.Most <= 0 {
		return 0
	}
	rounds := time.Duration((todo + w.Most - 1) / w.Most)

	return max(0, w.Left/rounds-w.Each-overhead)
}
