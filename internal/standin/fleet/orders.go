package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

// For returns a client of the workers for one caller. The client calls gate before and
// after each call; a gate that blocks suspends the caller.
func (f *Fleet) For(caller string, gate func()) *target.Client {
	return &target.Client{
		Start: func(ctx context.Context, a target.Address, s target.Start) (int64, error) {
			gate()
			defer gate()

			return f.order(ctx, caller, a, func(w *Worker) (int64, error) { return f.start(w, s) }, !f.NoLateStarts)
		},
		Stop: func(ctx context.Context, a target.Address, s target.Stop) (int64, error) {
			gate()
			defer gate()

			return f.order(ctx, caller, a, func(w *Worker) (int64, error) { return f.stop(w, s) }, true)
		},
		Pace: func(ctx context.Context, a target.Address, p target.Pace) (int64, error) {
			gate()
			defer gate()

			return f.order(ctx, caller, a, func(w *Worker) (int64, error) { return w.setPace(p) }, true)
		},
		RenewLease: func(ctx context.Context, a target.Address, l target.LeaseRenewal) (target.Report, error) {
			gate()
			defer gate()

			return f.renewLease(ctx, caller, a, l)
		},
	}
}

// reach waits for the latency of a call and returns the worker. If the worker cannot be
// reached, reach waits until the context ends and returns an error. The worker may execute the
// call later.
func (f *Fleet) reach(ctx context.Context, caller string, a target.Address, execute func(w *Worker)) (*Worker, error) {
	if err := sleep(ctx, callLatency+f.extraLatency()); err != nil {
		f.executeAbandoned(caller, a, execute)

		return nil, errors.Wrap(target.ErrUnknown, "no reply in time")
	}
	f.mu.Lock()
	w := f.workers[a.ID]
	unreachable := w == nil || !f.current(a.ID).up || w.cutOff || w.cutOffCallers[caller]
	replaced := w != nil && w.replacedBy != ""
	if unreachable {
		err := f.undelivered(caller, w, execute)
		f.mu.Unlock()
		if !errors.Is(err, errConnectionRefused) {
			<-ctx.Done()
		}

		return nil, err
	}
	f.mu.Unlock()
	if replaced {
		return nil, target.ErrOtherIncarnation
	}

	return w, nil
}

// order executes an order on a worker, subject to the injected order faults. Unless mayBeLate, an order that is not
// executed at once is never executed.
func (f *Fleet) order(ctx context.Context, caller string, a target.Address, do func(w *Worker) (int64, error), mayBeLate bool) (int64, error) {
	unobserved := func(w *Worker) {
		if mayBeLate {
			_, _ = do(w) // nobody waits for the answer
		}
	}
	w, err := f.reach(ctx, caller, a, unobserved)
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	if !w.up { // it has crashed since reach
		f.mu.Unlock()

		return 0, errors.Wrap(target.ErrUnknown, "connection reset")
	}
	late, lost := f.lateShare > 0 && f.Random() < f.lateShare, f.lostShare > 0 && f.Random() < f.lostShare
	if !late {
		f.advance()
		if !w.up { // it has just crashed
			f.mu.Unlock()
			<-ctx.Done()

			return 0, errors.Wrap(target.ErrUnknown, "no reply")
		}
		clock, err := do(w)
		crashed := !w.up
		f.mu.Unlock()
		if crashed {
			return 0, errors.Wrap(target.ErrUnknown, "connection reset")
		}
		if !lost {
			return clock, f.delayAnswer(ctx, err)
		}
		<-ctx.Done()

		return 0, errors.Wrap(target.ErrUnknown, "reply lost")
	}
	after := minLateness + time.Duration(f.Random()*float64(maxLateness-minLateness))
	incarnation := w.Incarnation
	f.mu.Unlock()
	go func() {
		time.Sleep(after)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.advance()
		f.executeLate(w, incarnation, unobserved)
	}()
	<-ctx.Done()

	return 0, errors.Wrap(target.ErrUnknown, "no reply")
}

