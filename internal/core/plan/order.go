package plan

import (
	"container/heap"
	"math"
	"slices"
	"strings"
	"time"

	"sesameyoke/internal/core/job"
)

type (
	// groupKey names waiting jobs that differ only in their place in line: when one
	// cannot start, none of them can.
	groupKey struct {
		workspace string
		shape     job.Shape
		movable   bool
		urgent    bool
		avoid     string // workers on which the job has failed
	}

	// group is a heap of waiting jobs by score.
	group struct {
		key    groupKey
		items  []*item
		order  float64 // score of the head with the workspace's share, during a pass
		at     int     // index in State.active
		active bool
	}

	// ranking is a heap of groups by the order of their heads.
	ranking []*group
)

// scoreOf returns the place in line of a job with so much work left: the time of
// submission, plus a function of the work that grows with it up to Cap. A job is
// overtaken only by jobs submitted less than Cap later, which bounds its wait.
func (s *State) scoreOf(it *item, left time.Duration) float64 {
	work := left.Seconds() * float64(it.size)

	return it.Since.Seconds() + min(s.tune.Scale*math.Pow(work, s.tune.Power), s.tune.Cap.Seconds())
}

func (s *State) enqueue(it *item) {
	it.phase = waiting
	it.score = s.scoreOf(it, it.guess.Left(it.Done))
	k := groupKey{
		workspace: it.Key.Workspace, shape: it.Shape, movable: it.Movable, urgent: it.Urgent,
		avoid: strings.Join(it.failedOn, " "),
	}
	g, ok := s.groups[k]
	if !ok {
		g = &group{key: k}
		s.groups[k] = g
	}
	it.group = g
	heap.Push(g, it)
	if !g.active {
		g.active = true
		g.at = len(s.active)
		s.active = append(s.active, g)
	}
	s.usageOf(it.Key.Workspace).queued++
}

// dequeue takes note that a waiting job has left its group; the heap drops it when
// it comes to the head.
func (s *State) dequeue(it *item) {
	it.gone = true
}

// head returns the group's first job that still waits, or nil.
func (s *State) head(g *group) *item {
	for len(g.items) > 0 {
		it := g.items[0]
		if !it.gone && it.phase == waiting {
			return it
		}
		heap.Pop(g)
	}

	return nil
}

// rank returns the groups with waiting jobs as a heap, and retires empty ones.
func (s *State) rank() ranking {
	r := s.ranked[:0]
	for i := 0; i < len(s.active); {
		g := s.active[i]
		it := s.head(g)
		if it == nil {
			s.retire(i)

			continue
		}
		i++
		if !s.mayAct(it) {
			continue
		}
		g.order = it.score + s.sharePenalty(g.key.workspace)
		r = append(r, g)
	}
	heap.Init(&r)
	s.ranked = r

	return r
}

// mayAct reports whether this pass could do anything for a job.
func (s *State) mayAct(it *item) bool {
	return it.size <= s.racks.usable || len(s.blocks[it.Key.Workspace]) > 0 || s.maySearch(it)
}

// maySearch reports whether it is time to look for jobs to give way to this one.
func (s *State) maySearch(it *item) bool {
	return it.searched == 0 || s.now-it.searched >= searchPause
}

func (s *State) retire(i int) {
	g := s.active[i]
	last := len(s.active) - 1
	s.active[i] = s.active[last]
	s.active[i].at = i
	s.active = s.active[:last]
	g.active = false
	delete(s.groups, g.key)
}

// sharePenalty puts back the jobs of a workspace by how many fair shares of the
// accelerators it has in use. It is bounded, so that no job waits for ever.
func (s *State) sharePenalty(workspace string) float64 {
	u := s.usageOf(workspace)
	if u.counted == u.running && u.total == s.racks.total {
		return u.penalty
	}
	u.counted, u.total, u.penalty = u.running, s.racks.total, 0
	c := s.rules.Contracts[workspace]
	if s.weights > 0 && c.Weight > 0 && s.racks.total > 0 {
		fair := float64(s.racks.total) * float64(c.Weight) / s.weights
		u.penalty = s.tune.Share * min(float64(u.running)/fair, s.weights)
	}

	return u.penalty
}

// Len returns the number of waiting jobs, including those that have left.
func (g *group) Len() int { return len(g.items) }

// Less orders by score, then by arrival.
func (g *group) Less(i, j int) bool {
	a, b := g.items[i], g.items[j]
	if a.score != b.score {
		return a.score < b.score
	}

	return a.seq < b.seq
}

// Swap exchanges two jobs.
func (g *group) Swap(i, j int) { g.items[i], g.items[j] = g.items[j], g.items[i] }

// Push adds a job.
func (g *group) Push(x any) { g.items = append(g.items, x.(*item)) }

// Pop removes the last job.
func (g *group) Pop() any {
	last := len(g.items) - 1
	it := g.items[last]
	g.items[last] = nil
	g.items = g.items[:last]

	return it
}

// Len returns the number of groups.
func (r ranking) Len() int { return len(r) }

// Less puts urgent work first, then orders by the heads' scores.
func (r ranking) Less(i, j int) bool {
	a, b := r[i], r[j]
	if a.key.urgent != b.key.urgent {
		return a.key.urgent
	}
	if a.order != b.order {
		return a.order < b.order
	}

	return a.items[0].seq < b.items[0].seq
}

// Swap exchanges two groups.
func (r ranking) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

// Push adds a group.
func (r *ranking) Push(x any) { *r = append(*r, x.(*group)) }

// Pop removes the last group.
func (r *ranking) Pop() any {
	old := *r
	g := old[len(old)-1]
	*r = old[:len(old)-1]

	return g
}

// sortActions puts actions that came out of a map into a fixed order.
func sortActions(a []Action) {
	slices.SortStableFunc(a, func(x, y Action) int {
		if x.Key.Workspace != y.Key.Workspace {
			if x.Key.Workspace < y.Key.Workspace {
				return -1
			}

			return 1
		}
		if x.Key.ID < y.Key.ID {
			return -1
		}
		if x.Key.ID > y.Key.ID {
			return 1
		}

		return 0
	})
}
