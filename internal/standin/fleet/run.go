package fleet

import (
	"fmt"
	"time"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

// activeRun is a run on a worker.
type activeRun struct {
	task    work.Task
	run     int64
	started time.Time     // or, once its gang is there, when that came
	at      time.Time     // up to which worked is known
	worked  time.Duration // at the usual speed
	working bool
	length  time.Duration
	how     target.How
	stopAt  time.Time
	percent int       // share at which it may work
	over    time.Time // its target is missed since
	entry   *Entry
}

// saved names the checkpoint of the whole seconds worked.
func (r *activeRun) saved() string {
	if !r.working {
		return ""
	}

	return fmt.Sprintf("%s.%d.%d", r.task.Job, r.run, int(r.worked.Seconds()))
}

// progress is the percentage of its length that a run has worked.
func (r *activeRun) progress() int {
	if !r.working {
		return 0
	}
	if r.length == Endless {
		return min(100, int(100*r.worked/startup))
	}

	return min(100, int(100*r.worked/r.length))
}

// lasts reports whether a run goes on until it is stopped, which shows as an endless
// length; its percentage reaches 100 once it is at work.
func (f *Fleet) lasts(r *activeRun) bool { return r.length == Endless }

func (f *Fleet) progress(w *Worker, r *activeRun) {
	gang, here := f.gang(r)
	f.checkHarm(w, r)
	if r.working {
		r.worked += time.Duration(w.speed * float64(r.percent) / 100 * float64(time.Since(r.at)))
		r.at = time.Now()
	}
	switch {
	case w.clock() > w.deadline:
		w.end(r, target.Lapsed)
	case !r.stopAt.IsZero() && time.Now().After(r.stopAt):
		w.end(r, target.Stopped)
	case gang > 0 && here < gang && r.working:
		w.end(r, target.Broken)
	case gang > 0 && here < gang && time.Since(r.started) > gangWait:
		w.end(r, target.Alone)
		f.Journal.alone++
	case gang > 0 && here < gang:
	case !r.working:
		r.working, r.at = true, time.Now()
	case f.lasts(r):
	case r.worked >= r.length:
		f.finish(r, gang)
	}
}

// finish ends a run, and all of its gang, as it was to end.
func (f *Fleet) finish(r *activeRun, gang int) {
	for _, id := range sortedIDs(f.workers) {
		w := f.workers[id]
		for _, o := range w.runs {
			if o == r || (gang > 0 && o.task.Job == r.task.Job && o.task.Step == r.task.Step && o.task.Occur == r.task.Occur && o.run == r.run) {
				how := r.how
				if o != r && how != target.Done {
					how = target.Broken
				}
				w.end(o, how)
			}
		}
	}
}

func (w *Worker) end(r *activeRun, how target.How) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.number++
	saved := ""
	if how == target.Stopped {
		saved = r.saved()
	}
	w.ends = append(w.ends, target.End{Number: w.number, Task: r.task, Run: r.run, How: how, Saved: saved})
	r.entry.close(how)
}

// gang returns the size of a run's gang, 0 if it has none, and how many are present.
func (f *Fleet) gang(r *activeRun) (size, here int) {
	j, ok := f.Journal.jobs[r.task.Job]
	if !ok || !j.Steps[r.task.Step].Gang {
		return 0, 0
	}
	for _, w := range f.workers {
		for _, o := range w.runs {
			if w.up && o.task.Job == r.task.Job && o.task.Step == r.task.Step && o.task.Occur == r.task.Occur && o.run == r.run {
				here++
			}
		}
	}

	return j.Steps[r.task.Step].Count, here
}
