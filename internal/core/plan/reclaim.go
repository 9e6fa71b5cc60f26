package plan

import (
	"math/bits"

	"sesameyoke/internal/core/contract"
)

type (
	// clearance is a place and the jobs that have to give way there.
	clearance struct {
		places  []Place
		victims []*item
		cost    float64 // accelerator-seconds lost
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
	room := b.Mask() &^ r.down &^ r.held
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
	r := &s.racks.all[rack]
	var best clearance
	found := false
	for m := starts; m != 0; m &= m - 1 {
		p := bits.TrailingZeros64(m)
		victims := r.occupants(contract.Low(it.size) << p)
		cost, ok := s.lossOf(victims, gives, it.Urgent)
		if !ok || found && cost >= best.cost {
			continue
		}
		best = clearance{places: spread(rack, p, it.Shape), victims: victims, cost: cost}
		found = true
	}

	return best, found
}

// lossOf returns the accelerator-seconds that are lost when the jobs give way. A
// job that is stopped at once loses what it has done since its last checkpoint.
func (s *State) lossOf(victims []*item, gives yields, now bool) (float64, bool) {
	loss := 0.0
	for _, v := range victims {
		if !gives(v) {
			return 0, false
		}
		loss += s.costOf(v)
		if now {
			loss += float64(v.size) * (s.now - v.started).Seconds()
		}
	}

	return loss, true
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
	for i := range s.racks.all {
		starts := s.clearable(it, i)
		c, ok := s.cheapest(it, i, starts, gives)
		if ok && (!found || c.cost < best.cost) {
			best, found = c, true
		}
	}

	return best, found
}

// clearable returns the starts in a rack that could be cleared for the job.
func (s *State) clearable(it *item, rack int) uint64 {
	r := &s.racks.all[rack]
	room := r.mask &^ r.down &^ r.held
	if !it.Movable {
		room &^= r.promised &^ s.own[ownKey{it.Key.Workspace, rack}]
	}

	return contract.Starts(room, it.size) & r.starts(it.Shape.Members, it.Shape.Width)
}

// drain keeps the places that will be free first for a job that has waited for
// long, so that smaller jobs cannot slip in for ever.
func (s *State) drain(it *item) bool {
	if s.now-it.Since < s.tune.Hold {
		return false
	}
	var best clearance
	found := false
	for i := range s.racks.all {
		for m := s.clearable(it, i); m != 0; m &= m - 1 {
			p := bits.TrailingZeros64(m)
			victims := s.racks.all[i].occupants(contract.Low(it.size) << p)
			last := 0.0
			for _, v := range victims {
				last = max(last, v.guess.Left(v.Done+s.now-v.started).Seconds())
			}
			if !found || last < best.cost {
				best, found = clearance{places: spread(i, p, it.Shape), cost: last}, true
			}
		}
	}
	if !found || it.Shape.Members > 1 && !it.Shape.Adjacent {
		return false
	}
	s.clear(it, best, false)

	return true
}

// gather checkpoints a small job when that joins free accelerators to a block and
// the job fits a hole elsewhere.
func (s *State) gather() {
	if s.budget < s.tune.budgetSpan*s.rate()/2 {
		return
	}
	var best *item
	gain := 0
	for i := range s.racks.all {
		r := &s.racks.all[i]
		free := r.usable()
		was := bits.OnesCount64(outside(free))
		if was == 0 {
			continue
		}
		for _, v := range r.occupants(r.mask) {
			g := s.gainOf(v, i, free, was)
			if g > gain && s.movableNow(v) && s.costOf(v) < s.budget {
				best, gain = v, g
			}
		}
	}
	if best != nil {
		s.evict(best, false)
	}
}

// gainOf returns how many free accelerators come to lie in blocks when the job
// leaves its rack for the best hole elsewhere, less the job's own size.
func (s *State) gainOf(v *item, rack int, free uint64, was int) int {
	if v.size >= wide || v.Shape.Members > 1 {
		return 0
	}
	after := bits.OnesCount64(outside(free | v.places[0].mask()))
	gain := was - after
	if gain < 1 {
		return 0
	}
	hole, ok := s.best(v, 1, map[int]uint64{rack: s.racks.all[rack].mask})
	if !ok || hole.cost.scattered > 0 {
		return 0
	}

	return gain - hole.cost.scattered
}

func (s *State) movableNow(v *item) bool {
	rested := v.moves == 0 || s.now-v.moved >= s.tune.Rest
	long := v.guess.Left(v.Done+s.now-v.started) > 4*s.tune.Overhead

	return v.phase == running && v.Movable && !v.owed && rested && long
}
