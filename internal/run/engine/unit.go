package engine

import (
	"fmt"
	"slices"
	"time"

	"sesameyoke/internal/core/crash"
	"sesameyoke/internal/core/straggler"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

// Phases of a member's run.
const (
	planned     memberPhase = iota // its start has not been sent
	starting                       // its start is in flight
	unconfirmed                    // its start got no answer, or was sent by a previous planner
	running
	stopping // its stop is being sent or has been answered; its end is not reported yet
	released // its capacity is free again
)

type (
	memberPhase int

	// countedFailures tells which failed runs of a task have been counted.
	countedFailures struct {
		before int64   // the newest run that previous planners have counted
		runs   []int64 // counted by this planner
	}

	// unit is one run of a gang or of a single task.
	unit struct {
		name       string
		job        *job
		occur      int
		step       int
		run        int64 // number of the run among those of its tasks
		members    []*member
		unreleased int           // number of members that may still hold capacity
		done       bool          // its tasks are done, by this run or another one
		failed     bool          // its failure has been counted
		aborted    bool          // its runs are being stopped
		checkpoint string        // checkpoint that the run starts from
		began      time.Duration // when this planner placed or adopted it
		orphan     bool          // its run is not on record, but a worker has reported it or may still start it
		sibling    *unit         // the other copy of a speculatively executed task
		loggedAt   time.Duration // when the phases of its members were last logged
	}

	// member is the run of one task.
	member struct {
		unit           *unit
		index          int
		worker         *worker
		phase          memberPhase
		answeredAt     time.Duration // when a start or stop was answered; a report requested later that omits the run proves its end
		stopInFlight   bool          // a stop is being sent until it is answered
		inherited      bool          // started by a previous planner, which is fenced
		checkpoint     string        // newest checkpoint
		resumedFrom    string        // checkpoint that the run resumed from
		ticket         string        // ticket of the placement service
		lateStartUntil time.Duration // until then, a start that got no answer may be executed
		// The same if the start in flight gets no answer, which the worker's newest incarnation may execute; 0 if it has been fenced.
		lateIfUnanswered time.Duration
		sentAt           time.Duration // when its start was sent; 0 if this planner has not sent it
		began            time.Duration // when its start was answered or it was first reported as running; 0 before
		checkpointAt     time.Duration // when its newest checkpoint was first reported
		lost             bool          // its worker has restarted, and no report has shown the run since
		crash            *crash.Run    // crash of the worker that may have ended the run; nil if none is known
		track            straggler.Track
		tracking         bool          // track holds a first reading
		speedCounted     bool          // its run time has been compared with others
		usage            int           // tail latency in milliseconds of a serving task, else thousandths of a core in use
		confirmedShare   int           // CPU share in percent that the worker has confirmed; negative if not known
		shareInFlight    bool          // an order that sets the CPU share is in flight
		starvedSince     time.Duration // since when a best-effort task has had no CPU share; 0 if it has one
	}
)

// unitName returns the name of a task's unit: all tasks of a gang share one, any other task
// has its own. It is the same for all runs of the task, except speculative copies.
func unitName(j *job, occur, step, index int) string {
	if j.Steps[step].Gang {
		return fmt.Sprintf("%s.%d.%d", j.ID, occur, step)
	}

	return fmt.Sprintf("%s.%d.%d.%d", j.ID, occur, step, index)
}

// task returns the identity of the member's task.
func (m *member) task() work.Task {
	return work.Task{Job: m.unit.job.ID, Occur: m.unit.occur, Step: m.unit.step, Index: m.index}
}

// state returns the recorded state of the member's task. The states of an ended occurrence of a
// recurring job are dropped while runs of its tasks may still hold capacity: those tasks count as
// done, and changes of the returned state have no effect.
func (m *member) state() *work.TaskState {
	steps := m.unit.job.Occurs[m.unit.occur].Steps
	if m.unit.step >= len(steps) {
		return &work.TaskState{Phase: work.Done}
	}

	return &steps[m.unit.step][m.index]
}

// demand returns the capacity that the member reserves on its worker.
func (m *member) demand() work.Shape { return demand(&m.unit.job.Steps[m.unit.step]) }

// demand returns the capacity that a task reserves on a worker. Best-effort tasks
// reserve no CPU, because they use only what other tasks leave idle.
func demand(step *work.Step) work.Shape {
	need := step.Need
	if step.BestEffort {
		need.CPU = 0
	}

	return need
}

// reserve adds a member to its unit and its worker and reserves its capacity there.
func (e *Engine) reserve(m *member) {
	m.unit.members = append(m.unit.members, m)
	m.unit.unreleased++
	m.worker.runs[m.task()] = append(m.worker.runs[m.task()], m)
	m.worker.free = m.worker.free.Minus(m.demand())
	e.unsettled[m] = true
	m.worker.wakeSession()
}

// release frees a member's capacity. Releasing the last member closes its unit.
func (e *Engine) release(m *member) {
	if m.phase == released {
		return
	}
	m.phase = released
	delete(e.unsettled, m)
	w := m.worker
	w.free = w.free.Plus(m.demand())
	w.removeRun(m)
	u := m.unit
	u.unreleased--
	if u.unreleased == 0 {
		e.closeUnit(u)
	}
	e.requestPass()
}

// closeUnit removes a unit whose members are all released. Its unfinished tasks wait for
// placement again and will resume from the newest checkpoint.
func (e *Engine) closeUnit(u *unit) {
	if e.units[u.name] == u {
		delete(e.units, u.name)
	}
	j := u.job
	if u.done || u.orphan {
		return
	}
	checkpoint := u.newestCheckpoint()
	for _, m := range u.members {
		t := m.state()
		if t.Phase != work.Assigned || t.Run != u.run {
			continue
		}
		t.Phase = work.Waiting
		t.Saved = checkpoint
	}
	e.resetUnbegun(j)
	e.writer.put(j, nil)
	e.requestPass()
}

// resetUnbegun returns a job to the queue if all its starts have been refused. Its record says that
// it has started from its first placement on, because a later planner cannot tell.
func (e *Engine) resetUnbegun(j *job) {
	if j.begun || !j.Started || j.Phase.Final() {
		return
	}
	for _, u := range e.units {
		if u.job == j {
			return
		}
	}
	j.Started, j.Phase = false, work.Queued
}

// newestCheckpoint returns the newest checkpoint that a member has written, or else the
// one that the unit started from.
func (u *unit) newestCheckpoint() string {
	newest, at := u.checkpoint, time.Duration(-1)
	for _, m := range u.members {
		if m.checkpoint != "" && m.checkpoint != m.resumedFrom && m.checkpointAt > at {
			newest, at = m.checkpoint, m.checkpointAt
		}
	}

	return newest
}

// recordFailure counts a failed run once for all tasks of its unit. It writes the count
// even while other members still run: the count must be durable before the end is
// acknowledged, because the worker then discards the end.
func (e *Engine) recordFailure(u *unit) {
	if u.failed || u.done || u.orphan {
		return
	}
	u.failed = true
	e.delayRetry(u)
	for _, m := range u.members {
		t := m.state()
		if !u.isCurrent(t) {
			continue
		}
		if u.sibling != nil {
			t.Failures++
			t.LastFailedRun = max(t.LastFailedRun, u.run)
		} else {
			u.job.countFailure(m.task(), u.run)
		}
		e.failIfExhausted(u.job, u, t)
	}
	e.writer.put(u.job, nil)
}

// countFailure counts a failed run of a task once, unless a previous planner may have counted it: only the
// highest run number that planners have counted is on record.
func (j *job) countFailure(task work.Task, run int64) {
	t := &j.Occurs[task.Occur].Steps[task.Step][task.Index]
	if j.failures == nil {
		j.failures = map[work.Task]*countedFailures{}
	}
	if j.failures[task] == nil {
		j.failures[task] = &countedFailures{before: t.LastFailedRun}
	}
	f := j.failures[task]
	if run <= f.before || slices.Contains(f.runs, run) {
		return
	}
	f.runs = append(f.runs, run)
	t.Failures++
	t.LastFailedRun = max(t.LastFailedRun, run)
}

// failIfExhausted fails the job if the task has used up its queue's attempts.
func (e *Engine) failIfExhausted(j *job, u *unit, t *work.TaskState) {
	if j.Steps[u.step].LongRunning || j.Phase.Final() {
		return
	}
	q := e.queuePolicy(j.Queue)
	if q.Attempts > 0 && t.Failures >= q.Attempts {
		e.Log.Info().Str("event", "job-failed").Str("id", j.ID).Str("unit", u.name).Int("fails", t.Failures).
			Int("attempts", q.Attempts).Dur("age", e.SinceBoot()-j.acceptedAt).Msg("")
		t.Phase = work.GivenUp
		e.endJob(j, work.Failed)
	}
}

// recordSuccess marks the tasks of a unit as done. Long-running steps are not marked:
// they start again.
func (e *Engine) recordSuccess(u *unit) {
	if u.done || u.orphan || u.job.Steps[u.step].LongRunning {
		return
	}
	u.done = true
	for _, m := range u.members {
		if t := m.state(); u.isCurrent(t) {
			t.Phase, t.Saved = work.Done, ""
		}
	}
	e.stopSibling(u)
	e.recordRunTime(u)
	e.updateBaseSlowdowns(u)
	e.keepDone(u)
	e.endOccurrence(u.job, u.occur)
	e.writer.put(u.job, nil)
	e.requestPass()
}

// endOccurrence ends an occurrence whose steps are all done, and its job with the last one.
func (e *Engine) endOccurrence(j *job, occur int) {
	o := &j.Occurs[occur]
	if o.Ended || !o.Done() {
		return
	}
	o.Ended = true
	for step := range j.Steps {
		delete(j.doneRuns, occurStep{occur, step})
	}
	if j.Times > 0 {
		o.Steps = nil
	}
	if j.Phase.Final() || len(j.Occurs) < j.Occurrences() {
		return
	}
	for i := range j.Occurs {
		if !j.Occurs[i].Ended {
			return
		}
	}
	e.Log.Info().Str("event", "job-completed").Str("id", j.ID).Dur("age", e.SinceBoot()-j.acceptedAt).Msg("")
	j.Phase = work.Completed
	j.Ended = e.Now().UnixMilli()
}

// abort stops all runs of a unit.
func (e *Engine) abort(u *unit, why string) {
	if u.aborted || u.done {
		return
	}
	u.aborted = true
	e.Log.Info().Str("event", "unit-stopped").Str("id", u.job.ID).Str("unit", u.name).Int64("run", u.run).
		Str("why", why).Int("members", u.unreleased).Dur("age", e.SinceBoot()-u.began).Msg("")
	for _, m := range append([]*member(nil), u.members...) {
		e.stopMember(m)
	}
}

// stopMember ends the run of one member. A start in flight is left alone:
// applyStartAnswer stops the run once the start is answered.
func (e *Engine) stopMember(m *member) {
	switch m.phase {
	case planned:
		e.release(m)
	case starting, released:
	case unconfirmed, running, stopping:
		e.sendStop(m)
	}
}

// handleEnd records the end of a member's run and, unless the run succeeded, aborts
// the rest of its gang. An end that no report lists has no number.
func (e *Engine) handleEnd(m *member, end target.End) {
	u, how := m.unit, end.How
	if end.Saved != "" {
		m.checkpoint, m.checkpointAt = end.Saved, e.SinceBoot()
	}
	e.Log.Info().Str("event", "run-ended").Str("id", u.job.ID).Str("unit", u.name).Int("task", m.index).
		Int64("run", u.run).Str("how", string(how)).Str("worker", m.worker.ID).
		Int64("born", m.worker.Incarnation).Int64("number", end.Number).Dur("age", e.SinceBoot()-u.began).Msg("")
	e.Count("ends_"+string(how), 1)
	e.recordOutcome(m, how)
	switch how {
	case target.Done:
		e.recordSuccess(u)
	case target.Failed:
		e.recordFailure(u)
		u.job.recordFailedOn(m.worker.ID)
	case target.LeaseExpired:
		e.countCrash(m)
	case target.Stopped, target.GangBroken, target.GangIncomplete:
	default:
		e.Log.Warn().Str("event", "end-unknown").Str("unit", u.name).Str("how", string(how)).Msg("")
	}
	if how != target.Done && !u.done && len(u.members) > 1 {
		e.abort(u, "member ended "+string(how))
	}
	e.release(m)
}

// failedElsewhere reports whether a run of the job has failed on another worker.
func (j *job) failedElsewhere(worker string) bool {
	for name := range j.failedOn {
		if name != worker {
			return true
		}
	}

	return false
}

// recordFailedOn counts a failed run of the job on a worker.
func (j *job) recordFailedOn(worker string) {
	if j.failedOn == nil {
		j.failedOn = map[string]int{}
	}
	j.failedOn[worker]++
}
