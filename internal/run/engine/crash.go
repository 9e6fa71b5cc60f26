package engine

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sesameyoke/internal/core/crash"
	"sesameyoke/internal/core/work"
)

// Why the runs of a worker were lost.
const (
	lostByCrash       lossCause = "crash"       // the worker has restarted, and nothing announced it
	lostByDrain       lossCause = "drain"       // the worker had announced that it leaves
	lostByMaintenance lossCause = "maintenance" // its host was ordered down
	lostByLease       lossCause = "lease"       // its lease expired: it may be cut off, gone or down
)

const (
	// A worker is back at the latest this long after the downtime of its host.
	maintenanceSlack = 10 * time.Second
	// Maintenance waves that began longer ago do not explain restarts before a takeover.
	maxWaveAge = 5 * time.Minute
)

// lossCause tells why the runs of a worker were lost.
type lossCause string

// restartCause returns why a worker has restarted.
func (e *Engine) restartCause(w *worker, draining bool) lossCause {
	switch {
	case draining:
		return lostByDrain
	case e.inMaintenance(w):
		return lostByMaintenance
	}

	return lostByCrash
}

// inMaintenance reports whether the worker's host was ordered down. Until a new planner knows
// the states of the hosts, each may have been ordered down by its predecessor.
func (e *Engine) inMaintenance(w *worker) bool {
	now := e.SinceBoot()
	if now < w.maintainedUntil {
		return true
	}
	if e.Cloud == nil || now >= e.began+e.Timing.HostLease+cloudTimeout+waveInterval {
		return false
	}
	for _, wave := range e.waves {
		if len(wave.done) > 0 && e.Now().Sub(time.UnixMilli(wave.Begun)) < maxWaveAge {
			return true
		}
	}

	return false
}

// logLostRuns logs which runs a worker has lost and why. The incarnation is that which
// follows; 0 if it is not known.
func (e *Engine) logLostRuns(w *worker, cause lossCause, incarnation int64) {
	if len(w.runs) == 0 {
		return
	}
	var silent time.Duration
	if w.silentSince != 0 {
		silent = e.SinceBoot() - w.silentSince
	}
	e.Count("runs_lost_"+string(cause), int64(len(w.runs)))
	e.Log.Warn().Str("event", "runs-lost").Str("worker", w.ID).Str("cause", string(cause)).Int64("before", w.Incarnation).
		Int64("born", incarnation).Dur("silent", silent).Str("runs", w.describeRuns()).Msg("")
}

// describeRuns lists the runs of a worker.
func (w *worker) describeRuns() string {
	members := w.members()
	all := make([]string, 0, len(members))
	for _, m := range members {
		all = append(all, m.describe())
	}
	slices.Sort(all)

	return strings.Join(all, " ")
}

// describe returns the run's task, its number, its least age when the worker was lost ("?" if it
// is not known), and the crashes counted so far under the task.
func (m *member) describe() string {
	age := "?"
	if a, ok := m.ageAtLoss(); ok {
		age = a.Round(time.Millisecond).String()
	}
	u := m.unit

	return fmt.Sprintf("%s.%d#%d@%s=%d", stepName(u.job, u.occur, u.step), m.index, u.run, age, len(u.job.crashes[m.task()].Runs))
}

// ageAtLoss returns how long at least a run had been going on when its worker was lost. It
// returns false if that is not known because a previous planner has sent the start.
func (m *member) ageAtLoss() (time.Duration, bool) {
	at := m.worker.downSince()
	if m.sentAt == 0 {
		return at - m.began, m.began != 0 && at-m.began > crash.Fresh
	}

	return max(0, at-m.sentAt), true
}

// downSince returns the earliest time at which a worker that has restarted may have crashed.
func (w *worker) downSince() time.Duration {
	if w.silentSince != 0 {
		return w.lostAt
	}

	return w.clockAt
}

// handleLoss logs the runs that a restarted worker has lost. After a crash, it notes under
// which runs it happened. They count only once it is known that they have ended: the new
// incarnation may have received the start of one.
func (e *Engine) handleLoss(w *worker, cause lossCause, incarnation int64) {
	e.logLostRuns(w, cause, incarnation)
	if cause != lostByCrash {
		return
	}
	for _, m := range w.members() {
		if m.phase != planned && m.phase != starting && !m.lost {
			m.crash = e.crashedRun(m, incarnation)
		}
	}
}

// handleExpiry logs the runs that a worker has lost because its lease expired. It is a crash
// if another worker is listed at its address meanwhile, even if that one cannot be reached.
func (e *Engine) handleExpiry(w *worker) {
	if next := e.successor(w.Host, w.ID, w.Incarnation); next != nil {
		e.handleLoss(w, e.restartCause(w, w.Draining), next.Incarnation)

		return
	}
	e.logLostRuns(w, lostByLease, 0)
}

// successor returns the listed worker that has replaced another one at its address, or nil.
func (e *Engine) successor(host, id string, incarnation int64) *worker {
	if host == "" || incarnation == 0 {
		return nil
	}
	for _, o := range e.workers {
		if o.listed && o.Host == host && o.ID != id && o.Incarnation > incarnation {
			return o
		}
	}

	return nil
}

