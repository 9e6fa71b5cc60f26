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
	phaseEnded // all members have ended
)

type (
	runPhase int

	// run is one attempt of a job that this session manages.
	run struct {
		key                 job.Key
		id                  string     // attempt ID, the prefix of its tokens
		gang                *gang.Gang // owned by the protocol's goroutine while phase is phaseStarting
		phase               runPhase
		stopRequested       bool          // a stop was requested while the gang was starting
		checkpointRequested bool          // a checkpoint was requested while the gang was starting
		tasks               []worker.Task // last known state of each member's task
		places              []plan.Place
		reason              string    // why the run failed or broke; empty if it has not
		failedWorker        string    // the worker whose member failed
		lastRequest         time.Time // when the members were last asked to checkpoint or stop
		lastReport          time.Time // when a member was last reported
		startedAt           time.Time
		runningSince        time.Time // when this session learnt that the members have started
	}
)

func (r *run) owns(token string) bool {
	return attemptID(token) == r.id
}

// newID returns a random ID for an attempt or a record of the log.
func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)

	return hex.EncodeToString(b)
}

// start carries out the plan's decision to start a job: it runs the gang's protocol in
// a separate goroutine. A non-idempotent job is parked while the log does not answer,
// because it needs a claim.
func (s *session) start(a plan.Action) {
	j, checkpoint, attempt, ok := s.openJob(a.Key)
	if !ok || s.p.draining.Load() {
		s.event(plan.Event{Kind: plan.Withdraw, Key: a.Key})

		return
	}
	if !j.Idempotent && !s.p.LogAlive() {
		s.parked[a.Key] = true
		s.event(plan.Event{Kind: plan.Withdraw, Key: a.Key})

		return
	}
	g := &gang.Gang{
		Job: j, Attempt: attempt, Holder: s.p.Self, Checkpoint: checkpoint,
		ReservationTTL: s.p.Timing.ReservationTTL.Duration, InitialLeaseTTL: s.p.Timing.InitialLeaseTTL.Duration, Calls: s.p.calls,
	}
	id := newID()
	for i, p := range a.Places {
		name, first := s.workerAt(p)
		g.Members = append(g.Members, ledger.Member{
			Worker: name, Token: fmt.Sprintf("%s.%d", id, i), First: first, Width: p.Width,
		})
	}
	r := &run{key: a.Key, id: id, gang: g, tasks: make([]worker.Task, len(g.Members)), places: a.Places, startedAt: s.p.Timer.Now()}
	s.runs[a.Key] = r
	s.p.starting.Add(1)
	go func() {
		defer s.p.starting.Add(-1)
		res := g.Start(s.ctx)
		s.send(func(s *session) { s.onStartResult(r, res) })
	}()
}

// workerAt returns the worker of a place and the index of the place's first
// accelerator on that worker.
func (s *session) workerAt(p plan.Place) (string, int) {
	base := 0
	for _, w := range s.configuration.Fleet.Racks[p.Rack].Workers {
		if p.First < base+w.Accelerators {
			return w.Name, p.First - base
		}
		base += w.Accelerators
	}

	return "", 0
}

// openJob returns a job that can be started, its newest checkpoint and the number of
// the next attempt. It returns false if the job is unknown, answered or claimed.
func (s *session) openJob(k job.Key) (job.Job, *ledger.Checkpoint, int, bool) {
	if e := s.p.Ledger.Get(k); e != nil {
		if e.Answer != nil || e.Claim != nil {
			return job.Job{}, nil, 0, false
		}

		return e.Job, e.Checkpoint, e.Attempts + 1, true
	}
	j, ok := s.p.offers.job(k)

	return j, nil, 1, ok
}

// onStartResult handles the outcome of a gang's start.
func (s *session) onStartResult(r *run, res gang.Result) {
	s.p.Log.Info().Str("event", "start").Str("job", r.key.String()).Int("attempt", r.gang.Attempt).
		Str("outcome", string(res.Outcome)).Str("worker", res.Worker).Str("reason", res.Reason).Msg("")
	s.p.Metrics.Count("starts", map[string]string{"outcome": string(res.Outcome)})
	switch res.Outcome {
	case gang.Started:
		s.p.Metrics.Time("start_wait", s.p.Timer.Now().Sub(r.gang.Job.Submitted))
		s.onRunning(r)
	case gang.Broken:
		s.onRunning(r)
		s.markBroken(r, res.Worker, res.Reason)
	default:
		delete(s.runs, r.key)
		s.retry(r, res)
	}
}

