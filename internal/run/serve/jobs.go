package serve

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"sort"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/ledger"
	"sesameyoke/internal/peer/caller"
	"sesameyoke/internal/peer/entry/entrypb"
	"sesameyoke/internal/peer/log"
)

// offerInterval is the interval at which the planner is asked for the answer of an
// offered job.
const offerInterval = 100 * time.Millisecond

// openShare is the share of the VM's memory that the payloads of open jobs may take: records, snapshots and
// the planner hold further copies for a time.
const openShare = 0.05

// submit accepts a job and waits for its answer. A job is accepted once its record is in
// the log. If the log does not answer, an idempotent job is offered to the planner
// instead.
func (v *VM) submit(ctx context.Context, j job.Job, wait time.Duration) job.Answer {
	if !v.awaitReady(ctx) {
		return job.NewAnswer(j.Key(), code.NotReady, "this VM has not caught up with the configuration")
	}
	j.Submitted = v.timer.Now()
	j.Region = v.regionOf(j)
	j.Config = v.config.get().Offset
	if a := v.admit(j); a != nil {
		return *a
	}
	if e := v.ledger.Get(j.Key()); e != nil {
		return v.attach(ctx, e, j, wait)
	}
	if !v.hasRoom(j) {
		return job.NewAnswer(j.Key(), code.Overloaded, "the open jobs take all of the memory for them; the job was not accepted")
	}
	began := v.timer.Now()
	if j.Idempotent && !v.logAlive() {
		return v.offer(ctx, j, wait)
	}
	acceptCtx, cancel := context.WithTimeout(ctx, v.Settings.Timing.AcceptTimeout.Duration)
	defer cancel()

	_, err := v.commit(acceptCtx, ledger.Record{Kind: ledger.KindOpen, Key: j.Key(), Job: &j})
	v.metrics.Time("accept", v.timer.Now().Sub(began))
	v.Log.Info().Str("event", "accept").Str("job", j.Key().String()).Bool("accepted", err == nil).
		Int("members", j.Shape.Members).Int("width", j.Shape.Width).Bool("idempotent", j.Idempotent).Msg("")
	switch {
	case err == nil:
		return v.attach(ctx, v.ledger.Get(j.Key()), j, wait)
	case j.Idempotent && wait > 0:
		return v.offer(ctx, j, wait)
	case err == log.ErrDown:
		return job.NewAnswer(j.Key(), code.LogDown, "the log service is down; the job was not accepted")
	}

	return job.NewAnswer(j.Key(), code.Unknown, "the log service did not answer; submit the same request again")
}

// hasRoom reports whether the payload of a job fits beside those of the open jobs. One job always does.
func (v *VM) hasRoom(j job.Job) bool {
	limit := int64(openShare * float64(v.Settings.Limits.MemoryMB) * (1 << 20))
	open := v.ledger.OpenBytes()

	return limit == 0 || open == 0 || open+int64(len(j.Payload)) <= limit
}

// awaitReady waits up to the accept timeout for a VM that has just started to
// become ready, and reports whether it is.
func (v *VM) awaitReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, v.Settings.Timing.AcceptTimeout.Duration)
	defer cancel()

	for !v.ready.Load() && ctx.Err() == nil {
		pause(ctx, pollInterval)
	}

	return v.ready.Load()
}

// admit returns the refusal of a job that can be refused without the log, or nil.
func (v *VM) admit(j job.Job) *job.Answer {
	state := v.config.get()
	refuse := func(c code.Code, reason string) *job.Answer {
		a := job.NewAnswer(j.Key(), c, reason)

		return &a
	}
	if _, ok := state.Contracts[j.Workspace]; !ok {
		return refuse(code.NoWorkspace, "no contract is in force for workspace "+j.Workspace)
	}
	if j.Idempotent {
		return nil
	}
	limit := state.Policy.AnswerRetention.Duration / 2
	switch left := j.Deadline.Sub(j.Submitted); {
	case j.Deadline.IsZero():
		return refuse(code.BadRequest, "deadline: a non-idempotent job needs one")
	case left > limit:
		return refuse(code.BadRequest, "deadline: more than "+limit.String()+" ahead")
	case left < -limit && v.ledger.Get(j.Key()) == nil:
		// The answer to an earlier request with this ID may already have been
		// removed from the ledger, and that request's job may have run.
		return refuse(code.Unknown, "the deadline passed too long ago to know of an earlier run")
	}

	return nil
}

// attach waits for the answer of a job that is already in the ledger, after checking that
// its entry belongs to the same job. The entry is nil if the ledger has rejected the job's
// record as too old or has removed the job since.
func (v *VM) attach(ctx context.Context, e *ledger.Entry, j job.Job, wait time.Duration) job.Answer {
	if e == nil {
		return job.NewAnswer(j.Key(), code.Unknown, "the request's ID is older than answers are kept")
	}
	if e.Fingerprint != j.Fingerprint() {
		return job.NewAnswer(j.Key(), code.Conflict, "the request's ID belongs to a different job")
	}

	return v.wait(ctx, j.Key(), wait)
}

