package engine

import (
	"math"
	"slices"
	"time"

	"sesameyoke/internal/core/assign"
	"sesameyoke/internal/core/watch"
	"sesameyoke/internal/core/work"
)

const (
	reviewEvery  = 500 * time.Millisecond // between looks for runs that would end sooner elsewhere
	stillRest    = 4 * time.Second        // a worker on which a run stood still gets no starts for so long
	slowRest     = 5 * time.Second        // a worker is taken for slow for so long after a slow run
	gangWeight   = 0.3                    // of the newest gang in a worker's speed: its members do equal work
	soloWeight   = 0.2                    // of the newest single run, against the others of its step
	mostlyEqual  = 4                      // runs of a step from which their median is a usual run time
	minPeers     = 2                      // runs that a comparison needs
	speedBound   = 4.0                    // and its inverse bound a worker's speed
	restoreSlack = 500 * time.Millisecond // a checkpoint is restored so long after the announced time at most
	lastMoment   = 500 * time.Millisecond // before a draining worker may leave, what saves is stopped
)

type (
	// stepOf names a step of one occurrence.
	stepOf struct{ occur, step int }

	// stepKey names a step of one occurrence of a job.
	stepKey struct {
		job *job
		stepOf
	}

	// tally is the run times of tasks that are done, in seconds on a usual worker.
	tally struct {
		sum float64
		n   int
	}
)

// progressed takes in a running member's progress at a time of its worker's clock,
// which does not depend on how long the report was on its way.
func (e *Engine) progressed(m *member, percent int) {
	r := watch.Reading{At: time.Duration(m.worker.clock) * time.Millisecond, Percent: percent}
	if m.tracked {
		m.track.Add(r)

		return
	}
	if m.from != "" && e.Boot() < m.began+e.Timing.Restore+restoreSlack {
		return // its progress jumps once the checkpoint is restored
	}
	m.track.Start(r)
	m.tracked = true
}

// trackFrom begins the track of a run that has just started without a checkpoint.
func (e *Engine) trackFrom(m *member, clock int64) {
	if m.from == "" && clock > 0 {
		m.track.Start(watch.Reading{At: time.Duration(clock) * time.Millisecond})
		m.tracked = true
	}
}

// judgeWorker takes in what a report tells of a worker's condition.
func (e *Engine) judgeWorker(w *worker) {
	still, moving := 0, 0
	var runs []watch.Evidence
	for _, m := range w.all() {
		if m.phase != running || !m.tracked || m.unit.orphan || m.fills() || m.unit.job.Steps[m.unit.step].Lasting {
			continue
		}
		u := e.usual(m)
		switch {
		case m.track.Still(u.Length):
			still++
		case m.track.Known():
			moving++
			r := watch.Evidence{Job: m.unit.job.ID, Peers: u.Peers}
			r.Factor, r.Sure = m.track.Slow(u)
			runs = append(runs, r)
		}
	}
	now := e.Boot()
	if still > 0 && moving == 0 {
		e.noteStill(w, now)
	} else if moving > 0 {
		w.stillUntil = 0
	}
	if slow := watch.Slowness(runs); slow > 1 {
		e.noteSlow(w, slow, now)
	} else if moving > 0 {
		w.slowUntil = 0
	}
}

func (e *Engine) noteStill(w *worker, now time.Duration) {
	if now >= w.stillUntil {
		e.Log.Warn().Str("event", "worker-still").Str("worker", w.ID).Int("runs", len(w.runs)).Msg("")
	}
	w.stillUntil = now + stillRest
}

func (e *Engine) noteSlow(w *worker, factor float64, now time.Duration) {
	if now >= w.slowUntil {
		e.Log.Warn().Str("event", "worker-slow").Str("worker", w.ID).Float64("factor", factor).Int("runs", len(w.runs)).Msg("")
	}
	w.slowNow, w.slowUntil = factor, now+slowRest
}

// usual returns the usual run time of a member's task: that of its gang, which
// does equal work, of its step's other tasks, or of its queue.
func (e *Engine) usual(m *member) watch.Usual {
	var mates []time.Duration
	for _, o := range m.unit.members {
		if l := o.track.Length(); o != m && l > 0 {
			mates = append(mates, l)
		}
	}
	if len(mates) > 0 {
		slices.Sort(mates)

		return watch.Usual{Length: mates[len(mates)/2], Sure: true}
	}
	if l := e.peers[m.unit.stepKey()]; len(l) >= mostlyEqual {
		return watch.Usual{Length: l[len(l)/2], Peers: true}
	}
	if l := e.learnt[m.unit.job.Queue]; l != nil && l.runs >= learnFrom {
		return watch.Usual{Length: e.runOf(m.unit.job, m.unit.step)}
	}

	return watch.Usual{} // declared run times are too far off to judge a worker by
}

func (u *unit) stepKey() stepKey { return stepKey{u.job, stepOf{u.occur, u.step}} }

