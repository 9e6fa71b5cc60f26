package plan

import (
	"container/heap"

	"sesameyoke/internal/core/code"
)

// deadlines is a heap of waiting jobs by deadline.
type deadlines []*item

// expire concludes waiting jobs whose deadline has passed.
func (s *State) expire() {
	for len(s.due) > 0 && s.due[0].Deadline <= s.now {
		it := heap.Pop(&s.due).(*item)
		if it.gone || it.phase != waiting && it.phase != clearing || it.Done > 0 || it.began {
			continue
		}
		if it.phase == clearing {
			s.unhold(it)
		}
		s.drop(it)
		if it.Begun {
			s.refuse(it.Key, code.Unknown, "the deadline passed; an earlier planner may have started it", 0)

			continue
		}
		s.refuse(it.Key, code.Deadline, "the deadline passed before the job could start", 0)
	}
}

// Len returns the number of waiting jobs with a deadline.
func (d deadlines) Len() int { return len(d) }

// Less orders by deadline.
func (d deadlines) Less(i, j int) bool { return d[i].Deadline < d[j].Deadline }

// Swap exchanges two jobs.
func (d deadlines) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push adds a job.
func (d *deadlines) Push(x any) { *d = append(*d, x.(*item)) }

// Pop removes the last job.
func (d *deadlines) Pop() any {
	old := *d
	it := old[len(old)-1]
	*d = old[:len(old)-1]

	return it
}
