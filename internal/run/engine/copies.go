package engine

import (
	"time"

	"sesameyoke/internal/core/straggler"
	"sesameyoke/internal/core/work"
)

const (
	// Name of a copy: that of its unit and this suffix.
	copySuffix = "+"
	// A run is copied if its remaining time exceeds that of a copy by this factor.
	minCopyGain = 1.5
	// A run is copied only after this run time, when its rate of progress is known.
	minCopyRunTime = 1500 * time.Millisecond
	// Tasks of queues with fewer attempts are not copied, because both runs may fail.
	minCopyAttempts = 3
)

// startCopies starts speculative copies of slow runs where the step allows it and capacity
// is free. The task is done once the run or its copy succeeds; the other one is stopped.
func (e *Engine) startCopies() {
	now := e.SinceBoot()
	for _, u := range e.units {
		if !e.shouldCopy(u, now) {
			continue
		}
		f := e.snapshotFleet()
		if p := e.findPlacesElsewhere(u, f); len(p) > 0 {
			e.startCopy(u, e.workers[f.names[p[0].Worker]])
		}
	}
}

// shouldCopy reports whether a unit may be copied and the copy would end much sooner.
func (e *Engine) shouldCopy(u *unit, now time.Duration) bool {
	st := &u.job.Steps[u.step]
	if !st.Speculative || st.Gang || st.LongRunning || u.orphan || u.aborted || u.done || u.sibling != nil || len(u.members) != 1 {
		return false
	}
	m := u.members[0]
	if m.phase != running || m.began == 0 || now-m.began < minCopyRunTime || !e.mayFailTwice(m) {
		return false
	}
	length := e.runTimeBaseline(m).Length
	if length == 0 {
		length = e.expectedRunTime(u.job, u.step)
	}
	r := straggler.Run{Track: &m.track, Length: length, Checkpoints: st.Checkpoints, LeavesIn: -1}

	return length > 0 && float64(r.Remaining()) > minCopyGain*float64(r.RemainingIfMoved())
}

// mayFailTwice reports whether an unfinished task has attempts left for two more failures.
func (e *Engine) mayFailTwice(m *member) bool {
	q, t := e.queuePolicy(m.unit.job.Queue), m.state()

	return t.Phase == work.Assigned && t.Failures == 0 && (q.Attempts == 0 || q.Attempts >= minCopyAttempts)
}

// startCopy starts a second run of the unit's task on the given worker.
func (e *Engine) startCopy(u *unit, w *worker) {
	m := u.members[0]
	t := m.state()
	c := &unit{name: u.name + copySuffix, job: u.job, occur: u.occur, step: u.step, run: t.Run + 1, checkpoint: u.newestCheckpoint(), began: e.SinceBoot(), sibling: u}
	u.sibling = c
	e.units[c.name] = c
	t.Run, t.Worker, t.Incarnation = c.run, w.ID, w.Incarnation
	e.reserve(&member{unit: c, index: m.index, worker: w, resumedFrom: c.checkpoint, checkpoint: c.checkpoint})
	e.Log.Info().Str("event", "copy-placed").Str("id", u.job.ID).Str("unit", u.name).Int64("run", c.run).Str("worker", w.ID).
		Int("percent", m.track.Percent()).Msg("")
	e.Count("copies", 1)
	e.writer.put(u.job, func(err error) {
		if err != nil {
			e.abort(c, "not durable")

			return
		}
		e.queueStart(c.members[0])
	})
}

// isCurrent reports whether the end of the unit's run changes the state of the given task:
// the run is the task's newest one, or one of two copies of an unfinished task.
func (u *unit) isCurrent(t *work.TaskState) bool {
	if u.sibling != nil {
		return t.Phase != work.Done && t.Phase != work.GivenUp
	}

	return t.Run == u.run && t.Phase == work.Assigned
}

// stopSibling stops the other copy of a task that is done.
func (e *Engine) stopSibling(u *unit) {
	if u.sibling == nil {
		return
	}
	e.abort(u.sibling, "other copy succeeded")
	u.sibling.done = true
}
