package plan

import (
	"container/heap"
	"time"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/estimate"
	"sesameyoke/internal/core/job"
)

func (s *State) submit(j Job) {
	if s.jobs[j.Key] != nil {
		return
	}
	c, known := s.config.Contracts[j.Key.Workspace]
	if !known {
		s.conclude(j.Key, code.NoWorkspace, "the workspace has no contract", 0)

		return
	}
	it := &plannedJob{Job: j, size: j.Shape.Size()}
	if reason := s.neverFitsReason(it, c); reason != "" {
		s.conclude(j.Key, code.NeverFits, reason, 0)

		return
	}
	u := s.usageOf(j.Key.Workspace)
	if u.queued >= c.Queue && !s.exemptFromQueueLimit(j) {
		s.conclude(j.Key, code.Overloaded, "the workspace's queue is full", s.queueRetryAfter(u))

		return
	}
	s.seq++
	it.seq = s.seq
	it.Urgent = j.Urgent && c.Urgent
	it.estimate = s.runTimes.Estimate(estimate.Key{Workspace: j.Key.Workspace, Kind: j.Kind}, j.Declared)
	s.jobs[j.Key] = it
	s.enqueue(it)
	if j.Deadline > 0 {
		heap.Push(&s.due, it)
	}
	s.dirty = true
}

// exemptFromQueueLimit reports whether a job is accepted even if the queue is full. This
// applies to jobs with a checkpoint and to permitted urgent jobs.
func (s *State) exemptFromQueueLimit(j Job) bool {
	return j.CheckpointedRunTime > 0 || j.Urgent && s.config.Contracts[j.Key.Workspace].Urgent
}

// queueRetryAfter estimates how long it takes until half of a full queue has been started,
// at one job per minute for each accelerator that the workspace uses.
func (s *State) queueRetryAfter(u *workspaceUsage) time.Duration {
	running := max(1, u.running)

	return min(s.tune.maxRetry, max(s.tune.minRetry, time.Duration(u.queued/2/running+1)*time.Minute))
}

// adopt adds a job that is already running.
func (s *State) adopt(j Job, places []Place) {
	if s.jobs[j.Key] != nil {
		return
	}
	s.seq++
	it := &plannedJob{Job: j, size: j.Shape.Size(), seq: s.seq, phase: running, started: s.now}
	it.estimate = s.runTimes.Estimate(estimate.Key{Workspace: j.Key.Workspace, Kind: j.Kind}, j.Declared)
	s.jobs[j.Key] = it
	s.occupy(it, places)
	s.dirty = true
}

func (s *State) cancel(it *plannedJob) {
	switch it.phase {
	case waiting:
		s.drop(it)
		s.concludeCancelled(it)
	case reserved:
		s.unreserve(it)
		s.drop(it)
		s.concludeCancelled(it)
	case running, saving:
		it.removed = true
		it.phase = stopping
		s.emit(Action{Kind: Stop, Key: it.Key})
	}
}

// withdraw removes a job without an answer.
func (s *State) withdraw(it *plannedJob) {
	switch it.phase {
	case reserved:
		s.unreserve(it)
	case running, saving, stopping:
		s.vacate(it)
	}
	s.drop(it)
}

// concludeCancelled answers a cancelled job that is not running. The answer is "not run"
// only if the job cannot have started.
func (s *State) concludeCancelled(it *plannedJob) {
	switch {
	case it.hasRun:
		s.conclude(it.Key, code.Stopped, "cancelled after it had begun", 0)
	case it.MayHaveStarted:
		s.conclude(it.Key, code.Unknown, "cancelled; an earlier planner may have started it", 0)
	default:
		s.conclude(it.Key, code.Cancelled, "cancelled before it started", 0)
	}
}

func (s *State) finish(it *plannedJob) {
	if it.phase == waiting || it.phase == reserved {
		return
	}
	runTime := it.CheckpointedRunTime + s.now - it.started
	s.runTimes.Observe(estimate.Key{Workspace: it.Key.Workspace, Kind: it.Kind}, it.Declared, runTime)
	s.resetFailures(it)
	s.vacate(it)
	s.drop(it)
}

// checkpointDone requeues a job that was checkpointed and stopped.
func (s *State) checkpointDone(it *plannedJob, done time.Duration) {
	if it.phase != saving && it.phase != stopping {
		return
	}
	it.CheckpointedRunTime = max(it.CheckpointedRunTime, done)
	s.stopDone(it)
}

// stopDone requeues a stopped job, or answers it if it was cancelled.
func (s *State) stopDone(it *plannedJob) {
	if it.phase == waiting || it.phase == reserved {
		return
	}
	it.hasRun = true
	s.requeueOrConclude(it)
}

// requeueOrConclude frees the places of a job that no longer runs, and requeues it, or
// answers it if it was cancelled.
func (s *State) requeueOrConclude(it *plannedJob) {
	s.vacate(it)
	if it.removed {
		s.drop(it)
		s.concludeCancelled(it)

		return
	}
	s.requeue(it)
}

// Has reports whether the plan contains the job.
func (s *State) Has(k job.Key) bool {
	return s.jobs[k] != nil
}

func (s *State) requeue(it *plannedJob) {
	it.phase = waiting
	it.inOwnBlock = false
	s.enqueue(it)
}

// drop removes a job. Heaps may still contain it and skip it when it reaches their head.
func (s *State) drop(it *plannedJob) {
	if it.phase == waiting || it.phase == reserved {
		s.usageOf(it.Key.Workspace).queued--
	}
	if it.phase == waiting {
		s.dequeue(it)
	}
	it.removed = true
	delete(s.evicting, it)
	delete(s.jobs, it.Key)
}
