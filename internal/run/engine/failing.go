package engine

import (
	"maps"
	"time"

	"sesameyoke/internal/core/straggler"
	"sesameyoke/internal/peer/target"
)

// With so many tasks that have failed, a job's delays that have passed are dropped: recurring jobs
// fail new tasks for as long as they last.
const maxBackoffs = 1000

// taskKey identifies a task of a job, or a gang by its first task.
type taskKey struct {
	occurStep

	index int
}

// taskKey returns the key of a unit's task or gang.
func (u *unit) taskKey() taskKey {
	return u.job.taskKey(u.occur, u.step, u.members[0].index)
}

func (j *job) taskKey(occur, step, index int) taskKey {
	if j.Steps[step].Gang {
		index = 0
	}

	return taskKey{occurStep{occur, step}, index}
}

// recordOutcome adds the end of a member's run to the evidence about its worker. How long the run
// lived, or when it was accepted, is not known if a previous planner has sent the start: then it
// lived long, and was accepted before the takeover.
func (e *Engine) recordOutcome(m *member, how target.How) {
	now, w := e.SinceBoot(), m.worker
	lived, accepted := straggler.LivedLong, e.began
	if at := m.startedAt(); at != 0 {
		lived, accepted = now-at, at
	}
	switch how {
	case target.Done:
		w.failures.Accepted(accepted)
	case target.Failed:
		if w.failures.Fail(now, lived, m.unit.job.ID, m.unit.job.failedElsewhere(w.ID)) {
			e.Count("workers_suspected", 1)
			e.Log.Warn().Str("event", "worker-suspect").Str("worker", w.ID).Str("id", m.unit.job.ID).Str("unit", m.unit.name).
				Dur("lived", lived).Int("runs", len(w.runs)).Msg("")
		}
	}
}

// recordLiving adds to the evidence about a worker that it has reported a run as running.
func (e *Engine) recordLiving(m *member) {
	if at := m.startedAt(); at != 0 && e.SinceBoot()-at >= straggler.LivedLong {
		m.worker.failures.Accepted(at)
	}
}

// delayRetry delays the next start of a unit's task, or of its gang, after a failure.
func (e *Engine) delayRetry(u *unit) {
	j, now := u.job, e.SinceBoot()
	if j.backoffs == nil {
		j.backoffs = map[taskKey]*straggler.Backoff{}
	}
	if len(j.backoffs) >= maxBackoffs {
		maps.DeleteFunc(j.backoffs, func(_ taskKey, b *straggler.Backoff) bool { return now >= b.Until() })
	}
	b := j.backoffs[u.taskKey()]
	if b == nil {
		b = &straggler.Backoff{}
		j.backoffs[u.taskKey()] = b
	}
	b.Fail(now)
	e.Count("retries_delayed", 1)
	time.AfterFunc(b.Until()-now, e.requestPass)
}

// retryable returns those of a step's waiting tasks whose delay after a failure has passed.
func (j *job) retryable(occur, step int, tasks []int, now time.Duration) []int {
	if len(j.backoffs) == 0 {
		return tasks
	}
	var due []int
	for _, i := range tasks {
		if b := j.backoffs[j.taskKey(occur, step, i)]; b == nil || now >= b.Until() {
			due = append(due, i)
		}
	}

	return due
}

// placeable returns those of a step's waiting tasks that may be placed now.
func (e *Engine) placeable(j *job, occur, step int, tasks []int) []int {
	tasks = j.retryable(occur, step, tasks, e.SinceBoot())

	return j.trustedFirst(occur, step, e.lastAttemptsLast(j, occur, step, tasks))
}

// lastAttemptsLast returns those of a step's waiting tasks that may be placed now: tasks on their
// last attempt, for which fewer workers will do, follow once all others are placed.
func (e *Engine) lastAttemptsLast(j *job, occur, step int, tasks []int) []int {
	if j.Steps[step].Gang {
		return tasks
	}
	var others []int
	for _, i := range tasks {
		if !e.isLastAttempt(j, occur, step, i) {
			others = append(others, i)
		}
	}
	if len(others) == 0 {
		return tasks
	}

	return others
}

// isLastAttempt reports whether one more failure of a task fails its job.
func (e *Engine) isLastAttempt(j *job, occur, step, index int) bool {
	if j.Steps[step].LongRunning {
		return false // its tasks start again however often they fail
	}
	attempts := e.queuePolicy(j.Queue).Attempts
	fails := j.Occurs[occur].Steps[step][index].Failures

	return attempts > 0 && fails > 0 && fails >= attempts-1
}

// avoidUnproven excludes workers from the placement of a candidate on its last attempt unless they
// have accepted a run that proved sound, and failed none since. If it is overdue, it may start on
// workers without evidence.
func (e *Engine) avoidUnproven(c *candidate, f *fleetSnapshot) {
	now := e.SinceBoot()
	unproven, failing := map[int]bool{}, map[int]bool{}
	for i, name := range f.names {
		if !e.workers[name].failures.Proven() {
			unproven[i] = true
		}
		if e.workers[name].failures.FailedSince(now) {
			failing[i] = true
		}
	}
	before := c.unit.Avoid
	a := straggler.LastAttempt{
		Waited: now - e.lastFailureOf(c), Objective: e.rankInputs(c.job, c.occur, false).Objective,
		CouldHold: e.avoidIfPossible(c, f, unproven), Planning: now - e.began,
	}
	c.unit.Avoid = before
	if a.MayWait() && e.avoidIfPossible(c, f, failing) {
		c.unit.Avoid, c.unit.Exclude = before, failing
	}
	if a.OnlyProven() {
		c.unit.Avoid = union(before, unproven)
	}
}

// lastFailureOf returns when a task of the candidate last failed, or else when this planner took
// over.
func (e *Engine) lastFailureOf(c *candidate) time.Duration {
	last := e.began
	for _, i := range c.unit.Tasks {
		if b := c.job.backoffs[c.job.taskKey(c.occur, c.step, i)]; b != nil {
			last = max(last, b.Last())
		}
	}

	return last
}
