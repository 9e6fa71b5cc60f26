package engine

import (
	"slices"
	"time"

	"sesameyoke/internal/core/placement"
	"sesameyoke/internal/core/straggler"
)

const (
	// Progress of a run that has ended, in percent.
	fullPercent = 100
	// Time until the end of a run that is being stopped, and least time left of any run.
	endingTime = 200 * time.Millisecond
	// A run that has exceeded its expected run time is expected to take 1/4 of its time so far.
	overrunDivisor = 4
	// A serving task counts as 1/2 of its worker's CPU in addition to its need, which keeps
	// best-effort tasks away.
	servingCPUDivisor = 2
)

// fleetSnapshot holds the workers as input of a placement decision.
type fleetSnapshot struct {
	names   []string       // sorted
	index   map[string]int // index in names and workers, by name
	workers []placement.Worker
	crashes bool               // workers have crashed under tasks of some active job
	used    map[string]float64 // share in use before the decision, by service, once it was asked for
}

// snapshotFleet collects the workers and the runs that could be preempted on them.
func (e *Engine) snapshotFleet() *fleetSnapshot {
	f := &fleetSnapshot{index: map[string]int{}, used: map[string]float64{}}
	for name := range e.workers {
		f.names = append(f.names, name)
	}
	slices.Sort(f.names)
	now := e.SinceBoot()
	barred := e.barred(now)
	guaranteed := e.guaranteedJobs()
	mayStop := e.stoppableTasks(guaranteed)
	for i, name := range f.names {
		f.index[name] = i
		pw := e.workers[name].toPlacementWorker(now)
		pw.Schedulable = pw.Schedulable && !barred[name]
		pw.ClaimedBy = e.claimingUnit(name, now)
		for _, m := range e.workers[name].members() {
			if t := e.toLimitedTask(m, guaranteed[m.unit.job]); t != nil {
				pw.Limited = append(pw.Limited, *t)
			}
			if !m.unit.job.Steps[m.unit.step].LongRunning || m.unit.aborted {
				pw.Runs = append(pw.Runs, e.toPlacementRun(m, guaranteed[m.unit.job], now))
			} else if n := mayStop[m.unit.stepKey()]; n > 0 {
				pw.Lasting = append(pw.Lasting, e.toLastingRun(m, guaranteed[m.unit.job], n))
			}
		}
		f.workers = append(f.workers, pw)
	}
	f.crashes = slices.ContainsFunc(e.active, func(j *job) bool { return len(j.crashes) > 0 })

	return f
}

// toPlacementWorker returns the worker as input of a placement decision.
func (w *worker) toPlacementWorker(now time.Duration) placement.Worker {
	return placement.Worker{
		Service: w.Service, Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity, Free: w.free,
		Schedulable: w.schedulable(now),
		Penalty:     w.failures.Penalty(now), Slowdown: w.slowdown(now), ColdFor: w.coldFor(now), NoBestEffort: now < w.noBestEffortUntil, CPUDemand: w.cpuDemand(),
	}
}

// schedulable reports whether the worker may receive runs now.
func (w *worker) schedulable(now time.Duration) bool {
	known := w.listed && w.reported && w.Host != ""
	healthy := w.silentSince == 0 && now >= w.refusingUntil && now >= w.stalledUntil

	return known && healthy && !w.Draining && !w.cordoned && !w.evacuated
}

// cpuDemand returns the CPU that the worker's runs would use, as a fraction of its CPU. It
// includes the CPU need of best-effort tasks, which reserve none.
func (w *worker) cpuDemand() float64 {
	wanted := 0
	for _, m := range w.members() {
		wanted += m.unit.job.Steps[m.unit.step].Need.CPU
		if m.isServing() {
			wanted += w.Capacity.CPU / servingCPUDivisor
		}
	}

	return float64(wanted) / float64(max(1, w.Capacity.CPU))
}

// claimingUnit returns the name of the unit that holds a claim on a worker, if any.
func (e *Engine) claimingUnit(name string, now time.Duration) string {
	c, ok := e.claims[name]
	if ok && now > c.until {
		delete(e.claims, name)

		return ""
	}

	return c.unit
}

// barred returns the workers that receive no runs because runs on them keep failing.
func (e *Engine) barred(now time.Duration) map[string]bool {
	records := make(map[string]*straggler.FailureRecord, len(e.workers))
	for name, w := range e.workers {
		records[name] = &w.failures
	}

	return straggler.Quarantine(records, now)
}

