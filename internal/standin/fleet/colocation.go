package fleet

import (
	"time"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

const (
	baseTailMs       = 30              // tail latency in milliseconds of a serving task without best-effort tasks on its worker
	tailMsPerPercent = 1.2             // added for each percent of pace of a best-effort task on the same worker
	maxTargetMiss    = 4 * time.Second // longest time for which best-effort tasks may make a serving task miss its target
)

// setPace sets the pace of a run.
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

// stepOf returns the step of a run, or a zero Step if its job is not known.
func (f *Fleet) stepOf(r *activeRun) work.Step {
	j, ok := f.Journal.jobs[r.task.Job]
	if !ok {
		return work.Step{}
	}

	return j.Steps[r.task.Step]
}

// usage returns the tail latency in milliseconds of a task that serves requests, or the
// thousandths of a core that another task uses.
func (f *Fleet) usage(w *Worker, r *activeRun) int {
	st := f.stepOf(r)
	if st.LatencyTarget == 0 {
		return st.Need.CPU
	}
	tail := float64(baseTailMs)
	for _, o := range w.runs {
		if f.stepOf(o).BestEffort {
			tail += tailMsPerPercent * float64(o.percent)
		}
	}

	return int(tail)
}

// checkLatencyTarget checks that best-effort tasks do not make a serving task miss its
// latency target for longer than maxTargetMiss.
func (f *Fleet) checkLatencyTarget(w *Worker, r *activeRun) {
	target := f.stepOf(r).LatencyTarget
	switch {
	case target == 0 || int64(f.usage(w, r)) <= target:
		r.missedSince = time.Time{}
	case r.missedSince.IsZero():
		r.missedSince = time.Now()
	case time.Since(r.missedSince) > maxTargetMiss:
		f.Journal.recordViolation("task %v on %s has missed its latency target for %v", r.task, w.ID, time.Since(r.missedSince))
		r.missedSince = time.Now()
	}
}