// onRunning moves a run to phaseRunning, confirms it at the workers and carries out a
// stop or checkpoint that was requested while it was starting.
func (s *session) onRunning(r *run) {
	r.phase = phaseRunning
	r.runningSince = s.p.Timer.Now()
	r.lastReport = r.runningSince
	for i, m := range r.gang.Members {
		if r.tasks[i].State == "" || !r.tasks[i].State.HasStarted() {
			r.tasks[i] = worker.Task{Token: m.Token, Key: r.key, Member: i, State: worker.Running}
		}
	}
	s.confirm(r)
	for _, m := range r.gang.Members {
		if w := s.workers[m.Worker]; w != nil && w.incarnation != "" {
			s.checkIncarnation(r, w) // the worker may have restarted while the gang was starting
		}
	}
	if r.stopRequested {
		s.stop(r.key)
	} else if r.checkpointRequested {
		s.save(r.key)
	}
	s.evaluate(r)
}

// retry ensures that a job whose gang has not started is queued again. The job's claim is
// voided first, or settled if the outcome of the start is in doubt.
func (s *session) retry(r *run, res gang.Result) {
	refused := plan.Event{Kind: plan.StartRefused, Key: r.key}
	if res.Outcome == gang.LostClaim || res.Outcome == gang.InDoubt && !r.gang.Job.Idempotent {
		s.event(plan.Event{Kind: plan.Withdraw, Key: r.key})

		return // settleClaims or submitOpen picks the job up again
	}
	e := s.p.Ledger.Get(r.key)
	if e != nil && e.Claim != nil {
		s.event(plan.Event{Kind: plan.Withdraw, Key: r.key})
		if r.owns(e.Claim.Members[0].Token) {
			s.void(r.key, e.Claim)
		}

		return // settleClaims handles a claim of another planner
	}
	go func() {
		pause(s.ctx, retryPause)
		s.send(func(s *session) { s.event(refused) })
	}()
}

// void records that the gang of a claim has never started and never will.
func (s *session) void(k job.Key, c *ledger.Claim) {
	s.settling[k] = true
	go func() {
		s.commit(ledger.Record{Kind: ledger.KindVoid, Key: k, Token: c.Members[0].Token})
		s.send(func(s *session) { delete(s.settling, k) })
	}()
}

// update applies a worker's report about one member.
func (s *session) update(r *run, t worker.Task) {
	r.tasks[t.Member] = t
	r.lastReport = s.p.Timer.Now()
	if t.CPUUsage > 0 {
		s.event(plan.Event{Kind: plan.Usage, Key: r.key, CPUUsage: maxCPUUsage(r.tasks)})
	}
	if r.phase != phaseStarting {
		s.evaluate(r)
	}
}

// maxCPUUsage returns the highest CPU use of a member relative to its declared share.
func maxCPUUsage(tasks []worker.Task) float64 {
	most := 0.0
	for _, t := range tasks {
		most = max(most, t.CPUUsage)
	}

	return most
}

// evaluate derives the state of a run from the states of its members, and completes,
// stops or ends the run accordingly.
func (s *session) evaluate(r *run) {
	if r.phase == phaseEnded {
		return
	}
	done, held, saved := 0, 0, 0
	for i, t := range r.tasks {
		switch {
		case t.State == worker.Done:
			done++
		case t.State.HoldsAccelerators():
			held++
		case t.State == worker.Saved:
			saved++
		case r.reason == "" && r.phase != phaseStopping:
			s.onMemberEnded(r, i, t.State)

			return
		}
	}
	switch {
	case done == len(r.tasks) && r.reason == "":
		s.complete(r)
	case held > 0:
	case saved > 0 && r.reason == "" && r.phase == phaseSaving:
		s.onCheckpointed(r)
	default:
		s.onAllEnded(r)
	}
}

// onMemberEnded handles a member that has ended without a result: the others are
// stopped.
func (s *session) onMemberEnded(r *run, i int, state worker.State) {
	name := r.gang.Members[i].Worker
	if state == worker.Failed {
		r.reason = "failed"
		r.failedWorker = name
	} else {
		r.reason = "a member is " + string(state)
	}
	s.stopMembers(r)
	s.evaluate(r)
}

// markBroken stops a run that can no longer complete, for example because a member is
// lost. A run that is already being stopped ends if this was its last member.
func (s *session) markBroken(r *run, name, reason string) {
	if r.reason != "" {
		s.evaluate(r)

		return
	}
	if r.phase == phaseEnded {
		return
	}
	r.reason = reason
	s.p.Log.Warn().Str("event", "broken").Str("job", r.key.String()).Str("worker", name).Str("reason", reason).Msg("")
	s.stopMembers(r)
	s.evaluate(r)
}

