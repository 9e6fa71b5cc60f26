package planner

import (
	"sort"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/ledger"
	"sesameyoke/internal/core/plan"
	"sesameyoke/internal/peer/worker"
	"sesameyoke/internal/run/gang"
)

// adoptOrphans takes over the whole gangs of idempotent jobs that an earlier
// planner has started. Claims are settled instead, since a part of their gang may
// have been released.
func (s *session) adoptOrphans() {
	for id, o := range s.orphans {
		s.adopt(id, o)
	}
}

// adopt takes over one gang and reports whether it could.
func (s *session) adopt(id string, o *orphan) bool {
	g, ok := s.gangOf(o)
	if !ok || !g.Job.Idempotent || s.runs[g.Job.Key()] != nil {
		return false
	}
	r := &run{key: g.Job.Key(), id: id, gang: g, began: o.seen, states: make([]worker.Task, len(g.Members))}
	for i, t := range o.tasks {
		r.states[i] = t
	}
	delete(s.orphans, id)
	s.event(plan.Event{Kind: plan.Withdraw, Key: r.key})
	s.runs[r.key] = r
	s.adoptRun(r)
	s.runBegins(r)

	return true
}

// gangOf puts an orphan together. It reports false unless all members are there,
// have begun, and belong to an open job.
func (s *session) gangOf(o *orphan) (*gang.Gang, bool) {
	var any worker.Task
	for _, t := range o.tasks {
		any = t
	}
	e := s.p.Ledger.Get(any.Key)
	if e == nil || e.Answer != nil || len(o.tasks) != any.Members {
		return nil, false
	}
	g := s.newGang(e.Job, any.Attempt)
	for i := range any.Members {
		t, ok := o.tasks[i]
		h := s.workers[o.hosts[i]]
		if !ok || h == nil || t.State != worker.Running && t.State != worker.Done {
			return nil, false
		}
		g.Members = append(g.Members, ledger.Member{
			Worker: h.name, Life: h.life, Token: t.Token, First: t.First, Width: t.Width,
		})
	}

	return g, true
}

func (s *session) newGang(j job.Job, attempt int) *gang.Gang {
	return &gang.Gang{
		Job: j, Attempt: attempt, Holder: s.p.Self,
		ReserveTTL: s.p.Timing.Reserve.Duration, FirstLeaseTTL: s.p.Timing.First.Duration, Ports: s.p.calls,
	}
}

// adoptRun tells the plan of a gang that runs already.
func (s *session) adoptRun(r *run) {
	places := make([]plan.Place, 0, len(r.gang.Members))
	for _, m := range r.gang.Members {
		h := s.workers[m.Worker]
		if h == nil {
			continue
		}
		places = append(places, plan.Place{Rack: h.rack, First: h.first + m.First, Width: m.Width})
	}
	r.places = places
	s.event(plan.Event{Kind: plan.Adopt, Job: s.planJob(r.gang.Job, nil), Places: places})
}

// reapOrphans stops tasks that belong to no open job, or to a gang that was never
// whole, once their job's record has had time to arrive.
func (s *session) reapOrphans() {
	now := s.p.Timer.Now()
	for id, o := range s.orphans {
		if now.Sub(o.seen) < orphanGrace || s.adopt(id, o) {
			continue
		}
		delete(s.orphans, id)
		for i, t := range o.tasks {
			s.reap(o.hosts[i], t)
		}
	}
}

func (s *session) reap(name string, t worker.Task) {
	h := s.workers[name]
	if h == nil {
		return
	}
	if e := s.p.Ledger.Get(t.Key); e != nil && e.Claim != nil && e.Answer == nil {
		return // settleClaims decides, and needs what the worker knows
	}
	if !t.State.Holds() {
		h.forget = append(h.forget, t.Token)

		return
	}
	s.p.Log.Info().Str("event", "reap").Str("job", t.Key.String()).Str("worker", name).Str("state", string(t.State)).Msg("")
	stop := worker.TokenRequest{Token: t.Token, Life: h.life} // the host changes meanwhile
	go func() {
		_, _ = s.p.calls.Stop(s.ctx, name, stop)
	}()
}

// settleClaims finds out what became of claims that no run here stands for.
func (s *session) settleClaims() {
	if !s.surveyed {
		return
	}
	s.p.Ledger.Each(func(e *ledger.Entry) bool {
		k := e.Job.Key()
		if e.Answer == nil && e.Claim != nil && e.Job.Region == s.p.Region && s.idle(k) {
			s.settle(e)
		}

		return true
	})
}

// idle reports whether nothing is under way for the job.
func (s *session) idle(k job.Key) bool {
	return s.runs[k] == nil && !s.settles[k] && !s.closing[k]
}

func (s *session) settle(e *ledger.Entry) {
	k := e.Job.Key()
	s.settles[k] = true
	g := s.newGang(e.Job, e.Claim.Attempt)
	g.Members = e.Claim.Members
	claim := e.Claim
	go func() {
		deadline := s.p.Timer.Now().Add(2 * s.p.Timing.Lease.Duration)
		res := g.Settle(s.ctx)
		for res.Outcome == gang.InDoubt && s.p.Timer.Now().Before(deadline) && s.ctx.Err() == nil {
			wait(s.ctx, busyPause)
			res = g.Settle(s.ctx)
		}
		s.send(func(s *session) { s.settled(g, claim, res) })
	}()
}

