package plan

import (
	"container/heap"

	"sesameyoke/internal/core/code"
)

// deadlines is a heap of waiting jobs, ordered by deadline. It may contain jobs that no
// longer wait.
type deadlines []*plannedJob

// expire answers waiting jobs whose deadline has passed, except those that have run already.
func (s *State) expire() {
	for len(s.due) > 0 && s.due[0].Deadline <= s.now {
		j := heap.Pop(&s.due).(*plannedJob)
		if j.removed || j.phase != waiting && j.phase != reserved || j.CheckpointedRunTime > 0 || j.hasRun {
			continue
		}
		if j.phase == reserved {
			s.unreserve(j)
		}
		s.drop(j)
		if j.MayHaveStarted {
			s.conclude(j.Key, code.Unknown, "the deadline passed; an earlier planner may have started it", 0)

			continue
		}
		s.conclude(j.Key, code.Deadline, "the deadline passed before the job could start", 0)
	}
}

// Len implements heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlines) Less(i, j int) bool { return d[i].Deadline < d[j].Deadline }

// Swap implements heap.Interface.
func (d deadlines) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deadlines) Push(x any) { *d = append(*d, x.(*plannedJob)) }

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	j := old[len(old)-1]
	*d = old[:len(old)-1]

	return j
}
