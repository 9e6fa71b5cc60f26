package planner

import (
	"context"
	"time"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/ledger"
	"sesameyoke/internal/core/plan"
)

// conclude carries out the plan's decision to answer a job.
func (s *session) conclude(a plan.Action) {
	ans := job.NewAnswer(a.Key, a.Code, a.Reason)
	ans.RetryAfter = unitDuration(a.RetryAfter)
	if e := s.p.Ledger.Get(a.Key); e != nil && e.Claim != nil {
		ans.Attempt = e.Claim.Attempt
	}
	s.answer(ans, nil)
}

// answer appends the answer to the log. If the job has been offered and has no record in
// the log, the answer is only kept for the next time that the job is offered. done, if not
// nil, is called by the planner's loop once the answer is in the log or kept.
func (s *session) answer(a job.Answer, done func(*session)) {
	a.Finished = s.p.Timer.Now()
	s.p.Log.Info().Str("event", "answer").Str("job", a.Key.String()).Int("code", int(a.Code)).
		Str("name", a.Name).Str("ran", string(a.Ran)).Int("length", a.Length).Str("reason", a.Reason).Msg("")
	s.p.Metrics.Count("answers", map[string]string{"code": a.Name})
	offered := s.p.offers.answer(a)
	if done == nil {
		done = func(*session) {}
	}
	if s.p.Ledger.Get(a.Key) == nil && offered {
		done(s)

		return
	}
	s.answering[a.Key] = true
	go func() {
		s.commitAnswer(a)
		s.send(func(s *session) {
			delete(s.answering, a.Key)
			done(s)
		})
	}()
}

// commitAnswer appends an answer to the log. The ledger rejects "not run" if an
// idempotent job may have started; the job is then answered with code unknown.
func (s *session) commitAnswer(a job.Answer) {
	v := s.commit(ledger.Record{Kind: ledger.KindClose, Key: a.Key, Answer: &a})
	e := s.p.Ledger.Get(a.Key)
	if v != ledger.Lost || e == nil || e.Answer != nil || !e.Job.Idempotent || a.Ran != code.RanNo {
		return
	}
	u := job.NewAnswer(a.Key, code.Unknown, a.Reason+"; an attempt to start it was made")
	u.Finished = a.Finished
	s.commit(ledger.Record{Kind: ledger.KindClose, Key: a.Key, Answer: &u})
}

// commit appends a record and retries until it has been read back or the session ends. It
// returns the record's verdict, or Skipped if the session has ended.
func (s *session) commit(r ledger.Record) ledger.Verdict {
	r.ID = newID()
	r.Time = s.p.Timer.Now()
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, s.p.Timing.AcceptTimeout.Duration)
		v, err := s.p.Commit(ctx, r)
		cancel()
		if err == nil {
			return v
		}
		pause(s.ctx, retryPause)
	}

	return ledger.Skipped
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
