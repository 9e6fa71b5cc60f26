package engine

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
)

const (
	// Pause before hand-in records are deleted again after a failed attempt.
	deletionRetryPause = 2 * time.Second
	// Maximum number of jobs whose hand-in records are deleted by one append.
	maxDeletions = 1000
)

// handinState tells which records HandinTopic holds of a job. They are deleted before the
// records in JobsTopic: a planner that found only the former would run the job again.
type handinState struct {
	open   bool  // the job's open record
	cancel bool  // a cancel record
	newest int64 // offset of the newest record that was read
}

// present reports whether HandinTopic holds a record of the job.
func (h handinState) present() bool { return h.open || h.cancel }

// noteOpen notes that an open record was read at an offset.
func (h *handinState) noteOpen(offset int64) { h.open, h.newest = true, max(h.newest, offset) }

// noteCancel notes that a cancel record was read at an offset.
func (h *handinState) noteCancel(offset int64) { h.cancel, h.newest = true, max(h.newest, offset) }

// noteDeletion notes that the records before an offset have been deleted.
func (h *handinState) noteDeletion(end int64) {
	if h.newest < end {
		h.open, h.cancel = false, false
	}
}

// dropExpired deletes the records of jobs and of early cancellations whose retention period
// has passed. It waits while hand-ins may exist that this planner has not read.
func (e *Engine) dropExpired() {
	if !e.handinsCurrent() || e.handinOffset < e.deletedHandins {
		return
	}
	var handins []string
	for id, j := range e.jobs {
		switch {
		case !e.expired(j.Progress) || !j.durablePhase.Final():
		case j.handin.present():
			handins = append(handins, id)
		default:
			delete(e.jobs, id)
			e.writer.drop(j)
		}
	}
	for id, early := range e.earlyCancels {
		switch {
		case e.SinceBoot() <= early.until:
		case early.handin.present():
			handins = append(handins, id)
		default:
			delete(e.earlyCancels, id)
		}
	}
	e.deleteHandins(handins)
}

// expired reports whether the retention period of a job has passed.
func (e *Engine) expired(p work.Progress) bool {
	return p.Phase.Final() && e.Now().Sub(time.UnixMilli(p.Ended)) > e.Timing.Retention
}

// deleteHandins deletes the records that entry VMs wrote for some jobs, unless a deletion is in
// flight or has failed recently. A later pass deletes the rest.
func (e *Engine) deleteHandins(ids []string) {
	if len(ids) == 0 || e.deletingHandins || e.SinceBoot() < e.deletionRetryAt {
		return
	}
	ids = ids[:min(len(ids), maxDeletions)]
	e.deletingHandins = true
	e.background.Go(func() {
		end, err := e.appendDeletions(ids)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.deletingHandins = false
		if err != nil {
			e.deletionRetryAt = e.SinceBoot() + deletionRetryPause
			e.Log.Warn().Str("event", "handins-not-deleted").Int("jobs", len(ids)).Err(err).Msg("")

			return
		}
		e.deletedHandins = max(e.deletedHandins, end)
		for _, id := range ids {
			e.noteDeletion(id, end)
		}
	})
}

// appendDeletions deletes the hand-in records of some jobs and returns the end of HandinTopic
// after that.
func (e *Engine) appendDeletions(ids []string) (int64, error) {
	ctx, cancel := context.WithTimeout(e.ctx, appendTimeout)
	defer cancel()
	a := store.Append{Topic: HandinTopic, ExpectedEnd: -1}
	for _, id := range ids {
		a.Records = append(a.Records, store.Record{Key: work.Key(work.OpenRecord, id)}, store.Record{Key: work.Key(work.CancelRecord, id)})
	}

	return e.Store.Append(ctx, a)
}

// noteDeletion notes that the hand-in records of a job before an offset have been deleted.
func (e *Engine) noteDeletion(id string, end int64) {
	if j := e.jobs[id]; j != nil {
		j.handin.noteDeletion(end)
	}
	if early, ok := e.earlyCancels[id]; ok {
		early.handin.noteDeletion(end)
		e.earlyCancels[id] = early
	}
}

// dropRemainder deletes the progress and crash records of a job that has no open record
// anywhere: a planner was lost after it had deleted the job's hand-in record.
func (e *Engine) dropRemainder(id string, b []byte) {
	var p work.Progress
	if err := cbor.Unmarshal(b, &p); err != nil || !e.expired(p) {
		return
	}
	e.Log.Info().Str("event", "remainder-deleted").Str("id", id).Msg("")
	e.writer.putRecord(work.Key(work.ProgressRecord, id), nil, func(error) {})
	e.writer.putRecord(work.Key(work.CrashRecord, id), nil, func(error) {})
}
