package plan

import (
	"math/bits"

	"sesameyoke/internal/core/contract"
)

const (
	// maxSearch bounds the racks that one search for jobs to give way looks at. The
	// next search goes on behind them.
	maxSearch = 32

	// minGain is how many times the cost of a move a job has to have left to run.
	minGain = 4
)

type (
	// clearance is a place and the jobs that have to give way there.
	clearance struct {
		places  []Place
		victims []*item
		cost    float64 // accelerator-seconds lost
	}

	// jobCost is a job's accelerators in one rack and what is lost when it gives way.
	jobCost struct {
		mask uint64
		loss float64
	}

	// costs is what stands in a rack, for one search.
	costs struct {
		jobs  []jobCost
		stuck uint64 // accelerators whose jobs do not give way
	}

	// yields decides whether a job gives way to the one that looks for a place.
	yields func(v *item) bool
)

// reclaim clears one of the workspace's own blocks for a job that fits it, and
// reports whether it could. Everything that was borrowed there gives way, the
// block with the fewest accelerator-seconds to lose first.
func (s *State) reclaim(it *item) bool {
	blocks := s.blocks[it.Key.Workspace]
	if len(blocks) == 0 {
		return false
	}
	var best clearance
	found := false
	for _, b := range blocks {
		c, ok := s.clearBlock(it, b)
		if ok && (!found || c.cost < best.cost) {
			best, found = c, true
		}
	}
	if !found {
		return false
	}
	s.clear(it, best, it.Urgent)

	return true
}

// clearBlock returns what it takes to clear a place for the job in a promised
// block. Jobs of other workspaces are borrowers; a smaller job of the same
// workspace gives way too, since the promise is the whole shape.
func (s *State) clearBlock(it *item, b contract.Block) (clearance, bool) {
	size := it.size
	if size > b.Width {
		return clearance{}, false
	}
	r := &s.racks.all[b.Rack]
	room := b.Mask() &^ r.down &^ r.held &^ s.barred(it, b.Rack)
	starts := contract.Starts(room, size) & r.starts(it.Shape.Members, it.Shape.Width)
	gives := func(v *item) bool {
		if !v.Movable {
			return false
		}

		return v.Key.Workspace != it.Key.Workspace || v.size < it.size
	}

	return s.cheapest(it, b.Rack, starts, gives)
}

// cheapest returns the start at which the fewest accelerator-seconds are lost and
// all occupants give way.
func (s *State) cheapest(it *item, rack int, starts uint64, gives yields) (clearance, bool) {
	if starts == 0 {
		return clearance{}, false
	}
	costs := s.costsOf(rack, gives, it.Urgent)
	first, least := -1, 0.0
	for m := starts; m != 0; m &= m - 1 {
		p := bits.TrailingZeros64(m)
		body := contract.Low(it.size) << p
		if body&costs.stuck != 0 {
			continue
		}
		cost := 0.0
		for i := range costs.jobs {
			if costs.jobs[i].mask&body != 0 {
				cost += costs.jobs[i].loss
			}
		}
		if first < 0 || cost < least {
			first, least = p, cost
		}
	}
	if first < 0 {
		return clearance{}, false
	}
	victims := s.racks.all[rack].occupants(contract.Low(it.size) << first)

	return clearance{places: sideBySide(rack, first, it.Shape), victims: victims, cost: least}, true
}

// costsOf judges each job in a rack once: what is lost when it gives way, or that
// it does not.
func (s *State) costsOf(rack int, gives yields, now bool) *costs {
	t := &s.costs
	t.jobs = t.jobs[:0]
	t.stuck = 0
	r := &s.racks.all[rack]
	for m := r.mask &^ r.free; m != 0; {
		p := bits.TrailingZeros64(m)
		v := r.owner[p]
		var mask uint64
		for _, q := range v.places {
			if q.Rack == rack {
				mask |= q.mask()
			}
		}
		m &^= mask
		if !gives(v) {
			t.stuck |= mask

			continue
		}
		t.jobs = append(t.jobs, jobCost{mask: mask, loss: s.lossOf(v, now)})
	}

	return t
}

// lossOf returns the accelerator-seconds that are lost when the job gives way. A job
// that is stopped at once loses what it has done since its last checkpoint.
func (s *State) lossOf(v *item, now bool) float64 {
	loss := s.costOf(v)
	if now {
		loss += float64(v.size) * (s.now - v.started).Seconds()
	}

	return loss
}

// clear keeps the places for the job and asks the occupants to give way.
func (s *State) clear(it *item, c clearance, now bool) {
	s.hold(it, c.places)
	for _, v := range c.victims {
		s.evict(v, now)
	}
}