// crashedRun describes the run of a member at the crash of its worker, whose next incarnation has the given
// start time, if that is known.
func (e *Engine) crashedRun(m *member, born int64) *crash.Run {
	r := &crash.Run{Number: m.unit.run, Age: -1, LongRunning: m.unit.job.Steps[m.unit.step].LongRunning}
	if age, ok := m.ageAtLoss(); ok {
		r.Age = age
	}
	if assigned := m.unit.job.crashes[m.task()].Assigned; assigned != 0 {
		back := e.Now().UnixMilli()
		if born > assigned {
			back = min(back, born)
		}
		r.UntilReturn = time.Duration(back-assigned) * time.Millisecond
	}
	r.Unanswered = m.sentAt != 0 && m.began == 0
	r.Outlasted = m.began != 0 && m.worker.downSince()-m.began >= crash.Probation

	return r
}

// markCrashBefore notes a crash under a run that a previous planner has started: its worker
// has a newer incarnation than on record, or another worker is listed at its address.
func (e *Engine) markCrashBefore(m *member, t *work.TaskState) {
	if t.Incarnation == 0 {
		return
	}
	w, before := m.worker, t.Incarnation
	born := w.Incarnation
	if next := e.successor(m.unit.job.crashes[m.task()].Host, t.Worker, before); next != nil {
		born = next.Incarnation
	}
	if born <= before {
		return
	}
	cause := e.restartCause(w, false)
	e.Log.Warn().Str("event", "runs-lost").Str("worker", w.ID).Str("cause", string(cause)).Int64("before", before).
		Int64("born", born).Str("runs", m.describe()).Msg("")
	if cause == lostByCrash {
		m.crash = e.crashedRun(m, born)
	}
}

// recordAssignment records when a task is assigned, and the address of its worker, if workers have crashed
// under the task: a later planner may no longer find the worker in the list.
func (e *Engine) recordAssignment(j *job, t work.Task, w *worker) {
	if c, ok := j.crashes[t]; ok {
		c.Host, c.Assigned = w.Host, e.Now().UnixMilli()
		j.crashes[t] = c
	}
}

// countCrash counts a crash of the worker under a member's run, and fails the job if the
// member's task is to blame. The count becomes durable together with the end of the run.
func (e *Engine) countCrash(m *member) {
	u, j := m.unit, m.unit.job
	if u.orphan || u.done || j.Phase.Final() || j.Occurs[u.occur].Ended || m.state().Phase == work.Done {
		return
	}
	if j.crashes == nil {
		j.crashes = work.Crashes{}
	}
	if m.crash == nil {
		if m.inherited && !m.worker.listed { // it may have crashed; the next start is recorded with its address
			j.crashes[m.task()] = j.crashes[m.task()]
		}

		return
	}
	count, counted := crash.Count(j.crashes[m.task()], *m.crash)
	if !counted {
		return
	}
	j.crashes[m.task()], j.crashedAt = count, e.SinceBoot()
	e.Log.Warn().Str("event", "crash-counted").Str("id", j.ID).Str("unit", u.name).Int("task", m.index).Int64("run", u.run).
		Str("worker", m.worker.ID).Bool("suspect", m.crash.Suspect()).Int("crashes", len(count.Runs)).Int("blamed", count.Blamed).Msg("")
	e.writer.put(j, nil)
	if !crash.GiveUp(count) {
		return
	}
	e.Log.Info().Str("event", "job-failed").Str("id", j.ID).Str("unit", u.name).Int("task", m.index).Int("crashes", len(count.Runs)).
		Int("blamed", count.Blamed).Dur("age", e.SinceBoot()-j.acceptedAt).Msg("")
	m.state().Phase = work.GivenUp
	e.endJob(j, work.Failed)
}

// restoreCrashes applies the crash records of all jobs. It deletes those of jobs that are no
// longer on record: a planner of an earlier version does not delete them.
func (e *Engine) restoreCrashes(records map[string][]byte) {
	for id, b := range records {
		j := e.jobs[id]
		_, unmatched := e.unmatchedProgress[id]
		switch {
		case j != nil:
			e.contain("crash record", id, func() { e.applyCrashes(j, b) })
		case unmatched:
			e.unmatchedCrashes[id] = b
		default:
			e.writer.putRecord(work.Key(work.CrashRecord, id), nil, func(error) {})
		}
	}
}

// applyCrashes applies the crash record that a previous planner wrote for a job.
func (e *Engine) applyCrashes(j *job, b []byte) {
	j.crashesStored = true
	c, err := work.DecodeCrashes(b, j.ID)
	if err != nil {
		e.Log.Error().Str("event", "record-unreadable").Str("id", j.ID).Err(err).Msg("")
		c = work.SuspectAll(&j.Job, j.Progress)
	}
	j.crashes, j.crashedAt = c, e.SinceBoot()
}
