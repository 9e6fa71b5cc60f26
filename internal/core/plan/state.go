package plan

import (
	"container/heap"
	"time"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/contract"
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/learn"
)

// Phases of a job in the plan.
const (
	waiting phase = iota
	clearing
	running
	saving
	stopping
)

type (
	phase int

	// item is one job that has no answer yet.
	item struct {
		Job
		size     int
		guess    learn.Guess
		phase    phase
		places   []Place
		started  time.Duration // start of the present run
		score    float64       // order among waiting jobs, lower first
		owed     bool          // runs in its workspace's own blocks
		seq      int           // order of arrival, to break ties
		until    time.Duration // saving: stopped after it
		moved    time.Duration // last time a checkpoint was asked of it
		moves    int
		searched time.Duration // last search for jobs to give way
		group    *group
		drains   bool     // clearing: the places drain by themselves
		blamed   []string // workers on which it failed
		began    bool     // it has run for a while
		gone     bool     // cancelled or concluded
	}

	// usage is what one workspace has running and waiting.
	usage struct {
		running int // accelerators
		queued  int // jobs

		penalty float64 // as computed last, for counted and total accelerators
		counted int
		total   int
	}

	// State is everything that the decisions are made from. It belongs to one
	// goroutine.
	State struct {
		tune    Tuning
		rules   Rules
		now     time.Duration
		racks   *racks
		byName  map[string]workerRef
		items   map[job.Key]*item
		groups  map[groupKey]*group
		active  []*group // groups that have waiting jobs
		cleared []*item  // jobs in the phase clearing
		leaving map[*item]bool
		use     map[string]*usage
		blocks  map[string][]contract.Block
		own     map[ownKey]uint64
		health  map[string]*health
		learnt  *learn.Book
		due     deadlines
		budget  float64 // accelerator-seconds that checkpoints may still cost
		seq     int
		weights float64 // sum over the contracts
		out     []Action
		ranked  ranking // scratch space of a pass
		cursor  int     // rack at which the next search begins
		tenure  tenure  // scratch space of the search
		fresh   bool    // something has changed since the last pass
	}

	workerRef struct {
		rack int
		span span
	}

	ownKey struct {
		workspace string
		rack      int
	}

	// deadlines is a heap of waiting jobs by deadline.
	deadlines []*item
)

// New returns a state without jobs.
func New(rules Rules) *State {
	s := &State{
		items: make(map[job.Key]*item), groups: make(map[groupKey]*group),
		leaving: make(map[*item]bool), use: make(map[string]*usage),
		health: make(map[string]*health), learnt: learn.New(),
	}
	s.setRules(rules)
	s.lay()

	return s
}

// lay builds the racks of the fleet, all free.
func (s *State) lay() {
	s.racks = newRacks(s.rules.Fleet, s.rules.Region)
	s.byName = make(map[string]workerRef)
	for i := range s.racks.all {
		for _, w := range s.racks.all[i].workers {
			s.byName[w.name] = workerRef{rack: i, span: w}
		}
	}
	s.apportion()
}

// setRules takes over contracts and policy.
func (s *State) setRules(r Rules) {
	s.rules = r
	if r.Tune == nil {
		r.Tune = Tune
	}
	s.tune = r.Tune(r.Policy)
	s.weights = 0
	for _, c := range r.Contracts {
		s.weights += float64(c.Weight)
	}
}

// SetContracts replaces contracts and policy. Racks and running jobs stay.
func (s *State) SetContracts(book contract.Book, r Rules) {
	r.Fleet = s.rules.Fleet
	r.Contracts = book
	s.setRules(r)
	for _, u := range s.use {
		u.total = -1 // its penalty has to be computed anew
	}
	s.apportion()
	s.fresh = true
}

// apportion gives the promised blocks their places among the racks that are up.
func (s *State) apportion() {
	gone := make(map[int]bool)
	for i := range s.racks.all {
		r := &s.racks.all[i]
		if r.mask != 0 && r.mask&^r.down == 0 {
			gone[i] = true
		}
	}
	blocks, _ := contract.Apportion(s.rules.Contracts, s.rules.Fleet, gone)
	s.blocks = make(map[string][]contract.Block)
	s.own = make(map[ownKey]uint64)
	for i := range s.racks.all {
		s.racks.all[i].promised = 0
	}
	for _, b := range blocks {
		if s.racks.all[b.Rack].mask == 0 {
			continue
		}
		s.blocks[b.Workspace] = append(s.blocks[b.Workspace], b)
		s.own[ownKey{b.Workspace, b.Rack}] |= b.Mask()
		s.racks.all[b.Rack].promised |= b.Mask()
	}
}

