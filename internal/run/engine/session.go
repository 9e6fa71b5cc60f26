package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/timer"
)

const (
	holdSlack  = 400 * time.Millisecond // a report is given up so long after its wait
	holdPause  = 120 * time.Millisecond // between tries at a silent worker
	holdBusy   = 700 * time.Millisecond // between reports while ends wait to be durable
	unreadFor  = 5 * time.Second        // after taking over, the runs of a job that is still to be read go on
	settleHold = 20 * time.Millisecond  // wait of a report that settles an order

	excuseParts = 2 // a worker is not taken for silent before this part of its lease, while this VM is slow itself
)

// attend starts the session with a worker.
func (e *Engine) attend(w *worker) {
	e.session.Go(func() {
		for e.ctx.Err() == nil {
			h, to, due := e.nextHold(w)
			if e.isClosed(w) {
				return
			}
			if !due || !e.Lease.Valid() {
				e.idle(w)

				continue
			}
			e.hold(w, to, h)
		}
	})
}

func (e *Engine) isClosed(w *worker) bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return w.closed
}

// idle waits for something to ask the worker for.
func (e *Engine) idle(w *worker) {
	t := time.NewTimer(holdBusy)
	defer t.Stop()
	select {
	case <-e.ctx.Done():
	case <-w.wake:
	case <-t.C:
	}
}

// nextHold returns what to ask of a worker now.
func (e *Engine) nextHold(w *worker) (target.Hold, target.Address, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := target.Hold{Token: e.Lease.Token, Acked: w.acked, Wait: e.Timing.Wait}
	if w.Host == "" {
		e.lapse(w)

		return h, target.Address{}, false
	}
	if !w.reached {
		h.Wait = 0

		return h, w.address(), true
	}
	if len(w.runs) == 0 && w.acked <= w.ackSent && !w.probe(e.Boot()) {
		return h, target.Address{}, false
	}
	if w.seen > w.acked { // it would answer at once with the same ends
		if len(w.runs) == 0 || e.Boot()-w.clockAt < holdBusy {
			return h, target.Address{}, false
		}
		h.Wait = 0
	}
	if len(w.runs) == 0 {
		h.Wait = 0
	} else if w.silent == 0 { // a silent worker's lease must be able to expire
		h.Deadline = w.extend(e.Boot(), e.Timing.Lease)
	}
	if w.shares() {
		h.Wait = min(h.Wait, shareWait)
	}
	for _, m := range w.all() {
		if m.settled != 0 && m.phase == unsure {
			h.Wait = min(h.Wait, settleHold)
		}
	}

	return h, w.address(), true
}

func (e *Engine) hold(w *worker, to target.Address, h target.Hold) {
	if h.Wait == 0 {
		if !e.calls.enter(e.ctx.Done()) {
			return
		}
		defer e.calls.leave()
	}
	ctx, cancel := context.WithTimeout(e.ctx, h.Wait+holdSlack)
	defer cancel()
	sent := e.Boot()
	r, err := e.Workers.Hold(ctx, to, h)
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.closed || e.ctx.Err() != nil {
		return
	}
	if err == nil {
		e.contain("report", w.ID, func() { e.reported(w, h, r, sent) })

		return
	}
	e.unreported(w, sent, err)
}

// unreported takes in that a worker gave no report.
func (e *Engine) unreported(w *worker, sent time.Duration, err error) {
	switch {
	case errors.Is(err, target.ErrFenced):
		e.lose(w.ID)

		return
	case errors.Is(err, target.ErrInstance):
		e.Log.Warn().Str("event", "worker-replaced").Str("worker", w.ID).Str("address", w.Host).Msg("")
		e.dropAll(w, target.Lapsed)
		w.Host = ""

		return
	}
	if e.late() && w.reached && w.silent == 0 && e.Boot() < w.clockAt+e.Timing.Lease/excuseParts {
		e.Count("reports_late", 1) // this VM is slow itself: the worker is asked again

		return
	}
	if w.silent == 0 {
		w.silent = sent
		e.Log.Warn().Str("event", "worker-lost").Str("worker", w.ID).Err(err).Int("runs", len(w.runs)).Msg("")
	}
	e.lapse(w)
	e.mu.Unlock()
	timer.Pause(e.ctx, holdPause)
	e.mu.Lock()
}

