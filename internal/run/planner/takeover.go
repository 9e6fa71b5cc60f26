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

// adoptOrphans takes over the complete gangs of idempotent jobs that an earlier planner
// has started. The claims of non-idempotent jobs are settled instead, by settleClaims,
// because some members of their gangs may have been released.
func (s *session) adoptOrphans() {
	for id, o := range s.orphans {
		s.adopt(id, o)
	}
}

// adopt takes over one gang and reports whether it succeeded.
func (s *session) adopt(id string, o *orphan) bool {
	g, ok := s.assembleGang(o)
	if !ok || !g.Job.Idempotent || s.runs[g.Job.Key()] != nil {
		return false
	}
	r := &run{key: g.Job.Key(), id: id, gang: g, startedAt: o.firstSeen, tasks: make([]worker.Task, len(g.Members))}
	for i, t := range o.tasks {
		r.tasks[i] = t
	}
	delete(s.orphans, id)
	s.event(plan.Event{Kind: plan.Withdraw, Key: r.key})
	s.runs[r.key] = r
	s.addToPlan(r)
	s.onRunning(r)

	return true
}

// assembleGang builds the gang of an orphan. It returns false unless the job is open
// and all members have been reported as running or done.
func (s *session) assembleGang(o *orphan) (*gang.Gang, bool) {
	var sample worker.Task
	for _, t := range o.tasks {
		sample = t
	}
	e := s.p.Ledger.Get(sample.Key)
	if e == nil || e.Answer != nil || len(o.tasks) != sample.Members {
		return nil, false
	}
	g := s.newGang(e.Job, sample.Attempt)
	for i := range sample.Members {
		t, ok := o.tasks[i]
		w := s.workers[o.workers[i]]
		if !ok || w == nil || t.State != worker.Running && t.State != worker.Done {
			return nil, false
		}
		g.Members = append(g.Members, ledger.Member{
			Worker: w.name, Incarnation: w.incarnation, Token: t.Token, First: t.First, Width: t.Width,
		})
	}

	return g, true
}

func (s *session) newGang(j job.Job, attempt int) *gang.Gang {
	return &gang.Gang{
		Job: j, Attempt: attempt, Holder: s.p.Self,
		ReservationTTL: s.p.Timing.ReservationTTL.Duration, InitialLeaseTTL: s.p.Timing.InitialLeaseTTL.Duration, Calls: s.p.calls,
	}
}

// addToPlan adds a gang that already runs to the plan. Members whose worker has left
// the fleet are omitted.
func (s *session) addToPlan(r *run) {
	places := make([]plan.Place, 0, len(r.gang.Members))
	for _, m := range r.gang.Members {
		w := s.workers[m.Worker]
		if w == nil {
			continue
		}
		places = append(places, plan.Place{Rack: w.rack, First: w.first + m.First, Width: m.Width})
	}
	r.places = places
	s.event(plan.Event{Kind: plan.Adopt, Job: s.planJob(r.gang.Job, nil), Places: places})
}

// reapOrphans adopts orphans that have become complete and stops the others after
// orphanGrace: tasks without an open job and tasks of incomplete gangs.
func (s *session) reapOrphans() {
	now := s.p.Timer.Now()
	for id, o := range s.orphans {
		if now.Sub(o.firstSeen) < orphanGrace || s.adopt(id, o) {
			continue
		}
		delete(s.orphans, id)
		for i, t := range o.tasks {
			s.reap(o.workers[i], t)
		}
	}
}

// reap stops an orphaned task, or discards its result if it has already ended.
func (s *session) reap(name string, t worker.Task) {
	w := s.workers[name]
	if w == nil {
		return
	}
	if e := s.p.Ledger.Get(t.Key); e != nil && e.Claim != nil && e.Answer == nil {
		return // settleClaims handles the claim and needs the worker's state of the token
	}
	if !t.State.HoldsAccelerators() {
		w.discard = append(w.discard, t.Token)

		return
	}
	s.p.Log.Info().Str("event", "reap").Str("job", t.Key.String()).Str("worker", name).Str("state", string(t.State)).Msg("")
	stop := worker.TokenRequest{Token: t.Token, Incarnation: w.incarnation} // read here: the loop may change w before the goroutine runs
	go func() {
		_, _ = s.p.calls.Stop(s.ctx, name, stop)
	}()
}