func (f *Fleet) start(w *Worker, s target.Start) (int64, error) {
	clock := w.clock()
	f.logf("start %v run=%d on %s born=%d token=%d seen=%d clock=%d deadline=%d until=%d", s.Task, s.Run, w.ID, w.Incarnation, s.Token, w.token, clock, s.Deadline, w.deadline)
	if s.Token < w.token {
		return clock, target.ErrFenced
	}
	w.token = s.Token
	if clock >= s.Deadline {
		return clock, target.ErrDeadlinePassed
	}
	if r := w.runs[s.Task]; r != nil && r.run == s.Run {
		w.extendLease(s.Deadline)

		return clock, nil
	}
	if f.Ticketed != nil && (!f.Ticketed[w.ID] || s.Ticket != ticketOf(s.Task, w)) {
		return clock, target.ErrTicket
	}
	w.extendLease(s.Deadline)
	if s.Run <= w.highestRun[s.Task] || w.runs[s.Task] != nil {
		return clock, target.ErrStaleRun
	}
	length, how := f.Outcome(s.Task, s.Run, w.ID)
	r := &activeRun{task: s.Task, run: s.Run, started: time.Now(), length: length, plannedEnd: how, percent: 100, nameBytes: f.CheckpointName}
	r.record = f.Journal.recordStart(w, s)
	w.runs[s.Task] = r

	return clock, nil
}

// ticketOf returns the placement ticket for one step on one incarnation of a worker.
func ticketOf(t work.Task, w *Worker) string {
	return fmt.Sprintf("%s.%d.%s.%d", t.Job, t.Step, w.ID, w.Incarnation)
}

// Advise emulates the placement service: it returns a ticket for each of the named workers
// that may run a step, and how long the tickets are valid.
func (f *Fleet) Advise(ctx context.Context, step work.Task, names []string) (map[string]string, time.Duration, error) {
	if err := sleep(ctx, 10*callLatency); err != nil {
		return nil, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	allowed := map[string]string{}
	for _, n := range names {
		if f.Ticketed[n] {
			allowed[n] = ticketOf(step, f.workers[n])
		}
	}

	return allowed, 3 * time.Second, nil
}

// extendLease extends the lease to a deadline on the worker's clock, at most by maxLease
// from now. It never shortens the lease.
func (w *Worker) extendLease(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+maxLease.Milliseconds()))
}

func (f *Fleet) stop(w *Worker, s target.Stop) (int64, error) {
	f.logf("stop %v run=%d on %s born=%d token=%d seen=%d", s.Task, s.Run, w.ID, w.Incarnation, s.Token, w.token)
	if s.Token < w.token {
		return w.clock(), target.ErrFenced
	}
	w.token = s.Token
	w.highestRun[s.Task] = max(w.highestRun[s.Task], s.Run)
	if r := w.runs[s.Task]; r != nil && r.run <= s.Run && r.killAt.IsZero() {
		r.killAt = time.Now().Add(f.killGrace(w))
	}

	return w.clock(), nil
}

// killGrace returns the time from a stop on a worker until the run ends.
func (f *Fleet) killGrace(w *Worker) time.Duration {
	if f.KillGrace == nil {
		return killGrace
	}

	return f.KillGrace(w.ID)
}

func (f *Fleet) renewLease(ctx context.Context, caller string, a target.Address, l target.LeaseRenewal) (target.Report, error) {
	w, err := f.reach(ctx, caller, a, func(w *Worker) { f.renewUnobserved(w, l) })
	if err != nil {
		return target.Report{}, err
	}
	f.mu.Lock()
	late, lost := f.lateRenewalShare > 0 && f.Random() < f.lateRenewalShare, f.lostRenewalShare > 0 && f.Random() < f.lostRenewalShare
	incarnation := w.Incarnation
	f.mu.Unlock()
	if late {
		go f.renewLate(w, incarnation, l)
		<-ctx.Done()

		return target.Report{}, errors.Wrap(target.ErrUnknown, "no reply")
	}
	r, err := f.holdRenewal(ctx, w, l, false)
	if lost {
		<-ctx.Done()

		return target.Report{}, errors.Wrap(target.ErrUnknown, "reply lost")
	}

	return r, f.delayAnswer(ctx, err)
}

// renewLate carries a lease renewal out seconds after it was sent.
func (f *Fleet) renewLate(w *Worker, incarnation int64, l target.LeaseRenewal) {
	time.Sleep(f.lateness())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executeLate(w, incarnation, func(w *Worker) { f.renewUnobserved(w, l) })
}

