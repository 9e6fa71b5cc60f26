package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/timer"
)

// stopPause is the pause between attempts at a stop that got no answer.
const stopPause = 250 * time.Millisecond

// sendStop sends the stop of a run in the background, and repeats it until it is answered
// or no longer needed.
func (e *Engine) sendStop(m *member) {
	if m.stopInFlight || m.phase == released {
		return
	}
	m.stopInFlight = true
	if m.phase == running {
		m.phase = stopping
	}
	life, first := m.worker.life, true
	e.background.Go(func() {
		for e.ctx.Err() == nil {
			if !e.Lease.Valid() {
				timer.Pause(e.ctx, stopPause)

				continue
			}
			e.mu.Lock()
			to, ended := m.worker.recipient(), m.phase == released || m.worker.life != life
			order := target.Stop{Task: m.task(), Run: m.unit.run, Token: e.orderToken(to.ID)}
			e.mu.Unlock()
			if ended { // after a restart, the next report shows whether the run has to be stopped there
				return
			}
			if to.Host == "" { // the worker may be listed again before its lease has expired
				timer.Pause(e.ctx, stopPause)

				continue
			}
			if e.tryStop(m, to, order, first) {
				return
			}
			first = false
			timer.Pause(e.ctx, stopPause)
		}
	})
}

// tryStop sends a stop once and reports whether no further attempt is needed.
func (e *Engine) tryStop(m *member, to recipient, order target.Stop, first bool) bool {
	if !e.calls.acquire(e.ctx.Done()) {
		return true
	}
	defer e.calls.release()
	ctx, cancel := context.WithTimeout(e.ctx, e.Timing.OrderTimeout)
	defer cancel()
	sent := e.SinceBoot()
	clock, err := e.Workers.Stop(ctx, to.Address, order)
	e.mu.Lock()
	defer e.mu.Unlock()
	err = e.orderError(to.ID, order.Token, err)
	e.raiseIfUnanswered(to.ID, err)
	e.readClock(m.worker, clock, err, sentOrder{at: sent, life: to.life})
	switch {
	case m.worker.life != to.life:
		return true
	case err == nil:
		m.answeredAt = e.SinceBoot()
		m.worker.wakeSession()

		return true
	case errors.Is(err, target.ErrFenced):
		e.loseLease(m.worker.ID)

		return true
	}
	if !first {
		return errors.Is(err, target.ErrOtherIncarnation)
	}
	e.Log.Warn().Str("event", "stop-not-answered").Str("id", m.unit.job.ID).Str("unit", m.unit.name).Int("task", m.index).
		Str("worker", m.worker.ID).Err(err).Msg("")

	return errors.Is(err, target.ErrOtherIncarnation)
}