// stopMembers sends stop to all members and makes the renewals of their workers due, so
// that the new states are reported soon.
func (s *session) stopMembers(r *run) {
	r.phase = phaseStopping
	r.lastRequest = s.p.Timer.Now()
	g := *r.gang
	go g.StopAll(s.ctx)
	for _, m := range r.gang.Members {
		if w := s.workers[m.Worker]; w != nil {
			w.lastRequest = time.Time{} // makes the next renewal due immediately
		}
	}
}

// stop carries out the plan's decision to stop a job.
func (s *session) stop(k job.Key) {
	r := s.runs[k]
	if r == nil {
		s.event(plan.Event{Kind: plan.StopDone, Key: k})

		return
	}
	if r.phase == phaseStarting {
		r.stopRequested = true

		return
	}
	s.stopMembers(r)
}

// save carries out the plan's decision to checkpoint a job.
func (s *session) save(k job.Key) {
	r := s.runs[k]
	if r == nil {
		s.event(plan.Event{Kind: plan.StopDone, Key: k})

		return
	}
	if r.phase == phaseStarting {
		r.checkpointRequested = true

		return
	}
	if r.phase != phaseRunning {
		return
	}
	r.phase = phaseSaving
	r.lastRequest = s.p.Timer.Now()
	s.sendSave(r)
}

func (s *session) sendSave(r *run) {
	for _, m := range r.gang.Members {
		go func() {
			_, _ = s.p.calls.Save(s.ctx, m.Worker, worker.TokenRequest{Token: m.Token, Incarnation: m.Incarnation})
		}()
	}
}

// throttle limits all members to their declared CPU share.
func (s *session) throttle(k job.Key) {
	r := s.runs[k]
	if r == nil || r.phase != phaseRunning {
		return
	}
	s.p.Log.Info().Str("event", "throttle").Str("job", k.String()).Msg("")
	for _, m := range r.gang.Members {
		go func() {
			_, _ = s.p.calls.Throttle(s.ctx, m.Worker, worker.TokenRequest{Token: m.Token, Incarnation: m.Incarnation})
		}()
	}
}

// onCheckpointed records the checkpoint of a run whose members have all saved or
// finished, and queues the job again. The run time recorded with the checkpoint is the
// shortest of the members'.
func (s *session) onCheckpointed(r *run) {
	r.phase = phaseEnded
	checkpoint := ledger.Checkpoint{Attempt: r.gang.Attempt}
	for i, t := range r.tasks {
		checkpoint.Data = append(checkpoint.Data, t.Checkpoint)
		if i == 0 || t.RunTime.Duration < checkpoint.RunTime.Duration {
			checkpoint.RunTime = t.RunTime
		}
	}
	done := plan.Event{Kind: plan.CheckpointDone, Key: r.key, CheckpointedRunTime: checkpoint.RunTime.Duration}
	go func() {
		s.commit(ledger.Record{Kind: ledger.KindSave, Key: r.key, Checkpoint: &checkpoint})
		s.send(func(s *session) {
			s.removeRun(r)
			s.event(done)
		})
	}()
}

// complete answers a job whose members have all finished successfully.
func (s *session) complete(r *run) {
	r.phase = phaseEnded
	parts := make([]job.Part, 0, len(r.tasks))
	for i, t := range r.tasks {
		parts = append(parts, job.Part{Member: i, Data: t.Data})
	}
	a := job.NewCompletedAnswer(r.key, r.gang.Attempt, parts)
	s.event(plan.Event{Kind: plan.Finish, Key: r.key})
	s.answer(a, func(s *session) { s.removeRun(r) })
}

// onAllEnded handles a run whose members have all ended, but not all with a result.
func (s *session) onAllEnded(r *run) {
	r.phase = phaseEnded
	s.removeRun(r)
	switch {
	case r.reason == "failed":
		s.event(plan.Event{Kind: plan.Fail, Key: r.key, Worker: r.failedWorker})
	case r.reason == "" || r.gang.Job.Idempotent:
		s.event(plan.Event{Kind: plan.StopDone, Key: r.key})
	default:
		s.event(plan.Event{Kind: plan.Withdraw, Key: r.key})
		s.answer(s.brokenAnswer(r), nil)
	}
}

// brokenAnswer returns the answer of a non-idempotent job that has started and not
// finished. If a member is missing, the code is unknown instead of broken: the member
// may have finished before contact with it was lost.
func (s *session) brokenAnswer(r *run) job.Answer {
	c := code.Broken
	for _, t := range r.tasks {
		if t.State == worker.Missing {
			c = code.Unknown
		}
	}
	a := job.NewAnswer(r.key, c, r.reason)
	a.Attempt = r.gang.Attempt

	return a
}

// removeRun removes a run from the session and allows its workers to discard its
// results.
func (s *session) removeRun(r *run) {
	s.discardResults(r)
	if s.runs[r.key] == r {
		delete(s.runs, r.key)
	}
}
