// Package planner carries out the decisions of package plan while this VM is the
// planner of a region: it renews the workers' leases, starts and stops gangs and
// records the answers of jobs in the log.
package planner

import (
	"context"
	"sync/atomic"
	"time"

	plog "github.com/phuslu/log"

	"sesameyoke/internal/core/config"
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/ledger"
	"sesameyoke/internal/core/plan"
	"sesameyoke/internal/peer/worker"
	"sesameyoke/internal/run/gang"
	"sesameyoke/internal/run/metrics"
	"sesameyoke/internal/run/settings"
	"sesameyoke/internal/run/timer"
)

const (
	// tickInterval is the interval between ticks, which handle everything that
	// depends on time.
	tickInterval = 200 * time.Millisecond

	// inboxSize is the capacity of the loop's message queue.
	inboxSize = 8192

	// orphanGrace is how long a task of an unknown attempt is kept before it is
	// stopped: the record of its job may not have arrived yet.
	orphanGrace = 3 * time.Second

	// resendInterval is the interval after which a request to stop or to checkpoint is
	// sent again.
	resendInterval = time.Second

	// maxLeasesWithoutReport is the time without a report about a run, in lease durations,
	// after which full reports are requested from its workers.
	maxLeasesWithoutReport = 4

	// drainPollInterval is the interval between Drain's checks for pending starts.
	drainPollInterval = 10 * time.Millisecond

	// retryPause is the delay before a failed start is reported to the plan, which may
	// then start the job again, and the delay between attempts to settle a claim or to
	// append to the log.
	retryPause = 300 * time.Millisecond
)

// epoch is the origin of the plan's clock.
var epoch = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)

type (
	// Config holds a planner's settings and dependencies.
	Config struct {
		Self          string
		Region        string
		Timing        settings.Timing
		Ledger        *ledger.Ledger
		Configuration func() *config.State       // the configuration in force
		Planning      func() bool                // whether this VM plans the region
		Address       func(worker string) string // the worker's address, "" if unknown
		Leaving       func(worker string) bool   // whether the VM list marks the worker as leaving
		Workers       *worker.Client
		LogAlive      func() bool // whether the last read of the log was answered
		Commit        func(ctx context.Context, r ledger.Record) (ledger.Verdict, error)
		Timer         *timer.Service
		Metrics       *metrics.Set
		Log           *plog.Logger
		WrapCalls     func(gang.Calls) gang.Calls // wraps the calls to workers and log, for tests; may be nil
	}

	// Planner runs one loop, which owns the session's state. Other goroutines send
	// functions to the loop.
	Planner struct {
		Config

		calls    gang.Calls
		inbox    chan func(*session)
		active   atomic.Bool  // a session is running
		draining atomic.Bool  // no new gangs are started
		starting atomic.Int64 // number of gangs being started
		offers   offers
	}

	// session is the state of one uninterrupted period in which this VM is the planner.
	session struct {
		p             *Planner
		ctx           context.Context
		startedAt     time.Time
		configuration *config.State
		state         *plan.State
		events        []plan.Event
		workers       map[string]*workerStatus
		runs          map[job.Key]*run
		orphans       map[string]*orphan // by attempt ID
		parked        map[job.Key]bool   // non-idempotent jobs waiting until the log answers
		settling      map[job.Key]bool   // jobs whose claim is being settled or voided
		answering     map[job.Key]bool   // jobs whose answer is being appended to the log
		inventoryDone bool               // takeInventory has finished; the plan may decide
	}
)

// New returns a planner. The caller starts Run.
func New(c Config) *Planner {
	p := &Planner{Config: c, inbox: make(chan func(*session), inboxSize)}
	p.calls = p.gangCalls()
	if c.WrapCalls != nil {
		p.calls = c.WrapCalls(p.calls)
	}

	return p
}

// Run plans the region while this VM is its planner. It returns when the context ends.
func (p *Planner) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()

	var s *session
	stop := func() {}
	for {
		select {
		case <-ctx.Done():
			stop()

			return
		case f := <-p.inbox:
			if s != nil {
				f(s)
				s.drainInbox()
				s.step()
			}
		case <-tick.C:
			plans := p.Planning()
			if !plans && s != nil {
				p.Log.Info().Str("event", "planner-end").Str("region", p.Region).Msg("")
				stop()
				s = nil
				p.Metrics.Gauge("runs", 0)
				p.Metrics.Gauge("workers", 0)
			}
			if plans && s == nil {
				p.Log.Info().Str("event", "planner-begin").Str("region", p.Region).Msg("")
				s, stop = p.startSession(ctx)
			}
			if s != nil {
				s.tick()
			}
		}
		p.active.Store(s != nil)
	}
}

// Active reports whether this VM is currently the region's planner.
func (p *Planner) Active() bool {
	return p.active.Load()
}

