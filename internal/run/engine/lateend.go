package engine

import (
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

// handleLateEnd processes the end of a run that had already been recorded as ended by the
// expiry of its lease.
func (e *Engine) handleLateEnd(w *worker, end target.End) {
	j := e.jobs[end.Task.Job]
	if j == nil || !end.Task.Possible() || end.Task.Occur >= len(j.Occurs) || j.Occurs[end.Task.Occur].Ended ||
		end.Task.Step >= len(j.Steps) || end.Task.Index >= j.Steps[end.Task.Step].Count {
		return
	}
	t := &j.Occurs[end.Task.Occur].Steps[end.Task.Step][end.Task.Index]
	if end.How == target.Done && t.Phase != work.Done && t.Phase != work.GivenUp && !j.Steps[end.Task.Step].LongRunning {
		e.acceptLateSuccess(j, end)
	}
	e.Log.Info().Str("event", "late-end").Str("id", j.ID).Int64("run", end.Run).Int64("newest", t.Run).
		Str("how", string(end.How)).Str("worker", w.ID).Msg("")
	if end.How == target.Failed && t.Phase != work.Done && end.Run <= t.Run && !j.Steps[end.Task.Step].Gang {
		j.countFailure(end.Task, end.Run)
		e.writer.put(j, nil)
	}
}

// acceptLateSuccess marks a task as done by a run whose lease had been recorded as
// expired, and stops the run that replaced it, or its copy.
func (e *Engine) acceptLateSuccess(j *job, end target.End) {
	o := &j.Occurs[end.Task.Occur]
	name := unitName(j, end.Task.Occur, end.Task.Step, end.Task.Index)
	for _, u := range []*unit{e.units[name], e.units[name+copySuffix]} {
		if u != nil {
			e.abort(u, "an earlier run succeeded")
			u.done = true
		}
	}
	for i := range o.Steps[end.Task.Step] {
		if t := &o.Steps[end.Task.Step][i]; i == end.Task.Index || j.Steps[end.Task.Step].Gang {
			t.Phase, t.Saved = work.Done, ""
		}
	}
	e.endOccurrence(j, end.Task.Occur)
	e.writer.put(j, nil)
	e.requestPass()
}
