package plan

import (
	"container/heap"
	"time"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/learn"
)

func (s *State) submit(j Job) {
	if s.items[j.Key] != nil {
		return
	}
	c, known := s.rules.Contracts[j.Key.Workspace]
	if !known {
		s.refuse(j.Key, code.NoWorkspace, "the workspace has no contract", 0)

		return
	}
	it := &item{Job: j, size: j.Shape.Size()}
	if why := s.never(it, c); why != "" {
		s.refuse(j.Key, code.NeverFits, why, 0)

		return
	}
	u := s.usageOf(j.Key.Workspace)
	if u.queued >= c.Queue && !s.mustTake(j) {
		s.refuse(j.Key, code.Overloaded, "the workspace's queue is full", s.drainTime(u))

		return
	}
	s.seq++
	it.seq = s.seq
	it.Urgent = j.Urgent && c.Urgent
	it.guess = s.learnt.Guess(learn.Name{Workspace: j.Key.Workspace, Kind: j.Kind}, j.Declared)
	s.items[j.Key] = it
	s.enqueue(it)
	if j.Deadline > 0 {
		heap.Push(&s.due, it)
	}
	s.fresh = true
}

// mustTake reports whether a job is taken although the queue is full: work that
// has been begun, and urgent work.
func (s *State) mustTake(j Job) bool {
	return j.Done > 0 || j.Urgent && s.rules.Contracts[j.Key.Workspace].Urgent
}

// drainTime estimates when half of a full queue will be gone.
func (s *State) drainTime(u *usage) time.Duration {
	share := max(1, u.running)

	return min(s.tune.maxRetry, max(s.tune.minRetry, time.Duration(u.queued/2/share+1)*time.Minute))
}

// adopt takes in a job that is running already.
func (s *State) adopt(j Job, places []Place) {
	if s.items[j.Key] != nil {
		return
	}
	s.seq++
	it := &item{Job: j, size: j.Shape.Size(), seq: s.seq, phase: running, started: s.now}
	it.guess = s.learnt.Guess(learn.Name{Workspace: j.Key.Workspace, Kind: j.Kind}, j.Declared)
	s.items[j.Key] = it
	s.occupy(it, places)
	s.fresh = true
}

func (s *State) cancel(it *item) {
	switch it.phase {
	case waiting:
		s.drop(it)
		s.concludeCancelled(it)
	case clearing:
		s.unhold(it)
		s.drop(it)
		s.concludeCancelled(it)
	case running, saving:
		it.gone = true
		it.phase = stopping
		s.act(Action{Kind: Stop, Key: it.Key})
	}
}

// withdraw forgets a job without an answer.
func (s *State) withdraw(it *item) {
	switch it.phase {
	case clearing:
		s.unhold(it)
	case running, saving, stopping:
		s.vacate(it)
	}
	s.drop(it)
}

// concludeCancelled answers a cancelled job that does not run. "Not run" is said
// only of a job that cannot have begun.
func (s *State) concludeCancelled(it *item) {
	switch {
	case it.began:
		s.refuse(it.Key, code.Stopped, "cancelled after it had begun", 0)
	case it.Begun:
		s.refuse(it.Key, code.Unknown, "cancelled; an earlier planner may have started it", 0)
	default:
		s.refuse(it.Key, code.Cancelled, "cancelled before it started", 0)
	}
}

func (s *State) finish(it *item) {
	if it.phase == waiting || it.phase == clearing {
		return
	}
	taken := it.Done + s.now - it.started
	s.learnt.Observe(learn.Name{Workspace: it.Key.Workspace, Kind: it.Kind}, it.Declared, taken)
	s.succeeded(it)
	s.vacate(it)
	s.drop(it)
}

// saved puts a checkpointed job back in line.
func (s *State) saved(it *item, done time.Duration) {
	if it.phase != saving && it.phase != stopping {
		return
	}
	it.Done = max(it.Done, done)
	s.halted(it)
}

// halted puts a stopped job back in line, or ends it when it was cancelled.
func (s *State) halted(it *item) {
	if it.phase == waiting || it.phase == clearing {
		return
	}
	it.began = true
	s.backInLine(it)
}

// backInLine puts a job that no longer runs back in line, or ends it when it was
// cancelled.
func (s *State) backInLine(it *item) {
	s.vacate(it)
	if it.gone {
		s.drop(it)
		s.concludeCancelled(it)

		return
	}
	s.requeue(it)
}

// Has reports whether the job is planned.
func (s *State) Has(k job.Key) bool {
	return s.items[k] != nil
}

func (s *State) requeue(it *item) {
	it.phase = waiting
	it.owed = false
	s.enqueue(it)
}

// drop forgets a job. Heaps that still hold it skip it.
func (s *State) drop(it *item) {
	if it.phase == waiting || it.phase == clearing {
		s.usageOf(it.Key.Workspace).queued--
	}
	if it.phase == waiting {
		s.dequeue(it)
	}
	it.gone = true
	delete(s.leaving, it)
	delete(s.items, it.Key)
}
