package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/timer"
)

// stopPause is the time between tries of a stop that got no answer.
const stopPause = 250 * time.Millisecond

// sendStop orders a run to end, again and again until that is answered.
func (e *Engine) sendStop(m *member) {
	if m.halting || m.phase == gone {
		return
	}
	m.halting = true
	if m.phase == running {
		m.phase = stopping
	}
	order := target.Stop{Task: m.task(), Run: m.unit.run, Token: e.Lease.Token}
	first := true
	e.session.Go(func() {
		for e.ctx.Err() == nil {
			if !e.Lease.Valid() {
				timer.Pause(e.ctx, stopPause)

				continue
			}
			e.mu.Lock()
			to, born, over := m.worker.address(), m.worker.Born, m.phase == gone
			e.mu.Unlock()
			if over || to.Host == "" {
				return
			}
			if e.tryStop(m, to, born, order, first) {
				return
			}
			first = false
			timer.Pause(e.ctx, stopPause)
		}
	})
}

// tryStop reports whether the stop needs no other try.
func (e *Engine) tryStop(m *member, to target.Address, born int64, order target.Stop, first bool) bool {
	if !e.calls.enter(e.ctx.Done()) {
		return true
	}
	defer e.calls.leave()
	ctx, cancel := context.WithTimeout(e.ctx, e.Timing.Call)
	defer cancel()
	clock, err := e.Workers.Stop(ctx, to, order)
	e.mu.Lock()
	defer e.mu.Unlock()
	if clock > 0 {
		m.worker.hear(clock, e.Boot())
	}
	switch {
	case err == nil && m.worker.Born != born:
		return true // another life has answered; the one now is told by another call
	case err == nil:
		m.settled = e.Boot()
		m.worker.poke()

		return true
	case errors.Is(err, target.ErrFenced):
		e.lose(m.worker.ID)

		return true
	}
	if !first {
		return errors.Is(err, target.ErrInstance)
	}
	e.Log.Warn().Str("event", "stop-not-answered").Str("id", m.unit.job.ID).Str("unit", m.unit.name).Int("task", m.index).
		Str("worker", m.worker.ID).Err(err).Msg("")

	return errors.Is(err, target.ErrInstance)
}