// preempt clears a place by the order of the line: a job gives way when it would
// stand well behind the waiting one. The cost is bounded by the budget. A job that
// has waited for long may also keep places that have to drain by themselves.
func (s *State) preempt(it *item) bool {
	gap := it.score - it.Since.Seconds()
	limit := it.score + max(s.tune.Gain, s.tune.Margin*gap)
	gives := func(v *item) bool {
		if !v.Movable || v.owed || v.phase == stopping {
			return false
		}
		if v.phase == saving {
			return true
		}
		if v.moves > 0 && s.now-v.moved < s.tune.Rest {
			return false
		}

		return s.scoreOf(v, v.guess.Left(v.Done+s.now-v.started)) > limit
	}
	best, found := s.search(it, gives)
	if !found || best.cost > s.budget {
		return s.drain(it)
	}
	s.clear(it, best, false)

	return true
}

// search returns the cheapest clearance in any rack. Only shapes that lie side by
// side are searched for; a scattered gang takes what becomes free.
func (s *State) search(it *item, gives yields) (clearance, bool) {
	if !it.Shape.Adjacent && it.Shape.Members > 1 || it.size > contract.MaxRack {
		return clearance{}, false
	}
	var best clearance
	found := false
	for i := range s.turn() {
		starts := s.clearable(it, i)
		c, ok := s.cheapest(it, i, starts, gives)
		if ok && (!found || c.cost < best.cost) {
			best, found = c, true
		}
	}

	return best, found
}

// turn yields the racks that are looked at this time.
func (s *State) turn() func(yield func(int) bool) {
	n := len(s.racks.all)
	from := s.cursor
	count := min(n, maxSearch)
	if n > maxSearch {
		s.cursor = (from + count) % n
	}

	return func(yield func(int) bool) {
		for i := range count {
			if !yield((from + i) % n) {
				return
			}
		}
	}
}

// clearable returns the starts in a rack that could be cleared for the job.
func (s *State) clearable(it *item, rack int) uint64 {
	r := &s.racks.all[rack]
	room := r.mask &^ r.down &^ r.held &^ s.barred(it, rack)

	return contract.Starts(room, it.size) & r.starts(it.Shape.Members, it.Shape.Width)
}

// drain keeps the places that will be free first for a job that has waited for
// long, so that smaller jobs cannot slip in for ever.
func (s *State) drain(it *item) bool {
	if s.now-it.Since < s.tune.Hold || s.drains() >= s.tune.MaxDrains {
		return false
	}
	var best clearance
	found := false
	for i := range s.turn() {
		for m := s.clearable(it, i); m != 0; m &= m - 1 {
			p := bits.TrailingZeros64(m)
			victims := s.racks.all[i].occupants(contract.Low(it.size) << p)
			last := 0.0
			for _, v := range victims {
				last = max(last, v.guess.Left(v.Done+s.now-v.started).Seconds())
			}
			if !found || last < best.cost {
				best, found = clearance{places: sideBySide(i, p, it.Shape), cost: last}, true
			}
		}
	}
	if !found || it.Shape.Members > 1 && !it.Shape.Adjacent {
		return false
	}
	s.clear(it, best, false)
	it.drains = true

	return true
}

// drains returns the number of jobs that keep places which drain by themselves.
func (s *State) drains() int {
	n := 0
	for _, it := range s.cleared {
		if it.phase == clearing && it.drains {
			n++
		}
	}

	return n
}

// compact empties one worker of the small jobs that scatter its free accelerators,
// when they fit holes elsewhere: the worker with the least to move.
func (s *State) compact() {
	if s.budget < s.tune.MoveFloor*s.tune.budgetSpan*s.rate() {
		return
	}
	var best []*item
	least := wide
	for i := range s.racks.all {
		r := &s.racks.all[i]
		for _, w := range r.workers {
			m := contract.Low(w.width) << w.first
			busy := bits.OnesCount64(m &^ r.free)
			if busy == 0 || busy >= least || m&(r.down|r.held) != 0 {
				continue
			}
			if jobs := r.occupants(m); s.fitElsewhere(jobs, i, m) {
				best, least = jobs, busy
			}
		}
	}
	for _, v := range best {
		s.evict(v, false)
	}
}

// fitElsewhere reports whether all the jobs may be moved now and fit holes outside
// the accelerators m of a rack.
func (s *State) fitElsewhere(jobs []*item, rack int, m uint64) bool {
	taken := map[int]uint64{rack: m}
	cost := 0.0
	for _, v := range jobs {
		cost += s.costOf(v)
		if v.size >= wide || v.Shape.Members > 1 || !s.movableNow(v) || cost > s.budget {
			return false
		}
		hole, ok := s.best(v, 1, taken)
		if !ok || hole.cost.scattered > 0 {
			return false
		}
		taken[hole.rack] |= contract.Low(v.size) << hole.first
	}

	return true
}

// movableNow reports whether a job may be checkpointed to improve the placement.
func (s *State) movableNow(v *item) bool {
	rested := v.moves == 0 || s.now-v.moved >= s.tune.Rest
	long := v.guess.Left(v.Done+s.now-v.started) > minGain*s.tune.Overhead

	return v.phase == running && v.Movable && !v.owed && rested && long
}
