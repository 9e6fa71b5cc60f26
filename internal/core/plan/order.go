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
	// groupKey identifies waiting jobs with equal requirements. If the first of them cannot
	// be placed, none of them can, therefore a scheduling pass tries only the first.
	groupKey struct {
		workspace   string
		shape       job.Shape
		preemptible bool
		urgent      bool
		avoid       string // names of the workers on which the job has failed
	}

	// group is a heap of waiting jobs, ordered by score.
	group struct {
		key       groupKey
		jobs      []*plannedJob
		rankScore float64 // score of the head plus the share penalty of the workspace; set by each pass
		index     int     // index into State.active
		active    bool
	}

	// ranking is a heap of groups, ordered by their heads.
	ranking []*group
)

// scoreOf returns the queue score of a job with the given remaining run time: its time of
// submission plus a work penalty that grows with the remaining work, up to MaxWorkPenalty.
// Only jobs submitted less than MaxWorkPenalty later can overtake the job, which bounds its
// wait.
func (s *State) scoreOf(j *plannedJob, remaining time.Duration) float64 {
	work := remaining.Seconds() * float64(j.size)

	return j.SubmittedAt.Seconds() + min(s.tune.WorkScale*math.Pow(work, s.tune.WorkExponent), s.tune.MaxWorkPenalty.Seconds())
}

func (s *State) enqueue(j *plannedJob) {
	j.phase = waiting
	j.score = s.scoreOf(j, j.estimate.Remaining(j.CheckpointedRunTime))
	k := groupKey{
		workspace: j.Key.Workspace, shape: j.Shape, preemptible: j.Preemptible, urgent: j.Urgent,
		avoid: strings.Join(j.failedOn, " "),
	}
	g, ok := s.groups[k]
	if !ok {
		g = &group{key: k}
		s.groups[k] = g
	}
	j.group = g
	heap.Push(g, j)
	if !g.active {
		g.active = true
		g.index = len(s.active)
		s.active = append(s.active, g)
	}
	s.usageOf(j.Key.Workspace).queued++
}

// dequeue marks a waiting job as removed. head drops it from the heap later.
func (s *State) dequeue(j *plannedJob) {
	j.removed = true
}

// head returns the first job of the group that is still waiting, or nil. Jobs before it are
// removed from the heap.
func (s *State) head(g *group) *plannedJob {
	for len(g.jobs) > 0 {
		j := g.jobs[0]
		if !j.removed && j.phase == waiting {
			return j
		}
		heap.Pop(g)
	}

	return nil
}

// rank returns a heap of the groups whose first job may be placed, and removes empty groups.
func (s *State) rank() ranking {
	r := s.rankBuf[:0]
	for i := 0; i < len(s.active); {
		g := s.active[i]
		j := s.head(g)
		if j == nil {
			s.removeGroup(i)

			continue
		}
		i++
		if !s.mayPlace(j) {
			continue
		}
		g.rankScore = j.score + s.sharePenalty(g.key.workspace)
		r = append(r, g)
	}
	heap.Init(&r)
	s.rankBuf = r

	return r
}

// mayPlace reports whether this pass could start the job or reserve places for it.
func (s *State) mayPlace(j *plannedJob) bool {
	return j.size <= s.racks.usable || len(s.blocks[j.Key.Workspace]) > 0 || s.maySearch(j)
}

// maySearch reports whether the time since the job's last search for jobs to preempt is
// long enough for another one.
func (s *State) maySearch(j *plannedJob) bool {
	return j.searchedAt == 0 || s.now-j.searchedAt >= searchBackoff
}

func (s *State) removeGroup(i int) {
	g := s.active[i]
	last := len(s.active) - 1
	s.active[i] = s.active[last]
	s.active[i].index = i
	s.active = s.active[:last]
	g.active = false
	delete(s.groups, g.key)
}

// sharePenalty returns the amount added to the scores of a workspace's jobs, proportional to
// its accelerators in use relative to its fair share. It is bounded to prevent starvation.
func (s *State) sharePenalty(workspace string) float64 {
	u := s.usageOf(workspace)
	if u.penaltyRunning == u.running && u.penaltyTotal == s.racks.total {
		return u.penalty
	}
	u.penaltyRunning, u.penaltyTotal, u.penalty = u.running, s.racks.total, 0
	c := s.config.Contracts[workspace]
	if s.totalWeight > 0 && c.Weight > 0 && s.racks.total > 0 {
		fairShare := float64(s.racks.total) * float64(c.Weight) / s.totalWeight
		u.penalty = s.tune.SharePenalty * min(float64(u.running)/fairShare, s.totalWeight)
	}

	return u.penalty
}

// Len implements heap.Interface. Removed jobs that are still in the heap are included.
func (g *group) Len() int { return len(g.jobs) }

// Less implements heap.Interface: by score, then by arrival.
func (g *group) Less(i, j int) bool {
	a, b := g.jobs[i], g.jobs[j]
	if a.score != b.score {
		return a.score < b.score
	}

	return a.seq < b.seq
}

// Swap implements heap.Interface.
func (g *group) Swap(i, j int) { g.jobs[i], g.jobs[j] = g.jobs[j], g.jobs[i] }

// Push implements heap.Interface.
func (g *group) Push(x any) { g.jobs = append(g.jobs, x.(*plannedJob)) }

// Pop implements heap.Interface.
func (g *group) Pop() any {
	last := len(g.jobs) - 1
	j := g.jobs[last]
	g.jobs[last] = nil
	g.jobs = g.jobs[:last]

	return j
}

// Len implements heap.Interface.
func (r ranking) Len() int { return len(r) }

// Less implements heap.Interface: urgent jobs first, then by the order of the heads.
func (r ranking) Less(i, j int) bool {
	a, b := r[i], r[j]
	if a.key.urgent != b.key.urgent {
		return a.key.urgent
	}
	if a.rankScore != b.rankScore {
		return a.rankScore < b.rankScore
	}

	return a.jobs[0].seq < b.jobs[0].seq
}

// Swap implements heap.Interface.
func (r ranking) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *ranking) Push(x any) { *r = append(*r, x.(*group)) }

// Pop implements heap.Interface.
func (r *ranking) Pop() any {
	old := *r
	g := old[len(old)-1]
	*r = old[:len(old)-1]

	return g
}

// sortActions sorts actions by key, to make the order of actions created by iterating over
// a map deterministic.
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
