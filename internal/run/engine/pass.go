package engine

import (
	"cmp"
	"slices"
	"time"

	"sesameyoke/internal/core/assign"
	"sesameyoke/internal/core/work"
)

const (
	overdueAfter = 12 * time.Second // work that waits longer may use workers kept for urgent work
)

type (
	// candidate is a unit that waits for a place.
	candidate struct {
		job   *job
		occur int
		step  int
		order float64           // lower comes first
		allow map[string]string // tickets by worker; nil where none are needed
		unit  assign.Unit
	}
)

// pass decides what starts and what gives way, and gives the orders.
func (e *Engine) pass() {
	if !e.Lease.Valid() {
		return
	}
	began := e.Now()
	e.sendStarts()
	e.settle()
	e.review()
	e.dueOccurrences()
	cands := e.candidates()
	if len(cands) == 0 {
		return
	}
	f := e.fleet()
	units := make([]assign.Unit, len(cands))
	for i := range cands {
		e.localize(&cands[i], f)
		units[i] = cands[i].unit
	}
	r := assign.Decide(f.workers, units)
	for _, name := range r.Evicted {
		if u := e.units[name]; u != nil {
			e.abort(u, "evicted")
			e.Count("evictions", 1)
		}
	}
	for w, name := range r.Claims {
		e.claims[f.names[w]] = claim{unit: name, until: e.Boot() + e.Timing.Claim}
	}
	e.place(cands, r.Placements, f)
	e.lastPass = e.Now().Sub(began)
	e.Observe("pass_seconds", e.lastPass)
}

// dueOccurrences begins the occurrences whose time has come.
func (e *Engine) dueOccurrences() {
	now := e.Now().UnixMilli()
	for _, s := range e.active {
		if s.Phase.Final() {
			continue
		}
		for k := len(s.Occurs); k < s.Occurrences() && s.Due(k) <= now; k++ {
			s.Occurs = append(s.Occurs, work.NewOccurrence(&s.Job))
		}
	}
}

// candidates lists what waits, the most pressing first.
func (e *Engine) candidates() []candidate {
	var cands []candidate
	urgent := e.urgentJobs()
	for _, s := range e.active {
		if s.Phase.Final() {
			continue
		}
		for k := range s.Occurs {
			if s.Occurs[k].Ended {
				continue
			}
			for step := range s.Steps {
				cands = e.addCandidate(cands, s, k, step, urgent[s])
			}
		}
	}
	slices.SortStableFunc(cands, func(a, b candidate) int { return cmp.Compare(a.order, b.order) })

	return cands
}

func (e *Engine) addCandidate(cands []candidate, s *job, occur, step int, urgent bool) []candidate {
	o, st := &s.Occurs[occur], &s.Steps[step]
	for _, a := range st.After {
		if !o.StepDone(a) {
			return cands
		}
	}
	var tasks []int
	for i := range o.Steps[step] {
		if o.Steps[step][i].Phase == work.Waiting && e.units[unitName(s, occur, step, i)] == nil {
			tasks = append(tasks, i)
		}
	}
	if len(tasks) == 0 || (st.Gang && len(tasks) < st.Count) {
		return cands
	}
	q := e.rules(s.Queue)
	var allow map[string]string
	if q.Advised {
		if allow = e.tickets(s, occur, step); allow == nil {
			return cands
		}
	}
	waited := e.Boot() - s.accepted
	stand := e.standing(s, occur, urgent)
	c := candidate{job: s, occur: occur, step: step, allow: allow, order: assign.Rank(stand, s.since(occur, e.Now(), e.Boot()))}
	c.unit = e.unitOf(s, occur, step, tasks)
	c.unit.Overdue = waited >= overdueAfter
	c.unit.Evicts = urgent && waited >= e.Timing.Evict

	return append(cands, c)
}

// unitOf returns tasks of a step as a decision sees them.
func (e *Engine) unitOf(s *job, occur, step int, tasks []int) assign.Unit {
	st, q := &s.Steps[step], e.rules(s.Queue)

	return assign.Unit{
		Name: unitName(s, occur, step, 0), Service: q.Service, Tasks: tasks, Need: room(st), Gang: st.Gang, Together: st.OneRack && st.Gang,
		Label: st.Label, Near: st.Rack, Stay: st.Rack != "", Spread: st.Spread, Priority: q.Priority, Haste: haste(q.Priority),
		Fills: st.Fills,
	}
}

// urgentJobs returns the jobs of priority 0 that their workspace's guarantee covers.
func (e *Engine) urgentJobs() map[*job]bool {
	urgent := map[*job]bool{}
	p := e.Policy()
	if p == nil {
		return urgent
	}
	used := map[string]int{}
	for _, s := range e.active {
		if s.Phase.Final() || e.rules(s.Queue).Priority != 0 {
			continue
		}
		g := p.Guaranteed(s.Workspace)
		if g == 0 {
			continue
		}
		used[s.Workspace] += s.widest()
		urgent[s] = used[s.Workspace] <= g
	}

	return urgent
}

// widest returns the accelerators of the widest step.
func (s *job) widest() int {
	n := 0
	for _, st := range s.Steps {
		n = max(n, st.Count*st.Need.Accelerators)
	}

	return n
}

