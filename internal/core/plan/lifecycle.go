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
	planned := &plannedJob{Job: j, size: j.Shape.Size()}
	if reason := s.neverFitsReason(planned, c); reason != "" {
		s.conclude(j.Key, code.NeverFits, reason, 0)

		return
	}
	u := s.usageOf(j.Key.Workspace)
	if u.queued >= c.Queue && !s.exemptFromQueueLimit(j) {
		s.conclude(j.Key, code.Overloaded, "the workspace's queue is full", s.queueRetryAfter(u))

		return
	}
	s.seq++
	planned.seq = s.seq
	planned.Urgent = j.Urgent && c.Urgent
	planned.estimate = s.runTimes.Estimate(estimate.Key{Workspace: j.Key.Workspace, Kind: j.Kind}, j.Declared)
	s.jobs[j.Key] = planned
	s.enqueue(planned)
	if j.Deadline > 0 {
		heap.Push(&s.due, planned)
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
	planned := &plannedJob{Job: j, size: j.Shape.Size(), seq: s.seq, phase: running, started: s.now}
	planned.estimate = s.runTimes.Estimate(estimate.Key{Workspace: j.Key.Workspace, Kind: j.Kind}, j.Declared)
	s.jobs[j.Key] = planned
	s.occupy(planned, places)
	s.dirty = true
}

func (s *State) cancel(j *plannedJob) {
	switch j.phase {
	case waiting:
		s.drop(j)
		s.concludeCancelled(j)
	case reserved:
		s.unreserve(j)
		s.drop(j)
		s.concludeCancelled(j)
	case running, saving:
		j.removed = true
		j.phase = stopping
		s.emit(Action{Kind: Stop, Key: j.Key})
	}
}

// withdraw removes a job without an answer.
func (s *State) withdraw(j *plannedJob) {
	switch j.phase {
	case reserved:
		s.unreserve(j)
	case running, saving, stopping:
		s.vacate(j)
	}
	s.drop(j)
}

// concludeCancelled answers a cancelled job that is not running. The answer is "not run"
// only if the job cannot have started.
func (s *State) concludeCancelled(j *plannedJob) {
	switch {
	case j.hasRun:
		s.conclude(j.Key, code.Stopped, "cancelled after it had begun", 0)
	case j.MayHaveStarted:
		s.conclude(j.Key, code.Unknown, "cancelled; an earlier planner may have started it", 0)
	default:
		s.conclude(j.Key, code.Cancelled, "cancelled before it started", 0)
	}
}

func (s *State) finish(j *plannedJob) {
	if j.phase == waiting || j.phase == reserved {
		return
	}
	runTime := j.CheckpointedRunTime + s.now - j.started
	s.runTimes.Observe(estimate.Key{Workspace: j.Key.Workspace, Kind: j.Kind}, j.Declared, runTime)
	s.resetFailures(j)
	s.vacate(j)
	s.drop(j)
}

// checkpointDone requeues a job that was checkpointed and stopped.
func (s *State) checkpointDone(j *plannedJob, done time.Duration) {
	if j.phase != saving && j.phase != stopping {
		return
	}
	j.CheckpointedRunTime = max(j.CheckpointedRunTime, done)
	s.stopDone(j)
}

// stopDone requeues a stopped job, or answers it if it was cancelled.
func (s *State) stopDone(j *plannedJob) {
	if j.phase == waiting || j.phase == reserved {
		return
	}
	j.hasRun = true
	s.requeueOrConclude(j)
}

// requeueOrConclude frees the places of a job that no longer runs, and requeues it, or
// answers it if it was cancelled.
func (s *State) requeueOrConclude(j *plannedJob) {
	s.vacate(j)
	if j.removed {
		s.drop(j)
		s.concludeCancelled(j)

		return
	}
	s.requeue(j)
}

// Has reports whether the plan contains the job.
func (s *State) Has(k job.Key) bool {
	return s.jobs[k] != nil
}

func (s *State) requeue(j *plannedJob) {
	j.phase = waiting
	j.inOwnBlock = false
	s.enqueue(j)
}

// drop removes a job. Heaps may still contain it and skip it when it reaches their head.
func (s *State) drop(j *plannedJob) {
	if j.phase == waiting || j.phase == reserved {
		s.usageOf(j.Key.Workspace).queued--
	}
	if j.phase == waiting {
		s.dequeue(j)
	}
	j.removed = true
	delete(s.evicting, j)
	delete(s.jobs, j.Key)
}