func (s *session) settled(g *gang.Gang, claim *ledger.Claim, res gang.Result) {
	k := g.Job.Key()
	delete(s.settles, k)
	e := s.p.Ledger.Get(k)
	if e == nil || e.Answer != nil || e.Claim != claim {
		return
	}
	s.p.Log.Info().Str("event", "settle").Str("job", k.String()).Int("attempt", claim.Attempt).
		Str("outcome", string(res.Outcome)).Str("reason", res.Reason).Msg("")
	s.p.Metrics.Count("settles", map[string]string{"outcome": string(res.Outcome)})
	r := &run{key: k, id: attemptOf(g.Members[0].Token), gang: g, began: s.p.Timer.Now(), states: make([]worker.Task, len(g.Members))}
	switch res.Outcome {
	case gang.NotStarted:
		s.void(k, claim)
	case gang.Started, gang.Broken:
		s.runs[k] = r
		s.adoptRun(r)
		s.takeStates(r)
		s.runBegins(r)
		if res.Outcome == gang.Broken {
			s.broken(r, res.Worker, res.Reason)
		}
	case gang.InDoubt:
		a := job.Conclude(k, code.Unknown, "the first worker of the gang cannot say whether it began: "+res.Reason)
		a.Attempt = claim.Attempt
		s.answer(a, nil)
	}
}

// takeStates gives a run the reports that came before it was known.
func (s *session) takeStates(r *run) {
	if o := s.orphans[r.id]; o != nil {
		for i, t := range o.tasks {
			if i < len(r.states) && t.State.Began() {
				r.states[i] = t
			}
		}
		delete(s.orphans, r.id)
	}
	s.askAll(r)
}

// askAll asks the workers of a gang for full reports.
func (s *session) askAll(r *run) {
	for _, m := range r.gang.Members {
		if h := s.workers[m.Worker]; h != nil {
			h.full = true
		}
	}
}

// submitOpen hands open jobs to the plan that it does not have yet.
func (s *session) submitOpen() {
	var open []*ledger.Entry
	s.p.Ledger.Each(func(e *ledger.Entry) bool {
		if e.Answer == nil && e.Claim == nil && e.Job.Region == s.p.Region && !s.state.Has(e.Job.Key()) {
			open = append(open, e)
		}

		return true
	})
	sort.Slice(open, func(i, j int) bool { return open[i].Offset < open[j].Offset })
	for _, e := range open {
		s.submit(e)
	}
	for _, j := range s.p.offers.open() {
		if !s.state.Has(j.Key()) && s.p.Ledger.Get(j.Key()) == nil && s.idle(j.Key()) {
			s.event(plan.Event{Kind: plan.Submit, Job: s.planJob(j, nil)})
		}
	}
}

func (s *session) submit(e *ledger.Entry) {
	k := e.Job.Key()
	if !s.idle(k) || s.parked[k] || e.Answer != nil || e.Claim != nil {
		return
	}
	if e.Job.Config > s.p.Rules().Offset {
		return // accepted under a configuration that has not arrived here; tried at the next tick
	}
	s.event(plan.Event{Kind: plan.Submit, Job: s.planJob(e.Job, e)})
	if e.Cancelled {
		s.event(plan.Event{Kind: plan.Cancel, Key: k})
	}
}

// planJob returns what the decisions need to know of a job.
func (s *session) planJob(j job.Job, e *ledger.Entry) plan.Job {
	p := plan.Job{
		Key: j.Key(), Kind: j.Kind, Shape: j.Shape, Declared: j.Run.Duration,
		Movable: j.Idempotent, Urgent: j.Urgent, Since: j.Submitted.Sub(epoch),
	}
	if !j.Deadline.IsZero() {
		p.Deadline = j.Deadline.Sub(epoch)
	}
	if e != nil {
		p.Begun = e.Begun
		if e.Save != nil {
			p.Done = e.Save.Done.Duration
		}
	}

	return p
}

// unpark puts non-idempotent jobs back in line once the log answers, and answers
// those whose deadline has passed meanwhile.
func (s *session) unpark() {
	if len(s.parked) == 0 || !s.p.LogAlive() {
		return
	}
	s.parked = make(map[job.Key]bool)
}

// record takes in a record that has taken effect.
func (s *session) record(r ledger.Record) {
	if !s.surveyed {
		return
	}
	e := s.p.Ledger.Get(r.Key)
	if e == nil || e.Job.Region != s.p.Region {
		return
	}
	switch r.Kind {
	case ledger.KindOpen, ledger.KindVoid:
		if !s.state.Has(r.Key) {
			s.submit(e)
		}
	case ledger.KindCancel:
		s.event(plan.Event{Kind: plan.Cancel, Key: r.Key})
	case ledger.KindClose:
		if s.runs[r.Key] == nil {
			s.event(plan.Event{Kind: plan.Withdraw, Key: r.Key})
		}
	}
}

// nudge repeats requests to stop or save that may have been lost.
func (s *session) nudge() {
	now := s.p.Timer.Now()
	for _, r := range s.runs {
		if r.phase != phaseStarting && now.Sub(r.heard) > quietLeases*s.p.Timing.Lease.Duration {
			r.heard = now
			s.askAll(r)
		}
		if now.Sub(r.asked) < nudgeEvery {
			continue
		}
		switch r.phase {
		case phaseStopping:
			s.haltRun(r)
		case phaseSaving:
			r.asked = now
			s.askSave(r)
		}
	}
}
