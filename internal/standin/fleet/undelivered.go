package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/peer/target"
)

// refusedShare is the share of the calls to a restarting worker that are refused at once. The others that
// it doesn't execute later get no answer.
const refusedShare = 0.5

// errConnectionRefused means that no process listens at the worker's address.
var errConnectionRefused = errors.WithMessage(target.ErrRefused, "connection refused")

// undeliveredCall is a call that the worker executes once it can be reached again.
type undeliveredCall struct {
	caller  string
	sentAt  time.Time
	execute func(w *Worker)
}

// RestartAfter crashes a worker that is up and restarts it under the same ID after a downtime. Calls that it
// holds are reset or get no answer. Its next incarnation may execute the calls that are sent during the
// downtime, before all others.
func (f *Fleet) RestartAfter(id string, downtime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	w := f.current(id)
	if !w.up {
		return
	}
	w.up, w.restarting = false, true
	w.closeRuns(Crashed)
	f.logf("crash %s", id)
	incarnation := w.Incarnation
	go func() {
		time.Sleep(downtime)
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.up || w.Incarnation != incarnation {
			return // it was restarted meanwhile
		}
		w.startIncarnation()
		w.up, w.listed, w.Draining = true, true, false
		f.publish(w)
		f.logf("restart %s born=%d", id, w.Incarnation)
		f.deliver(w)
	}()
}

// undelivered returns the error of a call to a worker that can't be reached. A share of the calls is executed
// later. f.mu must be held.
func (f *Fleet) undelivered(caller string, w *Worker, execute func(w *Worker)) error {
	if w == nil || (!w.restarting && !w.up) {
		return errors.Wrap(target.ErrRefused, "worker cannot be reached")
	}
	cut := w.cutOff || w.cutOffCallers[caller]
	switch {
	case f.undeliveredShare > 0 && f.Random() < f.undeliveredShare:
		w.undelivered = append(w.undelivered, undeliveredCall{caller: caller, sentAt: time.Now(), execute: execute})

		return errors.Wrap(target.ErrUnknown, "no reply")
	case w.restarting && !cut && f.Random() < refusedShare:
		return errConnectionRefused
	}

	return errors.Wrap(target.ErrRefused, "worker cannot be reached")
}

// deliver executes the undelivered calls of the callers that can reach the worker again, unless they were sent
// longer than maxLateness ago. f.mu must be held.
func (f *Fleet) deliver(w *Worker) {
	if !w.up || w.cutOff || len(w.undelivered) == 0 {
		return
	}
	f.advance()
	var left []undeliveredCall
	for _, c := range w.undelivered {
		switch {
		case w.cutOffCallers[c.caller]:
			left = append(left, c)
		case time.Since(c.sentAt) <= maxLateness:
			f.logf("undelivered call of %q to %s, sent %v ago", c.caller, w.ID, time.Since(c.sentAt))
			c.execute(w)
		}
	}
	w.undelivered = left
}

// executeAbandoned executes a share of the calls whose caller gives up, or is gone, before the worker receives
// them.
func (f *Fleet) executeAbandoned(caller string, a target.Address, execute func(w *Worker)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[a.ID]
	if w == nil || !w.up || w.cutOff || w.cutOffCallers[caller] || f.undeliveredShare == 0 || f.Random() >= f.undeliveredShare {
		return
	}
	f.advance()
	f.logf("abandoned call of %q to %s", caller, w.ID)
	execute(w)
}

// logf logs an event.
func (f *Fleet) logf(format string, args ...any) {
	if f.Log != nil {
		f.Log(format, args...)
	}
}

// executeLate executes a call that was meant for the given incarnation, unless a later one refuses it. A worker
// that restarts executes it as one of its first calls. f.mu must be held.
func (f *Fleet) executeLate(w *Worker, incarnation int64, execute func(w *Worker)) {
	switch {
	case w.up && (w.Incarnation == incarnation || f.CrossIncarnations):
		f.logf("late call to %s born=%d, sent to born=%d", w.ID, w.Incarnation, incarnation)
		execute(w)
	case w.restarting && f.CrossIncarnations:
		w.undelivered = append(w.undelivered, undeliveredCall{sentAt: time.Now(), execute: execute})
	}
}

// extraLatency returns the extra latency of a request or an answer.
func (f *Fleet) extraLatency() time.Duration {
	if f.ExtraLatency == nil {
		return 0
	}

	return f.ExtraLatency()
}

// delayAnswer waits for the extra latency of an answer, and returns its error or that of the caller's timeout.
func (f *Fleet) delayAnswer(ctx context.Context, err error) error {
	d := f.extraLatency()
	if d == 0 {
		return err
	}
	if sleep(ctx, d) != nil {
		return errors.Wrap(target.ErrUnknown, "no reply in time")
	}

	return err
}
