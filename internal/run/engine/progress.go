package engine

import (
	"math"
	"slices"
	"time"

	"sesameyoke/internal/core/placement"
	"sesameyoke/internal/core/straggler"
	"sesameyoke/internal/core/work"
)

const (
	reviewInterval = 500 * time.Millisecond // interval between searches for runs that would end sooner elsewhere
	stallBackoff   = 4 * time.Second        // a worker whose runs make no progress receives no starts for this long
	slowPeriod     = 5 * time.Second        // a worker counts as slow for this long after a slow run
	gangWeight     = 0.3                    // weight of the newest gang in a worker's base slowdown; the members of a gang do equal work
	taskWeight     = 0.2                    // weight of the newest run outside a gang, which is compared with the others of its step
	minMedianPeers = 4                      // number of runs of a step from which their median counts as the usual run time
	minPeers       = 2                      // number of runs that a comparison needs
	speedBound     = 4.0                    // upper bound of a worker's base slowdown; its inverse is the lower bound
	restoreSlack   = 500 * time.Millisecond // a checkpoint is restored at the latest this long after the announced restore time
	drainStopLead  = 500 * time.Millisecond // runs with checkpoints are stopped this long before a draining worker may leave
)

type (
	// occurStep identifies a step of an occurrence within a job.
	occurStep struct{ occur, step int }

	// stepKey identifies a step of an occurrence of a job.
	stepKey struct {
		job *job
		occurStep
	}

	// runTimeSum sums the run times of completed tasks, in seconds on a worker of usual speed.
	runTimeSum struct {
		sum float64
		n   int
	}
)

// recordProgress adds a reading of a running member's progress. Its time is that of the
// worker's clock, because it does not depend on the report's transmission time.
func (e *Engine) recordProgress(m *member, percent int) {
	r := straggler.Reading{At: time.Duration(m.worker.clock) * time.Millisecond, Percent: percent}
	if m.tracking {
		m.track.Add(r)

		return
	}
	if m.resumedFrom != "" && e.SinceBoot() < m.began+e.Timing.RestoreTime+restoreSlack {
		return // progress jumps when the checkpoint is restored
	}
	m.track.Start(r)
	m.tracking = true
}

// startTrack starts the progress track of a run that has just started without a checkpoint.
func (e *Engine) startTrack(m *member, clock int64) {
	if m.resumedFrom == "" && clock > 0 {
		m.track.Start(straggler.Reading{At: time.Duration(clock) * time.Millisecond})
		m.tracking = true
	}
}

// assessWorker detects from a report whether the worker is stalled or slow.
func (e *Engine) assessWorker(w *worker) {
	stalled, moving := 0, 0
	var runs []straggler.RunSlowdown
	for _, m := range w.members() {
		if m.phase != running || !m.tracking || m.unit.orphan || m.isBestEffort() || m.unit.job.Steps[m.unit.step].LongRunning {
			continue
		}
		u := e.usualRunTime(m)
		switch {
		case m.track.Stalled(u.Length):
			stalled++
		case m.track.HasRate():
			moving++
			r := straggler.RunSlowdown{Job: m.unit.job.ID, SameJob: u.SameJob}
			r.Factor, r.Certain = m.track.Slowdown(u)
			runs = append(runs, r)
		}
	}
	now := e.SinceBoot()
	if stalled > 0 && moving == 0 {
		e.markStalled(w, now)
	} else if moving > 0 {
		w.stalledUntil = 0
	}
	if slow := straggler.WorkerSlowdown(runs); slow > 1 {
		e.markSlow(w, slow, now)
	} else if moving > 0 {
		w.slowUntil = 0
	}
}

func (e *Engine) markStalled(w *worker, now time.Duration) {
	if now >= w.stalledUntil {
		e.Log.Warn().Str("event", "worker-still").Str("worker", w.ID).Int("runs", len(w.runs)).Msg("")
	}
	w.stalledUntil = now + stallBackoff
}

