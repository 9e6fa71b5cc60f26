package engine

import (
	"cmp"
	"slices"
	"time"

	"sesameyoke/internal/core/assign"
	"sesameyoke/internal/core/work"
)

const (
	servingShare = 2                // a serving task makes filling ones stay off this part of a worker
	accelCores   = 8                // an accelerator counts as so many cores
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

	// fleet is the workers as a decision sees them.
	fleet struct {
		names   []string
		index   map[string]int
		workers []assign.Worker
	}
)

// pass decides what starts and what gives way, and gives the orders.
func (e *Engine) pass() {
	if !e.Lease.Valid() {
		return
	}
	began := e.Now()
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

// fleet collects the workers and what could be evicted from them.
func (e *Engine) fleet() *fleet {
	f := &fleet{index: map[string]int{}}
	for name := range e.workers {
		f.names = append(f.names, name)
	}
	slices.Sort(f.names)
	now := e.Boot()
	barred := e.barred(now)
	for i, name := range f.names {
		f.index[name] = i
		w := e.workers[name]
		a := assign.Worker{
			Service: w.Service, Rack: w.Rack, Labels: w.Labels, Room: w.Room, Free: w.free,
			Open:    w.listed && w.reached && !w.Draining && w.silent == 0 && now >= w.refusing && now >= w.stillUntil && !w.shut && !barred[name] && w.Host != "",
			Penalty: w.record.Penalty(now), Slow: w.slowness(now),
		}
		a.NoFill, a.Busy = now < w.noFill, w.busy()
		if c, ok := e.claims[name]; ok {
			a.Claim = c.unit
			if now > c.until {
				delete(e.claims, name)
				a.Claim = ""
			}
		}
		for _, ms := range w.runs {
			for _, m := range ms {
				if !m.unit.job.Steps[m.unit.step].Lasting || m.unit.aborted {
					a.Runs = append(a.Runs, e.evictable(m, now))
				}
			}
		}
		f.workers = append(f.workers, a)
	}

	return f
}

// busy returns the share of a worker's processors that its tasks want: filling ones
// besides what they hold of its capacity.
func (w *worker) busy() float64 {
	wanted := 0
	for _, m := range w.all() {
		wanted += m.unit.job.Steps[m.unit.step].Need.CPU
		if m.serves() {
			wanted += w.Room.CPU / servingShare
		}
	}

	return float64(wanted) / float64(max(1, w.Room.CPU))
}

// mostBarred is the share of the workers that may be barred at once: if more fail
// work, the work is at fault.
const mostBarred = 0.3

// barred returns the workers that fail what they are given.
func (e *Engine) barred(now time.Duration) map[string]bool {
	names := map[string]bool{}
	for name, w := range e.workers {
		if w.record.Barred(now) {
			names[name] = true
		}
	}
	if float64(len(names)) > mostBarred*float64(len(e.workers)) {
		return nil
	}

	return names
}

func (e *Engine) evictable(m *member, now time.Duration) assign.Run {
	u := m.unit
	r := assign.Run{Group: u.name, Need: m.need(), Priority: e.rules(u.job.Queue).Priority, Ending: u.aborted || u.done}
	for _, o := range u.members {
		r.Lost += o.lost(now)
	}

	return r
}

// lost returns the core-seconds that a stop throws away.
func (m *member) lost(now time.Duration) float64 {
	if m.began == 0 || m.phase == gone {
		return 0
	}
	need := m.need()
	cores := float64(need.CPU)/1000 + accelCores*float64(need.Accelerators)
	if m.unit.job.Steps[m.unit.step].Checkpoints {
		return cores * 0.1
	}

	return cores * (now - m.began).Seconds()
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

// set returns the workers that are keys of m.
func set[V any](f *fleet, m map[string]V) map[int]bool {
	in := map[int]bool{}
	for name := range m {
		if i, ok := f.index[name]; ok {
			in[i] = true
		}
	}

	return in
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

// holds reports whether an empty fleet would hold the unit.
func (f *fleet) holds(u *assign.Unit) bool {
	if !u.Together {
		return fits(f, "", u)
	}

	return slices.ContainsFunc(f.racks(), func(r string) bool { return fits(f, r, u) })
}

func (f *fleet) racks() []string {
	var names []string
	for i := range f.workers {
		if !slices.Contains(names, f.workers[i].Rack) {
			names = append(names, f.workers[i].Rack)
		}
	}

	return names
}

// fits reports whether a rack, or all if it has no name, would hold the unit if
// nothing ran there.
func fits(f *fleet, rack string, u *assign.Unit) bool {
	n := 0
	for i := range f.workers {
		w := &f.workers[i]
		if (rack != "" && w.Rack != rack) || w.Service != u.Service || !w.Open || u.Avoid[i] || (u.Label != "" && !slices.Contains(w.Labels, u.Label)) {
			continue
		}
		fit := 0
		for room := w.Room; u.Need.Fits(room) && fit < len(u.Tasks); fit++ {
			room = room.Minus(u.Need)
		}
		if u.Spread > 0 {
			fit = min(fit, u.Spread)
		}
		n += fit
	}
	if u.Gang {
		return n >= len(u.Tasks)
	}

	return n > 0
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
	if priority < len(hastes) {
		return hastes[priority]
	}

	return 0
}