// wait waits for the answer of an accepted job, at most for the longest wait that
// the settings allow.
func (v *VM) wait(ctx context.Context, k job.Key, wait time.Duration) job.Answer {
	done := v.ledger.Done(k)
	if done == nil {
		return job.NewAnswer(k, code.NotFound, "no such job is known here")
	}
	t := time.NewTimer(min(wait, v.Settings.Limits.MaxWait.Duration))
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	case <-ctx.Done():
	}
	e := v.ledger.Get(k)
	if e == nil {
		return job.NewAnswer(k, code.NotFound, "the job's answer is no longer kept")
	}
	if e.Answer == nil {
		return job.NewAnswer(k, code.Pending, "")
	}

	return *e.Answer
}

// offer sends an idempotent job directly to its region's planner, without a record in the
// log, because the log does not answer. It repeats the call until the planner returns the
// job's answer or the caller's wait ends.
func (v *VM) offer(ctx context.Context, j job.Job, wait time.Duration) job.Answer {
	if j.Run.Duration > v.Settings.Limits.MaxRunWithoutLog.Duration || wait <= 0 {
		return job.NewAnswer(j.Key(), code.LogDown, "the log service is down; only short work is taken, while the caller waits")
	}
	raw, err := json.Marshal(j)
	if err != nil {
		return job.NewAnswer(j.Key(), code.BadRequest, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()

	offered := false
	for ctx.Err() == nil {
		a, taken := v.offerOnce(ctx, j.Region, raw)
		offered = offered || taken
		if a != nil {
			return *a
		}
		pause(ctx, offerInterval)
	}
	if !offered {
		return job.NewAnswer(j.Key(), code.LogDown, "the log service is down and no planner could be reached")
	}

	return job.NewAnswer(j.Key(), code.Unknown, "the job did not end while the request was held")
}

// offerOnce offers a job to its region's planner and returns the answer if there is
// one. taken reports whether the planner has or may have taken the job.
func (v *VM) offerOnce(ctx context.Context, region string, raw []byte) (a *job.Answer, taken bool) {
	m, ok := v.members.Planner(region)
	if !ok {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, v.Settings.Timing.CallTimeout.Duration)
	defer cancel()

	reply, err := v.members.Peer(m.Address).Offer(ctx, &entrypb.OfferRequest{Job: raw})
	if err != nil {
		return nil, true // the planner may have taken the job
	}
	if len(reply.Answer) == 0 {
		return nil, reply.Planner
	}
	if err := json.Unmarshal(reply.Answer, &a); err != nil {
		return nil, true
	}

	return a, true
}

func (v *VM) handleOffer(j job.Job) *job.Answer {
	return v.plannerOf(j.Region).Offer(j)
}

// cancel appends the cancellation of a job to the log, from which the planner reads it,
// and waits for the job's answer.
func (v *VM) cancel(ctx context.Context, k job.Key) job.Answer {
	e := v.ledger.Get(k)
	if e == nil {
		return job.NewAnswer(k, code.NotFound, "no such job is known here")
	}
	if e.Answer != nil {
		return *e.Answer
	}
	ctx, stop := context.WithTimeout(ctx, v.Settings.Timing.AcceptTimeout.Duration)
	defer stop()

	if _, err := v.commit(ctx, ledger.Record{Kind: ledger.KindCancel, Key: k}); err != nil {
		return job.NewAnswer(k, code.Unsettled, "the cancellation may not have been noted: "+err.Error())
	}

	return v.wait(ctx, k, v.Settings.Timing.AcceptTimeout.Duration)
}

func (v *VM) listJobs(workspace string, limit int) []caller.JobSummary {
	var out []caller.JobSummary
	v.ledger.Each(func(e *ledger.Entry) bool {
		if workspace != "" && e.Job.Workspace != workspace {
			return true
		}
		c := code.Pending
		if e.Answer != nil {
			c = e.Answer.Code
		}
		out = append(out, caller.JobSummary{
			Key: e.Job.Key(), Code: c, Name: c.Info().Name, Shape: e.Job.Shape, Submitted: e.Job.Submitted,
		})

		return true
	})
	sort.Slice(out, func(i, j int) bool { return out[i].Submitted.After(out[j].Submitted) })

	return out[:min(len(out), limit)]
}

// regionOf returns the region whose planner gets a job: the VM's own region if it has
// a rack that is large enough for a member, otherwise the first region that has one.
func (v *VM) regionOf(j job.Job) string {
	fallback := ""
	for _, r := range v.config.get().Fleet.Racks {
		if r.Size() < j.Shape.Width {
			continue
		}
		if r.Region == v.Settings.Region {
			return r.Region
		}
		if fallback == "" {
			fallback = r.Region
		}
	}
	if fallback == "" {
		return v.Settings.Region
	}

	return fallback
}

// commit appends a record to the jobs stream, waits until the ledger has applied it,
// and returns its verdict.
func (v *VM) commit(ctx context.Context, r ledger.Record) (ledger.Verdict, error) {
	if r.ID == "" {
		b := make([]byte, 10)
		_, _ = rand.Read(b)
		r.ID = hex.EncodeToString(b)
	}
	if r.Time.IsZero() {
		r.Time = v.timer.Now()
	}
	raw, err := json.Marshal(r)
	if err != nil {
		return ledger.Skipped, errors.Wrap(err, "VM.commit")
	}
	seen := v.ledger.Watch(r.ID)
	defer v.ledger.CancelWatch(r.ID)

	return log.Commit(ctx, v.writers[streamJobs], raw, seen)
}
