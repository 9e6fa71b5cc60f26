package planner

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/ledger"
	"sesameyoke/internal/core/plan"
	"sesameyoke/internal/peer/worker"
	"sesameyoke/internal/run/gang"
)

// Phases of a run.
const (
	phaseStarting runPhase = iota
	phaseRunning
	phaseSaving
	phaseStopping
	phaseEnding // all members have ended
)

type (
	runPhase int

	// run is one attempt of a job that this planner looks after.
	run struct {
		key    job.Key
		id     string     // of the attempt: the tokens begin with it
		gang   *gang.Gang // belongs to the protocol's goroutine while phase is phaseStarting
		phase  runPhase
		halt   bool // a stop was asked for while the gang was starting
		save   bool // a checkpoint was asked for while the gang was starting
		states []worker.Task
		places []plan.Place
		reason string    // why the run broke; empty while it has not
		blame  string    // the worker that broke it
		asked  time.Time // when the members were last asked to save or stop
		heard  time.Time // when a member was last reported
		began  time.Time
	}
)

func (r *run) owns(token string) bool {
	return attemptOf(token) == r.id
}

func newAttemptID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)

	return hex.EncodeToString(b)
}

// start runs the gang's protocol in a goroutine of its own.
func (s *session) start(a plan.Action) {
	j, save, attempt, ok := s.jobOf(a.Key)
	if !ok || s.p.drain.Load() {
		s.event(plan.Event{Kind: plan.Withdraw, Key: a.Key})

		return
	}
	if !j.Idempotent && !s.p.LogAlive() {
		s.parked[a.Key] = true
		s.event(plan.Event{Kind: plan.Withdraw, Key: a.Key})

		return
	}
	g := &gang.Gang{
		Job: j, Attempt: attempt, Holder: s.p.Self, Checkpoint: save,
		ReserveTTL: s.p.Timing.Reserve.Duration, FirstLeaseTTL: s.p.Timing.First.Duration, Ports: s.p.calls,
	}
	id := newAttemptID()
	for i, p := range a.Places {
		name, first := s.hostAt(p)
		g.Members = append(g.Members, ledger.Member{
			Worker: name, Token: fmt.Sprintf("%s.%d", id, i), First: first, Width: p.Width,
		})
	}
	r := &run{key: a.Key, id: id, gang: g, states: make([]worker.Task, len(g.Members)), places: a.Places, began: s.p.Timer.Now()}
	s.runs[a.Key] = r
	s.p.starting.Add(1)
	go func() {
		defer s.p.starting.Add(-1)
		res := g.Start(s.ctx)
		s.send(func(s *session) { s.started(r, res) })
	}()
}

// hostAt returns the worker of a place and the place's first accelerator there.
func (s *session) hostAt(p plan.Place) (string, int) {
	at := 0
	for _, w := range s.rules.Fleet.Racks[p.Rack].Workers {
		if p.First < at+w.Accelerators {
			return w.Name, p.First - at
		}
		at += w.Accelerators
	}

	return "", 0
}

// jobOf returns an open job, its newest checkpoint and the number of the next
// attempt.
func (s *session) jobOf(k job.Key) (job.Job, *ledger.Save, int, bool) {
	if e := s.p.Ledger.Get(k); e != nil {
		if e.Answer != nil || e.Claim != nil {
			return job.Job{}, nil, 0, false
		}

		return e.Job, e.Save, e.Attempts + 1, true
	}
	j, ok := s.p.offers.job(k)

	return j, nil, 1, ok
}

// started takes in the outcome of the protocol.
func (s *session) started(r *run, res gang.Result) {
	s.p.Log.Info().Str("event", "start").Str("job", r.key.String()).Int("attempt", r.gang.Attempt).
		Str("outcome", string(res.Outcome)).Str("worker", res.Worker).Str("reason", res.Reason).Msg("")
	s.p.Metrics.Count("starts", map[string]string{"outcome": string(res.Outcome)})
	switch res.Outcome {
	case gang.Started:
		s.p.Metrics.Time("start_wait", s.p.Timer.Now().Sub(r.gang.Job.Submitted))
		s.runBegins(r)
	case gang.Broken:
		s.runBegins(r)
		s.broken(r, res.Worker, res.Reason)
	default:
		delete(s.runs, r.key)
		s.retry(r, res)
	}
}

