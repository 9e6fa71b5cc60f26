package engine

import (
	"cmp"
	"slices"
	"time"

	"sesameyoke/internal/core/placement"
	"sesameyoke/internal/core/work"
)

const (
	spareAfter = 12 * time.Second // jobs that have waited longer may use the workers spared for urgent work
)

type (
	// candidate holds the waiting tasks of a step: a gang, or tasks that are placed one by one.
	candidate struct {
		job     *job
		occur   int
		step    int
		rank    float64           // lower ranks are placed first
		tickets map[string]string // placement tickets by worker; nil if the queue needs none
		inputs  placement.RankInput
		unit    placement.Unit
	}
)

// pass is one scheduling pass: it moves, places and preempts runs, and sends the orders.
func (e *Engine) pass() {
	if !e.Lease.Valid() {
		return
	}
	began := e.Now()
	e.applyEvacuations()
	e.sendStarts()
	e.dropEndedJobs()
	e.moveRuns()
	e.addDueOccurrences()
	e.recordQueues()
	e.logUnsettled()
	e.learnWork()
	cands := e.candidates()
	e.orderInShortage(cands)
	e.noteIdle(cands)
	if len(cands) == 0 {
		e.endShortages()

		return
	}
	f := e.snapshotFleet()
	units := make([]placement.Unit, len(cands))
	for i := range cands {
		e.addConstraints(&cands[i], f)
		units[i] = cands[i].unit
	}
	e.addLostValues(f, units)
	r := placement.Decide(f.workers, units)
	e.logWaiting(cands, f, r)
	e.noteShortages(cands, f, r)
	for _, name := range r.Evicted {
		if u := e.units[name]; u != nil {
			e.abort(u, "evicted")
			e.Count("evictions", 1)
		}
	}
	for w, name := range r.Claims {
		e.claims[f.names[w]] = claim{unit: name, until: e.SinceBoot() + e.Timing.ClaimTTL}
	}
	e.commitPlacements(cands, separate(cands, r.Placements), f)
	e.lastPass = e.Now().Sub(began)
	e.Observe("pass_seconds", e.lastPass)
}

// addDueOccurrences adds the occurrences of recurring jobs that are due. They wait while the open
// ones have as many tasks as a progress record can hold.
func (e *Engine) addDueOccurrences() {
	now := e.Now().UnixMilli()
	for _, j := range e.active {
		if j.Phase.Final() || e.held[j.ID] || len(j.Occurs) == j.Occurrences() || j.Due(len(j.Occurs)) > now {
			continue
		}
		free := work.MaxOpenTasks(e.RecordBytes) - j.openTasks()
		for len(j.Occurs) < j.Occurrences() && j.Due(len(j.Occurs)) <= now && (free >= j.Tasks() || len(j.Occurs) == 0) {
			j.Occurs = append(j.Occurs, work.NewOccurrence(&j.Job))
			free -= j.Tasks()
		}
		waits := len(j.Occurs) < j.Occurrences() && j.Due(len(j.Occurs)) <= now
		if waits && !j.delayed {
			e.Log.Warn().Str("event", "occurrences-delayed").Str("id", j.ID).Int("next", len(j.Occurs)).Int("open", j.openTasks()).Msg("")
		}
		j.delayed = waits
	}
}

// openTasks returns the number of tasks of the job's occurrences that have not ended.
func (j *job) openTasks() int {
	n := 0
	for i := range j.Occurs {
		if !j.Occurs[i].Ended {
			n += j.Tasks()
		}
	}

	return n
}

// candidates returns the candidates for placement, sorted by rank.
func (e *Engine) candidates() []candidate {
	var cands []candidate
	guaranteed := e.guaranteedJobs()
	for _, j := range e.active {
		if j.Phase.Final() {
			continue
		}
		for occur := range j.Occurs {
			if j.Occurs[occur].Ended {
				continue
			}
			for step := range j.Steps {
				cands = e.addCandidate(cands, j, occur, step, guaranteed[j])
			}
		}
	}
	slices.SortStableFunc(cands, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })

	return cands
}

// addCandidate appends a candidate for the waiting tasks of a step, if they may start now.
func (e *Engine) addCandidate(cands []candidate, j *job, occur, step int, guaranteed bool) []candidate {
	o, st := &j.Occurs[occur], &j.Steps[step]
	for _, a := range st.After {
		if !o.StepDone(a) {
			return cands
		}
	}
	var tasks []int
	for i := range o.Steps[step] {
		if o.Steps[step][i].Phase == work.Waiting && e.units[unitName(j, occur, step, i)] == nil {
			tasks = append(tasks, i)
		}
	}
	tasks = e.placeable(j, occur, step, tasks)
	if len(tasks) == 0 || (st.Gang && len(tasks) < st.Count) {
		return cands
	}
	q := e.queuePolicy(j.Queue)
	var tickets map[string]string
	if q.Advised {
		if tickets = e.tickets(j, occur, step); tickets == nil {
			return cands
		}
	}
	waited := e.SinceBoot() - j.acceptedAt
	inputs := e.rankInputs(j, occur, guaranteed)
	c := candidate{job: j, occur: occur, step: step, tickets: tickets, inputs: inputs, rank: placement.Rank(inputs, j.waitingSince(occur, e.Now(), e.SinceBoot()))}
	c.unit = e.toPlacementUnit(j, occur, step, tasks)
	c.unit.UsesSpares = waited >= spareAfter
	c.unit.Reserves = st.Gang
	c.unit.Guaranteed = guaranteed
	if c.unit.Limited = e.limitedTask(j, occur, step, guaranteed); c.unit.Limited != nil && !guaranteed {
		c.unit.Guarantees = e.guaranteesOf(q.Service)
	}
	c.unit.MayEvict = placement.MayEvict(q.Priority, waited, e.Timing.EvictAfter)

	return append(cands, c)
}

