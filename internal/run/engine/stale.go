package engine

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sesameyoke/internal/core/work"
)

const (
	// Size of an entry of a record by worker without the worker's name, at most.
	staleEntryBytes = 12
	// Size of its key and its other fields, with the entry for all other workers, at most.
	staleHeadBytes = 64
)

// staleRecord lists the restarted workers whose lease may be longer than this planner has granted, because
// of an order with a deadline on their earlier clock. The next planner may not know of the restart.
type staleRecord struct {
	_       struct{}         `cbor:",toarray"`
	Workers map[string]int64 // milliseconds from the write until such a lease must have expired
}

// staleWorkers returns the content of the record.
func (e *Engine) staleWorkers() map[string]int64 {
	all := map[string]int64{}
	now := e.SinceBoot()
	for id, until := range e.inheritedStale {
		if until > now {
			all[id] = (until - now).Milliseconds() + 1 // rounded up
		}
	}
	for id, w := range e.workers {
		if until := w.validUntilAtLeast(); w.life > 0 && until > now {
			all[id] = max(all[id], (until-now).Milliseconds()+1)
		}
	}

	return all
}

// anyWorker is the entry of the record for all workers that it doesn't name.
const anyWorker = ""

// recordNewStale writes the record if a worker is to be in it.
func (e *Engine) recordNewStale(w *worker) {
	if w.validUntilAtLeast() > e.SinceBoot() {
		e.scheduleStale()
	}
}

// recordStale writes the record unless it is and stays empty; without any worker, it deletes it.
func (e *Engine) recordStale() {
	if len(e.recordedStale) > 0 || len(e.staleWorkers()) > 0 {
		e.scheduleStale()
	}
}

func (e *Engine) scheduleStale() {
	e.writer.putContent(work.Key(work.StaleRecord, ""), e.encodeStale, func(error) {})
}

// encodeStale returns the content of the record; none without any worker.
func (e *Engine) encodeStale() ([]byte, error) {
	stale := e.staleWorkers()
	e.recordedStale = stale
	if len(stale) == 0 {
		return nil, nil
	}

	return work.Encode(staleRecord{Workers: e.fitWorkers(stale)})
}

// fitWorkers returns the entries that fit in one record. The workers for which it has no room share an
// entry, which later planners apply to all that are not named.
func (e *Engine) fitWorkers(stale map[string]int64) map[string]int64 {
	room := e.RecordBytes - staleHeadBytes
	fitting := map[string]int64{}
	for _, name := range slices.Sorted(maps.Keys(stale)) {
		if room -= len(name) + staleEntryBytes; room >= 0 {
			fitting[name] = stale[name]
		} else {
			fitting[anyWorker] = max(fitting[anyWorker], stale[name])
		}
	}

	return fitting
}

// loadStale applies the record of the previous planners, which was written before they were fenced.
func (e *Engine) loadStale(b []byte) {
	var r staleRecord
	if err := cbor.Unmarshal(b, &r); err != nil {
		e.Log.Error().Str("event", "record-unreadable").Str("key", work.Key(work.StaleRecord, "")).Err(err).Msg("")
		r.Workers = map[string]int64{anyWorker: (e.Timing.LateOrderWindow + e.maxLease()).Milliseconds() + 1}
	}
	e.recordedStale = r.Workers
	defer e.applyStale()
	for id, left := range r.Workers {
		until := e.fencedAt + time.Duration(left)*time.Millisecond
		e.inheritedStale[id] = until
		e.Log.Info().Str("event", "stale-inherited").Str("worker", id).Dur("leased", until-e.SinceBoot()).Msg("")
	}
}

// applyStale applies what the record of the previous planners tells to the workers that are listed.
func (e *Engine) applyStale() {
	for _, w := range e.workers {
		w.notExpiredBefore = max(w.notExpiredBefore, e.inheritedStaleUntil(w.ID))
	}
}

// inheritedStaleUntil returns until when stale orders of previous planners count for a worker.
func (e *Engine) inheritedStaleUntil(id string) time.Duration {
	return max(e.inheritedStale[id], e.inheritedStale[anyWorker])
}