func (s *session) runBegins(r *run) {
	r.phase = phaseRunning
	r.heard = s.p.Timer.Now()
	for i, m := range r.gang.Members {
		if r.states[i].State == "" || !r.states[i].State.Began() {
			r.states[i] = worker.Task{Token: m.Token, Key: r.key, Member: i, State: worker.Running}
		}
	}
	s.confirm(r)
	for _, m := range r.gang.Members {
		if h := s.workers[m.Worker]; h != nil && h.life != "" {
			s.checkLife(r, h) // it may have restarted while the gang was starting
		}
	}
	if r.halt {
		s.stop(r.key)
	} else if r.save {
		s.save(r.key)
	}
	s.judge(r)
}

// retry puts a job back in line whose gang has not started. A claim that stands is
// voided first, or settled when its first worker cannot be asked.
func (s *session) retry(r *run, res gang.Result) {
	refused := plan.Event{Kind: plan.Refused, Key: r.key}
	if res.Outcome == gang.LostClaim || res.Outcome == gang.InDoubt && !r.gang.Job.Idempotent {
		s.event(plan.Event{Kind: plan.Withdraw, Key: r.key})

		return // settleClaims or submitOpen take it up again
	}
	e := s.p.Ledger.Get(r.key)
	if e != nil && e.Claim != nil {
		s.event(plan.Event{Kind: plan.Withdraw, Key: r.key})
		if r.owns(e.Claim.Members[0].Token) {
			s.void(r.key, e.Claim)
		}

		return // another planner's claim is for settleClaims
	}
	go func() {
		wait(s.ctx, busyPause)
		s.send(func(s *session) { s.event(refused) })
	}()
}

// void writes that the gang of a claim has never started and never will.
func (s *session) void(k job.Key, c *ledger.Claim) {
	s.settles[k] = true
	go func() {
		s.commit(ledger.Record{Kind: ledger.KindVoid, Key: k, Token: c.Members[0].Token})
		s.send(func(s *session) { delete(s.settles, k) })
	}()
}

// update takes in what a worker reports of one member.
func (s *session) update(r *run, t worker.Task) {
	r.states[t.Member] = t
	r.heard = s.p.Timer.Now()
	if t.Share > 0 {
		s.event(plan.Event{Kind: plan.Usage, Key: r.key, Share: mostUsed(r.states)})
	}
	if r.phase != phaseStarting {
		s.judge(r)
	}
}

// mostUsed returns the largest use of processors over the declared share.
func mostUsed(states []worker.Task) float64 {
	most := 0.0
	for _, t := range states {
		most = max(most, t.Share)
	}

	return most
}

// judge looks at a run as a whole.
func (s *session) judge(r *run) {
	if r.phase == phaseEnding {
		return
	}
	done, held, saved := 0, 0, 0
	for i, t := range r.states {
		switch {
		case t.State == worker.Done:
			done++
		case t.State.Holds():
			held++
		case t.State == worker.Saved:
			saved++
		case r.reason == "" && r.phase != phaseStopping:
			s.memberEnded(r, i, t.State)

			return
		}
	}
	switch {
	case done == len(r.states) && r.reason == "":
		s.complete(r)
	case held > 0:
	case saved > 0 && r.reason == "" && r.phase == phaseSaving:
		s.savedAll(r)
	default:
		s.ended(r)
	}
}

// memberEnded handles a member that has ended without a result.
func (s *session) memberEnded(r *run, i int, state worker.State) {
	name := r.gang.Members[i].Worker
	if state == worker.Failed {
		r.reason = "failed"
		r.blame = name
	} else {
		r.reason = "a member is " + string(state)
	}
	s.haltRun(r)
	s.judge(r)
}

// broken ends a run that cannot be whole any more.
func (s *session) broken(r *run, name, reason string) {
	if r.reason != "" || r.phase == phaseEnding {
		return
	}
	r.reason = reason
	s.p.Log.Warn().Str("event", "broken").Str("job", r.key.String()).Str("worker", name).Str("reason", reason).Msg("")
	s.haltRun(r)
	s.judge(r)
}

