package engine

import (
	"context"
	"slices"
	"time"

	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/timer"
)

const discoverTimeout = 900 * time.Millisecond // timeout of one read of the worker list

// discover reads the changes of the worker list and applies them, until the context ends.
func (e *Engine) discover(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		timer.Pause(ctx, e.Timing.DiscoverInterval)
		call, cancel := context.WithTimeout(ctx, discoverTimeout)
		sent := e.SinceBoot()
		listing, err := e.Discover(call)
		cancel()
		if err != nil {
			if !lost && ctx.Err() == nil {
				e.Log.Warn().Str("event", "worker-list-lost").Err(err).Msg("")
			}
			lost = true

			continue
		}
		if lost {
			e.Log.Info().Str("event", "worker-list-regained").Msg("")
		}
		lost = false
		e.mu.Lock()
		e.applyListing(listing)
		e.listedAt = sent
		e.sendStarts()
		e.mu.Unlock()
	}
}

// applyListing applies a change of the worker list.
func (e *Engine) applyListing(l Listing) {
	if l.Complete {
		for _, w := range e.workers {
			if !slices.ContainsFunc(l.Workers, func(t target.Worker) bool { return t.ID == w.ID }) {
				e.unlist(w)
			}
		}
	}
	for _, id := range l.Removed {
		if w := e.workers[id]; w != nil {
			e.unlist(w)
		}
	}
	for _, t := range l.Workers {
		e.contain("worker's entry", t.ID, func() { e.updateWorker(t) })
	}
}

// unlist marks a worker as removed from the list. A worker that has runs or has not reported
// yet is kept.
func (e *Engine) unlist(w *worker) {
	if w.listed {
		e.Log.Info().Str("event", "worker-unlisted").Str("worker", w.ID).Int("runs", len(w.runs)).Msg("")
		w.listed = false
		e.probeGone(w)
	}
	if len(w.runs) == 0 && w.reported {
		w.removed = true
		w.wakeSession()
		delete(e.workers, w.ID)
	}
}

// updateWorker adds a worker or applies its changed entry in the worker list.
func (e *Engine) updateWorker(t target.Worker) {
	w := e.workers[t.ID]
	if w == nil {
		w = e.newWorker(t)
		w.listed, w.listedIncarnation, w.staysUntil = true, t.Incarnation, e.SinceBoot()+t.TimeToLeave
		w.expiredBy = e.predecessorExpiry(w)
		e.workers[t.ID] = w
		e.Log.Info().Str("event", "worker-listed").Str("worker", t.ID).Str("address", t.Host).Str("rack", t.Rack).
			Int("accelerators", t.Capacity.Accelerators).Bool("draining", t.Draining).Msg("")
		e.startSession(w)
		e.requestPass()

		return
	}
	if w.isOlder(t) {
		e.Log.Info().Str("event", "older-entry").Str("worker", t.ID).Int64("born", t.Incarnation).Int64("sequence", t.Sequence).Msg("")

		return
	}
	if t.Draining != w.Draining {
		e.Log.Info().Str("event", "worker-draining").Str("worker", t.ID).Bool("draining", t.Draining).Dur("left", t.TimeToLeave).Int("runs", len(w.runs)).Msg("")
		e.requestPass()
	}
	if t.Draining && !w.Draining {
		w.staysUntil = e.SinceBoot() + t.TimeToLeave
	}
	if !w.listed || w.Host != t.Host {
		e.requestPass()
	}
	used := w.Capacity.Minus(w.free)
	incarnation, draining := w.Incarnation, w.Draining
	w.Worker, w.coldUntil = t, e.SinceBoot()+t.ColdFor
	w.free = t.Capacity.Minus(used)
	w.listed, w.listedIncarnation = true, t.Incarnation
	w.Incarnation = incarnation
	if incarnation == 0 {
		w.Incarnation, w.incarnationAt = t.Incarnation, e.SinceBoot()
	}
	if t.Incarnation != 0 && incarnation != 0 && t.Incarnation > incarnation && t.Incarnation != w.superseded {
		e.noteListedIncarnation(w, t.Incarnation, draining)
	}
	if w.Host != "" {
		w.wakeSession()
	}
}

// noteListedIncarnation processes a newer incarnation of a worker that the list shows.
func (e *Engine) noteListedIncarnation(w *worker, incarnation int64, draining bool) {
	if w.bornUnknown {
		w.learnIncarnation(incarnation)

		return
	}
	e.handleRestart(w, incarnation, draining)
	w.setClock(0, e.SinceBoot()) // its clock is not known
}
