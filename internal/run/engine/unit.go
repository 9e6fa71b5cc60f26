package engine

import (
	"fmt"
	"time"

	"sesameyoke/internal/core/straggler"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

// Phases of a member's run.
const (
	planned     memberPhase = iota // its start has not been sent
	starting                       // its start is in flight
	unconfirmed                    // its start got no answer, or was sent by the previous planner
	running
	stopping
	released
)

type (
	memberPhase int

	// unit is one run of a gang or of a single task.
	unit struct {
		name       string
		job        *job
		occur      int
		step       int
		run        int64
		members    []*member
		unreleased int    // number of members that may still hold capacity
		done       bool   // its tasks are done, by this run or another one
		failed     bool   // its failure has been counted
		aborted    bool   // its runs are being stopped
		checkpoint string // checkpoint that the run starts from
		began      time.Duration
		orphan     bool  // reported by a worker, but not assigned by any planner
		sibling    *unit // the other copy of a speculatively executed task
	}

	// member is the run of one task.
	member struct {
		unit          *unit
		index         int
		worker        *worker
		phase         memberPhase
		answeredAt    time.Duration // when a start or stop was answered; a report requested later that omits the run proves its end
		stopInFlight  bool          // a stop is being sent until it is answered
		inherited     bool          // started by the previous planner, which is fenced
		checkpoint    string        // newest checkpoint
		resumedFrom   string        // checkpoint that the run resumed from
		ticket        string        // ticket of the placement service
		began         time.Duration // when its start was answered or it was first reported as running
		checkpointAt  time.Duration // when its newest checkpoint was first reported
		track         straggler.Track
		tracking      bool          // track holds a first reading
		usage         int           // tail latency in milliseconds of a serving task, else thousandths of a core in use
		confirmedPace int           // CPU share in percent that the worker has confirmed; negative if not known
		paceInFlight  bool          // a pace order is in flight
		starvedSince  time.Duration // since when a best-effort task has had no CPU share; 0 if it has one
	}
)

// unitName returns the name of the unit that a task's runs belong to.
func unitName(s *job, occur, step, index int) string {
	if s.Steps[step].Gang {
		return fmt.Sprintf("%s.%d.%d", s.ID, occur, step)
	}

	return fmt.Sprintf("%s.%d.%d.%d", s.ID, occur, step, index)
}

func (m *member) task() work.Task {
	return work.Task{Job: m.unit.job.ID, Occur: m.unit.occur, Step: m.unit.step, Index: m.index}
}

func (m *member) state() *work.TaskState {
	return &m.unit.job.Occurs[m.unit.occur].Steps[m.unit.step][m.index]
}

func (m *member) need() work.Shape { return demand(&m.unit.job.Steps[m.unit.step]) }

// demand returns the capacity that a task reserves on a worker. Best-effort tasks
// reserve no CPU, because they use only what other tasks leave idle.
func demand(s *work.Step) work.Shape {
	need := s.Need
	if s.BestEffort {
		need.CPU = 0
	}

	return need
}

// reserve adds a member to its unit and its worker and reserves its capacity there.
func (e *Engine) reserve(m *member) {
	m.unit.members = append(m.unit.members, m)
	m.unit.unreleased++
	m.worker.runs[m.task()] = append(m.worker.runs[m.task()], m)
	m.worker.free = m.worker.free.Minus(m.need())
	m.worker.wakeSession()
}

// release frees a member's capacity. Releasing the last member closes its unit.
func (e *Engine) release(m *member) {
	if m.phase == released {
		return
	}
	m.phase = released
	w := m.worker
	w.free = w.free.Plus(m.need())
	w.removeRun(m)
	u := m.unit
	u.unreleased--
	if u.unreleased == 0 {
		e.closeUnit(u)
	}
	e.requestPass()
}

// closeUnit removes a unit without unreleased members and returns its unfinished tasks
// to waiting, to resume from the newest checkpoint.
func (e *Engine) closeUnit(u *unit) {
	if e.units[u.name] == u {
		delete(e.units, u.name)
	}
	s := u.job
	if u.done || u.orphan {
		return
	}
	saved := u.newestCheckpoint()
	for _, m := range u.members {
		t := m.state()
		if t.Phase != work.Assigned || t.Run != u.run {
			continue
		}
		t.Phase = work.Waiting
		t.Saved = saved
	}
	e.writer.put(s, nil)
	e.requestPass()
}

// newestCheckpoint returns the newest checkpoint of any member, or the one that the
// unit started from.
func (u *unit) newestCheckpoint() string {
	best, at := u.checkpoint, time.Duration(-1)
	for _, m := range u.members {
		if m.checkpoint != "" && m.checkpoint != m.resumedFrom && m.checkpointAt > at {
			best, at = m.checkpoint, m.checkpointAt
		}
	}

	return best
}

// recordFailure counts a failed run once for all tasks of its unit. It writes the count
// even while other members still run: the count must be durable before the end is
// acknowledged, because the worker then discards the end.
func (e *Engine) recordFailure(u *unit) {
	if u.failed || u.done || u.orphan {
		return
	}
	u.failed = true
	for _, m := range u.members {
		t := m.state()
		if !u.isCurrent(t) {
			continue
		}
		if t.LastFailedRun < u.run || u.sibling != nil { // a previous planner may have counted it
			t.Fails++
			t.LastFailedRun = max(t.LastFailedRun, u.run)
		}
		e.failIfExhausted(u.job, u, t)
	}
	e.writer.put(u.job, nil)
}

// failIfExhausted fails the job if the task has used up its queue's attempts.
func (e *Engine) failIfExhausted(s *job, u *unit, t *work.TaskState) {
	if s.Steps[u.step].LongRunning || s.Phase.Final() {
		return
	}
	q := e.queuePolicy(s.Queue)
	if q.Attempts > 0 && t.Fails >= q.Attempts {
		e.Log.Info().Str("event", "job-failed").Str("id", s.ID).Str("unit", u.name).Int("fails", t.Fails).
			Int("attempts", q.Attempts).Dur("age", e.SinceBoot()-s.acceptedAt).Msg("")
		t.Phase = work.GivenUp
		e.endJob(s, work.Failed)
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
	e.updateSpeeds(u)
	e.endOccurrence(u.job, u.occur)
	e.writer.put(u.job, nil)
	e.requestPass()
}

// endOccurrence ends an occurrence whose steps are all done, and its job with the last one.
func (e *Engine) endOccurrence(s *job, occur int) {
	o := &s.Occurs[occur]
	if o.Ended || !o.Done() {
		return
	}
	o.Ended = true
	if s.Times > 0 {
		o.Steps = nil
	}
	if s.Phase.Final() || len(s.Occurs) < s.Occurrences() {
		return
	}
	for i := range s.Occurs {
		if !s.Occurs[i].Ended {
			return
		}
	}
	e.Log.Info().Str("event", "job-completed").Str("id", s.ID).Dur("age", e.SinceBoot()-s.acceptedAt).Msg("")
	s.Phase = work.Completed
	s.Ended = e.Now().UnixMilli()
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
// handleStartResult stops the run once the start is answered.
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
// the rest of its gang.
func (e *Engine) handleEnd(m *member, how target.How, saved string) {
	u := m.unit
	if saved != "" {
		m.checkpoint, m.checkpointAt = saved, e.SinceBoot()
	}
	e.Log.Info().Str("event", "run-ended").Str("id", u.job.ID).Str("unit", u.name).Int("task", m.index).
		Int64("run", u.run).Str("how", string(how)).Str("worker", m.worker.ID).Dur("age", e.SinceBoot()-u.began).Msg("")
	e.Count("ends_"+string(how), 1)
	m.worker.recordOutcome(how, e.SinceBoot(), u.job.failedElsewhere(m.worker.ID))
	switch how {
	case target.Done:
		e.recordSuccess(u)
	case target.Failed:
		e.recordFailure(u)
		u.job.recordFailedOn(m.worker.ID)
	case target.Stopped, target.LeaseExpired, target.GangBroken, target.GangIncomplete:
	default:
		e.Log.Warn().Str("event", "end-unknown").Str("unit", u.name).Str("how", string(how)).Msg("")
	}
	if how != target.Done && !u.done && len(u.members) > 1 {
		e.abort(u, "member ended "+string(how))
	}
	e.release(m)
}

// failedElsewhere reports whether a run of the job has failed on another worker.
func (s *job) failedElsewhere(worker string) bool {
	for name := range s.failedOn {
		if name != worker {
			return true
		}
	}

	return false
}

// recordFailedOn counts a failed run of the job on a worker.
func (s *job) recordFailedOn(worker string) {
	if s.failedOn == nil {
		s.failedOn = map[string]int{}
	}
	s.failedOn[worker]++
}