// Step applies events at one time and returns what has to be done. Time never
// goes back; an earlier time counts as the last one.
func (s *State) Step(now time.Duration, events ...Event) []Action {
	s.advance(now)
	s.out = nil
	for i := range events {
		s.apply(&events[i])
	}
	s.expire()
	if s.fresh {
		s.fresh = false
		s.pass()
	}

	return s.out
}

func (s *State) advance(now time.Duration) {
	if now <= s.now {
		return
	}
	limit := s.tune.budgetSpan * s.rate()
	s.budget = min(limit, s.budget+s.rate()*(now-s.now).Seconds())
	s.now = now
}

// rate returns the accelerator-seconds a second that checkpoints may cost.
func (s *State) rate() float64 {
	return s.rules.Policy.Budget * float64(s.racks.total)
}

func (s *State) apply(e *Event) {
	switch e.Kind {
	case Submit:
		s.submit(e.Job)
	case Adopt:
		s.adopt(e.Job, e.Places)
	case Tick:
		s.tick()
	case Down:
		s.down(e.Worker)
	case Up:
		s.up(e.Worker)
	default:
		s.applyTo(e)
	}
}

func (s *State) applyTo(e *Event) {
	it := s.items[e.Key]
	if it == nil {
		return
	}
	s.fresh = true
	switch e.Kind {
	case Cancel:
		s.cancel(it)
	case Finish:
		s.finish(it)
	case Fail:
		s.fail(it, e.Worker)
	case Refused:
		s.refused(it, e.Worker)
	case SavedAll:
		s.saved(it, e.Done)
	case Halted:
		s.halted(it)
	case Withdraw:
		s.withdraw(it)
	}
}

func (s *State) submit(j Job) {
	if s.items[j.Key] != nil {
		return
	}
	c, known := s.rules.Contracts[j.Key.Workspace]
	if !known {
		s.refuse(j.Key, code.NoWorkspace, "the workspace has no contract", 0)

		return
	}
	it := &item{Job: j, size: j.Shape.Size()}
	if why := s.never(it, c); why != "" {
		s.refuse(j.Key, code.NeverFits, why, 0)

		return
	}
	u := s.usageOf(j.Key.Workspace)
	if u.queued >= c.Queue && !s.mustTake(j) {
		s.refuse(j.Key, code.Overloaded, "the workspace's queue is full", s.drainTime(u))

		return
	}
	s.seq++
	it.seq = s.seq
	it.Urgent = j.Urgent && c.Urgent
	it.guess = s.learnt.Guess(learn.Name{Workspace: j.Key.Workspace, Kind: j.Kind}, j.Declared)
	s.items[j.Key] = it
	s.enqueue(it)
	if j.Deadline > 0 {
		heap.Push(&s.due, it)
	}
	s.fresh = true
}

// mustTake reports whether a job is taken although the queue is full: work that
// has been begun, and urgent work.
func (s *State) mustTake(j Job) bool {
	return j.Done > 0 || j.Urgent && s.rules.Contracts[j.Key.Workspace].Urgent
}

// drainTime estimates when half of a full queue will be gone.
func (s *State) drainTime(u *usage) time.Duration {
	share := max(1, u.running)

	return min(s.tune.maxRetry, max(s.tune.minRetry, time.Duration(u.queued/2/share+1)*time.Minute))
}

// adopt takes in a job that is running already.
func (s *State) adopt(j Job, places []Place) {
	if s.items[j.Key] != nil {
		return
	}
	s.seq++
	it := &item{Job: j, size: j.Shape.Size(), seq: s.seq, phase: running, started: s.now}
	it.guess = s.learnt.Guess(learn.Name{Workspace: j.Key.Workspace, Kind: j.Kind}, j.Declared)
	s.items[j.Key] = it
	s.occupy(it, places)
	s.fresh = true
}

func (s *State) cancel(it *item) {
	switch it.phase {
	case waiting:
		s.drop(it)
		s.concludeCancelled(it)
	case clearing:
		s.unhold(it)
		s.drop(it)
		s.concludeCancelled(it)
	case running, saving:
		it.gone = true
		it.phase = stopping
		s.act(Action{Kind: Stop, Key: it.Key})
	}
}

