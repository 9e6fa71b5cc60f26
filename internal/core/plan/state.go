package plan

import (
	"time"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/contract"
	"sesameyoke/internal/core/estimate"
	"sesameyoke/internal/core/job"
)

// Phases of a job in the plan.
const (
	waiting phase = iota
	reserved
	running
	saving
	stopping
)

type (
	phase int

	// plannedJob is the state of a job that waits or runs.
	plannedJob struct {
		Job
		size           int // accelerators of all members
		estimate       estimate.Estimate
		phase          phase
		places         []Place
		started        time.Duration // start of the current run
		score          float64       // queue score, lowest first; see scoreOf
		inOwnBlock     bool          // runs entirely within blocks promised to its workspace
		seq            int           // arrival order, used as a tie-breaker
		saveDeadline   time.Duration // phase saving: the job is stopped at this time
		evictedAt      time.Duration // time of the last eviction
		evictions      int
		overuseReports int           // consecutive reports of usage above the declared share
		searchedAt     time.Duration // last search for jobs to preempt
		group          *group
		draining       bool     // phase reserved: waits until the jobs on the places end, without evictions
		failedOn       []string // workers on which the job failed
		hasRun         bool     // has run at least once
		removed        bool     // cancelled, or no longer planned
	}

	// workspaceUsage counts the running and waiting work of one workspace.
	workspaceUsage struct {
		running int // accelerators in use
		queued  int // waiting jobs

		// Cached share penalty, and the numbers of accelerators for which it was computed:
		// in use by the workspace, and available in total.
		penalty        float64
		penaltyRunning int
		penaltyTotal   int
	}

	// State is the state of the scheduler. It is not safe for concurrent use.
	State struct {
		tune        Tuning
		config      Config
		now         time.Duration
		racks       *racks
		byName      map[string]workerRef // workers by name
		jobs        map[job.Key]*plannedJob
		groups      map[groupKey]*group
		active      []*group             // groups with waiting jobs
		reserved    []*plannedJob        // jobs in phase reserved
		evicting    map[*plannedJob]bool // jobs being checkpointed for an eviction; they still occupy their places
		usage       map[string]*workspaceUsage
		blocks      map[string][]contract.Block
		ownMasks    map[workspaceRack]uint64 // accelerators in blocks promised to the workspace
		health      map[string]*health
		runTimes    *estimate.History
		due         deadlines
		budget      float64 // accelerator-seconds available for checkpoints and restarts
		seq         int
		totalWeight float64 // sum of the weights of all contracts
		actions     []Action
		rankBuf     ranking   // reused by rank to avoid allocations
		cursor      int       // rack at which the next search for preemptions begins
		costs       rackCosts // reused by evictionCosts to avoid allocations
		dirty       bool      // a scheduling pass is needed
	}

	workerRef struct {
		rack int
		span span
	}

	workspaceRack struct {
		workspace string
		rack      int
	}
)

// New returns a state without any jobs.
func New(config Config) *State {
	s := &State{
		jobs: make(map[job.Key]*plannedJob), groups: make(map[groupKey]*group),
		evicting: make(map[*plannedJob]bool), usage: make(map[string]*workspaceUsage),
		health: make(map[string]*health), runTimes: estimate.New(),
	}
	s.setConfig(config)
	s.buildRacks()

	return s
}

// buildRacks initializes the racks of the fleet, with all accelerators free.
func (s *State) buildRacks() {
	s.racks = newRacks(s.config.Fleet, s.config.Region)
	s.byName = make(map[string]workerRef)
	for i := range s.racks.all {
		for _, w := range s.racks.all[i].workers {
			s.byName[w.name] = workerRef{rack: i, span: w}
		}
	}
	s.apportion()
}

// setConfig applies the contracts and the policy.
func (s *State) setConfig(config Config) {
	s.config = config
	if config.Tune == nil {
		config.Tune = Tune
	}
	s.tune = config.Tune(config.Policy)
	s.totalWeight = 0
	for _, c := range config.Contracts {
		s.totalWeight += float64(c.Weight)
	}
}

