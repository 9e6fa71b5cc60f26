package plan

import (
	"container/heap"
	"math/bits"
	"time"

	"sesameyoke/internal/core/contract"
	"sesameyoke/internal/core/job"
)

const (
	// maxScoredRacks bounds the racks scored per placement; beyond it, racks are scored only
	// until one fits. Racks whose longest free run is shortest are scored first.
	maxScoredRacks = 24

	// searchBackoff is the minimum time between two searches for preemptions on behalf of
	// one job, since a search costs far more than the rest of a decision.
	searchBackoff = 10 * time.Second

	// maxSearchesPerPass bounds the searches for preemptions in one scheduling pass.
	maxSearchesPerPass = 3
)

type (
	// candidate is a possible position for a placement and its cost.
	candidate struct {
		rack  int
		first int
		cost  candidateCost
	}

	// candidateCost orders candidates, lowest first: by the increase in fragmented free
	// accelerators, then by the accelerators borrowed from blocks promised to other
	// workspaces, then by the length of the free run that is split.
	candidateCost struct {
		fragmented int
		borrowed   int
		freeRun    int
	}
)

// pass runs one scheduling pass. In queue order, it starts the jobs that fit. For a job that
// does not fit, it reserves places and evicts the jobs there, if the waiting job is entitled
// to a promised block or its score is sufficiently lower than theirs.
func (s *State) pass() {
	s.startReserved()
	r := s.rank()
	searches := maxSearchesPerPass
	for r.Len() > 0 {
		g := r[0]
		j := s.head(g)
		if j != nil && s.tryPlace(j, &searches) {
			if j = s.head(g); j != nil {
				g.rankScore = j.score + s.sharePenalty(g.key.workspace)
				heap.Fix(&r, 0)

				continue
			}
		}
		heap.Pop(&r)
	}
	if s.tune.Defragment {
		s.defragment()
	}
}

// tryPlace starts a job or reserves places for it. It reports whether the job has left its
// group.
func (s *State) tryPlace(j *plannedJob, searches *int) bool {
	if !s.inQuota(j) {
		return false
	}
	if places := s.findPlaces(j); places != nil {
		s.dequeueHead(j)
		s.start(j, places)

		return true
	}
	if s.reclaim(j) {
		return true
	}
	if *searches == 0 || !s.maySearch(j) {
		return false
	}
	*searches--
	j.searchedAt = s.now

	return s.preempt(j)
}

func (s *State) inQuota(j *plannedJob) bool {
	quota := s.config.Contracts[j.Key.Workspace].Quota

	return quota == 0 || s.usageOf(j.Key.Workspace).running+j.size <= quota
}

// dequeueHead removes a waiting job from its group. The job must be the head of the group.
func (s *State) dequeueHead(j *plannedJob) {
	heap.Pop(j.group)
	s.usageOf(j.Key.Workspace).queued--
}

func (s *State) start(j *plannedJob, places []Place) {
	s.occupy(j, places)
	j.phase = running
	j.started = s.now
	s.emit(Action{Kind: Start, Key: j.Key, Places: places})
}

// occupy assigns the places to the job.
func (s *State) occupy(j *plannedJob, places []Place) {
	j.places = places
	j.inOwnBlock = j.Preemptible
	for _, p := range places {
		m := p.mask()
		if m&^s.ownMasks[workspaceRack{j.Key.Workspace, p.Rack}] != 0 {
			j.inOwnBlock = false
		}
		s.racks.update(p.Rack, func(r *rack) {
			r.free &^= m
			for i := p.First; i < p.First+p.Width; i++ {
				r.owner[i] = j
			}
		})
	}
	s.usageOf(j.Key.Workspace).running += j.size
}

// vacate frees the places of the job.
func (s *State) vacate(j *plannedJob) {
	for _, p := range j.places {
		m := p.mask()
		s.racks.update(p.Rack, func(r *rack) {
			r.free |= m
			for i := p.First; i < p.First+p.Width; i++ {
				r.owner[i] = nil
			}
		})
	}
	j.places = nil
	delete(s.evicting, j)
	s.usageOf(j.Key.Workspace).running -= j.size
	s.dirty = true
}

// allowed returns the accelerators of a rack on which the job can start now.
func (s *State) allowed(j *plannedJob, rack int) uint64 {
	return s.racks.all[rack].usable() &^ s.barred(j, rack)
}

