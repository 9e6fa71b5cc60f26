// Package planner carries out the decisions of package plan for the region of
// which this VM is the planner: it renews the workers' leases, runs the protocol
// of each gang and answers jobs through the log.
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
	// tickEvery is how often time alone is looked at.
	tickEvery = 200 * time.Millisecond

	// inbox is the number of messages that may wait for the loop.
	inbox = 8192

	// orphanGrace is how long a task that belongs to no planned job is left alone:
	// its job's record may still be on its way.
	orphanGrace = 3 * time.Second

	// nudgeEvery is how often a stop or checkpoint is asked for again.
	nudgeEvery = time.Second

	// quietLeases is after how many leases without a report of a gang its workers are
	// asked for everything they know.
	quietLeases = 4

	// drainPoll is how often Drain looks again.
	drainPoll = 10 * time.Millisecond

	// busyPause is how long a job waits after a worker has refused it.
	busyPause = 300 * time.Millisecond
)

// epoch is where the plan's time begins.
var epoch = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)

type (
	// Config is what a planner needs.
	Config struct {
		Self     string
		Region   string
		Timing   settings.Timing
		Ledger   *ledger.Ledger
		Rules    func() *config.State       // the configuration in force
		Planning func() bool                // whether this VM plans the region
		Address  func(worker string) string // where a worker listens; "" is not known
		Leaving  func(worker string) bool   // whether the VM list shows it as leaving
		Workers  *worker.Client
		LogAlive func() bool // whether the log answered lately
		Commit   func(ctx context.Context, r ledger.Record) (ledger.Verdict, error)
		Timer    *timer.Service
		Metrics  *metrics.Set
		Log      *plog.Logger
		Ports    func(gang.Ports) gang.Ports // changes the calls to workers and log, for tests; nil is none
	}

	// Planner runs one loop that owns all its state. Other goroutines send it
	// functions.
	Planner struct {
		Config

		calls    gang.Ports
		in       chan func(*session)
		active   atomic.Bool  // a session is running
		drain    atomic.Bool  // no new gangs are started
		starting atomic.Int64 // gangs whose start is under way
		offers   offers
	}

	// session is the state of one uninterrupted time as planner.
	session struct {
		p        *Planner
		ctx      context.Context
		begun    time.Time
		rules    *config.State
		state    *plan.State
		events   []plan.Event
		workers  map[string]*host
		runs     map[job.Key]*run
		orphans  map[string]*orphan // by attempt ID
		parked   map[job.Key]bool   // non-idempotent jobs that wait for the log
		settles  map[job.Key]bool   // claims that are being settled
		closing  map[job.Key]bool   // answers that are on their way to the log
		surveyed bool
	}
)

// New returns a planner; Run has to be started.
func New(c Config) *Planner {
	p := &Planner{Config: c, in: make(chan func(*session), inbox)}
	p.calls = p.bind()
	if c.Ports != nil {
		p.calls = c.Ports(p.calls)
	}

	return p
}

// Run plans whenever this VM is the region's planner, until the context ends.
func (p *Planner) Run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()

	var s *session
	stop := func() {}
	for {
		select {
		case <-ctx.Done():
			stop()

			return
		case f := <-p.in:
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
				s, stop = p.open(ctx)
			}
			if s != nil {
				s.tick()
			}
		}
		p.active.Store(s != nil)
	}
}

// Active reports whether this VM plans its region now.
func (p *Planner) Active() bool {
	return p.active.Load()
}

// Drain starts no more gangs and waits until none is half started, or the context
// ends.
func (p *Planner) Drain(ctx context.Context) {
	p.drain.Store(true)
	for p.starting.Load() > 0 && ctx.Err() == nil {
		wait(ctx, drainPoll)
	}
}

// Occupancy returns the racks as they are planned now, or nil when this VM does not
// plan or the context ends first.
func (p *Planner) Occupancy(ctx context.Context) []plan.Occupancy {
	if !p.Active() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.Timing.Call.Duration)
	defer cancel()

	out := make(chan []plan.Occupancy, 1)
	select {
	case p.in <- func(s *session) { out <- s.state.Occupancies() }:
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

func (p *Planner) open(ctx context.Context) (*session, func()) {
	ctx, stop := context.WithCancel(ctx)
	s := &session{
		p: p, ctx: ctx, begun: p.Timer.Now(),
		workers: make(map[string]*host), runs: make(map[job.Key]*run),
		orphans: make(map[string]*orphan), parked: make(map[job.Key]bool),
		settles: make(map[job.Key]bool), closing: make(map[job.Key]bool),
	}
	s.rebuild()

	return s, stop
}

// send hands a function to the loop. It is dropped when the session has ended.
func (s *session) send(f func(*session)) {
	select {
	case s.p.in <- func(now *session) {
		if now == s {
			f(s)
		}
	}:
	case <-s.ctx.Done():
	}
}

// Record tells the planner of a record that has taken effect.
func (p *Planner) Record(r ledger.Record) {
	if !p.Active() {
		return
	}
	f := func(s *session) { s.record(r) }
	select {
	case p.in <- f:
	default:
		// The loop reads the ledger itself once it has caught up.
	}
}

func (s *session) drainInbox() {
	for range inbox {
		select {
		case f := <-s.p.in:
			f(s)
		default:
			return
		}
	}
}

// rebuild makes a new plan for a new fleet. Running gangs are adopted again.
func (s *session) rebuild() {
	s.rules = s.p.Rules()
	s.state = plan.New(plan.Rules{
		Region: s.p.Region, Fleet: s.rules.Fleet, Contracts: s.rules.Contracts, Policy: s.rules.Policy,
	})
	s.events = nil
	s.syncWorkers()
	for _, h := range s.workers {
		h.told = false
	}
	for _, r := range s.runs {
		if r.phase == phaseStarting {
			s.event(plan.Event{Kind: plan.Adopt, Job: s.planJob(r.gang.Job, nil), Places: r.places})

			continue
		}
		s.adoptRun(r)
	}
	s.surveyed = false
}

// tick looks at everything that time alone changes.
func (s *session) tick() {
	s.syncWorkers()
	s.renewAll()
	s.survey()
	s.judgeSilence()
	s.reapOrphans()
	s.settleClaims()
	s.nudge()
	if s.surveyed {
		s.unpark()
		s.submitOpen()
	}
	s.event(plan.Event{Kind: plan.Tick})
	s.step()
	s.p.Metrics.Gauge("runs", float64(len(s.runs)))
	s.p.Metrics.Gauge("workers", float64(len(s.workers)))
}

// reload takes over a new configuration.
func (s *session) reload(rules *config.State) {
	was := s.rules
	s.rules = rules
	if was.Version("fleet") != rules.Version("fleet") {
		s.rebuild()

		return
	}
	s.state.SetContracts(rules.Contracts, plan.Rules{Region: s.p.Region, Policy: rules.Policy})
}

func (s *session) event(e plan.Event) {
	s.events = append(s.events, e)
}

// step lets the plan decide on what has happened, by the newest configuration, and
// carries out its actions.
func (s *session) step() {
	if rules := s.p.Rules(); rules != s.rules {
		s.reload(rules)
	}
	if !s.surveyed || len(s.events) == 0 {
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
