package engine

import (
	"fmt"
	"time"

	"sesameyoke/internal/core/watch"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

// Phases of a member.
const (
	planned  memberPhase = iota // its start is not sent yet
	starting                    // its start has no answer yet
	unsure                      // its start got no answer
	running
	stopping
	gone
)

type (
	memberPhase int

	// unit is one run of a gang, or of a single task.
	unit struct {
		name    string
		job     *job
		occur   int
		step    int
		run     int64
		members []*member
		left    int // members that may still hold capacity
		done    bool
		failed  bool
		aborted bool
		saved   string
		began   time.Duration
		orphan  bool  // nobody has asked for it
		twin    *unit // the other copy of a speculative task
	}

	// member is the run of one task.
	member struct {
		unit    *unit
		index   int
		worker  *worker
		phase   memberPhase
		settled time.Duration // a start or stop was answered at; reports asked for later must list the run
		halting bool          // a stop is being sent
		byOther bool          // the planner before has given the order, and is fenced
		saved   string
		from    string        // checkpoint that it resumed from
		ticket  string        // of the placement service
		began   time.Duration // its start was answered at, or it was first seen running
		saves   time.Duration // its newest checkpoint was seen at
		track   watch.Track
		tracked bool          // track has begun
		usage   int           // tail in milliseconds of a task that serves, else processor in use
		paced   int           // percent that the worker has confirmed; negative if not known
		pacing  bool          // an order on it is on its way
		starved time.Duration // has had no share since
	}
)

// unitName names the unit that a task's runs belong to.
func unitName(s *job, occur, step, index int) string {
	if s.Steps[step].Gang {
		return fmt.Sprintf("%s.%d.%d", s.ID, occur, step)
	}

	return fmt.Sprintf("%s.%d.%d.%d", s.ID, occur, step, index)
}

func (m *member) task() work.Task {
	return work.Task{Job: m.unit.job.ID, Occur: m.unit.occur, Step: m.unit.step, Index: m.index}
}

func (m *member) state() *work.TaskState {
	return &m.unit.job.Occurs[m.unit.occur].Steps[m.unit.step][m.index]
}

func (m *member) need() work.Shape { return room(&m.unit.job.Steps[m.unit.step]) }

// room is what a task takes of a worker's capacity.
func room(s *work.Step) work.Shape {
	need := s.Need
	if s.Fills {
		need.CPU = 0
	}

	return need
}

// occupy enters a member at its worker.
func (e *Engine) occupy(m *member) {
	m.unit.members = append(m.unit.members, m)
	m.unit.left++
	m.worker.runs[m.task()] = append(m.worker.runs[m.task()], m)
	m.worker.free = m.worker.free.Minus(m.need())
	m.worker.poke()
}

// release frees a member's capacity; the last one settles its unit.
func (e *Engine) release(m *member) {
	if m.phase == gone {
		return
	}
	m.phase = gone
	w := m.worker
	w.free = w.free.Plus(m.need())
	w.removeRun(m)
	u := m.unit
	u.left--
	if u.left == 0 {
		e.settleUnit(u)
	}
	e.kick()
}

// settleUnit records the outcome of a unit of which nothing runs any more.
func (e *Engine) settleUnit(u *unit) {
	if e.units[u.name] == u {
		delete(e.units, u.name)
	}
	s := u.job
	if u.done || u.orphan {
		return
	}
	saved := u.bestSaved()
	for _, m := range u.members {
		t := m.state()
		if t.Phase != work.Assigned || t.Run != u.run {
			continue
		}
		t.Phase = work.Waiting
		t.Saved = saved
	}
	e.writer.put(s, nil)
	e.kick()
}

// bestSaved returns the newest checkpoint of any member.
func (u *unit) bestSaved() string {
	best, at := u.saved, time.Duration(-1)
	for _, m := range u.members {
		if m.saved != "" && m.saved != m.from && m.saves > at {
			best, at = m.saved, m.saves
		}
	}

	return best
}

// fail counts a failed run once, for all tasks of its unit. The count must be
// durable before the worker forgets the end, whatever else of the unit runs on.
func (e *Engine) fail(u *unit) {
	if u.failed || u.done || u.orphan {
		return
	}
	u.failed = true
	for _, m := range u.members {
		t := m.state()
		if !u.counts(t) {
			continue
		}
		if t.Failed < u.run || u.twin != nil { // a planner before may have counted it
			t.Fails++
			t.Failed = max(t.Failed, u.run)
		}
		e.judge(u.job, u, t)
	}
	e.writer.put(u.job, nil)
}

// judge fails a job whose task has failed as often as its queue allows.
func (e *Engine) judge(s *job, u *unit, t *work.TaskState) {
	if s.Steps[u.step].Lasting || s.Phase.Final() {
		return
	}
	q := e.rules(s.Queue)
	if q.Attempts > 0 && t.Fails >= q.Attempts {
		e.Log.Info().Str("event", "job-failed").Str("id", s.ID).Str("unit", u.name).Int("fails", t.Fails).
			Int("attempts", q.Attempts).Dur("age", e.Boot()-s.accepted).Msg("")
		t.Phase = work.GivenUp
		e.finish(s, work.Failed)
	}
}

// succeed records that a unit is done. Lasting work starts again instead.
func (e *Engine) succeed(u *unit) {
	if u.done || u.orphan || u.job.Steps[u.step].Lasting {
		return
	}
	u.done = true
	for _, m := range u.members {
		if t := m.state(); u.counts(t) {
			t.Phase, t.Saved = work.Done, ""
		}
	}
	e.dropTwin(u)
	e.learn(u)
	e.learnSpeeds(u)
	e.advance(u.job, u.occur)
	e.writer.put(u.job, nil)
	e.kick()
}

// advance ends an occurrence, and its job, when all is done.
func (e *Engine) advance(s *job, occur int) {
	o := &s.Occurs[occur]
	if o.Ended || !o.Done() {
		return
	}
	o.Ended = true
	if s.Times > 0 {
		o.Steps = nil
	}
	if s.Phase.Final() || len(s.Occurs) < s.Occurrences() {
		return
	}
	for i := range s.Occurs {
		if !s.Occurs[i].Ended {
			return
		}
	}
	e.Log.Info().Str("event", "job-completed").Str("id", s.ID).Dur("age", e.Boot()-s.accepted).Msg("")
	s.Phase = work.Completed
	s.Ended = e.Now().UnixMilli()
}

// abort stops what runs of a unit.
func (e *Engine) abort(u *unit, why string) {
	if u.aborted || u.done {
		return
	}
	u.aborted = true
	e.Log.Info().Str("event", "unit-stopped").Str("id", u.job.ID).Str("unit", u.name).Int64("run", u.run).
		Str("why", why).Int("members", u.left).Dur("age", e.Boot()-u.began).Msg("")
	for _, m := range append([]*member(nil), u.members...) {
		e.halt(m)
	}
}

// halt ends one member, whatever is known of it.
func (e *Engine) halt(m *member) {
	switch m.phase {
	case planned:
		e.release(m)
	case starting, gone:
	case unsure, running, stopping:
		e.sendStop(m)
	}
}

// ended takes in the end of a member's run.
func (e *Engine) ended(m *member, how target.How, saved string) {
	u := m.unit
	if saved != "" {
		m.saved, m.saves = saved, e.Boot()
	}
	e.Log.Info().Str("event", "run-ended").Str("id", u.job.ID).Str("unit", u.name).Int("task", m.index).
		Int64("run", u.run).Str("how", string(how)).Str("worker", m.worker.ID).Dur("age", e.Boot()-u.began).Msg("")
	e.Count("ends_"+string(how), 1)
	m.worker.note(how, e.Boot(), u.job.failedElsewhere(m.worker.ID))
	switch how {
	case target.Done:
		e.succeed(u)
	case target.Failed:
		e.fail(u)
		u.job.avoid(m.worker.ID)
	case target.Stopped, target.Lapsed, target.Broken, target.Alone:
	default:
		e.Log.Warn().Str("event", "end-unknown").Str("unit", u.name).Str("how", string(how)).Msg("")
	}
	if how != target.Done && !u.done && len(u.members) > 1 {
		e.abort(u, "member ended "+string(how))
	}
	e.release(m)
}

// failedElsewhere reports whether the job has failed on other workers.
func (s *job) failedElsewhere(worker string) bool {
	for name := range s.bad {
		if name != worker {
			return true
		}
	}

	return false
}

// avoid remembers that a run of the job has failed on a worker.
func (s *job) avoid(worker string) {
	if s.bad == nil {
		s.bad = map[string]int{}
	}
	s.bad[worker]++
}