// Drain prevents further gang starts and waits until the pending starts have
// completed or the context ends.
func (p *Planner) Drain(ctx context.Context) {
	p.draining.Store(true)
	for p.starting.Load() > 0 && ctx.Err() == nil {
		pause(ctx, drainPollInterval)
	}
}

// Occupancy returns the planned occupancy of the racks. It returns nil if this VM is
// not the planner or the context ends first.
func (p *Planner) Occupancy(ctx context.Context) []plan.Occupancy {
	if !p.Active() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.Timing.CallTimeout.Duration)
	defer cancel()

	out := make(chan []plan.Occupancy, 1)
	select {
	case p.inbox <- func(s *session) { out <- s.state.Occupancies() }:
	case <-ctx.Done():
		return nil
	}
	select {
	case v := <-out:
		return v
	case <-ctx.Done():
		return nil
	}
}

// startSession starts a session and returns it with a function that ends it.
func (p *Planner) startSession(ctx context.Context) (*session, func()) {
	ctx, stop := context.WithCancel(ctx)
	s := &session{
		p: p, ctx: ctx, startedAt: p.Timer.Now(),
		workers: make(map[string]*workerStatus), runs: make(map[job.Key]*run),
		orphans: make(map[string]*orphan), parked: make(map[job.Key]bool),
		settling: make(map[job.Key]bool), answering: make(map[job.Key]bool),
	}
	s.rebuild()

	return s, stop
}

// send queues a function for the loop. The function is dropped if the session has
// ended by then.
func (s *session) send(f func(*session)) {
	select {
	case s.p.inbox <- func(current *session) {
		if current == s {
			f(s)
		}
	}:
	case <-s.ctx.Done():
	}
}

// Record notifies the planner of a ledger record that has taken effect. It does not
// block.
func (p *Planner) Record(r ledger.Record) {
	if !p.Active() {
		return
	}
	f := func(s *session) { s.onRecord(r) }
	select {
	case p.inbox <- f:
	default:
		// The queue is full. The loop finds open jobs in the ledger at the next tick.
	}
}

// drainInbox runs the queued functions, at most inboxSize, without blocking.
func (s *session) drainInbox() {
	for range inboxSize {
		select {
		case f := <-s.p.inbox:
			f(s)
		default:
			return
		}
	}
}

// rebuild creates a new plan from the current configuration and adds the existing
// gangs to it. The inventory is taken again.
func (s *session) rebuild() {
	s.configuration = s.p.Configuration()
	s.state = plan.New(plan.Config{
		Region: s.p.Region, Fleet: s.configuration.Fleet, Contracts: s.configuration.Contracts, Policy: s.configuration.Policy,
	})
	s.events = nil
	s.syncFleet()
	for _, w := range s.workers {
		w.downSent = false
	}
	for _, r := range s.runs {
		if r.phase == phaseStarting {
			s.event(plan.Event{Kind: plan.Adopt, Job: s.planJob(r.gang.Job, nil), Places: r.places})

			continue
		}
		s.addToPlan(r)
	}
	s.inventoryDone = false
}

// tick handles everything that depends on time: leases, timeouts, retries and jobs
// that wait for a condition.
func (s *session) tick() {
	s.syncFleet()
	s.renewAll()
	s.takeInventory()
	s.checkLiveness()
	s.reapOrphans()
	s.settleClaims()
	s.resendRequests()
	if s.inventoryDone {
		s.unpark()
		s.submitOpen()
	}
	s.event(plan.Event{Kind: plan.Tick})
	s.step()
	s.p.Metrics.Gauge("runs", float64(len(s.runs)))
	s.p.Metrics.Gauge("workers", float64(len(s.workers)))
}

// applyConfig switches to a new configuration. A change of the fleet rebuilds the plan.
func (s *session) applyConfig(configuration *config.State) {
	previous := s.configuration
	s.configuration = configuration
	if previous.Version("fleet") != configuration.Version("fleet") {
		s.rebuild()

		return
	}
	s.state.SetContracts(configuration.Contracts, plan.Config{Region: s.p.Region, Policy: configuration.Policy})
}

// event queues an event for the plan's next step.
func (s *session) event(e plan.Event) {
	s.events = append(s.events, e)
}

// step passes the queued events to the plan, under the newest configuration, and
// carries out the resulting actions. Events stay queued until the inventory is done.
func (s *session) step() {
	if configuration := s.p.Configuration(); configuration != s.configuration {
		s.applyConfig(configuration)
	}
	if !s.inventoryDone || len(s.events) == 0 {
		return
	}
	events := s.events
	s.events = nil
	for _, a := range s.state.Step(s.p.Timer.Now().Sub(epoch), events...) {
		s.perform(a)
	}
}

func (s *session) perform(a plan.Action) {
	switch a.Kind {
	case plan.Start:
		s.start(a)
	case plan.Save:
		s.save(a.Key)
	case plan.Stop:
		s.stop(a.Key)
	case plan.Throttle:
		s.throttle(a.Key)
	case plan.Conclude:
		s.conclude(a)
	}
}
