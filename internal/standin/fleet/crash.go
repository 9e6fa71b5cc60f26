package fleet

import (
	"fmt"
	"time"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

// Crashed is how a run ends when its worker crashes. Workers never report such an end.
const Crashed target.How = "crashed"

const (
	crashDowntime  = 3300 * time.Millisecond // from a crash until the worker's next incarnation
	unlistDelay    = 1200 * time.Millisecond // from a crash's downtime until the previous ID is unlisted
	crashLimit     = 3                       // crashes after which a task may be started startsAfter times at most
	startsAfter    = 2
	minCrashesLost = 2 // crashes under one task from which its job may be given up
)

// SetDeadly sets the tasks that crash their worker: deadly returns how long after the start
// of a run its worker crashes, and false for other tasks. With newIDs, a crashed worker
// returns under another ID at its address.
func (f *Fleet) SetDeadly(deadly func(task work.Task) (time.Duration, bool), newIDs bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deadly, f.newIDs = deadly, newIDs
}

// Crash crashes a worker that is up. It returns after crashDowntime.
func (f *Fleet) Crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	if w := f.current(id); w.up {
		f.crash(w)
	}
}

// current returns the worker that runs now at the address of the given one.
func (f *Fleet) current(id string) *Worker {
	w := f.workers[id]
	for w.replacedBy != "" {
		w = f.workers[w.replacedBy]
	}

	return w
}

// crashIfDeadly crashes the worker of a run that crashes its worker about now.
func (f *Fleet) crashIfDeadly(w *Worker, r *activeRun) {
	if f.deadly == nil {
		return
	}
	if after, deadly := f.deadly(r.task); deadly && time.Since(r.started) >= after {
		r.record.CrashedWorker = true
		f.crash(w)
	}
}

// crash ends all runs of a worker and starts its next incarnation after crashDowntime. f.mu
// must be held.
func (f *Fleet) crash(w *Worker) {
	w.up = false
	w.closeRuns(Crashed)
	incarnation := w.Incarnation
	go func() {
		time.Sleep(crashDowntime)
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.up || w.Incarnation != incarnation {
			return // it was restarted meanwhile
		}
		if f.newIDs {
			f.replace(w)

			return
		}
		w.startIncarnation()
		w.up, w.Draining = true, false
		if w.listed {
			f.publish(w)
		}
	}()
}

// replace starts another worker at the address of a crashed one. f.mu must be held.
func (f *Fleet) replace(w *Worker) {
	next := &Worker{Worker: w.Worker, up: true, listed: true, cutOff: w.cutOff, cutOffCallers: w.cutOffCallers, speed: 1, clockRate: w.clockRate}
	next.ID = fmt.Sprintf("%s.%d", w.Host, len(f.workers))
	next.Draining = false
	next.startIncarnation()
	f.workers[next.ID] = next
	w.replacedBy = next.ID
	f.publish(next)
	go func() {
		time.Sleep(unlistDelay)
		f.mu.Lock()
		defer f.mu.Unlock()
		w.listed = false
		f.publish(w)
	}()
}

// closeRuns ends all runs of a worker without a report. f.mu must be held.
func (w *Worker) closeRuns(how target.How) {
	for _, r := range w.runs {
		r.record.close(how)
	}
	w.runs = map[work.Task]*activeRun{}
}

// checkCrashes checks a start against the crashes that the task has caused: after crashLimit
// of them it may start startsAfter times.
func (j *Journal) checkCrashes(w *Worker, s target.Start) {
	crashes, starts := 0, 1
	for _, e := range j.runs { // in the order of their starts
		if e.Task != s.Task {
			continue
		}
		if crashes >= crashLimit {
			starts++
		}
		if e.CrashedWorker {
			crashes++
		}
	}
	if crashes >= crashLimit && starts > startsAfter {
		j.recordViolation("task %v starts on %s after it has crashed %d workers", s.Task, w.ID, crashes)
	}
}

// CheckGivenUp records a violation if a job was given up without cause: no task of it has
// failed Attempts times, and fewer than two workers have crashed under each.
func (f *Fleet) CheckGivenUp(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	failures, crashes := map[work.Task]int{}, map[work.Task]int{}
	most := 0
	for _, e := range f.Journal.runs {
		if e.Task.Job != id {
			continue
		}
		t := e.Task
		if f.Journal.jobs[id].Steps[t.Step].Gang {
			t.Index = 0 // a failed member fails the gang
		}
		switch e.How {
		case target.Failed:
			failures[t]++
			if failures[t] >= Attempts {
				return
			}
		case Crashed:
			crashes[e.Task]++
			most = max(most, crashes[e.Task])
		}
	}
	if most < minCrashesLost {
		f.Journal.recordViolation("job %s was given up after at most %d crashes under one of its tasks", id, most)
	}
}
