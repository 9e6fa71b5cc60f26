package engine

import (
	"time"

	"sesameyoke/internal/core/placement"
)

const (
	// A step of a job without runs is logged when it has waited this long, and then at this
	// interval. A unit of which nothing runs is logged alike.
	waitLogInterval = 2 * time.Second
	// Largest number of such lines in one pass.
	maxWaitLines = 2
	// Longest wait of a long-running task for other workers than those on which runs of its job have
	// failed. Callers expect it to run again within 6 s of its last run, however much of the capacity
	// is in use. Its job collects such workers until it is cancelled.
	maxAvoidance = 3 * time.Second
	// An overdue step on its last attempt excludes failing workers for this much longer: when many
	// runs end at the same time, these workers are free a moment before the others are.
	excludeDelay = 500 * time.Millisecond
	// Interval between assessments of whether an idle step is overdue.
	overdueInterval = 250 * time.Millisecond
)

// idleStep is a step that waits for placement while its job has no runs, or a long-running step with
// tasks that wait.
type idleStep struct {
	since      time.Duration
	loggedAt   time.Duration
	overdue    bool          // see placement.IsOverdue
	assessedAt time.Duration // when it was last assessed whether it is overdue

	notOverdueAt time.Duration // when it was last known not to be overdue
}

// noteIdle records since when the candidates' steps wait while their jobs have no runs. Each
// long-running task is to run whether others of its job do or not.
func (e *Engine) noteIdle(cands []candidate) {
	busy := map[*job]bool{}
	for _, u := range e.units {
		busy[u.job] = true
	}
	idle := make(map[stepKey]*idleStep, len(e.idle))
	for i := range cands {
		c := &cands[i]
		if busy[c.job] && !c.job.Steps[c.step].LongRunning {
			continue
		}
		key := c.stepKey()
		if idle[key] = e.idle[key]; idle[key] == nil {
			idle[key] = &idleStep{since: e.SinceBoot(), assessedAt: e.SinceBoot()}
		}
	}
	e.idle = idle
}

// hasAvoidedLong reports whether tasks of a long-running step have waited for maxAvoidance.
func (e *Engine) hasAvoidedLong(c *candidate) bool {
	s := e.idle[c.stepKey()]

	return s != nil && c.job.Steps[c.step].LongRunning && e.SinceBoot()-s.since >= maxAvoidance
}

// assessOverdue determines whether a candidate has waited too long for what it prefers. It
// expects the candidate's other constraints.
func (e *Engine) assessOverdue(c *candidate, f *fleetSnapshot) {
	now := e.SinceBoot()
	s := e.idle[c.stepKey()]
	if s == nil {
		return
	}
	idle := now - s.since
	if !placement.MayBeOverdue(&c.unit, idle, f.usedShare(c.unit.Service)) {
		s.overdue, s.notOverdueAt = false, now
	} else if now >= s.assessedAt+overdueInterval {
		shortage := placement.Explain(f.workers, &c.unit)
		s.overdue, s.assessedAt = placement.IsOverdue(&c.unit, &shortage, idle), now
	}
	c.unit.Overdue = s.overdue
	if s.overdue && now >= s.notOverdueAt+excludeDelay {
		c.unit.Exclude = nil
	}
}

func (c *candidate) stepKey() stepKey { return stepKey{c.job, occurStep{c.occur, c.step}} }

// logWaiting logs why the idle steps that were not placed wait, and the state of units of which
// nothing runs. It expects the workers as the decision left them.
func (e *Engine) logWaiting(cands []candidate, f *fleetSnapshot, r placement.Result) {
	now, lines := e.SinceBoot(), 0
	placed := map[int]bool{}
	for _, p := range r.Placements {
		placed[p.Unit] = true
	}
	for i := range cands {
		c := &cands[i]
		s := e.idle[c.stepKey()]
		if s == nil || placed[i] || lines == maxWaitLines || now < max(s.since, s.loggedAt)+waitLogInterval {
			continue
		}
		s.loggedAt = now
		lines++
		e.logIdleStep(c, placement.Explain(f.workers, &c.unit), now-s.since)
	}
	if lines > 0 {
		e.logFleet(now)
	}
}

// logIdleStep logs one waiting step with the numbers of tasks that each constraint keeps out.
func (e *Engine) logIdleStep(c *candidate, s placement.Shortage, idle time.Duration) {
	u := &c.unit
	e.Log.Info().Str("event", "unit-waits").Str("id", c.job.ID).Str("unit", u.Name).Dur("idle", idle).Dur("waited", e.SinceBoot()-c.job.acceptedAt).
		Int("priority", u.Priority).Int("tasks", len(u.Tasks)).Bool("gang", u.Gang).Bool("samerack", u.SameRack).Str("datarack", u.DataRack).
		Int("cpu", u.Need.CPU).Int("memory", u.Need.Memory).Int("accelerators", u.Need.Accelerators).Bool("claim", u.HasClaim).Bool("overdue", u.Overdue).Bool("limited", u.Limited != nil).
		Int("fit", s.Fit).Int("onrack", s.FitOnRack).Int("avoided", s.Avoided).Int("otherrack", s.OtherRack).Int("claimed", s.Claimed).
		Int("spare", s.Spare).Int("reserved", s.Reserved).Int("unschedulable", s.Unschedulable).
		Float64("used", s.Used).Float64("usedcpu", s.UsedCPU).Float64("usedmemory", s.UsedMemory).Float64("usedaccel", s.UsedAccel).Msg("")
}

// logFleet logs how many workers accept no runs, by reason.
func (e *Engine) logFleet(now time.Duration) {
	var unlisted, unreported, silent, refusing, stalled, draining, evacuated int
	for _, w := range e.workers {
		switch {
		case !w.listed || w.Host == "":
			unlisted++
		case !w.reported:
			unreported++
		case w.silentSince != 0:
			silent++
		case w.Draining || w.cordoned:
			draining++
		case w.evacuated:
			evacuated++
		case now < w.refusingUntil:
			refusing++
		case now < w.stalledUntil:
			stalled++
		}
	}
	e.Log.Info().Str("event", "fleet").Int("workers", len(e.workers)).Int("unlisted", unlisted).Int("unreported", unreported).Int("silent", silent).
		Int("draining", draining).Int("evacuated", evacuated).Int("refusing", refusing).Int("stalled", stalled).Int("barred", len(e.barred(now))).Int("claims", len(e.claims)).
		Int("units", len(e.units)).Int("starting", e.starts.inFlight).Msg("")
}

// logUnsettled logs units of which nothing runs for waitLogInterval although they are placed,
// with the number of their members in each phase.
func (e *Engine) logUnsettled() {
	now, lines := e.SinceBoot(), 0
	for _, u := range e.units {
		if u.orphan || now < max(u.began, u.loggedAt)+waitLogInterval || lines == maxWaitLines {
			continue
		}
		var n [released + 1]int
		for _, m := range u.members {
			n[m.phase]++
		}
		if n[running] == len(u.members) {
			continue
		}
		u.loggedAt = now
		lines++
		e.Log.Info().Str("event", "unit-unsettled").Str("id", u.job.ID).Str("unit", u.name).Int64("run", u.run).Dur("age", now-u.began).
			Bool("aborted", u.aborted).Int("planned", n[planned]).Int("starting", n[starting]).Int("unconfirmed", n[unconfirmed]).
			Int("running", n[running]).Int("stopping", n[stopping]).Int("released", n[released]).Msg("")
	}
}
