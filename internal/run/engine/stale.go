package engine

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"sesameyoke/internal/core/work"
)

// staleRecord lists the restarted workers whose lease may be extended by an unanswered order with a
// deadline on their earlier clock, so that the next planner counts these orders too.
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
		if until := w.staleForSuccessor(); until > now {
			all[id] = max(all[id], (until-now).Milliseconds()+1)
		}
	}

	return all
}

// recordNewStale writes the record if it lacks a worker.
func (e *Engine) recordNewStale(w *worker) {
	if _, recorded := e.recordedStale[w.ID]; !recorded && w.staleForSuccessor() > e.SinceBoot() {
		e.recordStale()
	}
}

// recordStale writes the record unless it is and stays empty; without any worker, it deletes it.
func (e *Engine) recordStale() {
	stale := e.staleWorkers()
	if len(stale) == 0 && len(e.recordedStale) == 0 {
		return
	}
	e.recordedStale = stale
	var b []byte
	if len(stale) > 0 {
		var err error
		if b, err = work.Encode(staleRecord{Workers: stale}); err != nil {
			e.Log.Error().Str("event", "record-not-encoded").Str("key", work.Key(work.StaleRecord, "")).Err(err).Msg("")

			return
		}
	}
	e.writer.putRecord(work.Key(work.StaleRecord, ""), b, func(error) {})
}

// loadStale applies the record of the previous planners, which was written before they were fenced.
func (e *Engine) loadStale(b []byte) {
	var r staleRecord
	if err := cbor.Unmarshal(b, &r); err != nil {
		e.Log.Error().Str("event", "record-unreadable").Str("key", work.Key(work.StaleRecord, "")).Err(err).Msg("")

		return
	}
	e.recordedStale = r.Workers
	for id, left := range r.Workers {
		until := e.fencedAt + time.Duration(left)*time.Millisecond
		e.inheritedStale[id] = until
		if w := e.workers[id]; w != nil {
			w.notExpiredBefore = max(w.notExpiredBefore, until)
		}
		e.Log.Info().Str("event", "stale-inherited").Str("worker", id).Dur("leased", until-e.SinceBoot()).Msg("")
	}
}