// SetContracts replaces the contracts and the policy. The fleet and the jobs are unchanged.
func (s *State) SetContracts(book contract.Book, config Config) {
	config.Fleet = s.config.Fleet
	config.Contracts = book
	s.setConfig(config)
	for _, u := range s.usage {
		u.penaltyTotal = -1 // invalidates the cached penalty
	}
	s.apportion()
	s.dirty = true
}

// apportion assigns positions to the promised blocks, leaving out racks that are down.
func (s *State) apportion() {
	downRacks := make(map[int]bool)
	for i := range s.racks.all {
		r := &s.racks.all[i]
		if r.mask != 0 && r.mask&^r.down == 0 {
			downRacks[i] = true
		}
	}
	blocks, _ := contract.Apportion(s.config.Contracts, s.config.Fleet, downRacks)
	s.blocks = make(map[string][]contract.Block)
	s.ownMasks = make(map[workspaceRack]uint64)
	for i := range s.racks.all {
		s.racks.all[i].promised = 0
	}
	for _, b := range blocks {
		if s.racks.all[b.Rack].mask == 0 {
			continue // the rack is in another region
		}
		s.blocks[b.Workspace] = append(s.blocks[b.Workspace], b)
		s.ownMasks[workspaceRack{b.Workspace, b.Rack}] |= b.Mask()
		s.racks.all[b.Rack].promised |= b.Mask()
	}
}

// Step applies events that happened at one time and returns the resulting actions. Time is
// monotonic: an earlier time than in the last call is treated as equal to it.
func (s *State) Step(now time.Duration, events ...Event) []Action {
	s.advance(now)
	s.actions = nil
	for i := range events {
		s.apply(&events[i])
	}
	s.expire()
	if s.dirty {
		s.dirty = false
		s.pass()
	}

	return s.actions
}

func (s *State) advance(now time.Duration) {
	if now <= s.now {
		return
	}
	limit := s.tune.budgetSeconds * s.budgetRate()
	s.budget = min(limit, s.budget+s.budgetRate()*(now-s.now).Seconds())
	s.now = now
}

// budgetRate returns how many accelerator-seconds the checkpoint budget gains per second.
func (s *State) budgetRate() float64 {
	return s.config.Policy.Budget * float64(s.racks.total)
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
	j := s.jobs[e.Key]
	if j == nil {
		return
	}
	s.dirty = true
	switch e.Kind {
	case Cancel:
		s.cancel(j)
	case Finish:
		s.finish(j)
	case Fail:
		s.fail(j, e.Worker)
	case StartRefused:
		s.startRefused(j, e.Worker)
	case CheckpointDone:
		s.checkpointDone(j, e.CheckpointedRunTime)
	case StopDone:
		s.stopDone(j)
	case Usage:
		s.enforceShare(j, e.CPUUsage)
	case Withdraw:
		s.withdraw(j)
	}
}

func (s *State) usageOf(workspace string) *workspaceUsage {
	u, ok := s.usage[workspace]
	if !ok {
		u = &workspaceUsage{}
		s.usage[workspace] = u
	}

	return u
}

func (s *State) emit(a Action) {
	s.actions = append(s.actions, a)
}

func (s *State) conclude(k job.Key, c code.Code, reason string, retry time.Duration) {
	s.emit(Action{Kind: Conclude, Key: k, Code: c, Reason: reason, RetryAfter: retry})
}

// tick stops jobs whose checkpoint takes too long and ends quarantines that have expired.
func (s *State) tick() {
	for j := range s.evicting {
		if j.phase == saving && s.now >= j.saveDeadline {
			j.phase = stopping
			s.emit(Action{Kind: Stop, Key: j.Key})
		}
	}
	sortActions(s.actions)
	s.endQuarantines()
	s.dirty = true
}
