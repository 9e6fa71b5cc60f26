package engine

import (
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

// rememberLate remembers a start that got no answer: a later life of the worker may
// still execute it.
func (e *Engine) rememberLate(m *member) {
	if m.unit.orphan {
		return
	}
	e.lateStarts[m.worker.ID] = append(e.lateStarts[m.worker.ID], lateStart{
		run: target.Run{Task: m.task(), Run: m.unit.run}, until: e.Boot() + e.Timing.Straggle,
	})
}

// stopLate stops such starts in a life that has just begun.
func (e *Engine) stopLate(w *worker) {
	kept := e.lateStarts[w.ID][:0]
	for _, g := range e.lateStarts[w.ID] {
		if e.Boot() > g.until {
			continue
		}
		kept = append(kept, g)
		if w.find(g.run.Task, g.run.Run) == nil {
			m := e.orphanMember(w, g.run)
			m.phase, m.settled = unsure, 0
			e.abort(m.unit, "may still start")
		}
	}
	e.lateStarts[w.ID] = kept
}

// lateEnd takes in the end of a run that was taken for lapsed.
func (e *Engine) lateEnd(w *worker, end target.End) {
	s := e.jobs[end.Task.Job]
	if s == nil || !end.Task.Possible() || end.Task.Occur >= len(s.Occurs) || s.Occurs[end.Task.Occur].Ended ||
		end.Task.Step >= len(s.Steps) || end.Task.Index >= s.Steps[end.Task.Step].Count {
		return
	}
	t := &s.Occurs[end.Task.Occur].Steps[end.Task.Step][end.Task.Index]
	if end.How == target.Done && t.Phase != work.Done && t.Phase != work.GivenUp && !s.Steps[end.Task.Step].Lasting {
		e.acceptLate(s, end)
	}
	e.Log.Info().Str("event", "late-end").Str("id", s.ID).Int64("run", end.Run).Int64("newest", t.Run).
		Str("how", string(end.How)).Str("worker", w.ID).Msg("")
	if end.How == target.Failed && t.Phase != work.Done && end.Run <= t.Run && !s.Steps[end.Task.Step].Gang {
		if t.Failed < end.Run {
			t.Fails++
			t.Failed = end.Run
		}
		e.writer.put(s, nil)
	}
}

// acceptLate takes a run for done that was thought lapsed, and stops the one
// that was started in its place.
func (e *Engine) acceptLate(s *job, end target.End) {
	o := &s.Occurs[end.Task.Occur]
	name := unitName(s, end.Task.Occur, end.Task.Step, end.Task.Index)
	if u := e.units[name]; u != nil {
		e.abort(u, "done by an earlier run")
		u.done = true
	}
	for i := range o.Steps[end.Task.Step] {
		if t := &o.Steps[end.Task.Step][i]; i == end.Task.Index || s.Steps[end.Task.Step].Gang {
			t.Phase, t.Saved = work.Done, ""
		}
	}
	e.advance(s, end.Task.Occur)
	e.writer.put(s, nil)
	e.kick()
}
