package fleet

import (
	"fmt"
	"strings"
	"time"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

// activeRun is a run that is active on a worker.
type activeRun struct {
	task        work.Task
	run         int64
	started     time.Time     // when the worker accepted the start
	updated     time.Time     // time up to which workDone is counted
	workDone    time.Duration // work done, as time at full speed
	working     bool          // the run makes progress: its gang, if any, is complete
	gangSpeed   float64       // factor on the speed of the run, by the racks of its gang; set when it starts to work
	length      time.Duration // work until the run ends by itself
	plannedEnd  target.How    // how the run ends when its work is done
	killAt      time.Time     // end of the grace period of a stop; zero without a stop
	nameBytes   int           // least length of a checkpoint's name
	percent     int           // pace of the run, in percent of full speed
	missedSince time.Time     // since when the run misses its latency target; zero while it meets it
	record      *RunRecord
}

// checkpoint returns the name of the newest checkpoint. A run saves one for each full
// second of work.
func (r *activeRun) checkpoint() string {
	if !r.working {
		return ""
	}

	name := fmt.Sprintf("%s.%d.%d", r.task.Job, r.run, int(r.workDone.Seconds()))

	return name + strings.Repeat("+", max(0, r.nameBytes-len(name)))
}

// progress returns the percentage of the run's work that is done. An endless run reaches
// 100 once it has started up.
func (r *activeRun) progress() int {
	if !r.working {
		return 0
	}
	if r.length == Endless {
		return min(100, int(100*r.workDone/startupTime))
	}

	return min(100, int(100*r.workDone/r.length))
}

// isEndless reports whether a run goes on until it is stopped.
func (f *Fleet) isEndless(r *activeRun) bool { return r.length == Endless }

// advanceRun updates a run to the current time: it counts the work done and ends the run if
// its worker's lease has expired, it has been stopped, its gang is incomplete or its work is
// done.
func (f *Fleet) advanceRun(w *Worker, r *activeRun) {
	gang, present := f.gang(r)
	f.checkLatencyTarget(w, r)
	if r.working {
		r.workDone += time.Duration(w.speed * r.gangSpeed * float64(r.percent) / 100 * float64(time.Since(r.updated)))
		r.updated = time.Now()
	}
	switch {
	case w.clock() > w.deadline:
		f.endRun(w, r, target.LeaseExpired)
	case !r.killAt.IsZero() && time.Now().After(r.killAt):
		f.endRun(w, r, target.Stopped)
	case gang > 0 && present < gang && r.working:
		f.endRun(w, r, target.GangBroken)
	case gang > 0 && present < gang && time.Since(r.started) > gangTimeout:
		f.endRun(w, r, target.GangIncomplete)
		f.Journal.incompleteGangRuns++
	case gang > 0 && present < gang:
	case !r.working:
		r.working, r.updated, r.gangSpeed = true, time.Now(), f.gangSpeed(r)
	case f.isEndless(r):
	case r.workDone >= r.length:
		f.finish(r, gang)
	}
}

// finish ends a run whose work is done, together with all members of its gang. The run
// ends with its planned end; unless that is Done, the other members end with GangBroken.
func (f *Fleet) finish(r *activeRun, gang int) {
	for _, id := range sortedIDs(f.workers) {
		w := f.workers[id]
		for _, o := range w.runs {
			if o == r || (gang > 0 && o.task.Job == r.task.Job && o.task.Step == r.task.Step && o.task.Occur == r.task.Occur && o.run == r.run) {
				how := r.plannedEnd
				if o != r && how != target.Done {
					how = target.GangBroken
				}
				f.endRun(w, o, how)
			}
		}
	}
}

// end removes a run and adds its end to those that the worker reports.
func (w *Worker) end(r *activeRun, how target.How) {
	delete(w.runs, r.task)
	w.highestRun[r.task] = max(w.highestRun[r.task], r.run)
	w.endNumber++
	saved := ""
	if how == target.Stopped {
		saved = r.checkpoint()
	}
	w.unackedEnds = append(w.unackedEnds, target.End{Number: w.endNumber, Task: r.task, Run: r.run, How: how, Saved: saved})
	r.record.close(how)
}

// gang returns the size of a run's gang, or 0 if it has none, and how many members are
// running.
func (f *Fleet) gang(r *activeRun) (size, present int) {
	j, ok := f.Journal.jobs[r.task.Job]
	if !ok || !j.Steps[r.task.Step].Gang {
		return 0, 0
	}
	if f.present != nil {
		return j.Steps[r.task.Step].Count, f.present[r.gangKey()]
	}
	f.eachMember(r, func(*Worker) { present++ })

	return j.Steps[r.task.Step].Count, present
}

// gangKey identifies a run of a gang.
type gangKey struct {
	job         string
	occur, step int
	run         int64
}

func (r *activeRun) gangKey() gangKey {
	return gangKey{r.task.Job, r.task.Occur, r.task.Step, r.run}
}

// countMembers counts the active runs of each gang on workers that are up.
func (f *Fleet) countMembers() map[gangKey]int {
	n := map[gangKey]int{}
	for _, w := range f.workers {
		for _, r := range w.runs {
			if w.up {
				n[r.gangKey()]++
			}
		}
	}

	return n
}

// eachMember calls do with the worker of each active member of a run's gang.
func (f *Fleet) eachMember(r *activeRun, do func(w *Worker)) {
	for _, w := range f.workers {
		for _, o := range w.runs {
			if w.up && o.gangKey() == r.gangKey() {
				do(w)
			}
		}
	}
}

// gangSpeed returns the factor on the speed of a gang's run: if the gang must be on one rack
// and is on several, its work takes SpreadSlowdown times as long.
func (f *Fleet) gangSpeed(r *activeRun) float64 {
	if f.SpreadSlowdown == 0 || !f.stepOf(r).SameRack {
		return 1
	}
	racks := map[string]bool{}
	f.eachMember(r, func(w *Worker) { racks[w.Rack] = true })
	if len(racks) <= 1 {
		return 1
	}

	return 1 / f.SpreadSlowdown
}

// endRun ends a run during advance.
func (f *Fleet) endRun(w *Worker, r *activeRun, how target.How) {
	if w.up && f.present != nil {
		f.present[r.gangKey()]--
	}
	f.logf("end %v run=%d on %s born=%d: %s, deadline=%d", r.task, r.run, w.ID, w.Incarnation, how, w.deadline)
	w.end(r, how)
}