// settleClaims settles the claims in effect that have no run in this session, such as
// those of an earlier planner.
func (s *session) settleClaims() {
	if !s.inventoryDone {
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

// idle reports whether the job has no run, no claim being settled and no answer being
// appended.
func (s *session) idle(k job.Key) bool {
	return s.runs[k] == nil && !s.settling[k] && !s.answering[k]
}

// settle resolves a claim in the background. It retries for two lease durations while
// the outcome is in doubt; after that, the job is answered with code unknown.
func (s *session) settle(e *ledger.Entry) {
	k := e.Job.Key()
	s.settling[k] = true
	g := s.newGang(e.Job, e.Claim.Attempt)
	g.Members = e.Claim.Members
	claim := e.Claim
	go func() {
		deadline := s.p.Timer.Now().Add(2 * s.p.Timing.WorkerLease.Duration)
		res := g.Settle(s.ctx)
		for res.Outcome == gang.InDoubt && s.p.Timer.Now().Before(deadline) && s.ctx.Err() == nil {
			pause(s.ctx, retryPause)
			res = g.Settle(s.ctx)
		}
		s.send(func(s *session) { s.onSettled(g, claim, res) })
	}()
}

// onSettled handles the outcome of settling a claim. It ignores the outcome if the claim
// has been voided or replaced, or the job has been answered in the meantime.
func (s *session) onSettled(g *gang.Gang, claim *ledger.Claim, res gang.Result) {
	k := g.Job.Key()
	delete(s.settling, k)
	e := s.p.Ledger.Get(k)
	if e == nil || e.Answer != nil || e.Claim != claim {
		return
	}
	s.p.Log.Info().Str("event", "settle").Str("job", k.String()).Int("attempt", claim.Attempt).
		Str("outcome", string(res.Outcome)).Str("reason", res.Reason).Msg("")
	s.p.Metrics.Count("settles", map[string]string{"outcome": string(res.Outcome)})
	r := &run{key: k, id: attemptID(g.Members[0].Token), gang: g, startedAt: s.p.Timer.Now(), tasks: make([]worker.Task, len(g.Members))}
	switch res.Outcome {
	case gang.NotStarted:
		s.void(k, claim)
	case gang.Started, gang.Broken:
		s.runs[k] = r
		s.addToPlan(r)
		s.adoptReports(r)
		s.onRunning(r)
		if res.Outcome == gang.Broken {
			s.markBroken(r, res.Worker, res.Reason)
		}
	case gang.InDoubt:
		a := job.NewAnswer(k, code.Unknown, "the first worker of the gang cannot say whether it began: "+res.Reason)
		a.Attempt = claim.Attempt
		s.answer(a, nil)
	}
}

// adoptReports applies the reports that arrived before the run was known, and requests
// full reports from its workers.
func (s *session) adoptReports(r *run) {
	if o := s.orphans[r.id]; o != nil {
		for i, t := range o.tasks {
			if i < len(r.tasks) && t.State.HasStarted() {
				r.tasks[i] = t
			}
		}
		delete(s.orphans, r.id)
	}
	s.requestFullReports(r)
}

// requestFullReports makes the next lease renewal of the gang's workers ask for a full
// report.
func (s *session) requestFullReports(r *run) {
	for _, m := range r.gang.Members {
		if w := s.workers[m.Worker]; w != nil {
			w.wantFull = true
		}
	}
}

// submitOpen submits the open jobs that are not in the plan yet, in the order of their
// log offsets, and then the open jobs that entry VMs have offered.
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

// submit submits one open job to the plan, unless it is parked, claimed or being
// processed.
func (s *session) submit(e *ledger.Entry) {
	k := e.Job.Key()
	if !s.idle(k) || s.parked[k] || e.Answer != nil || e.Claim != nil {
		return
	}
	if e.Job.Config > s.p.Configuration().Offset {
		return // accepted under a configuration that this VM has not received; retried at the next tick
	}
	s.event(plan.Event{Kind: plan.Submit, Job: s.planJob(e.Job, e)})
	if e.Cancelled {
		s.event(plan.Event{Kind: plan.Cancel, Key: k})
	}
}

// planJob returns a job in the form that the plan needs. e is its ledger entry, if any.
func (s *session) planJob(j job.Job, e *ledger.Entry) plan.Job {
	p := plan.Job{
		Key: j.Key(), Kind: j.Kind, Shape: j.Shape, Declared: j.Run.Duration,
		Preemptible: j.Idempotent, Urgent: j.Urgent, SubmittedAt: j.Submitted.Sub(epoch),
	}
	if !j.Deadline.IsZero() {
		p.Deadline = j.Deadline.Sub(epoch)
	}
	if e != nil {
		p.MayHaveStarted = e.MayHaveStarted
		if e.Checkpoint != nil {
			p.CheckpointedRunTime = e.Checkpoint.RunTime.Duration
		}
	}

	return p
}

// unpark releases the parked non-idempotent jobs once the log answers. submitOpen then
// submits them again, and the plan answers those whose deadline has passed meanwhile.
func (s *session) unpark() {
	if len(s.parked) == 0 || !s.p.LogAlive() {
		return
	}
	s.parked = make(map[job.Key]bool)
}

// onRecord translates a ledger record that has taken effect into events for the plan.
func (s *session) onRecord(r ledger.Record) {
	if !s.inventoryDone {
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

// resendRequests repeats requests to stop or checkpoint, which may have been lost, and
// requests full reports about runs that have not been reported for maxLeasesWithoutReport.
func (s *session) resendRequests() {
	now := s.p.Timer.Now()
	for _, r := range s.runs {
		if r.phase != phaseStarting && now.Sub(r.lastReport) > maxLeasesWithoutReport*s.p.Timing.WorkerLease.Duration {
			r.lastReport = now
			s.requestFullReports(r)
		}
		if now.Sub(r.lastRequest) < resendInterval {
			continue
		}
		switch r.phase {
		case phaseStopping:
			s.stopMembers(r)
		case phaseSaving:
			r.lastRequest = now
			s.sendSave(r)
		}
	}
}