// toPlacementUnit returns tasks of a step as input of a placement decision.
func (e *Engine) toPlacementUnit(j *job, occur, step int, tasks []int) placement.Unit {
	st, q := &j.Steps[step], e.queuePolicy(j.Queue)

	return placement.Unit{
		Name: unitName(j, occur, step, 0), Service: q.Service, Tasks: tasks, Need: demand(st), Gang: st.Gang, SameRack: st.SameRack && st.Gang,
		Label: st.Label, DataRack: st.Rack, DataRackOnly: st.Rack != "", MaxPerWorker: st.MaxPerWorker, Priority: q.Priority, SpeedWeight: speedWeight(q.Priority),
		BestEffort: st.BestEffort, LongRunning: st.LongRunning, Length: e.expectedRunTime(j, step),
	}
}

// guaranteedJobs returns the active jobs of priority 0 in workspaces with a guarantee. The
// value is true for those that the guarantee covers, in the order of their acceptance.
func (e *Engine) guaranteedJobs() map[*job]bool {
	guaranteed := map[*job]bool{}
	p := e.Policy()
	if p == nil {
		return guaranteed
	}
	used := map[string]int{}
	for _, j := range e.active {
		if j.Phase.Final() || e.queuePolicy(j.Queue).Priority != 0 {
			continue
		}
		g := p.Guaranteed(j.Workspace)
		if g == 0 {
			continue
		}
		used[j.Workspace] += j.maxAccelerators()
		guaranteed[j] = used[j.Workspace] <= g
	}

	return guaranteed
}

// maxAccelerators returns the number of accelerators of the job's largest step.
func (j *job) maxAccelerators() int {
	n := 0
	for _, st := range j.Steps {
		n = max(n, st.Count*st.Need.Accelerators)
	}

	return n
}

// addConstraints adds to a candidate's unit the constraints that depend on the workers.
func (e *Engine) addConstraints(c *candidate, f *fleetSnapshot) {
	if len(c.job.failedOn) > 0 {
		c.unit.Avoid = indexSet(f, c.job.failedOn)
	}
	if e.onLastAttempt(c) {
		e.avoidUnreliable(c, f)
	}
	if c.tickets != nil {
		c.unit.Allowed = indexSet(f, c.tickets)
	}
	if c.unit.MaxPerWorker > 0 {
		c.unit.Placed = e.tasksByWorker(c, f)
	}
	e.applyClaims(c, f)
	e.relaxConstraints(c, f)
	e.addSpeedLimit(c)
	e.keepApart(c, f)
	if e.onLastAttempt(c) {
		e.avoidUnproven(c, f)
	}
	e.assessOverdue(c, f)
}

// applyClaims notes that workers are claimed by a candidate's unit. Where they are on several racks, no single one
// could be cleared for it.
func (e *Engine) applyClaims(c *candidate, f *fleetSnapshot) {
	racks := map[string]bool{}
	for name, held := range e.claims {
		if i, ok := f.index[name]; ok && held.unit == c.unit.Name {
			c.unit.HasClaim, c.unit.MayEvict = true, false
			racks[f.workers[i].Rack] = true
		}
	}
	if len(racks) > 1 {
		c.unit.SameRack = false
	}
}

// onLastAttempt reports whether one more failure of the unit fails its job.
func (e *Engine) onLastAttempt(c *candidate) bool {
	for _, t := range c.unit.Tasks {
		if e.isLastAttempt(c.job, c.occur, c.step, t) {
			return true
		}
	}

	return false
}

// avoidUnreliable excludes workers with recent failures from the placement of a unit.
func (e *Engine) avoidUnreliable(c *candidate, f *fleetSnapshot) {
	now := e.SinceBoot()
	for i, name := range f.names {
		if e.workers[name].failures.Unreliable(now) {
			if c.unit.Avoid == nil {
				c.unit.Avoid = map[int]bool{}
			}
			c.unit.Avoid[i] = true
		}
	}
}

