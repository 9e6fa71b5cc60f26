package engine

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"sesameyoke/internal/core/work"
)

// startsRecord lists the workers with starts whose outcome the planner does not know. Each append with the progress
// of jobs includes it, so it covers all runs that are on record: the starts of the others can't be executed any more.
type startsRecord struct {
	_       struct{}         `cbor:",toarray"`
	Token   int64            // of the planner that wrote it
	Workers map[string]int64 // milliseconds from the write until such a start is not executed any more
}

// noteUnansweredStart notes that a start of a member, or a copy of it, got no answer.
func (e *Engine) noteUnansweredStart(m *member) {
	m.unit.job.begun = true
	m.lateStartUntil = e.SinceBoot() + e.Timing.LateOrderWindow
	if w := m.worker; m.lateIfUnanswered != 0 { // its worker has restarted since, and is not fenced yet
		w.lateUntil = max(w.lateUntil, m.lateStartUntil+w.maxLease)
	}
}

// unsettledStarts returns the content of the record, and forgets the members whose starts are settled.
func (e *Engine) unsettledStarts() map[string]int64 {
	all := map[string]int64{}
	now := e.SinceBoot()
	for m := range e.unsettled {
		until := m.lateStartUntil
		if m.phase == planned || m.phase == starting { // its start may still be sent if this planner is paused
			until = now + e.Timing.PredecessorValidity + e.Timing.LateOrderWindow
		}
		if until <= now {
			delete(e.unsettled, m)

			continue
		}
		all[m.worker.ID] = max(all[m.worker.ID], (until-now).Milliseconds()+1) // rounded up
	}
	if len(e.unmatchedProgress)+len(e.held) > 0 { // runs of these jobs are not adopted yet
		for id, left := range e.inheritedStarts.Workers {
			if until := e.fencedAt + time.Duration(left)*time.Millisecond; until > now {
				all[id] = max(all[id], (until-now).Milliseconds()+1)
			}
		}
	}

	return all
}

// recordStarts writes the record unless it is and stays empty.
func (e *Engine) recordStarts() {
	if len(e.recordedStarts) > 0 || len(e.unsettled) > 0 {
		e.scheduleStarts()
	}
}

func (e *Engine) scheduleStarts() {
	e.writer.putContent(work.Key(work.StartsRecord, ""), func() ([]byte, error) {
		e.recordedStarts = e.unsettledStarts()

		return work.Encode(startsRecord{Token: e.Lease.Token, Workers: e.fitWorkers(e.recordedStarts)})
	}, func(error) {})
}

// loadStarts reads the record of previous planners.
func (e *Engine) loadStarts(b []byte) {
	if err := cbor.Unmarshal(b, &e.inheritedStarts); err != nil {
		e.Log.Error().Str("event", "record-unreadable").Str("key", work.Key(work.StartsRecord, "")).Err(err).Msg("")
		e.inheritedStarts = startsRecord{}
	}
}

// inheritedStartUntil returns the time until which the start of a run that earlier planners have assigned to a
// worker may be executed; 0 if its outcome was known.
func (e *Engine) inheritedStartUntil(w *worker) time.Duration {
	latest := e.earlierOrdersUntil(w)
	if e.inheritedStarts.Token < e.lastGranter {
		return latest // a planner of an earlier version has sent starts and has not written the record
	}
	left := max(e.inheritedStarts.Workers[w.ID], e.inheritedStarts.Workers[anyWorker])
	if left == 0 {
		return 0
	}

	return min(latest, e.fencedAt+time.Duration(left)*time.Millisecond)
}
