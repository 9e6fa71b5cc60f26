package fleet

import (
	"fmt"
	"slices"
	"time"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

type (
	// Journal records the runs on all workers and checks them against the invariants of
	// the scheduler.
	Journal struct {
		Violations []string // invariants that were violated

		jobs               map[string]work.Job
		refused            map[string]bool
		runs               []*RunRecord
		incompleteGangRuns int
	}

	// RunRecord records one run on a worker.
	RunRecord struct {
		Task          work.Task
		Run           int64
		Worker        string
		From          time.Time
		To            time.Time // zero while the run is active
		How           target.How
		Acked         bool
		CrashedWorker bool // the run has crashed its worker
		LeaseExpired  bool // the worker's lease expired between the end and its acknowledgement
	}
)

// RecordSubmission records a job that a caller submits.
func (f *Fleet) RecordSubmission(j work.Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Journal.jobs[j.ID] = j
}

// Job returns a job that a caller has submitted.
func (f *Fleet) Job(id string) work.Job {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.Journal.jobs[id]
}

// RecordRefusal records that a job was refused, and that its caller was told so.
func (f *Fleet) RecordRefusal(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Journal.refused[id] = true
}

// Violations returns a description of each invariant that was violated.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()

	return slices.Clone(f.Journal.Violations)
}

// IncompleteGangRuns returns how many runs ended because the rest of their gang did not
// start in time.
func (f *Fleet) IncompleteGangRuns() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.Journal.incompleteGangRuns
}

// Runs returns a copy of the records of all runs so far.
func (f *Fleet) Runs() []RunRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	all := make([]RunRecord, 0, len(f.Journal.runs))
	for _, e := range f.Journal.runs {
		all = append(all, *e)
	}

	return all
}

func (j *Journal) recordViolation(format string, args ...any) {
	j.Violations = append(j.Violations, fmt.Sprintf(format, args...))
}

// recordStart checks the start of a run against the invariants and records the run.
func (j *Journal) recordStart(w *Worker, s target.Start) *RunRecord {
	job, known := j.jobs[s.Task.Job]
	switch {
	case !known:
		j.recordViolation("task %v starts, but its job was never submitted", s.Task)
	case j.refused[s.Task.Job]:
		j.recordViolation("task %v starts, but its job was refused", s.Task)
	case s.Spec != job.Spec:
		j.recordViolation("task %v starts with a specification other than its job's", s.Task)
	}
	fails := j.checkRuns(w, s, job, known)
	if fails >= Attempts {
		j.recordViolation("task %v starts on %s after %d failures", s.Task, w.ID, fails)
	}
	j.checkCrashes(w, s)
	if known {
		j.checkCapacity(w, s, job)
		j.checkEligible(s, job)
	}
	e := &RunRecord{Task: s.Task, Run: s.Run, Worker: w.ID, From: time.Now()}
	j.runs = append(j.runs, e)

	return e
}

// checkRuns checks a start against the task's other runs, and returns how many of them
// have failed with an acknowledged end.
func (j *Journal) checkRuns(w *Worker, s target.Start, job work.Job, known bool) int {
	fails := 0
	for _, e := range j.runs {
		if !known || e.Task != s.Task {
			continue
		}
		st := job.Steps[s.Task.Step]
		switch {
		case e.How == target.Failed && e.Acked:
			fails++
		case st.Speculative:
		case e.To.IsZero():
			j.recordViolation("task %v starts on %s while run %d is active on %s", s.Task, w.ID, e.Run, e.Worker)
		case e.How == target.Done && e.Acked && !e.LeaseExpired && !st.LongRunning:
			j.recordViolation("task %v starts on %s after run %d was done on %s", s.Task, w.ID, e.Run, e.Worker)
		}
	}

	return fails
}

// Attempts is the number of failed runs of a task that end its job in the emulated
// configuration.
const Attempts = 3

// shrinkGrace is the time from which a start must respect a capacity that has shrunk.
const shrinkGrace = 4500 * time.Millisecond

// checkCapacity checks that a task fits on its worker, and that the worker runs no more
// tasks of the step than its anti-affinity limit allows.
func (j *Journal) checkCapacity(w *Worker, s target.Start, job work.Job) {
	used := usedCapacity(job.Steps[s.Task.Step])
	for _, r := range w.runs {
		used = used.Plus(usedCapacity(j.jobs[r.task.Job].Steps[r.task.Step]))
	}
	inGrace := time.Since(w.shrunkAt) <= shrinkGrace && used.Fits(w.larger)
	if !used.Fits(w.Capacity) && !inGrace {
		j.recordViolation("task %v on %s raises the resources in use to %v, more than the capacity %v", s.Task, w.ID, used, w.Capacity)
	}
	if limit := job.Steps[s.Task.Step].MaxPerWorker; limit > 0 {
		n := 1
		for t := range w.runs {
			if t.Job == s.Task.Job && t.Step == s.Task.Step && t.Occur == s.Task.Occur {
				n++
			}
		}
		if n > limit {
			j.recordViolation("task %v exceeds the anti-affinity limit: it is task number %d of its step on %s", s.Task, n, w.ID)
		}
	}
}

// usedCapacity returns the share of a worker's capacity that a task of the step occupies.
// Best-effort tasks occupy no cores, because they only use idle CPU time.
func usedCapacity(st work.Step) work.Shape {
	need := st.Need
	if st.BestEffort {
		need.CPU = 0
	}

	return need
}

// checkEligible checks that the steps that a task depends on are done and that its
// occurrence is due.
func (j *Journal) checkEligible(s target.Start, job work.Job) {
	for _, a := range job.Steps[s.Task.Step].After {
		need := job.Steps[a].Count
		if job.Steps[a].Gang {
			need = 1 // the end "done" of one member represents the whole gang
		}
		if n := j.countDone(job.ID, s.Task.Occur, a); n < need {
			j.recordViolation("task %v starts before step %d is done: %d of %d ends", s.Task, a, n, need)
		}
	}
	if due := job.Due(s.Task.Occur); due > time.Now().UnixMilli() {
		j.recordViolation("task %v starts %d ms before its occurrence is due", s.Task, due-time.Now().UnixMilli())
	}
}

// countDone returns the number of tasks of a step that have ended "done".
func (j *Journal) countDone(id string, occur, step int) int {
	done := map[int]bool{}
	for _, e := range j.runs {
		if e.Task.Job == id && e.Task.Occur == occur && e.Task.Step == step && e.How == target.Done {
			done[e.Task.Index] = true
		}
	}

	return len(done)
}

// close records that the run has ended now.
func (e *RunRecord) close(how target.How) {
	e.To, e.How = time.Now(), how
}

// recordAck records that the planner has acknowledged the end of a run, which means that
// the end is durable. expiredAt is the time at which the worker's lease was last seen expired.
func (j *Journal) recordAck(worker string, end target.End, expiredAt time.Time) {
	for _, e := range j.runs {
		if e.Task != end.Task || e.Run != end.Run || e.Worker != worker || e.Acked {
			continue
		}
		e.Acked, e.LeaseExpired = true, expiredAt.After(e.To)
		for _, later := range j.runs {
			if e.How == target.Done && !j.jobs[e.Task.Job].Steps[e.Task.Step].Speculative && !j.jobs[e.Task.Job].Steps[e.Task.Step].LongRunning &&
				later.Task == e.Task && later.From.After(e.To) && !e.LeaseExpired {
				j.recordViolation("task %v was done on %s in run %d, but run %d started before the end was acknowledged", e.Task, worker, e.Run, later.Run)
			}
		}
	}
}