// tasksByWorker counts, by worker index, the tasks of a step that hold capacity there.
func (e *Engine) tasksByWorker(c *candidate, f *fleetSnapshot) map[int]int {
	n := map[int]int{}
	for _, u := range e.units {
		if u.job != c.job || u.occur != c.occur || u.step != c.step {
			continue
		}
		for _, m := range u.members {
			if i, ok := f.index[m.worker.ID]; ok && m.phase != released {
				n[i]++
			}
		}
	}

	return n
}

// relaxConstraints drops the constraints of a unit that even an empty fleet could not
// satisfy, its restriction to the rack of its data once it has waited longer than its
// estimated run time, and for a long-running task the workers that it avoids once it has waited
// for maxAvoidance.
func (e *Engine) relaxConstraints(c *candidate, f *fleetSnapshot) {
	waited := e.SinceBoot() - c.job.acceptedAt
	est := time.Duration(c.job.Steps[c.step].Estimate) * time.Millisecond
	if c.unit.DataRackOnly && (waited > est || !fitsWhenEmpty(f, c.unit.DataRack, &c.unit)) {
		c.unit.DataRackOnly = false
	}
	if len(c.unit.Avoid) > 0 && (e.hasAvoidedLong(c) || f.avoidsTooMuch(&c.unit)) {
		c.unit.Avoid = nil
	}
	if c.unit.SameRack && !f.couldHold(&c.unit) {
		c.unit.SameRack = false
	}
}

// commitPlacements makes the placements durable and then queues the starts.
func (e *Engine) commitPlacements(cands []candidate, ps []placement.Placement, f *fleetSnapshot) {
	placed := map[int][]*unit{}
	for _, p := range ps {
		c := &cands[p.Unit]
		u := e.unitFor(c, p, placed)
		w := e.workers[f.names[p.Worker]]
		t := &c.job.Occurs[c.occur].Steps[c.step][p.Task]
		t.Phase, t.Run, t.Worker, t.Incarnation = work.Assigned, u.run, w.ID, w.Incarnation
		e.reserve(&member{unit: u, index: p.Task, worker: w, resumedFrom: u.checkpoint, checkpoint: u.checkpoint, ticket: c.tickets[w.ID]})
		e.recordAssignment(c.job, work.Task{Job: c.job.ID, Occur: c.occur, Step: c.step, Index: p.Task}, w)
		c.job.Started = true
		if c.job.Phase == work.Queued {
			c.job.Phase = work.Running
		}
	}
	counts := map[int]int{}
	for _, p := range ps {
		counts[p.Unit]++
	}
	for i, us := range placed {
		e.dropClaims(cands[i].unit.Name, counts[i] == len(cands[i].unit.Tasks))
		e.writer.put(cands[i].job, func(err error) {
			for _, u := range us {
				if err != nil {
					e.abort(u, "not durable")

					continue
				}
				for _, m := range u.members {
					e.queueStart(m)
				}
			}
		})
	}
}

// dropClaims drops the claims of a unit of which tasks have been placed. If others still wait, it keeps those on
// workers on which runs are being stopped: the capacity that they free is for these tasks.
func (e *Engine) dropClaims(unit string, complete bool) {
	for name, held := range e.claims {
		if held.unit == unit && (complete || !e.hasEndingRuns(name)) {
			delete(e.claims, name)
		}
	}
}

// hasEndingRuns reports whether runs on a worker are being stopped.
func (e *Engine) hasEndingRuns(name string) bool {
	w := e.workers[name]

	return w != nil && slices.ContainsFunc(w.members(), func(m *member) bool { return m.unit.aborted })
}

// unitFor returns the unit of a placement, which it adds to the units placed in this pass.
// All placements of a gang share one unit.
func (e *Engine) unitFor(c *candidate, p placement.Placement, placed map[int][]*unit) *unit {
	gang := c.job.Steps[c.step].Gang
	if us := placed[p.Unit]; gang && len(us) > 0 {
		return us[0]
	}
	name := unitName(c.job, c.occur, c.step, p.Task)
	u := &unit{name: name, job: c.job, occur: c.occur, step: c.step, began: e.SinceBoot()}
	tasks := c.job.Occurs[c.occur].Steps[c.step]
	if gang {
		for i := range tasks {
			u.run = max(u.run, tasks[i].Run+1)
		}
	} else {
		u.run = tasks[p.Task].Run + 1
	}
	u.checkpoint = tasks[p.Task].Saved
	e.units[name] = u
	placed[p.Unit] = append(placed[p.Unit], u)
	e.Log.Info().Str("event", "unit-placed").Str("id", c.job.ID).Str("unit", name).Int64("run", u.run).Int("order", p.Unit).
		Dur("waited", e.SinceBoot()-c.job.acceptedAt).Str("saved", u.checkpoint).Msg("")

	return u
}

// speedWeights holds, by priority, the placement cost per unit of a worker's slowdown above 1.
// For comparison, leaving all accelerators of a worker unused costs 1.
var speedWeights = []float64{1.5, 0.5}

// speedWeight returns the entry of speedWeights for a priority; 0 beyond the last one.
func speedWeight(priority int) float64 {
	if priority >= len(speedWeights) {
		return 0
	}

	return speedWeights[max(0, priority)]
}