// localize fills in what a unit's place depends on.
func (e *Engine) localize(c *candidate, f *fleet) {
	if len(c.job.bad) > 0 {
		c.unit.Avoid = set(f, c.job.bad)
	}
	if e.lastTry(c) {
		e.avoidDoubtful(c, f)
	}
	if c.allow != nil {
		c.unit.Allowed = set(f, c.allow)
	}
	if c.unit.Spread > 0 {
		c.unit.Placed = e.placed(c, f)
	}
	for name, k := range e.claims {
		if _, ok := f.index[name]; ok && k.unit == c.unit.Name {
			c.unit.Claimed, c.unit.Evicts = true, false
		}
	}
	e.relax(c, f)
}

// lastTry reports whether one more failure of a unit fails its job.
func (e *Engine) lastTry(c *candidate) bool {
	attempts := e.rules(c.job.Queue).Attempts
	for _, t := range c.unit.Tasks {
		if fails := c.job.Occurs[c.occur].Steps[c.step][t].Fails; fails > 0 && fails >= attempts-1 {
			return attempts > 0
		}
	}

	return false
}

// avoidDoubtful keeps a unit off the workers that have failed work of late.
func (e *Engine) avoidDoubtful(c *candidate, f *fleet) {
	now := e.Boot()
	for i, name := range f.names {
		if e.workers[name].record.Doubtful(now) {
			if c.unit.Avoid == nil {
				c.unit.Avoid = map[int]bool{}
			}
			c.unit.Avoid[i] = true
		}
	}
}

// placed counts by worker the tasks of a step that hold capacity there.
func (e *Engine) placed(c *candidate, f *fleet) map[int]int {
	n := map[int]int{}
	for _, u := range e.units {
		if u.job != c.job || u.occur != c.occur || u.step != c.step {
			continue
		}
		for _, m := range u.members {
			if i, ok := f.index[m.worker.ID]; ok && m.phase != gone {
				n[i]++
			}
		}
	}

	return n
}

// relax lets a unit go where no place that it prefers could ever hold it, or
// where it has waited too long for one.
func (e *Engine) relax(c *candidate, f *fleet) {
	waited := e.Boot() - c.job.accepted
	est := time.Duration(c.job.Steps[c.step].Estimate) * time.Millisecond
	if c.unit.Stay && (waited > est || !fits(f, c.unit.Near, &c.unit)) {
		c.unit.Stay = false
	}
	if len(c.unit.Avoid) > 0 && !f.holds(&c.unit) {
		c.unit.Avoid = nil
	}
	if c.unit.Together && !f.holds(&c.unit) {
		c.unit.Together = false
	}
}

// place makes the placements durable and then sends the starts.
func (e *Engine) place(cands []candidate, ps []assign.Placement, f *fleet) {
	made := map[int][]*unit{}
	for _, p := range ps {
		c := &cands[p.Unit]
		u := e.unitFor(c, p, made)
		w := e.workers[f.names[p.Worker]]
		t := &c.job.Occurs[c.occur].Steps[c.step][p.Task]
		t.Phase, t.Run, t.Worker, t.Born = work.Assigned, u.run, w.ID, w.Born
		e.occupy(&member{unit: u, index: p.Task, worker: w, from: u.saved, saved: u.saved, ticket: c.allow[w.ID]})
		c.job.Started = true
		if c.job.Phase == work.Queued {
			c.job.Phase = work.Running
		}
	}
	for i, us := range made {
		for w, c := range e.claims {
			if c.unit == cands[i].unit.Name {
				delete(e.claims, w)
			}
		}
		e.writer.put(cands[i].job, func(err error) {
			for _, u := range us {
				if err != nil {
					e.abort(u, "not durable")

					continue
				}
				for _, m := range u.members {
					e.sendStart(m)
				}
			}
		})
	}
}

// unitFor returns the unit that a placement belongs to.
func (e *Engine) unitFor(c *candidate, p assign.Placement, made map[int][]*unit) *unit {
	gang := c.job.Steps[c.step].Gang
	if us := made[p.Unit]; gang && len(us) > 0 {
		return us[0]
	}
	name := unitName(c.job, c.occur, c.step, p.Task)
	u := &unit{name: name, job: c.job, occur: c.occur, step: c.step, began: e.Boot()}
	tasks := c.job.Occurs[c.occur].Steps[c.step]
	if gang {
		for i := range tasks {
			u.run = max(u.run, tasks[i].Run+1)
		}
	} else {
		u.run = tasks[p.Task].Run + 1
	}
	u.saved = tasks[p.Task].Saved
	e.units[name] = u
	made[p.Unit] = append(made[p.Unit], u)
	e.Log.Info().Str("event", "unit-placed").Str("id", c.job.ID).Str("unit", name).Int64("run", u.run).Int("order", p.Unit).
		Dur("waited", e.Boot()-c.job.accepted).Str("saved", u.saved).Msg("")

	return u
}

// hastes is how much a fast worker is worth to work of a priority, against the
// share of a worker that packing it tightly leaves free.
var hastes = []float64{1.5, 0.5}

func haste(priority int) float64 {
	if priority >= len(hastes) {
		return 0
	}

	return hastes[max(0, priority)]
}
