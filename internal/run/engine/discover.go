package engine

import (
	"context"
	"slices"
	"time"

	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/timer"
)

const discoverCall = 900 * time.Millisecond

// discover follows the list of workers.
func (e *Engine) discover(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		timer.Pause(ctx, e.Timing.Discover)
		call, cancel := context.WithTimeout(ctx, discoverCall)
		l, err := e.Discover(call)
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
		e.list(l)
		e.mu.Unlock()
	}
}

// list takes in a change of the list of workers.
func (e *Engine) list(l Listing) {
	if l.Whole {
		for _, w := range e.workers {
			if !slices.ContainsFunc(l.Workers, func(t target.Worker) bool { return t.ID == w.ID }) {
				e.unlist(w)
			}
		}
	}
	for _, id := range l.Gone {
		if w := e.workers[id]; w != nil {
			e.unlist(w)
		}
	}
	for _, t := range l.Workers {
		e.contain("worker's entry", t.ID, func() { e.listed(t) })
	}
}

func (e *Engine) unlist(w *worker) {
	if w.listed {
		e.Log.Info().Str("event", "worker-unlisted").Str("worker", w.ID).Int("runs", len(w.runs)).Msg("")
	}
	w.listed = false
	if len(w.runs) == 0 && w.reached {
		w.closed = true
		w.poke()
		delete(e.workers, w.ID)
	}
}

func (e *Engine) listed(t target.Worker) {
	w := e.workers[t.ID]
	if w == nil {
		w = newWorker(t)
		w.listed, w.leaves = true, e.Boot()+t.Left
		w.bound = e.lapseBound()
		e.stopLate(w)
		e.workers[t.ID] = w
		e.Log.Info().Str("event", "worker-listed").Str("worker", t.ID).Str("address", t.Host).Str("rack", t.Rack).
			Int("accelerators", t.Room.Accelerators).Bool("draining", t.Draining).Msg("")
		e.attend(w)
		e.kick()

		return
	}
	if t.Draining != w.Draining {
		e.Log.Info().Str("event", "worker-draining").Str("worker", t.ID).Bool("draining", t.Draining).Dur("left", t.Left).Int("runs", len(w.runs)).Msg("")
		e.kick()
	}
	if t.Draining && !w.Draining {
		w.leaves = e.Boot() + t.Left
	}
	if !w.listed || w.Host != t.Host {
		e.kick()
	}
	used := w.Room.Minus(w.free)
	born := w.Born
	w.Worker = t
	w.free = t.Room.Minus(used)
	w.listed = true
	w.Born = born
	if born == 0 {
		w.Born = t.Born
	}
	if t.Born != 0 && born != 0 && t.Born > born {
		e.restarted(w, t.Born)
		w.reached, w.bound = false, w.floor // fence the planner before, whatever it still sends
	}
	if w.Host != "" {
		w.poke()
	}
}