// barred returns the accelerators of a rack that the job must not use: workers on which it
// has failed and, if it cannot be preempted, blocks promised to other workspaces.
func (s *State) barred(j *plannedJob, rack int) uint64 {
	r := &s.racks.all[rack]
	var m uint64
	if !j.Preemptible {
		m = r.promised &^ s.ownMasks[workspaceRack{j.Key.Workspace, rack}]
	}
	for _, name := range j.failedOn {
		if ref := s.byName[name]; ref.rack == rack {
			m |= contract.LowMask(ref.span.width) << ref.span.first
		}
	}

	return m
}

// findPlaces returns free places for all members of the job, or nil.
func (s *State) findPlaces(j *plannedJob) []Place {
	if j.size > s.racks.usable {
		return nil
	}
	if j.Shape.Adjacent || j.Shape.Members == 1 {
		best, ok := s.bestCandidate(j, j.Shape.Members, nil)
		if !ok {
			return nil
		}

		return adjacentPlaces(best.rack, best.first, j.Shape)
	}

	return s.findNonAdjacent(j)
}

// findNonAdjacent places the members of a gang independently of each other.
func (s *State) findNonAdjacent(j *plannedJob) []Place {
	taken := make(map[int]uint64)
	var places []Place
	for range j.Shape.Members {
		b, ok := s.bestCandidate(j, 1, taken)
		if !ok {
			return nil
		}
		p := Place{Rack: b.rack, First: b.first, Width: j.Shape.Width}
		taken[p.Rack] |= p.mask()
		places = append(places, p)
	}

	return places
}

// bestCandidate returns the cheapest position, among the racks scored, for the given number
// of adjacent members. taken holds, by rack, accelerators already chosen for other members.
func (s *State) bestCandidate(j *plannedJob, members int, taken map[int]uint64) (candidate, bool) {
	size := members * j.Shape.Width
	if size > contract.MaxRackSize {
		return candidate{}, false
	}
	var best candidate
	found := false
	remaining := maxScoredRacks
	for b := size; b <= contract.MaxRackSize; b++ {
		for w, word := range s.racks.buckets[b] {
			for ; word != 0; word &= word - 1 {
				i := w*64 + bits.TrailingZeros64(word)
				c, ok := s.bestInRack(j, i, members, taken[i])
				if ok && (!found || c.cost.less(best.cost)) {
					best, found = c, true
				}
				if remaining--; remaining <= 0 && found {
					return best, true
				}
			}
		}
	}

	return best, found
}

// bestInRack returns the cheapest position in one rack.
func (s *State) bestInRack(j *plannedJob, rack, members int, taken uint64) (candidate, bool) {
	r := &s.racks.all[rack]
	free := s.allowed(j, rack) &^ taken
	size := members * j.Shape.Width
	starts := contract.RunStarts(free, size) & r.starts(members, j.Shape.Width)
	if starts == 0 {
		return candidate{}, false
	}
	promisedToOthers := r.promised &^ s.ownMasks[workspaceRack{j.Key.Workspace, rack}]
	before := bits.OnesCount64(fragmented(free))
	var best candidate
	found := false
	for m := starts; m != 0; m &= m - 1 {
		p := bits.TrailingZeros64(m)
		placeMask := contract.LowMask(size) << p
		if p > 0 && p%size != 0 && starts&(placeMask>>1) != 0 && free>>(p-1)&1 == 1 && free>>(p+size)&1 == 1 {
			// An unaligned position inside a free run leaves no fewer fragmented accelerators
			// than one at an end of the run.
			continue
		}
		c := candidate{rack: rack, first: p, cost: candidateCost{
			fragmented: bits.OnesCount64(fragmented(free&^placeMask)) - before,
			borrowed:   bits.OnesCount64(placeMask & promisedToOthers),
			freeRun:    runAround(free, p),
		}}
		if !found || c.cost.less(best.cost) {
			best, found = c, true
		}
	}

	return best, found
}

func (c candidateCost) less(d candidateCost) bool {
	if c.fragmented != d.fragmented {
		return c.fragmented < d.fragmented
	}
	if c.borrowed != d.borrowed {
		return c.borrowed < d.borrowed
	}

	return c.freeRun < d.freeRun
}

