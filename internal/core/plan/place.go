package plan

import (
	"container/heap"
	"math/bits"
	"time"

	"sesameyoke/internal/core/contract"
	"sesameyoke/internal/core/job"
)

const (
	// maxLook bounds the racks that are scored for one member, the tightest first.
	maxLook = 24

	// searchPause is how long a job waits after a search in vain: a search costs
	// far more than the rest of a decision.
	searchPause = 10 * time.Second

	// maxPreempt bounds the searches for jobs to give way in one pass.
	maxPreempt = 3
)

type (
	// spot is a candidate place and its cost; lower is better.
	spot struct {
		rack  int
		first int
		cost  spotCost
	}

	// spotCost orders places: first by free accelerators that the placement would
	// leave outside any block, then by accelerators of others' promises that it
	// would borrow, then by the length of the run that it breaks.
	spotCost struct {
		scattered int
		borrowed  int
		run       int
	}
)

// pass starts what can be started, in order, and clears places for what is owed
// or has come to the head of the line.
func (s *State) pass() {
	s.startCleared()
	r := s.rank()
	preempts := maxPreempt
	for r.Len() > 0 {
		g := r[0]
		it := s.head(g)
		if it != nil && s.try(it, &preempts) {
			if it = s.head(g); it != nil {
				g.order = it.score + s.sharePenalty(g.key.workspace)
				heap.Fix(&r, 0)

				continue
			}
		}
		heap.Pop(&r)
	}
	if s.tune.Moves {
		s.compact()
	}
}

// try starts a job or keeps places for it, and reports whether it has left the
// line.
func (s *State) try(it *item, preempts *int) bool {
	if !s.inQuota(it) {
		return false
	}
	if places := s.find(it); places != nil {
		s.take(it)
		s.start(it, places)

		return true
	}
	if s.reclaim(it) {
		return true
	}
	if *preempts == 0 || !s.maySearch(it) {
		return false
	}
	*preempts--
	it.searched = s.now

	return s.preempt(it)
}

func (s *State) inQuota(it *item) bool {
	quota := s.rules.Contracts[it.Key.Workspace].Quota

	return quota == 0 || s.usageOf(it.Key.Workspace).running+it.size <= quota
}

// take removes the head of a group from the line.
func (s *State) take(it *item) {
	heap.Pop(it.group)
	s.usageOf(it.Key.Workspace).queued--
}

func (s *State) start(it *item, places []Place) {
	s.occupy(it, places)
	it.phase = running
	it.started = s.now
	s.act(Action{Kind: Start, Key: it.Key, Places: places})
}

// occupy marks the places as the job's.
func (s *State) occupy(it *item, places []Place) {
	it.places = places
	it.owed = it.Movable
	for _, p := range places {
		m := p.mask()
		if m&^s.own[ownKey{it.Key.Workspace, p.Rack}] != 0 {
			it.owed = false
		}
		s.racks.update(p.Rack, func(r *rack) {
			r.free &^= m
			for i := p.First; i < p.First+p.Width; i++ {
				r.owner[i] = it
			}
		})
	}
	s.usageOf(it.Key.Workspace).running += it.size
}

// vacate frees the job's places.
func (s *State) vacate(it *item) {
	for _, p := range it.places {
		m := p.mask()
		s.racks.update(p.Rack, func(r *rack) {
			r.free |= m
			for i := p.First; i < p.First+p.Width; i++ {
				r.owner[i] = nil
			}
		})
	}
	it.places = nil
	delete(s.leaving, it)
	s.usageOf(it.Key.Workspace).running -= it.size
	s.fresh = true
}

// allowed returns the accelerators of a rack on which the job may start now.
func (s *State) allowed(it *item, rack int) uint64 {
	return s.racks.all[rack].usable() &^ s.barred(it, rack)
}

// barred returns the accelerators that the job must not use. A job that cannot be
// moved stays out of what others are promised, and no job goes back to a worker on
// which it has failed.
func (s *State) barred(it *item, rack int) uint64 {
	r := &s.racks.all[rack]
	var m uint64
	if !it.Movable {
		m = r.promised &^ s.own[ownKey{it.Key.Workspace, rack}]
	}
	for _, name := range it.failedOn {
		if ref := s.byName[name]; ref.rack == rack {
			m |= contract.Low(ref.span.width) << ref.span.first
		}
	}

	return m
}

// find returns free places for the job, or nil.
func (s *State) find(it *item) []Place {
	if it.size > s.racks.usable {
		return nil
	}
	if it.Shape.Adjacent || it.Shape.Members == 1 {
		best, ok := s.best(it, it.Shape.Members, nil)
		if !ok {
			return nil
		}

		return sideBySide(best.rack, best.first, it.Shape)
	}

	return s.findScattered(it)
}

// findScattered places each member by itself.
func (s *State) findScattered(it *item) []Place {
	taken := make(map[int]uint64)
	var places []Place
	for range it.Shape.Members {
		b, ok := s.best(it, 1, taken)
		if !ok {
			return nil
		}
		p := Place{Rack: b.rack, First: b.first, Width: it.Shape.Width}
		taken[p.Rack] |= p.mask()
		places = append(places, p)
	}

	return places
}

// best returns the cheapest place for members side by side. taken holds
// accelerators that are spoken for.
func (s *State) best(it *item, members int, taken map[int]uint64) (spot, bool) {
	size := members * it.Shape.Width
	if size > contract.MaxRack {
		return spot{}, false
	}
	var best spot
	found := false
	look := maxLook
	for b := size; b <= contract.MaxRack; b++ {
		for w, word := range s.racks.buckets[b] {
			for ; word != 0; word &= word - 1 {
				i := w*64 + bits.TrailingZeros64(word)
				c, ok := s.bestIn(it, i, members, taken[i])
				if ok && (!found || c.cost.less(best.cost)) {
					best, found = c, true
				}
				if look--; look <= 0 && found {
					return best, true
				}
			}
		}
	}

	return best, found
}

