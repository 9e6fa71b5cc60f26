package engine

import (
	"context"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/run/timer"
)

// The silent record lists workers that have runs but have not reported to the planner, with
// the milliseconds after which their leases must have expired, counted from the write. While
// it lists a worker, no planner grants that worker a lease. So a new planner need not count
// the whole lease of a listed worker from its own takeover.

// silentInterval is the interval between writes of the silent record while it has entries.
const silentInterval = time.Second

// predecessorExpiry returns the time by which the leases that earlier planners granted a
// worker have expired, so that every run started there before has ended. All planners
// grant workers the same lease.
func (e *Engine) predecessorExpiry(worker string) time.Duration {
	expiry := e.began + e.Timing.PredecessorValidity + time.Duration(float64(e.Timing.WorkerLease)/minClockRate) + clockMargin
	if left, ok := e.inheritedSilent[worker]; ok {
		expiry = min(expiry, e.fencedAt+time.Duration(left)*time.Millisecond)
	}

	return expiry
}

// loadSilent applies the silent record of the previous planners, which was written before
// this planner fenced them.
func (e *Engine) loadSilent(b []byte) {
	inherited := map[string]int64{}
	if err := cbor.Unmarshal(b, &inherited); err != nil {
		e.Log.Error().Str("event", "record-unreadable").Str("key", work.Key(work.SilentRecord, "")).Err(err).Msg("")
	}
	e.inheritedSilent = inherited
	for worker := range inherited {
		e.silent[worker] = true
	}
	for _, w := range e.workers {
		w.expiredBy = e.predecessorExpiry(w.ID)
	}
}

// updateSilent writes the silent record at intervals until the context ends.
func (e *Engine) updateSilent(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		e.recordSilent()
		e.mu.Unlock()
		timer.Pause(ctx, silentInterval)
	}
}

// recordSilent writes the silent record unless it is and stays empty.
func (e *Engine) recordSilent() {
	silent := e.silentWorkers()
	if len(silent) > 0 || len(e.silent) > 0 {
		e.writeSilent(silent, func(error) {})
	}
}

// silentWorkers returns the content of the silent record. All its times are positive.
func (e *Engine) silentWorkers() map[string]int64 {
	silent := map[string]int64{}
	for _, w := range e.workers {
		if w.neverReported() && len(w.runs) > 0 {
			silent[w.ID] = max(0, w.expiredBy-e.SinceBoot()).Milliseconds() + 1 // rounded up
		}
	}

	return silent
}

// admitReports makes a worker that has reported usable. If the silent record lists it, the
// entry must be durably removed before.
func (e *Engine) admitReports(w *worker) {
	switch {
	case w.reported || w.admitting:
		return
	case !e.silent[w.ID]:
		w.reported = true
		e.requestPass()

		return
	}
	w.admitting = true
	e.writeSilent(e.silentWorkers(), func(err error) {
		w.admitting = false
		if err != nil {
			return
		}
		w.reported = true
		w.wakeSession()
		e.requestPass()
	})
}

// writeSilent schedules the silent record. The callback is called like that of writer.put.
func (e *Engine) writeSilent(silent map[string]int64, f func(error)) {
	b, err := work.Encode(silent)
	if err != nil {
		e.Log.Error().Str("event", "record-not-encoded").Str("key", work.Key(work.SilentRecord, "")).Err(err).Msg("")

		return
	}
	for worker := range silent {
		e.silent[worker] = true
	}
	e.silentWrites++
	number := e.silentWrites
	e.writer.putRecord(work.Key(work.SilentRecord, ""), b, func(err error) {
		if err == nil && number == e.silentWrites {
			maps.DeleteFunc(e.silent, func(worker string, _ bool) bool { return silent[worker] == 0 })
		}
		f(err)
	})
}

// neverReported reports whether this planner has received nothing from the worker, and so
// has not granted it a lease.
func (w *worker) neverReported() bool { return !w.reported && !w.admitting && w.clockAt == 0 }
