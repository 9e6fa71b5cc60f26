package engine

import (
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

// stopOrphan stops a run that a worker reports although it is not on record, unless its job is on hold.
func (e *Engine) stopOrphan(w *worker, r target.Run) {
	e.Log.Warn().Str("event", "orphan-run").Str("id", r.Task.Job).Int64("run", r.Run).Str("worker", w.ID).Msg("")
	m := e.addOrphan(w, r)
	if e.onHold(r.Task.Job) {
		return // it is adopted if its job is read
	}
	e.abort(m.unit, "orphan")
}

// addOrphan adds a run that is not on record. Until its end is reported, it reserves the
// capacity that its job declares, or the worker's whole capacity if the job is not known.
func (e *Engine) addOrphan(w *worker, r target.Run) *member {
	need := w.Capacity
	if j := e.jobs[r.Task.Job]; j != nil && r.Task.Step < len(j.Steps) {
		need = j.Steps[r.Task.Step].Need
	}
	j := &job{Job: work.Job{ID: r.Task.Job, Steps: make([]work.Step, r.Task.Step+1)}}
	j.Steps[r.Task.Step].Need = need
	u := &unit{name: "orphan", job: j, occur: r.Task.Occur, step: r.Task.Step, run: r.Run, orphan: true, began: e.SinceBoot()}
	m := &member{unit: u, index: r.Task.Index, worker: w, phase: running, answeredAt: e.SinceBoot()}
	e.reserve(m)

	return m
}
