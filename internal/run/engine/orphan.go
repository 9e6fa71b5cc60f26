package engine

import (
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

// orphan stops a run that nobody accounts for. Until its end is listed it holds
// the capacity that its job tells, or all of the worker's.
func (e *Engine) orphan(w *worker, r target.Run) {
	e.Log.Warn().Str("event", "orphan-run").Str("id", r.Task.Job).Int64("run", r.Run).Str("worker", w.ID).Msg("")
	m := e.orphanMember(w, r)
	if _, ok := e.unread[r.Task.Job]; ok && e.Boot() < e.began+unreadFor {
		return // adopted with its job
	}
	e.abort(m.unit, "orphan")
}

func (e *Engine) orphanMember(w *worker, r target.Run) *member {
	need := w.Room
	if s := e.jobs[r.Task.Job]; s != nil && r.Task.Step < len(s.Steps) {
		need = s.Steps[r.Task.Step].Need
	}
	s := &job{Job: work.Job{ID: r.Task.Job, Steps: make([]work.Step, r.Task.Step+1)}}
	s.Steps[r.Task.Step].Need = need
	u := &unit{name: "orphan", job: s, occur: r.Task.Occur, step: r.Task.Step, run: r.Run, orphan: true, began: e.Boot()}
	m := &member{unit: u, index: r.Task.Index, worker: w, phase: running, settled: e.Boot()}
	e.occupy(m)

	return m
}
