package engine

import (
	"time"

	"sesameyoke/internal/core/work"
)

// unreadableGrace is the longest time for which a planner holds a job whose records it cannot read.
const unreadableGrace = 30 * time.Second

// A job is on hold while this planner cannot read its records, which may be those of a later version.
// The planner starts none of its tasks, lets its runs go on, and acknowledges none of their ends, so
// that a planner that can read the records finds all that has happened. After unreadableGrace the job
// fails: none of its tasks may run again.

// onHold reports whether a job is on hold, or its open record may still be read.
func (e *Engine) onHold(id string) bool {
	if len(e.held) == 0 && len(e.unmatchedProgress) == 0 {
		return false
	}
	_, unmatched := e.unmatchedProgress[id]

	return e.held[id] || unmatched
}

// failHeld fails the jobs that have been on hold for too long.
func (e *Engine) failHeld() {
	if len(e.held) == 0 || e.SinceBoot() < e.began+unreadableGrace {
		return
	}
	for id := range e.held {
		if j := e.jobs[id]; j != nil {
			e.Log.Error().Str("event", "job-failed").Str("id", id).Str("why", "record unreadable").Msg("")
			e.endJob(j, work.Failed)

			continue
		}
		if _, started := e.unmatchedProgress[id]; started {
			e.failUnread(id)
		}
		e.endHold(id)
	}
}

// failUnread records the end of a job whose open record cannot be read.
func (e *Engine) failUnread(id string) {
	e.Log.Error().Str("event", "job-failed").Str("id", id).Str("why", "open record unreadable").Msg("")
	b, err := work.Encode(work.Progress{Phase: work.Failed, Started: true, Ended: e.Now().UnixMilli()})
	if err != nil {
		e.Log.Error().Str("event", "record-not-encoded").Str("id", id).Err(err).Msg("")

		return
	}
	e.writer.putRecord(work.Key(work.ProgressRecord, id), b, func(error) {})
	delete(e.unmatchedProgress, id)
	delete(e.unmatchedCrashes, id)
}

// endHold ends the hold of jobs, whose runs are stopped unless they have been adopted.
func (e *Engine) endHold(ids ...string) {
	ended := map[string]bool{}
	for _, id := range ids {
		delete(e.held, id)
		ended[id] = true
	}
	for _, w := range e.workers {
		for _, m := range w.members() {
			if m.unit.orphan && ended[m.unit.job.ID] {
				e.abort(m.unit, "job not found")
			}
		}
		if w.heldEnd != 0 { // its ends are processed again, which has no effect on those of other jobs
			w.seenEnd, w.heldEnd, w.reportDue = w.heldEnd-1, 0, true
			w.wakeSession()
		}
	}
}
