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
	// Interval between searches for runs to move or to copy.
	reviewInterval = 500 * time.Millisecond
	// A worker whose runs make no progress receives no starts for this long.
	stallBackoff = 4 * time.Second
	// A worker counts as slow for this long after a slow run.
	slowPeriod = 5 * time.Second
	// Weight of the newest gang run in a worker's base slowdown. It is higher than taskWeight,
	// because the members of a gang do equal work.
	gangWeight = 0.3
	// Weight of the newest run outside a gang, which is compared with the other tasks of its step.
	taskWeight = 0.2
	// Least number of runs of a step whose median counts as the usual run time.
	minMedianPeers = 4
	// Least number of runs, including the one compared, in a comparison of run times.
	minPeers = 2
	// Upper bound of a worker's base slowdown; its inverse is the lower bound.
	maxBaseSlowdown = 4.0
	// A checkpoint is restored at the latest this long after RestoreTime has passed.
	restoreSlack = 500 * time.Millisecond
	// Runs with checkpoints are stopped this long before a draining worker may leave.
	leaveMargin = 500 * time.Millisecond
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

// recordProgress adds a reading of a running member's progress. The reading has the time of
// the worker's clock, so the transmission time of the report does not distort the rate.
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

// assessWorker detects from the progress of a worker's runs whether it is stalled or slow.
func (e *Engine) assessWorker(w *worker) {
	stalled, moving := 0, 0
	var runs []straggler.RunSlowdown
	for _, m := range w.members() {
		if m.phase != running || !m.tracking || m.unit.orphan || m.isBestEffort() || m.unit.job.Steps[m.unit.step].LongRunning {
			continue
		}
		baseline := e.runTimeBaseline(m)
		baseline.Length = time.Duration(float64(baseline.Length) * m.worker.speedRatio())
		switch {
		case m.track.Stalled(baseline.Length):
			stalled++
		case m.track.HasRate():
			moving++
			r := straggler.RunSlowdown{Job: m.unit.job.ID, SameJob: baseline.SameJob}
			r.Factor, r.Certain = m.track.Slowdown(baseline)
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

// markStalled excludes the worker from new placements for stallBackoff.
func (e *Engine) markStalled(w *worker, now time.Duration) {
	if now >= w.stalledUntil {
		e.Log.Warn().Str("event", "worker-still").Str("worker", w.ID).Int("runs", len(w.runs)).Msg("")
	}
	w.stalledUntil = now + stallBackoff
}

// markSlow sets the temporary slowdown of the worker for slowPeriod.
func (e *Engine) markSlow(w *worker, factor float64, now time.Duration) {
	if now >= w.slowUntil {
		e.Log.Warn().Str("event", "worker-slow").Str("worker", w.ID).Float64("factor", factor).Int("runs", len(w.runs)).Msg("")
	}
	w.currentSlowdown, w.slowUntil = factor, now+slowPeriod
}

// runTimeBaseline returns the run time of a member's task on a usual worker, as a baseline for its
// progress. It is estimated from the other members of its gang, which do equal work, else
// from the other tasks of its step, else from its queue.
func (e *Engine) runTimeBaseline(m *member) straggler.Baseline {
	var gangLengths []time.Duration
	for _, o := range m.unit.members {
		if l := o.track.Length(); o != m && l > 0 {
			gangLengths = append(gangLengths, time.Duration(float64(l)/o.worker.speedRatio()))
		}
	}
	if len(gangLengths) > 0 {
		slices.Sort(gangLengths)

		return straggler.Baseline{Length: gangLengths[len(gangLengths)/2], EqualWork: true}
	}
	if l := e.peerRunTimes[m.unit.stepKey()]; len(l) >= minMedianPeers {
		return straggler.Baseline{Length: l[len(l)/2], SameJob: true}
	}
	if measured := e.runTimes[m.unit.job.Queue]; measured != nil && measured.runs >= minLearnedRuns {
		return straggler.Baseline{Length: e.expectedRunTime(m.unit.job, m.unit.step)}
	}

	return straggler.Baseline{} // a declared run time is too inaccurate to detect a slow worker
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
			l = time.Duration(float64(l) / u.members[0].worker.speedRatio())
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
		return w.factor() * w.currentSlowdown
	}

	return w.factor()
}

// updateBaseSlowdowns updates the base slowdown of a completed unit's workers. Each run time
// is compared with the mean of the other members of the gang, or of the other tasks of
// the step.
func (e *Engine) updateBaseSlowdowns(u *unit) {
	sum, n, weight := 0.0, 0, gangWeight
	if !u.job.Steps[u.step].Gang {
		weight = taskWeight
		t := u.job.doneRunTimes[occurStep{u.occur, u.step}]
		sum, n = t.sum, t.n
	}
	for _, m := range u.members {
		if l := m.normalizedRunTime(e.SinceBoot()); l > 0 {
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
		l := m.normalizedRunTime(now)
		if l == 0 || now < m.worker.slowUntil {
			continue
		}
		others := (sum - l.Seconds()) / float64(n-1)
		slow := m.worker.baseSlowdown * math.Pow(l.Seconds()/others, weight)
		m.worker.baseSlowdown = min(maxBaseSlowdown, max(1/maxBaseSlowdown, slow))
	}
}

// moveRuns stops runs that would end sooner on another worker with room for them, so that
// they restart there. It also starts speculative copies.
func (e *Engine) moveRuns() {
	now := e.SinceBoot()
	if now < e.reviewedAt+reviewInterval {
		return
	}
	e.reviewedAt = now
	e.reviewSpeeds(now)
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
			if e.mustStopBeforeLeaving(m, now) || len(e.findPlacesElsewhere(m.unit, f)) > 0 {
				e.abort(m.unit, "moved")
				e.Count("moves", 1)
			}
		}
	}
}

// workersToLeave returns the names of the draining, slow and stalled workers that have runs.
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

// shouldMove reports whether a member's run should be moved, because it would end sooner
// elsewhere or because its worker will leave before it ends.
func (e *Engine) shouldMove(m *member, now time.Duration) bool {
	u := m.unit
	if m.phase != running || u.orphan || u.aborted || u.done || (m.isBestEffort() && !m.worker.Draining) {
		return false
	}
	st := &u.job.Steps[u.step]
	if st.LongRunning {
		return m.worker.Draining
	}
	r := straggler.Run{Track: &m.track, Length: e.runTimeBaseline(m).Length, Checkpoints: st.Checkpoints, LeavesIn: -1}
	if r.Length == 0 {
		r.Length = e.expectedRunTime(u.job, u.step)
	}
	if m.worker.Draining {
		r.LeavesIn = max(0, m.worker.staysUntil-now)
	}
	if e.fleetSpeed.Uneven {
		e.addObjective(&r, u)
	}

	return r.ShouldMove()
}

// addObjective adds what tells whether the unit's job ends within its objective.
func (e *Engine) addObjective(r *straggler.Run, u *unit) {
	in := e.rankInputs(u.job, u.occur, false)
	r.Elapsed, r.Objective = in.Waited, in.Objective
	r.Following = max(0, in.Remaining-e.expectedRunTime(u.job, u.step))
}

// mustStopBeforeLeaving reports whether a run must be stopped now to keep its progress, even
// if there is no room for it elsewhere: it writes checkpoints and its worker is about to leave.
func (e *Engine) mustStopBeforeLeaving(m *member, now time.Duration) bool {
	return m.worker.Draining && m.unit.job.Steps[m.unit.step].Checkpoints && now >= m.worker.staysUntil-leaveMargin
}

// findPlacesElsewhere returns placements with which a unit could restart at once, and
// subtracts their capacity from the snapshot. It returns nil if not all tasks fit.
func (e *Engine) findPlacesElsewhere(u *unit, f *fleetSnapshot) []placement.Placement {
	st := &u.job.Steps[u.step]
	tasks := make([]int, 0, len(u.members))
	for _, m := range u.members {
		tasks = append(tasks, m.index)
	}
	c := candidate{job: u.job, occur: u.occur, step: u.step, unit: e.toPlacementUnit(u.job, u.occur, u.step, tasks)}
	if a := e.adviceByStep[stepName(u.job, u.occur, u.step)]; a != nil {
		c.tickets = e.validTickets(a)
	}
	e.addConstraints(&c, f)
	free := make([]work.Shape, len(f.workers))
	for i := range f.workers {
		free[i] = f.workers[i].Free
	}
	if !st.Speculative {
		c.unit.Placed = nil // the unit's current runs end before the new ones start, so they do not count
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