// toPlacementRun returns a member's run as input of a placement decision. Its lost
// work is that of the whole unit, because a gang ends with any of its members.
func (e *Engine) toPlacementRun(m *member, guaranteed bool, now time.Duration) placement.Run {
	u := m.unit
	priority := e.queuePolicy(u.job.Queue).Priority
	r := placement.Run{
		Group: u.name, Need: m.demand(), Priority: priority, Borrowed: priority == 0 && !guaranteed,
		Ending: u.aborted || u.done, Remaining: e.expectedRemaining(m, now),
	}
	for _, o := range u.members {
		r.LostWork += o.lostWork(now)
	}

	return r
}

// expectedRemaining returns the expected time until a member's run ends: by its progress if
// that is known, else by the usual run time.
func (e *Engine) expectedRemaining(m *member, now time.Duration) time.Duration {
	u := m.unit
	if u.aborted || u.done {
		return endingTime
	}
	length := time.Duration(float64(e.expectedRunTime(u.job, u.step)) * m.worker.slowdown(now))
	if m.began == 0 {
		return length
	}
	elapsed := now - m.began
	if l := m.track.Length(); l > 0 {
		return max(endingTime, l*time.Duration(fullPercent-m.track.Percent())/fullPercent-(now-m.worker.clockAt))
	}
	if elapsed >= length {
		return max(endingTime, elapsed/overrunDivisor)
	}

	return max(endingTime, length-elapsed)
}

// lostWork returns the core-seconds of work that stopping the run would discard.
func (m *member) lostWork(now time.Duration) float64 {
	if m.began == 0 || m.phase == released {
		return 0
	}
	need := m.demand()
	cores := float64(need.CPU)/1000 + placement.AccelCores*float64(need.Accelerators)
	if m.unit.job.Steps[m.unit.step].Checkpoints {
		return cores * 0.1 // it resumes from a checkpoint, so it counts like a run of 0.1 s
	}

	return cores * (now - m.began).Seconds()
}

// couldHold reports whether the fleet could hold the unit if nothing ran there.
func (f *fleetSnapshot) couldHold(u *placement.Unit) bool {
	if !u.SameRack {
		return fitsWhenEmpty(f, "", u)
	}

	return slices.ContainsFunc(f.racks(), func(r string) bool { return fitsWhenEmpty(f, r, u) })
}

// racks returns the names of the workers' racks.
func (f *fleetSnapshot) racks() []string {
	var names []string
	for i := range f.workers {
		if !slices.Contains(names, f.workers[i].Rack) {
			names = append(names, f.workers[i].Rack)
		}
	}

	return names
}

// usedShare returns the share of a service's capacity that is in use.
func (f *fleetSnapshot) usedShare(service string) float64 {
	used, ok := f.used[service]
	if !ok {
		used = placement.Used(f.workers, service)
		f.used[service] = used
	}

	return used
}

// avoidsTooMuch reports whether the workers that a unit avoids must be used all the same: without
// them the fleet could not hold a gang, or would run tasks one after the other although more
// than half of the capacity for them is avoided.
func (f *fleetSnapshot) avoidsTooMuch(u *placement.Unit) bool {
	if !f.couldHold(u) {
		return true
	}
	all := *u
	all.Avoid = nil

	return !u.Gang && slotsWhenEmpty(f, "", u) < min(len(u.Tasks), slotsWhenEmpty(f, "", &all)/2)
}

// fitsWhenEmpty reports whether a rack could hold the unit if nothing ran there. An
// empty rack name stands for the whole fleet.
func fitsWhenEmpty(f *fleetSnapshot, rack string, u *placement.Unit) bool {
	n := slotsWhenEmpty(f, rack, u)
	if u.Gang {
		return n >= len(u.Tasks)
	}

	return n > 0
}

// slotsWhenEmpty returns how many tasks of the unit a rack could hold if nothing ran there. An
// empty rack name stands for the whole fleet.
func slotsWhenEmpty(f *fleetSnapshot, rack string, u *placement.Unit) int {
	n := 0
	for i := range f.workers {
		w := &f.workers[i]
		if (rack != "" && w.Rack != rack) || w.Service != u.Service || !w.Schedulable || u.Avoid[i] || (u.Label != "" && !slices.Contains(w.Labels, u.Label)) {
			continue
		}
		fit := 0
		for remaining := w.Capacity; u.Need.Fits(remaining) && fit < len(u.Tasks); fit++ {
			remaining = remaining.Minus(u.Need)
		}
		if u.MaxPerWorker > 0 {
			fit = min(fit, u.MaxPerWorker)
		}
		n += fit
	}

	return n
}

// indexSet returns the indexes of the workers whose names are keys of m.
func indexSet[V any](f *fleetSnapshot, m map[string]V) map[int]bool {
	in := map[int]bool{}
	for name := range m {
		if i, ok := f.index[name]; ok {
			in[i] = true
		}
	}

	return in
}
