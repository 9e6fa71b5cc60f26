// Package watch judges runs by the progress that their workers report: which
// stand still, which are slow, and which would end sooner elsewhere. It has no
// clock and no I/O.
package watch

import "time"

const (
	minSpan    = 900 * time.Millisecond  // readings closer than this tell no rate
	minGain    = 8                       // percent that the best rate must have shown, against rounding
	stillAfter = 1500 * time.Millisecond // without progress a run stands still
	stillShare = 0.04                    // of its length: longer runs show progress less often
	slowFactor = 2.2                     // from which a run is slow
	stillLasts = 4 * time.Second         // a worker that stands still is expected to for so long
	moveCost   = 600 * time.Millisecond  // to stop a run and start it elsewhere
	moveFactor = 1.3                     // a move has to save this share at least
	lingers    = 3 * time.Second         // workers stay so much longer than they announce, as a rule
	full       = 100                     // percent
)

type (
	// Reading is one report of a run's progress.
	Reading struct {
		At      time.Duration
		Percent int
	}

	// Track is the progress of one run.
	Track struct {
		first, last, risen Reading
		rate               float64 // percent a second over the newest span
		best               float64 // highest rate of any span
		known              bool
	}

	// Usual is how long a run takes as a rule.
	Usual struct {
		Length time.Duration
		Sure   bool // known from equal work, not only from its kind
		Peers  bool // known from the same job's other runs
	}

	// Evidence is what one run tells of its worker's speed.
	Evidence struct {
		Job    string
		Factor float64 // by which it takes longer than usual
		Sure   bool
		Peers  bool // its usual length is that of the same job's runs
	}

	// Run is what a move of a run depends on.
	Run struct {
		Track  *Track
		Length time.Duration // usual time of its kind from start to end
		Saves  bool          // it resumes elsewhere where it is
		Leaves time.Duration // until its worker may leave; negative if it stays
	}
)

// Start begins a track with what a run resumed from.
func (t *Track) Start(r Reading) { *t = Track{first: r, last: r, risen: r} }

// Add takes in a reading.
func (t *Track) Add(r Reading) {
	span := r.At - t.last.At
	if r.Percent > t.risen.Percent {
		t.risen = r
	}
	if span < minSpan {
		return
	}
	t.rate = float64(r.Percent-t.last.Percent) / span.Seconds()
	if r.Percent-t.last.Percent >= minGain {
		t.best = max(t.best, t.rate)
	}
	t.last, t.known = r, true
}

// Known reports whether a rate has been seen.
func (t *Track) Known() bool { return t.known }

// Percent returns the newest progress.
func (t *Track) Percent() int { return t.risen.Percent }

// Length estimates the whole run time at the mean rate so far; 0 if not known.
func (t *Track) Length() time.Duration {
	done := t.last.Percent - t.first.Percent
	if !t.known || done <= 0 || t.last.Percent >= full {
		return 0
	}

	return time.Duration(float64(t.last.At-t.first.At) * full / float64(done))
}

// Still reports whether a run makes no progress.
func (t *Track) Still(length time.Duration) bool {
	if t.risen.Percent >= full {
		return false // it waits for the rest of its gang
	}
	bound := max(stillAfter, time.Duration(stillShare*float64(length)))

	return t.known && t.last.At-t.risen.At >= bound
}

// Slow returns how much longer than usual the run takes now. It is sure if the run
// itself has been as much faster, or if equal work is; else it may just be long.
func (t *Track) Slow(u Usual) (factor float64, sure bool) {
	if !t.known || t.last.Percent >= full || t.rate <= 0 {
		return 1, false
	}
	own, kind := t.best/t.rate, 0.0
	if u.Length > 0 {
		kind = full / u.Length.Seconds() / t.rate
	}
	if own >= slowFactor || (u.Sure && kind >= slowFactor) {
		return max(own, kind), true
	}

	return kind, false
}

// Slowness returns how much longer than usual a worker's runs take, 1 if that is
// not known or not much. Runs that may just be long count if all of them are slow and
// they do not all belong to one job, which may be a long one.
func Slowness(runs []Evidence) float64 {
	least, most, others := 0.0, 1.0, false
	for i, r := range runs {
		if r.Sure {
			most = max(most, r.Factor)
		}
		if i == 0 || r.Factor < least {
			least = r.Factor
		}
		others = others || r.Job != runs[0].Job || (i > 0 && r.Peers)
	}
	if most == 1 && others && least >= slowFactor {
		return least
	}

	return most
}

// Left returns how long the run still takes where it is.
func (r Run) Left() time.Duration {
	rest := float64(full-r.Track.Percent()) / full
	switch {
	case r.Track.Still(r.Length):
		return stillLasts + time.Duration(rest*float64(r.Length))
	case r.Track.rate > 0:
		return time.Duration(float64(full-r.Track.Percent()) / r.Track.rate * float64(time.Second))
	}

	return time.Duration(rest * float64(r.Length))
}

// Again returns how long it takes from now if it is moved.
func (r Run) Again() time.Duration {
	if !r.Saves {
		return r.Length + moveCost
	}
	rest := float64(full-r.Track.Percent()) / full

	return time.Duration(rest*float64(r.Length)) + moveCost
}

// Move reports whether a run ends sooner if it is stopped and started elsewhere.
func (r Run) Move() bool {
	if r.Length <= 0 || r.Track.Percent() >= full {
		return false
	}
	left := r.Left()
	if r.Leaves >= 0 {
		stays := r.Leaves + lingers
		if r.Saves {
			stays = r.Leaves
		}
		if left > stays {
			return true
		}
	}

	return float64(left) > moveFactor*float64(r.Again())
}
