package engine

import (
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

// stopOrphan stops a run that no planner has on record. Until its end is reported it
// holds the capacity that its job declares, or the worker's whole capacity if the job
// is not known.
func (e *Engine) stopOrphan(w *worker, r target.Run) {
	e.Log.Warn().Str("event", "orphan-run").Str("id", r.Task.Job).Int64("run", r.Run).Str("worker", w.ID).Msg("")
	m := e.addOrphan(w, r)
	if _, ok := e.unmatchedProgress[r.Task.Job]; ok && e.SinceBoot() < e.began+unmatchedGrace {
		return // it is adopted once its job has been read
	}
	e.abort(m.unit, "orphan")
}

func (e *Engine) addOrphan(w *worker, r target.Run) *member {
	need := w.Capacity
	if s := e.jobs[r.Task.Job]; s != nil && r.Task.Step < len(s.Steps) {
		need = s.Steps[r.Task.Step].Need
	}
	s := &job{Job: work.Job{ID: r.Task.Job, Steps: make([]work.Step, r.Task.Step+1)}}
	s.Steps[r.Task.Step].Need = need
	u := &unit{name: "orphan", job: s, occur: r.Task.Occur, step: r.Task.Step, run: r.Run, orphan: true, began: e.SinceBoot()}
	m := &member{unit: u, index: r.Task.Index, worker: w, phase: running, answeredAt: e.SinceBoot()}
	e.reserve(m)

	return m
}
