package plan

import (
	"math/bits"

	"sesameyoke/internal/core/contract"
)

const (
	// maxSearchedRacks bounds the racks examined by one search for preemptions. The next
	// search continues with the racks after them.
	maxSearchedRacks = 32

	// minMoveGain is the minimum ratio of a job's remaining run time to the overhead of
	// moving it.
	minMoveGain = 4
)

type (
	// evictionPlan is a set of places and the jobs that must be evicted to free them.
	evictionPlan struct {
		places  []Place
		victims []*plannedJob
		cost    float64 // accelerator-seconds lost; for a draining reservation, seconds until the places are free
	}

	// jobCost is the accelerators of a job in one rack and the accelerator-seconds lost if
	// it is evicted.
	jobCost struct {
		mask uint64
		loss float64
	}

	// rackCosts holds the eviction costs of the jobs in a rack, for one search.
	rackCosts struct {
		jobs      []jobCost
		immovable uint64 // accelerators whose jobs cannot be evicted
	}

	// evictable reports whether a job may be evicted in favour of the waiting one.
	evictable func(v *plannedJob) bool
)

// reclaim reserves places for a job in a block promised to its workspace, and evicts the
// jobs that run there. It uses the block for which the fewest accelerator-seconds are lost,
// and reports whether there is one.
func (s *State) reclaim(j *plannedJob) bool {
	blocks := s.blocks[j.Key.Workspace]
	if len(blocks) == 0 {
		return false
	}
	var best evictionPlan
	found := false
	for _, b := range blocks {
		c, ok := s.planBlockEviction(j, b)
		if ok && (!found || c.cost < best.cost) {
			best, found = c, true
		}
	}
	if !found {
		return false
	}
	s.reserveAndEvict(j, best, j.Urgent)

	return true
}

// planBlockEviction returns the cheapest eviction plan for the job in a promised block. Jobs
// of other workspaces only borrow the block and can be evicted. Smaller jobs of the same
// workspace can be evicted too, because the block is promised as a whole.
func (s *State) planBlockEviction(j *plannedJob, b contract.Block) (evictionPlan, bool) {
	size := j.size
	if size > b.Width {
		return evictionPlan{}, false
	}
	r := &s.racks.all[b.Rack]
	usable := b.Mask() &^ r.down &^ r.reserved &^ s.barred(j, b.Rack)
	starts := contract.RunStarts(usable, size) & r.starts(j.Shape.Members, j.Shape.Width)
	canEvict := func(v *plannedJob) bool {
		if !v.Preemptible {
			return false
		}

		return v.Key.Workspace != j.Key.Workspace || v.size < j.size
	}

	return s.cheapestEviction(j, b.Rack, starts, canEvict)
}

// cheapestEviction returns the eviction plan that loses the fewest accelerator-seconds
// among the given start positions. Positions with a job that cannot be evicted are left out.
func (s *State) cheapestEviction(j *plannedJob, rack int, starts uint64, canEvict evictable) (evictionPlan, bool) {
	if starts == 0 {
		return evictionPlan{}, false
	}
	costs := s.evictionCosts(rack, canEvict, j.Urgent)
	first, least := -1, 0.0
	for m := starts; m != 0; m &= m - 1 {
		p := bits.TrailingZeros64(m)
		placeMask := contract.LowMask(j.size) << p
		if placeMask&costs.immovable != 0 {
			continue
		}
		cost := 0.0
		for i := range costs.jobs {
			if costs.jobs[i].mask&placeMask != 0 {
				cost += costs.jobs[i].loss
			}
		}
		if first < 0 || cost < least {
			first, least = p, cost
		}
	}
	if first < 0 {
		return evictionPlan{}, false
	}
	victims := s.racks.all[rack].occupants(contract.LowMask(j.size) << first)

	return evictionPlan{places: adjacentPlaces(rack, first, j.Shape), victims: victims, cost: least}, true
}

// evictionCosts computes, once for each job in a rack, the loss if it is evicted, or that it
// cannot be evicted. The result is valid until the next call.
func (s *State) evictionCosts(rack int, canEvict evictable, immediate bool) *rackCosts {
	t := &s.costs
	t.jobs = t.jobs[:0]
	t.immovable = 0
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
		if !canEvict(v) {
			t.immovable |= mask

			continue
		}
		t.jobs = append(t.jobs, jobCost{mask: mask, loss: s.evictionLoss(v, immediate)})
	}

	return t
}

// evictionLoss returns the accelerator-seconds lost if the job is evicted. A job that is
// stopped at once also loses its progress since the last checkpoint.
func (s *State) evictionLoss(v *plannedJob, immediate bool) float64 {
	loss := s.checkpointCost(v)
	if immediate {
		loss += float64(v.size) * (s.now - v.started).Seconds()
	}

	return loss
}

// reserveAndEvict reserves the places of the plan for the job and evicts their occupants.
func (s *State) reserveAndEvict(j *plannedJob, c evictionPlan, immediate bool) {
	s.reserve(j, c.places)
	for _, v := range c.victims {
		s.evict(v, immediate)
	}
}