// renewUnobserved carries a lease renewal out in the background. Nobody receives the answer, and the worker may
// be cut off.
func (f *Fleet) renewUnobserved(w *Worker, l target.LeaseRenewal) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), l.Wait+time.Second)
		defer cancel()
		_, _ = f.holdRenewal(ctx, w, l, true) // the caller has given up waiting
	}()
}

// holdRenewal carries a lease renewal out and delays the answer until there is an end to report, at most
// for the wait of the renewal. The cursor acknowledges also the ends that come in that time. A worker
// that starts again drops the calls that it holds: half of them are reset, the others get no answer.
func (f *Fleet) holdRenewal(ctx context.Context, w *Worker, l target.LeaseRenewal, unobserved bool) (target.Report, error) {
	until := time.Now().Add(l.Wait)
	incarnation, err := f.beginRenewal(w, l, unobserved)
	for err == nil {
		f.mu.Lock()
		if !w.up || (w.cutOff && !unobserved) || w.Incarnation != incarnation {
			reset := (w.Incarnation != incarnation || w.restarting) && f.Random() < resetShare
			f.mu.Unlock()
			if !reset {
				<-ctx.Done()
			}

			return target.Report{}, errors.Wrap(target.ErrUnknown, "no reply")
		}
		if l.Token < w.token && !f.HeldRenewalsStay {
			f.mu.Unlock()

			return target.Report{}, target.ErrFenced
		}
		if l.Token >= w.token {
			w.ack(l.Acked, &f.Journal)
		}
		if len(w.unackedEnds) > 0 || time.Now().After(until) || l.Wait == 0 {
			r := f.report(w)
			f.mu.Unlock()

			return r, nil
		}
		f.mu.Unlock()
		if sleep(ctx, tick) != nil {
			err = errors.Wrap(target.ErrUnknown, "no reply in time")
		}
	}

	return target.Report{}, err
}

// beginRenewal extends the lease of the worker, and returns the incarnation that holds the renewal. While it is
// held, Run advances the workers.
func (f *Fleet) beginRenewal(w *Worker, l target.LeaseRenewal, unobserved bool) (incarnation int64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	if !w.up || (w.cutOff && !unobserved) {
		return w.Incarnation, nil
	}
	if unobserved || l.Acked > 0 {
		f.logf("renewal on %s born=%d token=%d seen=%d acked=%d clock=%d deadline=%d unobserved=%t", w.ID, w.Incarnation, l.Token, w.token, l.Acked, w.clock(), l.Deadline, unobserved)
	}
	if l.Token < w.token {
		return w.Incarnation, target.ErrFenced
	}
	w.token = l.Token
	if l.Deadline > 0 {
		w.extendLease(l.Deadline)
	}
	w.ack(l.Acked, &f.Journal)

	return w.Incarnation, nil
}

// lateness returns how long after it was sent an order is carried out late.
func (f *Fleet) lateness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()

	return minLateness + time.Duration(f.Random()*float64(maxLateness-minLateness))
}

// ack drops the ends up to number n, which the planner has acknowledged.
func (w *Worker) ack(n int64, j *Journal) {
	w.unackedEnds = slices.DeleteFunc(w.unackedEnds, func(e target.End) bool {
		if e.Number <= n {
			j.recordAck(w.ID, e, w.leaseExpiredAt)
		}

		return e.Number <= n
	})
}

// report returns the worker's report: its active runs and its oldest unacknowledged ends.
func (f *Fleet) report(w *Worker) target.Report {
	ends := min(len(w.unackedEnds), f.EndsPerReport)
	r := target.Report{Clock: w.clock(), Incarnation: w.Incarnation, Ended: slices.Clone(w.unackedEnds[:ends]), Partial: ends == f.EndsPerReport}
	for _, a := range w.runs {
		r.Running = append(r.Running, target.Run{Task: a.task, Run: a.run, Saved: a.checkpoint(), Percent: a.progress(), Usage: f.usage(w, a)})
	}

	r.Running = append(r.Running, f.phantomRuns[w.ID]...)

	return r
}