// withdraw forgets a job without an answer.
func (s *State) withdraw(it *item) {
	switch it.phase {
	case clearing:
		s.unhold(it)
	case running, saving, stopping:
		s.vacate(it)
	}
	s.drop(it)
}

// concludeCancelled answers a cancelled job that does not run. "Not run" is said
// only of a job that cannot have begun.
func (s *State) concludeCancelled(it *item) {
	switch {
	case it.began:
		s.refuse(it.Key, code.Stopped, "cancelled after it had begun", 0)
	case it.Begun:
		s.refuse(it.Key, code.Unknown, "cancelled; an earlier planner may have started it", 0)
	default:
		s.refuse(it.Key, code.Cancelled, "cancelled before it started", 0)
	}
}

func (s *State) finish(it *item) {
	if it.phase == waiting || it.phase == clearing {
		return
	}
	taken := it.Done + s.now - it.started
	s.learnt.Observe(learn.Name{Workspace: it.Key.Workspace, Kind: it.Kind}, it.Declared, taken)
	s.praise(it)
	s.vacate(it)
	s.drop(it)
}

// saved puts a checkpointed job back in line.
func (s *State) saved(it *item, done time.Duration) {
	if it.phase != saving && it.phase != stopping {
		return
	}
	it.Done = max(it.Done, done)
	s.halted(it)
}

// halted puts a stopped job back in line, or ends it when it was cancelled.
func (s *State) halted(it *item) {
	if it.phase == waiting || it.phase == clearing {
		return
	}
	it.began = true
	s.backInLine(it)
}

// backInLine puts a job that no longer runs back in line, or ends it when it was
// cancelled.
func (s *State) backInLine(it *item) {
	s.vacate(it)
	if it.gone {
		s.drop(it)
		s.concludeCancelled(it)

		return
	}
	s.requeue(it)
}

// Has reports whether the job is planned.
func (s *State) Has(k job.Key) bool {
	return s.items[k] != nil
}

func (s *State) requeue(it *item) {
	it.phase = waiting
	it.owed = false
	s.enqueue(it)
}

// drop forgets a job. Heaps that still hold it skip it.
func (s *State) drop(it *item) {
	if it.phase == waiting || it.phase == clearing {
		s.usageOf(it.Key.Workspace).queued--
	}
	if it.phase == waiting {
		s.dequeue(it)
	}
	it.gone = true
	delete(s.leaving, it)
	delete(s.items, it.Key)
}

func (s *State) usageOf(workspace string) *usage {
	u, ok := s.use[workspace]
	if !ok {
		u = &usage{}
		s.use[workspace] = u
	}

	return u
}

func (s *State) act(a Action) {
	s.out = append(s.out, a)
}

func (s *State) refuse(k job.Key, c code.Code, reason string, retry time.Duration) {
	s.act(Action{Kind: Conclude, Key: k, Code: c, Reason: reason, Retry: retry})
}

// tick stops checkpoints that take too long and probes workers put aside.
func (s *State) tick() {
	for it := range s.leaving {
		if it.phase == saving && s.now >= it.until {
			it.phase = stopping
			s.act(Action{Kind: Stop, Key: it.Key})
		}
	}
	sortActions(s.out)
	s.probe()
	s.fresh = true
}

// expire concludes waiting jobs whose deadline has passed.
func (s *State) expire() {
	for len(s.due) > 0 && s.due[0].Deadline <= s.now {
		it := heap.Pop(&s.due).(*item)
		if it.gone || it.phase != waiting && it.phase != clearing || it.Done > 0 || it.began {
			continue
		}
		if it.phase == clearing {
			s.unhold(it)
		}
		s.drop(it)
		if it.Begun {
			s.refuse(it.Key, code.Unknown, "the deadline passed; an earlier planner may have started it", 0)

			continue
		}
		s.refuse(it.Key, code.Deadline, "the deadline passed before the job could start", 0)
	}
}

// Len returns the number of waiting jobs with a deadline.
func (d deadlines) Len() int { return len(d) }

// Less orders by deadline.
func (d deadlines) Less(i, j int) bool { return d[i].Deadline < d[j].Deadline }

// Swap exchanges two jobs.
func (d deadlines) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push adds a job.
func (d *deadlines) Push(x any) { *d = append(*d, x.(*item)) }

// Pop removes the last job.
func (d *deadlines) Pop() any {
	old := *d
	it := old[len(old)-1]
	*d = old[:len(old)-1]

	return it
}
