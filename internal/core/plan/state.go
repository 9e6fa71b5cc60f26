package plan

import (
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
		over     int           // reports in a row of more than the declared share
		searched time.Duration // last search for jobs to give way
		group    *group
		drains   bool     // clearing: the places drain by themselves
		failedOn []string // workers on which it failed
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
		costs   costs   // scratch space of the search
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
	case Usage:
		s.judgeUsage(it, e.Share)
	case Withdraw:
		s.withdraw(it)
	}
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