// preempt reserves places for a waiting job and evicts the running jobs there, if their
// scores as waiting jobs would exceed its score by a margin and the cost is within the
// budget. Otherwise, a job that has waited long enough may reserve places without evictions.
func (s *State) preempt(j *plannedJob) bool {
	workPenalty := j.score - j.SubmittedAt.Seconds()
	limit := j.score + max(s.tune.PreemptMinGain, s.tune.PreemptMargin*workPenalty)
	canEvict := func(v *plannedJob) bool {
		if !v.Preemptible || v.inOwnBlock || v.phase == stopping {
			return false
		}
		if v.phase == saving {
			return true
		}
		if v.evictions > 0 && s.now-v.evictedAt < s.tune.EvictionCooldown {
			return false
		}

		return s.scoreOf(v, v.estimate.Remaining(v.CheckpointedRunTime+s.now-v.started)) > limit
	}
	best, found := s.searchRacks(j, canEvict)
	if !found || best.cost > s.budget {
		return s.reserveDraining(j)
	}
	s.reserveAndEvict(j, best, false)

	return true
}

// searchRacks returns the cheapest eviction plan among the racks examined this time. It
// supports only single members and adjacent gangs; other gangs wait for free accelerators.
func (s *State) searchRacks(j *plannedJob, canEvict evictable) (evictionPlan, bool) {
	if !j.Shape.Adjacent && j.Shape.Members > 1 || j.size > contract.MaxRackSize {
		return evictionPlan{}, false
	}
	var best evictionPlan
	found := false
	for i := range s.nextRacks() {
		starts := s.evictableStarts(j, i)
		c, ok := s.cheapestEviction(j, i, starts, canEvict)
		if ok && (!found || c.cost < best.cost) {
			best, found = c, true
		}
	}

	return best, found
}

// nextRacks yields the indexes of the racks to examine in this search.
func (s *State) nextRacks() func(yield func(int) bool) {
	n := len(s.racks.all)
	from := s.cursor
	count := min(n, maxSearchedRacks)
	if n > maxSearchedRacks {
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

// evictableStarts returns the positions in a rack that the job could use after evictions.
func (s *State) evictableStarts(j *plannedJob, rack int) uint64 {
	r := &s.racks.all[rack]
	usable := r.mask &^ r.down &^ r.reserved &^ s.barred(j, rack)

	return contract.RunStarts(usable, j.size) & r.starts(j.Shape.Members, j.Shape.Width)
}

// reserveDraining reserves places for a job that has waited for DrainAfter. It chooses those
// expected to become free first and does not evict the jobs there. This keeps a stream of
// smaller jobs from starving it.
func (s *State) reserveDraining(j *plannedJob) bool {
	if s.now-j.SubmittedAt < s.tune.DrainAfter || s.countDraining() >= s.tune.MaxDraining {
		return false
	}
	var best evictionPlan
	found := false
	for i := range s.nextRacks() {
		for m := s.evictableStarts(j, i); m != 0; m &= m - 1 {
			p := bits.TrailingZeros64(m)
			victims := s.racks.all[i].occupants(contract.LowMask(j.size) << p)
			last := 0.0
			for _, v := range victims {
				last = max(last, v.estimate.Remaining(v.CheckpointedRunTime+s.now-v.started).Seconds())
			}
			if !found || last < best.cost {
				best, found = evictionPlan{places: adjacentPlaces(i, p, j.Shape), cost: last}, true
			}
		}
	}
	if !found || j.Shape.Members > 1 && !j.Shape.Adjacent {
		return false
	}
	s.reserveAndEvict(j, best, false)
	j.draining = true

	return true
}

// countDraining returns the number of jobs with a draining reservation.
func (s *State) countDraining() int {
	n := 0
	for _, j := range s.reserved {
		if j.phase == reserved && j.draining {
			n++
		}
	}

	return n
}

// defragment evicts the small jobs that fragment the free accelerators of one worker, if
// they fit into gaps elsewhere. It chooses the worker with the fewest accelerators in use.
func (s *State) defragment() {
	if s.budget < s.tune.MoveBudgetFloor*s.tune.budgetSeconds*s.budgetRate() {
		return
	}
	var best []*plannedJob
	least := minUnfragmentedRun
	for i := range s.racks.all {
		r := &s.racks.all[i]
		for _, w := range r.workers {
			m := contract.LowMask(w.width) << w.first
			busy := bits.OnesCount64(m &^ r.free)
			if busy == 0 || busy >= least || m&(r.down|r.reserved) != 0 {
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

// fitElsewhere reports whether all the jobs may be moved now and fit into gaps outside the
// accelerators m of a rack without more fragmentation.
func (s *State) fitElsewhere(jobs []*plannedJob, rack int, m uint64) bool {
	taken := map[int]uint64{rack: m}
	cost := 0.0
	for _, v := range jobs {
		cost += s.checkpointCost(v)
		if v.size >= minUnfragmentedRun || v.Shape.Members > 1 || !s.movableNow(v) || cost > s.budget {
			return false
		}
		gap, ok := s.bestCandidate(v, 1, taken)
		if !ok || gap.cost.fragmented > 0 {
			return false
		}
		taken[gap.rack] |= contract.LowMask(v.size) << gap.first
	}

	return true
}

// movableNow reports whether a job may be moved to improve the placement.
func (s *State) movableNow(v *plannedJob) bool {
	cooledDown := v.evictions == 0 || s.now-v.evictedAt >= s.tune.EvictionCooldown
	worthwhile := v.estimate.Remaining(v.CheckpointedRunTime+s.now-v.started) > minMoveGain*s.tune.CheckpointOverhead

	return v.phase == running && v.Preemptible && !v.inOwnBlock && cooledDown && worthwhile
}
