package engine

import (
	"context"
	"time"

	"sesameyoke/internal/core/share"
	"sesameyoke/internal/peer/target"
)

const (
	shareWait = 500 * time.Millisecond // longest wait of a report from a worker where tasks fill beside serving ones
	fillRest  = 10 * time.Second       // a worker that left filling tasks no share gets no others for so long
	noShare   = 5 * time.Second        // after which a filling task without a share goes elsewhere
)

// serves reports whether a member's task serves its own users.
func (m *member) serves() bool {
	st := &m.unit.job.Steps[m.unit.step]

	return st.Lasting && st.Target > 0
}

func (m *member) fills() bool { return m.unit.job.Steps[m.unit.step].Fills }

// shares reports whether tasks fill beside serving ones on a worker.
func (w *worker) shares() bool {
	serves, fills := false, false
	for _, m := range w.all() {
		serves = serves || m.serves()
		fills = fills || m.fills()
	}

	return serves && fills
}

// paceWorker sets the share of the tasks that fill on a worker, after a report.
func (e *Engine) paceWorker(w *worker) {
	var (
		serving []share.Serving
		fillers []*member
	)
	for _, m := range w.all() {
		switch {
		case m.phase != running || m.unit.orphan:
		case m.serves():
			target := time.Duration(m.unit.job.Steps[m.unit.step].Target) * time.Millisecond
			serving = append(serving, share.Serving{Tail: time.Duration(m.usage) * time.Millisecond, Target: target})
		case m.fills():
			fillers = append(fillers, m)
		}
	}
	if len(fillers) == 0 {
		return
	}
	now, before := e.Boot(), w.pace.Percent
	w.pace = w.pace.Next(now, serving)
	if w.pace.Percent != before {
		e.Log.Info().Str("event", "pace").Str("worker", w.ID).Int("percent", w.pace.Percent).Int("before", before).
			Int("serving", len(serving)).Int("filling", len(fillers)).Msg("")
	}
	for _, m := range fillers {
		e.paceMember(m, now)
	}
}

// paceMember brings a filling task to its worker's share, or elsewhere if there is none.
func (e *Engine) paceMember(m *member, now time.Duration) {
	w := m.worker
	switch {
	case w.pace.Percent > 0:
		m.starved = 0
	case m.starved == 0:
		m.starved = now
	case now-m.starved > noShare:
		w.noFill = now + fillRest
		e.abort(m.unit, "no share left")

		return
	}
	if m.paced == w.pace.Percent || m.pacing {
		return
	}
	m.pacing = true
	order := target.Pace{Task: m.task(), Run: m.unit.run, Percent: w.pace.Percent, Token: e.Lease.Token}
	to := w.address()
	e.session.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, e.Timing.Start)
		defer cancel()
		_, err := e.Workers.Pace(ctx, to, order)
		e.mu.Lock()
		defer e.mu.Unlock()
		m.pacing = false
		if err == nil {
			m.paced = order.Percent
		} else {
			e.Log.Warn().Str("event", "pace-not-set").Str("id", m.unit.job.ID).Str("worker", w.ID).Int("percent", order.Percent).Err(err).Msg("")
		}
	})
}