// comparePeers collects the run times that the runs of each step are on course for,
// the shortest first.
func (e *Engine) comparePeers() {
	e.peers = map[stepKey][]time.Duration{}
	for _, u := range e.units {
		st := &u.job.Steps[u.step]
		if st.Gang || st.Lasting || st.Fills || st.Count < mostlyEqual || len(u.members) == 0 {
			continue
		}
		if l := u.members[0].track.Length(); l > 0 {
			key := u.stepKey()
			e.peers[key] = append(e.peers[key], l)
		}
	}
	for _, l := range e.peers {
		slices.Sort(l)
	}
}

// slowness is how much longer than usual a worker takes.
func (w *worker) slowness(now time.Duration) float64 {
	if now < w.slowUntil {
		return w.slow * w.slowNow
	}

	return w.slow
}

// learnSpeeds takes in how fast the workers of a unit that is done were, against
// the others of its gang or of its step.
func (e *Engine) learnSpeeds(u *unit) {
	sum, n, weight := 0.0, 0, gangWeight
	if !u.job.Steps[u.step].Gang {
		weight = soloWeight
		t := u.job.lengths[stepOf{u.occur, u.step}]
		sum, n = t.sum, t.n
	}
	for _, m := range u.members {
		if l := m.took(e.Boot()); l > 0 {
			sum += l.Seconds()
			n++
		}
	}
	if !u.job.Steps[u.step].Gang {
		u.job.lengths[stepOf{u.occur, u.step}] = tally{sum, n}
	}
	if n < minPeers {
		return
	}
	now := e.Boot()
	for _, m := range u.members {
		l := m.took(now)
		if l == 0 || now < m.worker.slowUntil {
			continue
		}
		others := (sum - l.Seconds()) / float64(n-1)
		slow := m.worker.slow * math.Pow(l.Seconds()/others, weight)
		m.worker.slow = min(speedBound, max(1/speedBound, slow))
	}
}

// review stops runs that end sooner elsewhere, where there is room for them.
func (e *Engine) review() {
	now := e.Boot()
	if now < e.reviewed+reviewEvery {
		return
	}
	e.reviewed = now
	e.comparePeers()
	e.copySlow()
	var f *fleet
	seen := map[*unit]bool{}
	for _, name := range e.troubled(now) {
		for _, m := range e.workers[name].all() {
			if seen[m.unit] || !e.better(m, now) {
				continue
			}
			seen[m.unit] = true
			if f == nil {
				f = e.fleet()
			}
			if e.lastChance(m, now) || len(e.placeElsewhere(m.unit, f)) > 0 {
				e.abort(m.unit, "moved")
				e.Count("moves", 1)
			}
		}
	}
}

// troubled lists the workers that drain, are slow or stand still.
func (e *Engine) troubled(now time.Duration) []string {
	var names []string
	for name, w := range e.workers {
		if w.reached && w.silent == 0 && len(w.runs) > 0 && (w.Draining || now < w.stillUntil || now < w.slowUntil) {
			names = append(names, name)
		}
	}
	slices.Sort(names)

	return names
}

// better reports whether a member's unit would end sooner if it moved.
func (e *Engine) better(m *member, now time.Duration) bool {
	u := m.unit
	if m.phase != running || u.orphan || u.aborted || u.done || (m.fills() && !m.worker.Draining) {
		return false
	}
	st := &u.job.Steps[u.step]
	if st.Lasting {
		return m.worker.Draining
	}
	r := watch.Run{Track: &m.track, Length: e.usual(m).Length, Saves: st.Checkpoints, Leaves: -1}
	if r.Length == 0 {
		r.Length = e.runOf(u.job, u.step)
	}
	if m.worker.Draining {
		r.Leaves = max(0, m.worker.leaves-now)
	}

	return r.Move()
}

// lastChance reports whether a run is to be saved though no room is free for it.
func (e *Engine) lastChance(m *member, now time.Duration) bool {
	return m.worker.Draining && m.unit.job.Steps[m.unit.step].Checkpoints && now >= m.worker.leaves-lastMoment
}

// placeElsewhere returns places where a unit could start again at once, and takes
// that room from the fleet; none if there are not enough.
func (e *Engine) placeElsewhere(u *unit, f *fleet) []assign.Placement {
	st := &u.job.Steps[u.step]
	tasks := make([]int, 0, len(u.members))
	for _, m := range u.members {
		tasks = append(tasks, m.index)
	}
	c := candidate{job: u.job, occur: u.occur, step: u.step, unit: e.unitOf(u.job, u.occur, u.step, tasks)}
	if a := e.advised[stepName(u.job, u.occur, u.step)]; a != nil {
		c.allow = a.tickets
	}
	e.localize(&c, f)
	free := make([]work.Shape, len(f.workers))
	for i := range f.workers {
		free[i] = f.workers[i].Free
	}
	if !st.Speculative {
		c.unit.Placed = nil // its own runs end
		for _, m := range u.members {
			if i, ok := f.index[m.worker.ID]; ok && m.phase != gone {
				f.workers[i].Free = f.workers[i].Free.Plus(room(st))
			}
		}
	}
	if p := assign.Decide(f.workers, []assign.Unit{c.unit}).Placements; len(p) == len(tasks) {
		return p
	}
	for i := range f.workers {
		f.workers[i].Free = free[i]
	}

	return nil
}