func (e *Engine) markSlow(w *worker, factor float64, now time.Duration) {
	if now >= w.slowUntil {
		e.Log.Warn().Str("event", "worker-slow").Str("worker", w.ID).Float64("factor", factor).Int("runs", len(w.runs)).Msg("")
	}
	w.currentSlowdown, w.slowUntil = factor, now+slowPeriod
}

// usualRunTime returns the usual run time of a member's task. It is estimated from the
// other members of its gang, which do equal work, else from the other tasks of its
// step, else from its queue.
func (e *Engine) usualRunTime(m *member) straggler.Baseline {
	var gangLengths []time.Duration
	for _, o := range m.unit.members {
		if l := o.track.Length(); o != m && l > 0 {
			gangLengths = append(gangLengths, l)
		}
	}
	if len(gangLengths) > 0 {
		slices.Sort(gangLengths)

		return straggler.Baseline{Length: gangLengths[len(gangLengths)/2], EqualWork: true}
	}
	if l := e.peerRunTimes[m.unit.stepKey()]; len(l) >= minMedianPeers {
		return straggler.Baseline{Length: l[len(l)/2], SameJob: true}
	}
	if l := e.runTimes[m.unit.job.Queue]; l != nil && l.runs >= minLearnedRuns {
		return straggler.Baseline{Length: e.expectedRunTime(m.unit.job, m.unit.step)}
	}

	return straggler.Baseline{} // declared run times are too inaccurate to judge a worker by
}

func (u *unit) stepKey() stepKey { return stepKey{u.job, occurStep{u.occur, u.step}} }

// collectPeerRunTimes collects the projected run times of the current runs by step,
// in ascending order.
func (e *Engine) collectPeerRunTimes() {
	e.peerRunTimes = map[stepKey][]time.Duration{}
	for _, u := range e.units {
		st := &u.job.Steps[u.step]
		if st.Gang || st.LongRunning || st.BestEffort || st.Count < minMedianPeers || len(u.members) == 0 {
			continue
		}
		if l := u.members[0].track.Length(); l > 0 {
			key := u.stepKey()
			e.peerRunTimes[key] = append(e.peerRunTimes[key], l)
		}
	}
	for _, l := range e.peerRunTimes {
		slices.Sort(l)
	}
}

// slowdown returns how much longer than usual runs take on the worker now, as a factor.
func (w *worker) slowdown(now time.Duration) float64 {
	if now < w.slowUntil {
		return w.baseSlowdown * w.currentSlowdown
	}

	return w.baseSlowdown
}

// updateSpeeds updates the base slowdown of a completed unit's workers. Their run times
// are compared with those of the other members of the gang, or of the other tasks of
// the step.
func (e *Engine) updateSpeeds(u *unit) {
	sum, n, weight := 0.0, 0, gangWeight
	if !u.job.Steps[u.step].Gang {
		weight = taskWeight
		t := u.job.doneRunTimes[occurStep{u.occur, u.step}]
		sum, n = t.sum, t.n
	}
	for _, m := range u.members {
		if l := m.usualLength(e.SinceBoot()); l > 0 {
			sum += l.Seconds()
			n++
		}
	}
	if !u.job.Steps[u.step].Gang {
		u.job.doneRunTimes[occurStep{u.occur, u.step}] = runTimeSum{sum, n}
	}
	if n < minPeers {
		return
	}
	now := e.SinceBoot()
	for _, m := range u.members {
		l := m.usualLength(now)
		if l == 0 || now < m.worker.slowUntil {
			continue
		}
		others := (sum - l.Seconds()) / float64(n-1)
		slow := m.worker.baseSlowdown * math.Pow(l.Seconds()/others, weight)
		m.worker.baseSlowdown = min(speedBound, max(1/speedBound, slow))
	}
}

