package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/peer/target"
)

const (
	// A start that got no answer is sent again at most so many times.
	maxResends = 2
	// It is not sent again later than this after it was sent first: the rest of its gang waits.
	resendPeriod = time.Second
)

// What a worker's report tells about a run.
const (
	runUnknown runSighting = iota // no report
	runAbsent
	runPresent
)

type (
	runSighting int

	// startAttempts sends one start and, while it gets no answer and the worker does not report its
	// run, sends it again. That is safe: the worker answers a copy as it answered the first one while
	// the run is there, and refuses its run number once the run has been stopped or has ended.
	startAttempts struct {
		e       *Engine
		ctx     context.Context // ends all attempts once the outcome is known
		m       *member
		to      recipient
		order   target.Start
		resends int // attempts after the first one, at most
		answers chan startAnswer
		began   time.Duration
		sent    int // attempts, with those that are about to be sent
		pending int // attempts without an outcome
	}
)

// tryStart sends a start until it is answered. If no answer arrives, the start counts as executed
// if the worker reports the run.
func (e *Engine) tryStart(m *member, to recipient, order target.Start, resends int) startAnswer {
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	s := &startAttempts{e: e, ctx: ctx, m: m, to: to, order: order, resends: resends, answers: make(chan startAnswer, 1+resends), began: e.SinceBoot()}
	s.send()
	probe := time.NewTimer(e.Timing.StartTimeout / probeDivisor)
	defer probe.Stop()
	for {
		select {
		case a := <-s.answers:
			s.pending--
			if s.isOutcome(a) {
				return s.outcome(a)
			}
		case <-probe.C:
			clock, seen := e.queryRun(to, order)
			if seen == runPresent {
				return s.outcome(startAnswer{clock: clock})
			}
			if seen == runAbsent && s.resend() {
				probe.Reset(e.Timing.StartTimeout / probeDivisor)
			}
		}
	}
}

// send sends the start once more in the background. Whether it may be sent is checked just before.
func (s *startAttempts) send() {
	s.sent++
	s.pending++
	again := s.sent > 1
	s.e.background.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, s.e.Timing.StartTimeout)
		defer cancel()
		if !s.e.mayStillStart(s.m) || !s.maySend(again) {
			s.answers <- startAnswer{unsent: true}

			return
		}
		clock, err := s.e.Workers.Start(ctx, s.to.Address, s.order)
		s.answers <- startAnswer{clock: clock, err: s.e.startError(s.to, s.order, err)}
	})
}

// startError returns the error of a start.
func (e *Engine) startError(to recipient, order target.Start, err error) error {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.orderError(to.ID, order.Token, err)
}

// maySend reports whether the worker has not been seen to restart since the start was prepared, and whether a
// repetition may be sent.
func (s *startAttempts) maySend(again bool) bool {
	s.e.mu.Lock()
	restarted := s.m.worker.life != s.to.life
	s.e.mu.Unlock()

	return !restarted && (!again || s.mayResend())
}

// resend sends the start again if it may be, and reports whether it does.
func (s *startAttempts) resend() bool {
	if s.sent > s.resends || !s.mayResend() {
		return false
	}
	u := s.m.unit
	s.e.Count("starts_resent", 1)
	s.e.Log.Info().Str("event", "start-resent").Str("id", u.job.ID).Str("unit", u.name).Int("task", s.m.index).Int64("run", u.run).
		Str("worker", s.to.ID).Int("attempt", s.sent+1).Dur("after", s.e.SinceBoot()-s.began).Msg("")
	s.send()

	return true
}

// isOutcome reports whether an answer is that of the start, or no other one can arrive.
func (s *startAttempts) isOutcome(a startAnswer) bool {
	return s.pending == 0 || (!a.unsent && !errors.Is(a.err, target.ErrUnknown))
}

// outcome returns the answer for all attempts. Without an answer to the last one, the worker is
// asked for the run. A refusal of one attempt does not tell that the others were not executed.
func (s *startAttempts) outcome(a startAnswer) startAnswer {
	if a.unsent && s.sent > 1 {
		a = startAnswer{err: errors.Wrap(target.ErrUnknown, "no answer to an attempt")}
	}
	if errors.Is(a.err, target.ErrUnknown) {
		if clock, seen := s.e.queryRun(s.to, s.order); seen == runPresent {
			a = startAnswer{clock: clock}
		}
	}
	a.retried = s.sent > 1
	if a.retried {
		a.err = uncertain(a.err)
	}

	return a
}

// uncertain returns the error of a start that was sent more than once, from that of one attempt.
func uncertain(err error) error {
	if err == nil || errors.Is(err, target.ErrFenced) || errors.Is(err, target.ErrUnknown) {
		return err
	}

	return errors.Wrap(target.ErrUnknown, err.Error())
}

// mayResend reports whether the first attempt is recent enough, and the worker is still that to
// which it was sent and has not been lost since.
func (s *startAttempts) mayResend() bool {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	w := s.m.worker
	known := w.reported && w.silentSince == 0 && w.life == s.to.life

	return known && s.m.phase == starting && s.e.SinceBoot()-s.began < resendPeriod
}

// queryRun asks a worker whether it runs what the order starts. It returns the worker's clock if
// so. A run that has ended there, and whose end is not acknowledged yet, is not absent.
func (e *Engine) queryRun(to recipient, order target.Start) (int64, runSighting) {
	ctx, cancel := context.WithTimeout(e.ctx, e.Timing.StartTimeout)
	defer cancel()
	e.mu.Lock()
	token, incarnation := e.orderToken(to.ID), int64(0)
	if w := e.workers[to.ID]; w != nil && w.life == to.life {
		incarnation = w.Incarnation
	}
	e.mu.Unlock()
	r, err := e.Workers.RenewLease(ctx, to.Address, target.LeaseRenewal{Token: token})
	if err != nil {
		return 0, runUnknown // the next report or the answer to a stop will show it
	}
	for _, run := range r.Running {
		if run.Task == order.Task && run.Run == order.Run {
			return r.Clock, runPresent
		}
	}
	for _, end := range r.Ended {
		if end.Task == order.Task && end.Run >= order.Run {
			return r.Clock, runUnknown
		}
	}
	if r.Partial || (r.Incarnation != 0 && r.Incarnation != incarnation) {
		return r.Clock, runUnknown
	}

	return r.Clock, runAbsent
}