// lapse ends the runs of a silent worker once its lease must have expired.
func (e *Engine) lapse(w *worker) {
	if !w.lapsed(e.Boot()) {
		return
	}
	if len(w.runs) > 0 {
		e.Log.Warn().Str("event", "lease-lapsed").Str("worker", w.ID).Int("runs", len(w.runs)).Msg("")
		e.dropAll(w, target.Lapsed)
	}
	if !w.listed {
		w.closed = true
		delete(e.workers, w.ID)
	}
}

func (e *Engine) dropAll(w *worker, how target.How) {
	for _, m := range w.all() {
		if m.phase == starting {
			e.rememberLate(m)
		}
		e.ended(m, how, "")
	}
}

// reported takes in a worker's report.
func (e *Engine) reported(w *worker, h target.Hold, r target.Report, sent time.Duration) {
	if r.Born != 0 && r.Born < w.Born {
		return // from a life that has ended
	}
	if w.silent != 0 {
		e.Log.Info().Str("event", "worker-regained").Str("worker", w.ID).Dur("after", e.Boot()-w.silent).Msg("")
		w.silent = 0
	}
	w.hear(r.Clock, e.Boot())
	if !w.reached {
		w.reached = true
		e.kick()
	}
	if r.Born != 0 && r.Born != w.Born {
		e.restarted(w, r.Born)
	}
	w.ackSent = max(w.ackSent, h.Acked)
	listed := map[*member]bool{}
	e.takeEnds(w, r.Ended, listed)
	for _, run := range r.Running {
		if !run.Task.Possible() {
			e.Log.Warn().Str("event", "run-impossible").Str("worker", w.ID).Str("id", run.Task.Job).Int("occur", run.Task.Occur).
				Int("step", run.Task.Step).Int("task", run.Task.Index).Msg("")

			continue
		}
		e.sawRunning(w, run, listed)
	}
	e.judgeWorker(w)
	e.paceWorker(w)
	for _, m := range w.all() {
		if !listed[m] && m.phase != planned && m.phase != starting && m.settled != 0 && sent > m.settled {
			e.ended(m, target.Lapsed, "")
		}
	}
}

// restarted takes in that a worker has started again. Which life has answered a
// start is not known: what is not in a report of the new life is gone.
func (e *Engine) restarted(w *worker, born int64) {
	e.Log.Warn().Str("event", "worker-restarted").Str("worker", w.ID).Int64("born", born).Int64("before", w.Born).Int("runs", len(w.runs)).Msg("")
	w.newLife(born, e.Boot()+e.longest())
	for _, m := range w.all() {
		// A start without an answer may still arrive, in this life: only a stop
		// that this life answers ends it. All else shows in the report.
		if m.phase == unsure && !m.byOther {
			m.settled, m.halting = 0, false
			e.sendStop(m)
		}
	}
	e.stopLate(w)
}

// takeEnds records the ends that are new.
func (e *Engine) takeEnds(w *worker, ends []target.End, listed map[*member]bool) {
	highest := w.seen
	for _, end := range ends {
		m := w.find(end.Task, end.Run)
		if m != nil {
			listed[m] = true
		}
		if end.Number <= w.seen {
			continue
		}
		highest = max(highest, end.Number)
		switch {
		case m != nil:
			e.ended(m, end.How, end.Saved)
		default:
			e.lateEnd(w, end)
		}
	}
	if highest == w.seen {
		return
	}
	w.seen = highest
	born := w.Born
	e.writer.after(func(err error) {
		if err == nil && w.Born == born {
			w.acked = max(w.acked, highest)
			w.poke()
		}
	})
}

// sawRunning takes in a run that a worker lists.
func (e *Engine) sawRunning(w *worker, r target.Run, listed map[*member]bool) {
	m := w.find(r.Task, r.Run)
	if m == nil {
		e.orphan(w, r)

		return
	}
	listed[m] = true
	if r.Saved != "" && r.Saved != m.saved {
		m.saved, m.saves = r.Saved, e.Boot()
	}
	if m.phase == unsure && !m.halting {
		m.phase, m.settled, m.began = running, e.Boot(), e.Boot()
	}
	m.usage = r.Usage
	if m.phase == running {
		e.progressed(m, r.Percent)
	}
}