// moveRuns stops runs that would end sooner on another worker, if there is room for
// them elsewhere.
func (e *Engine) moveRuns() {
	now := e.SinceBoot()
	if now < e.reviewedAt+reviewInterval {
		return
	}
	e.reviewedAt = now
	e.collectPeerRunTimes()
	e.startCopies()
	var f *fleetSnapshot
	seen := map[*unit]bool{}
	for _, name := range e.workersToLeave(now) {
		for _, m := range e.workers[name].members() {
			if seen[m.unit] || !e.shouldMove(m, now) {
				continue
			}
			seen[m.unit] = true
			if f == nil {
				f = e.snapshotFleet()
			}
			if e.mustStopBeforeDrain(m, now) || len(e.findPlacesElsewhere(m.unit, f)) > 0 {
				e.abort(m.unit, "moved")
				e.Count("moves", 1)
			}
		}
	}
}

// workersToLeave returns the names of workers with runs that are draining, slow or stalled.
func (e *Engine) workersToLeave(now time.Duration) []string {
	var names []string
	for name, w := range e.workers {
		if w.reported && w.silentSince == 0 && len(w.runs) > 0 && (w.Draining || now < w.stalledUntil || now < w.slowUntil) {
			names = append(names, name)
		}
	}
	slices.Sort(names)

	return names
}

// shouldMove reports whether a member's unit would end sooner if it were moved.
func (e *Engine) shouldMove(m *member, now time.Duration) bool {
	u := m.unit
	if m.phase != running || u.orphan || u.aborted || u.done || (m.isBestEffort() && !m.worker.Draining) {
		return false
	}
	st := &u.job.Steps[u.step]
	if st.LongRunning {
		return m.worker.Draining
	}
	r := straggler.Run{Track: &m.track, Length: e.usualRunTime(m).Length, Checkpoints: st.Checkpoints, LeavesIn: -1}
	if r.Length == 0 {
		r.Length = e.expectedRunTime(u.job, u.step)
	}
	if m.worker.Draining {
		r.LeavesIn = max(0, m.worker.staysUntil-now)
	}

	return r.ShouldMove()
}

// mustStopBeforeDrain reports whether a run with checkpoints must be stopped now to keep
// its progress, even if there is no room for it elsewhere.
func (e *Engine) mustStopBeforeDrain(m *member, now time.Duration) bool {
	return m.worker.Draining && m.unit.job.Steps[m.unit.step].Checkpoints && now >= m.worker.staysUntil-drainStopLead
}

// findPlacesElsewhere returns placements on which a unit could restart at once and
// subtracts their capacity from the snapshot. It returns nil if not all tasks fit.
func (e *Engine) findPlacesElsewhere(u *unit, f *fleetSnapshot) []placement.Placement {
	st := &u.job.Steps[u.step]
	tasks := make([]int, 0, len(u.members))
	for _, m := range u.members {
		tasks = append(tasks, m.index)
	}
	c := candidate{job: u.job, occur: u.occur, step: u.step, unit: e.toPlacementUnit(u.job, u.occur, u.step, tasks)}
	if a := e.adviceByStep[stepName(u.job, u.occur, u.step)]; a != nil {
		c.tickets = a.tickets
	}
	e.addConstraints(&c, f)
	free := make([]work.Shape, len(f.workers))
	for i := range f.workers {
		free[i] = f.workers[i].Free
	}
	if !st.Speculative {
		c.unit.Placed = nil // the unit's current runs end first, so that they do not count
		for _, m := range u.members {
			if i, ok := f.index[m.worker.ID]; ok && m.phase != released {
				f.workers[i].Free = f.workers[i].Free.Plus(demand(st))
			}
		}
	}
	if p := placement.Decide(f.workers, []placement.Unit{c.unit}).Placements; len(p) == len(tasks) {
		return p
	}
	for i := range f.workers {
		f.workers[i].Free = free[i]
	}

	return nil
}
