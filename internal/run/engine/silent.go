package engine

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/run/timer"
)

const (
	// Interval between writes of the silent record while it has entries.
	silentInterval = 500 * time.Millisecond
	// Size of an entry of the record without the worker's name, at most.
	silentEntryBytes = 24
	// Size of its key and its other fields, at most.
	silentHeadBytes = 64
)

type (
	// silentRecord lists workers that have runs but do not answer the planner. While it lists
	// a worker, no planner grants that worker a lease. So a new planner need not count the whole
	// lease of a listed worker from its own takeover.
	silentRecord struct {
		_       struct{} `cbor:",toarray"`
		Token   int64    // of the planner that wrote it
		Workers map[string]silentWorker
	}

	// silentWorker is an entry of a silentRecord.
	silentWorker struct {
		_     struct{} `cbor:",toarray"`
		Token int64    // newest token under which the worker may have been granted a lease
		Left  int64    // milliseconds from the write until its leases must have expired
	}
)

// predecessorExpiry returns the time by which the leases that earlier planners granted a
// worker have expired, so that every run started there before has ended. All planners grant
// workers the same lease.
func (e *Engine) predecessorExpiry(w *worker) time.Duration {
	s, ok := e.inheritedSilent[w.ID]
	if !ok {
		return e.grantsExpire(e.lastGranter, w)
	}

	return min(e.grantsExpire(s.Token, w), e.fencedAt+time.Duration(s.Left)*time.Millisecond)
}

// grantsExpire returns the time by which all leases have expired that planners with the given
// token or earlier ones granted a worker.
func (e *Engine) grantsExpire(token int64, w *worker) time.Duration {
	lease := time.Duration(float64(e.Timing.WorkerLease)/minClockRate) + clockMargin
	expiry := e.Lease.ActiveUntil(token, e.Timing.PredecessorValidity) + lease
	if e.mayHaveRestarted(w) {
		expiry = max(expiry, e.Lease.ActiveUntil(token, 0)+e.maxLease())
	}

	return expiry
}

// mayHaveRestarted reports whether a worker may have started again recently. Its clock then
// began anew, and a start with a deadline of the clock before gave it the longest lease that it
// accepts.
func (e *Engine) mayHaveRestarted(w *worker) bool {
	age := e.Now().Sub(time.UnixMilli(w.Incarnation))

	return !w.listed || w.Incarnation == 0 || age < e.Timing.LateOrderWindow+e.maxLease()
}

// loadSilent applies the silent record, which was written before this planner fenced its
// predecessors. Planners that did not write it granted no leases, unless one of them may be of
// a version that does not write the record at all: then the record is ignored.
func (e *Engine) loadSilent(b []byte) {
	var r silentRecord
	if err := cbor.Unmarshal(b, &r); err != nil {
		e.Log.Error().Str("event", "record-unreadable").Str("key", work.Key(work.SilentRecord, "")).Err(err).Msg("")

		return
	}
	if !e.Lease.AllMarked(r.Token) {
		return
	}
	e.lastGranter, e.inheritedSilent = r.Token, r.Workers
	for worker := range r.Workers {
		e.silent[worker] = true
	}
	for _, w := range e.workers {
		w.expiredBy = e.predecessorExpiry(w)
	}
}

// updateSilent writes the records of silent workers, of restarted workers' leases and of unsettled starts at
// intervals until the context ends.
func (e *Engine) updateSilent(ctx context.Context) {
	for ctx.Err() == nil {
		timer.Pause(ctx, silentInterval)
		e.mu.Lock()
		e.recordSilent()
		e.recordStale()
		e.recordStarts()
		e.mu.Unlock()
	}
}

// recordSilent writes the silent record unless it is and stays empty.
func (e *Engine) recordSilent() {
	e.withdrawGone()
	if len(e.silent) > 0 || len(e.silentWorkers()) > 0 {
		e.writeSilent(func(error) {})
	}
}

// silentWorkers returns the content of the silent record.
func (e *Engine) silentWorkers() map[string]silentWorker {
	silent := map[string]silentWorker{}
	for _, w := range e.workers {
		if w.withdrawn && !w.admitting && len(w.runs) > 0 {
			until := max(w.expiredBy, w.validUntilAtLeast())
			silent[w.ID] = silentWorker{Token: e.Lease.Token, Left: max(0, until-e.SinceBoot()).Milliseconds() + 1} // rounded up

			continue
		}
		inherited, listed := e.inheritedSilent[w.ID]
		if e.admitted[w.ID] || w.admitting || w.clockAt != 0 || len(w.runs) == 0 || (!listed && w.silentSince == 0 && w.Host != "") {
			continue
		}
		s := silentWorker{Token: e.Lease.Token - 1, Left: max(0, max(w.expiredBy, w.validUntilAtLeast())-e.SinceBoot()).Milliseconds() + 1} // rounded up
		if listed {
			s.Token = inherited.Token
		}
		silent[w.ID] = s
	}

	return silent
}

// recordGrants writes the records of unsettled starts and of silent workers of this planner before it grants the
// first lease: if a later planner finds another one's, this one has granted none.
func (e *Engine) recordGrants() {
	e.scheduleStarts()
	e.writeSilent(func(err error) { e.grantRecorded = e.grantRecorded || err == nil })
}

// admitReports makes a worker that has reported usable. The silent record of this planner must
// be durable before, without an entry of the worker.
func (e *Engine) admitReports(w *worker) {
	switch {
	case w.reported || w.admitting:
		return
	case e.silent[w.ID]:
		w.admitting = true
		e.writeSilent(e.admitWhenDurable(w))
	case !e.grantRecorded:
		w.admitting = true
		e.writer.after(e.admitWhenDurable(w))
	default:
		e.admit(w)
	}
}

// admitWhenDurable returns a callback for the write that must be durable before a worker gets its
// first lease. A worker that has started again meanwhile must report again first.
func (e *Engine) admitWhenDurable(w *worker) func(error) {
	life := w.life

	return func(err error) {
		w.admitting = false
		if err == nil && w.life == life {
			e.admit(w)
		}
		w.wakeSession()
	}
}

// admit makes a worker usable. From now on this planner may grant it leases.
func (e *Engine) admit(w *worker) {
	w.reported, w.withdrawn, e.admitted[w.ID] = true, false, true
	e.requestPass()
}

// fitSilent leaves out the workers for which a record has no room. Later planners count the whole
// lease of those from the end of this planner.
func (e *Engine) fitSilent(silent map[string]silentWorker) {
	room := e.RecordBytes - silentHeadBytes
	for _, name := range slices.Sorted(maps.Keys(silent)) {
		if room -= len(name) + silentEntryBytes; room < 0 {
			delete(silent, name)
			e.Count("silent_left_out", 1)
		}
	}
}

// writeSilent schedules the silent record. The callback is called like that of writer.put.
func (e *Engine) writeSilent(f func(error)) {
	var silent map[string]silentWorker
	number := 0
	write := func() ([]byte, error) {
		silent = e.silentWorkers()
		e.fitSilent(silent)
		for worker := range silent {
			e.silent[worker] = true
		}
		e.silentWrites++
		number = e.silentWrites

		return work.Encode(silentRecord{Token: e.Lease.Token, Workers: silent})
	}
	e.writer.putContent(work.Key(work.SilentRecord, ""), write, func(err error) {
		if err == nil && number != 0 && number == e.silentWrites {
			maps.DeleteFunc(e.silent, func(worker string, _ bool) bool {
				_, listed := silent[worker]

				return !listed
			})
		}
		f(err)
	})
}