// haltRun asks all members to stop.
func (s *session) haltRun(r *run) {
	r.phase = phaseStopping
	r.asked = s.p.Timer.Now()
	g := *r.gang
	go g.StopAll(s.ctx)
	for _, m := range r.gang.Members {
		if h := s.workers[m.Worker]; h != nil {
			h.asked = time.Time{} // report soon
		}
	}
}

// stop carries out the plan's decision to stop a job.
func (s *session) stop(k job.Key) {
	r := s.runs[k]
	if r == nil {
		s.event(plan.Event{Kind: plan.Halted, Key: k})

		return
	}
	if r.phase == phaseStarting {
		r.halt = true

		return
	}
	s.haltRun(r)
}

// save carries out the plan's decision to checkpoint a job.
func (s *session) save(k job.Key) {
	r := s.runs[k]
	if r == nil {
		s.event(plan.Event{Kind: plan.Halted, Key: k})

		return
	}
	if r.phase == phaseStarting {
		r.save = true

		return
	}
	if r.phase != phaseRunning {
		return
	}
	r.phase = phaseSaving
	r.asked = s.p.Timer.Now()
	s.askSave(r)
}

func (s *session) askSave(r *run) {
	for _, m := range r.gang.Members {
		go func() {
			_, _ = s.p.calls.Save(s.ctx, m.Worker, worker.TokenRequest{Token: m.Token, Life: m.Life})
		}()
	}
}

// throttle holds all members to their declared share of processors.
func (s *session) throttle(k job.Key) {
	r := s.runs[k]
	if r == nil || r.phase != phaseRunning {
		return
	}
	s.p.Log.Info().Str("event", "throttle").Str("job", k.String()).Msg("")
	for _, m := range r.gang.Members {
		go func() {
			_, _ = s.p.calls.Throttle(s.ctx, m.Worker, worker.TokenRequest{Token: m.Token, Life: m.Life})
		}()
	}
}

// savedAll writes down a checkpoint and puts the job back in line.
func (s *session) savedAll(r *run) {
	r.phase = phaseEnding
	save := ledger.Save{Attempt: r.gang.Attempt}
	for i, t := range r.states {
		save.Data = append(save.Data, t.Save)
		if i == 0 || t.Done.Duration < save.Done.Duration {
			save.Done = t.Done
		}
	}
	done := plan.Event{Kind: plan.SavedAll, Key: r.key, Done: save.Done.Duration}
	go func() {
		s.commit(ledger.Record{Kind: ledger.KindSave, Key: r.key, Save: &save})
		s.send(func(s *session) {
			s.end(r)
			s.event(done)
		})
	}()
}

// complete answers a job whose members have all finished.
func (s *session) complete(r *run) {
	r.phase = phaseEnding
	parts := make([]job.Part, 0, len(r.states))
	for i, t := range r.states {
		parts = append(parts, job.Part{Member: i, Data: t.Data})
	}
	a := job.Complete(r.key, r.gang.Attempt, parts)
	s.event(plan.Event{Kind: plan.Finish, Key: r.key})
	s.answer(a, func(s *session) { s.end(r) })
}

// ended handles a run whose members have all ended without a whole result.
func (s *session) ended(r *run) {
	r.phase = phaseEnding
	s.end(r)
	switch {
	case r.reason == "failed":
		s.event(plan.Event{Kind: plan.Fail, Key: r.key, Worker: r.blame})
	case r.reason == "" || r.gang.Job.Idempotent:
		s.event(plan.Event{Kind: plan.Halted, Key: r.key})
	default:
		s.event(plan.Event{Kind: plan.Withdraw, Key: r.key})
		s.answer(s.breakage(r), nil)
	}
}

// breakage is the answer of a non-idempotent job that has begun and not finished.
// A member that cannot be asked may have finished before it was lost.
func (s *session) breakage(r *run) job.Answer {
	c := code.Broken
	for _, t := range r.states {
		if t.State == worker.Missing {
			c = code.Unknown
		}
	}
	a := job.Conclude(r.key, c, r.reason)
	a.Attempt = r.gang.Attempt

	return a
}

// end forgets a run.
func (s *session) end(r *run) {
	s.forget(r)
	if s.runs[r.key] == r {
		delete(s.runs, r.key)
	}
}