// bestIn returns the cheapest place in one rack.
func (s *State) bestIn(it *item, rack, members int, taken uint64) (spot, bool) {
	r := &s.racks.all[rack]
	free := s.allowed(it, rack) &^ taken
	size := members * it.Shape.Width
	starts := contract.Starts(free, size) & r.starts(members, it.Shape.Width)
	if starts == 0 {
		return spot{}, false
	}
	others := r.promised &^ s.own[ownKey{it.Key.Workspace, rack}]
	was := bits.OnesCount64(outside(free))
	var best spot
	found := false
	for m := starts; m != 0; m &= m - 1 {
		p := bits.TrailingZeros64(m)
		body := contract.Low(size) << p
		if p > 0 && p%size != 0 && starts&(body>>1) != 0 && free>>(p-1)&1 == 1 && free>>(p+size)&1 == 1 {
			continue // the middle of a run is never better than its ends
		}
		c := spot{rack: rack, first: p, cost: spotCost{
			scattered: bits.OnesCount64(outside(free&^body)) - was,
			borrowed:  bits.OnesCount64(body & others),
			run:       runAround(free, p),
		}}
		if !found || c.cost.less(best.cost) {
			best, found = c, true
		}
	}

	return best, found
}

func (c spotCost) less(d spotCost) bool {
	if c.scattered != d.scattered {
		return c.scattered < d.scattered
	}
	if c.borrowed != d.borrowed {
		return c.borrowed < d.borrowed
	}

	return c.run < d.run
}

// runAround returns the length of the run of bits that holds position p.
func runAround(mask uint64, p int) int {
	up := bits.TrailingZeros64(^(mask >> p))
	down := bits.LeadingZeros64(^(mask << (contract.MaxRack - 1 - p)))

	return up + down - 1
}

// never returns why no rack could ever hold the job, or "".
func (s *State) never(it *item, c contract.Contract) string {
	if c.Quota > 0 && it.size > c.Quota {
		return "the shape is larger than the workspace's quota"
	}
	members := it.Shape.Members
	if !it.Shape.Adjacent {
		members = 1
	}
	fits := 0
	for i := range s.racks.all {
		fits += s.couldHold(it, i, members)
		if fits >= it.Shape.Members {
			return ""
		}
	}
	if fits == 0 {
		return "no rack could hold the shape"
	}

	return "the racks together could not hold the gang"
}

// couldHold returns how many members an empty rack would take.
func (s *State) couldHold(it *item, rack, members int) int {
	r := &s.racks.all[rack]
	m := r.mask &^ s.barred(it, rack)
	size := members * it.Shape.Width
	if size > contract.MaxRack {
		return 0
	}
	starts := contract.Starts(m, size) & r.starts(members, it.Shape.Width)
	n := 0
	for starts != 0 {
		p := bits.TrailingZeros64(starts)
		n += members
		starts &^= contract.Low(min(p+size, contract.MaxRack))
	}

	return n
}

// startCleared starts the jobs whose places have become free.
func (s *State) startCleared() {
	kept := s.cleared[:0]
	for _, it := range s.cleared {
		if it.phase != clearing || it.gone {
			continue
		}
		if !s.vacant(it.places) {
			kept = append(kept, it)

			continue
		}
		places := it.places
		s.unhold(it)
		s.usageOf(it.Key.Workspace).queued--
		s.start(it, places)
	}
	s.cleared = kept
}

func (s *State) vacant(places []Place) bool {
	for _, p := range places {
		r := &s.racks.all[p.Rack]
		if p.mask()&^(r.free&^r.down) != 0 {
			return false
		}
	}

	return true
}

// unhold gives back the places that are kept for a job.
func (s *State) unhold(it *item) {
	for _, p := range it.places {
		m := p.mask()
		s.racks.update(p.Rack, func(r *rack) { r.held &^= m })
	}
	it.places = nil
	s.fresh = true
}

// hold keeps places for a job until they are clear.
func (s *State) hold(it *item, places []Place) {
	s.take(it)
	s.usageOf(it.Key.Workspace).queued++
	it.phase = clearing
	it.drains = false
	it.places = places
	for _, p := range places {
		m := p.mask()
		s.racks.update(p.Rack, func(r *rack) { r.held |= m })
	}
	s.cleared = append(s.cleared, it)
}

// evict asks a job to give way: by a checkpoint, or at once when the work that
// waits cannot wait for one.
func (s *State) evict(v *item, now bool) {
	if v.phase != running {
		if now && v.phase == saving {
			v.phase = stopping
			s.act(Action{Kind: Stop, Key: v.Key})
		}

		return
	}
	v.moved = s.now
	v.moves++
	s.budget -= s.costOf(v)
	if now {
		v.phase = stopping
		s.act(Action{Kind: Stop, Key: v.Key})

		return
	}
	v.phase = saving
	v.until = s.now + s.saveTime(v.Key)
	s.leaving[v] = true
	s.act(Action{Kind: Save, Key: v.Key})
}

// saveTime returns how long a job has for its checkpoint.
func (s *State) saveTime(k job.Key) time.Duration {
	c, ok := s.rules.Contracts[k.Workspace]
	if !ok {
		return time.Minute
	}

	return c.Checkpoint.Duration
}

// costOf returns the accelerator-seconds that a checkpoint of the job costs.
func (s *State) costOf(it *item) float64 {
	return float64(it.size) * s.tune.Overhead.Seconds()
}
