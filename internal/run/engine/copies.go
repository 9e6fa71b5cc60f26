package engine

import (
	"time"

	"sesameyoke/internal/core/watch"
	"sesameyoke/internal/core/work"
)

const (
	copySuffix   = "+"
	copyGain     = 1.5                     // a copy must be expected to end so much sooner
	copyAfter    = 1500 * time.Millisecond // of work, so that its rate is known
	copyAttempts = 3                       // of the queue at least: both runs may fail
)

// copySlow starts copies of slow tasks whose step allows that, where room is free.
// The first run that is done counts.
func (e *Engine) copySlow() {
	now := e.Boot()
	for _, u := range e.units {
		if !e.wantsCopy(u, now) {
			continue
		}
		f := e.fleet()
		if p := e.placeElsewhere(u, f); len(p) > 0 {
			e.startCopy(u, e.workers[f.names[p[0].Worker]])
		}
	}
}

// wantsCopy reports whether a copy of a unit is allowed and would end much sooner.
func (e *Engine) wantsCopy(u *unit, now time.Duration) bool {
	st := &u.job.Steps[u.step]
	if !st.Speculative || st.Gang || st.Lasting || u.orphan || u.aborted || u.done || u.twin != nil || len(u.members) != 1 {
		return false
	}
	m := u.members[0]
	if m.phase != running || m.began == 0 || now-m.began < copyAfter || !e.mayFailTwice(m) {
		return false
	}
	length := e.usual(m).Length
	if length == 0 {
		length = e.runOf(u.job, u.step)
	}
	r := watch.Run{Track: &m.track, Length: length, Saves: st.Checkpoints, Leaves: -1}

	return length > 0 && float64(r.Left()) > copyGain*float64(r.Again())
}

// mayFailTwice reports whether a task has attempts left for two more failures.
func (e *Engine) mayFailTwice(m *member) bool {
	q := e.rules(m.unit.job.Queue)

	return m.state().Fails == 0 && (q.Attempts == 0 || q.Attempts >= copyAttempts)
}

// startCopy runs a unit's task on another worker besides.
func (e *Engine) startCopy(u *unit, w *worker) {
	m := u.members[0]
	t := m.state()
	c := &unit{name: u.name + copySuffix, job: u.job, occur: u.occur, step: u.step, run: t.Run + 1, saved: u.bestSaved(), began: e.Boot(), twin: u}
	u.twin = c
	e.units[c.name] = c
	t.Run, t.Worker, t.Born = c.run, w.ID, w.Born
	e.occupy(&member{unit: c, index: m.index, worker: w, from: c.saved, saved: c.saved})
	e.Log.Info().Str("event", "copy-placed").Str("id", u.job.ID).Str("unit", u.name).Int64("run", c.run).Str("worker", w.ID).
		Int("percent", m.track.Percent()).Msg("")
	e.Count("copies", 1)
	e.writer.put(u.job, func(err error) {
		if err != nil {
			e.abort(c, "not durable")

			return
		}
		e.sendStart(c.members[0])
	})
}

// counts reports whether an end of a unit's run decides about its task: it is the
// newest run, or one of two copies.
func (u *unit) counts(t *work.TaskState) bool {
	if u.twin != nil {
		return t.Phase != work.Done && t.Phase != work.GivenUp
	}

	return t.Run == u.run && t.Phase == work.Assigned
}

// dropTwin stops the other copy of a task that is done.
func (e *Engine) dropTwin(u *unit) {
	if u.twin == nil {
		return
	}
	e.abort(u.twin, "a copy is done")
	u.twin.done = true
}