// runAround returns the length of the run of set bits that contains position p.
func runAround(mask uint64, p int) int {
	up := bits.TrailingZeros64(^(mask >> p))
	down := bits.LeadingZeros64(^(mask << (contract.MaxRackSize - 1 - p)))

	return up + down - 1
}

// neverFitsReason returns why the job could not be placed even in an empty fleet, or "".
func (s *State) neverFitsReason(j *plannedJob, c contract.Contract) string {
	if c.Quota > 0 && j.size > c.Quota {
		return "the shape is larger than the workspace's quota"
	}
	members := j.Shape.Members
	if !j.Shape.Adjacent {
		members = 1
	}
	fits := 0
	for i := range s.racks.all {
		fits += s.emptyRackCapacity(j, i, members)
		if fits >= j.Shape.Members {
			return ""
		}
	}
	if fits == 0 {
		return "no rack could hold the shape"
	}

	return "the racks together could not hold the gang"
}

// emptyRackCapacity returns how many members of the job's shape would fit into the rack if
// it were empty, where each group of the given number of members must be adjacent.
func (s *State) emptyRackCapacity(j *plannedJob, rack, members int) int {
	r := &s.racks.all[rack]
	m := r.mask &^ s.barred(j, rack)
	size := members * j.Shape.Width
	if size > contract.MaxRackSize {
		return 0
	}
	starts := contract.RunStarts(m, size) & r.starts(members, j.Shape.Width)
	n := 0
	for starts != 0 {
		p := bits.TrailingZeros64(starts)
		n += members
		starts &^= contract.LowMask(min(p+size, contract.MaxRackSize))
	}

	return n
}

// startReserved starts the jobs whose reserved places have become free.
func (s *State) startReserved() {
	kept := s.reserved[:0]
	for _, j := range s.reserved {
		if j.phase != reserved || j.removed {
			continue
		}
		if !s.allFree(j.places) {
			kept = append(kept, j)

			continue
		}
		places := j.places
		s.unreserve(j)
		s.usageOf(j.Key.Workspace).queued--
		s.start(j, places)
	}
	s.reserved = kept
}

func (s *State) allFree(places []Place) bool {
	for _, p := range places {
		r := &s.racks.all[p.Rack]
		if p.mask()&^(r.free&^r.down) != 0 {
			return false
		}
	}

	return true
}

// unreserve releases the places reserved for a job.
func (s *State) unreserve(j *plannedJob) {
	for _, p := range j.places {
		m := p.mask()
		s.racks.update(p.Rack, func(r *rack) { r.reserved &^= m })
	}
	j.places = nil
	s.dirty = true
}

// reserve reserves places for a job, which starts when all of them are free.
func (s *State) reserve(j *plannedJob, places []Place) {
	s.dequeueHead(j)
	s.usageOf(j.Key.Workspace).queued++
	j.phase = reserved
	j.draining = false
	j.places = places
	for _, p := range places {
		m := p.mask()
		s.racks.update(p.Rack, func(r *rack) { r.reserved |= m })
	}
	s.reserved = append(s.reserved, j)
}

// evict preempts a running job. If immediate is set, the job is stopped without a checkpoint,
// also if one is in progress. Otherwise it is checkpointed first.
func (s *State) evict(victim *plannedJob, immediate bool) {
	if victim.phase != running {
		if immediate && victim.phase == saving {
			victim.phase = stopping
			s.emit(Action{Kind: Stop, Key: victim.Key})
		}

		return
	}
	victim.evictedAt = s.now
	victim.evictions++
	s.budget -= s.checkpointCost(victim)
	if immediate {
		victim.phase = stopping
		s.emit(Action{Kind: Stop, Key: victim.Key})

		return
	}
	victim.phase = saving
	victim.saveDeadline = s.now + s.checkpointTimeLimit(victim.Key)
	s.evicting[victim] = true
	s.emit(Action{Kind: Save, Key: victim.Key})
}

// checkpointTimeLimit returns the time limit for the checkpoint of a job.
func (s *State) checkpointTimeLimit(k job.Key) time.Duration {
	c, ok := s.config.Contracts[k.Workspace]
	if !ok {
		return time.Minute
	}

	return c.Checkpoint.Duration
}

// checkpointCost returns the cost in accelerator-seconds of a checkpoint and restart.
func (s *State) checkpointCost(j *plannedJob) float64 {
	return float64(j.size) * s.tune.CheckpointOverhead.Seconds()
}
