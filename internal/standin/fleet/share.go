package fleet

import (
	"time"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

const (
	tailAlone  = 30              // milliseconds of a serving task that nothing disturbs
	tailEach   = 1.2             // more of them for each percent of a filling task beside it
	harmfulFor = 4 * time.Second // a target may be missed by what fills
)

func (w *Worker) setPace(p target.Pace) (int64, error) {
	if p.Token < w.token {
		return w.clock(), target.ErrFenced
	}
	w.token = p.Token
	if r := w.runs[p.Task]; r != nil && r.run == p.Run {
		r.percent = p.Percent
	}

	return w.clock(), nil
}

func (f *Fleet) step(r *activeRun) work.Step {
	j, ok := f.Journal.jobs[r.task.Job]
	if !ok {
		return work.Step{}
	}

	return j.Steps[r.task.Step]
}

// usage is the tail of a task that serves, or the processor in use.
func (f *Fleet) usage(w *Worker, r *activeRun) int {
	st := f.step(r)
	if st.Target == 0 {
		return st.Need.CPU
	}
	tail := float64(tailAlone)
	for _, o := range w.runs {
		if f.step(o).Fills {
			tail += tailEach * float64(o.percent)
		}
	}

	return int(tail)
}

// checkHarm checks that what fills does not make a serving task miss its target for long.
func (f *Fleet) checkHarm(w *Worker, r *activeRun) {
	target := f.step(r).Target
	switch {
	case target == 0 || int64(f.usage(w, r)) <= target:
		r.over = time.Time{}
	case r.over.IsZero():
		r.over = time.Now()
	case time.Since(r.over) > harmfulFor:
		f.Journal.fault("task %v on %s has missed its target for %v", r.task, w.ID, time.Since(r.over))
		r.over = time.Now()
	}
}
