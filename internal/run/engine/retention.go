package engine

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
)

const (
	// Shortest interval between searches for what is to be deleted.
	expiryInterval = 250 * time.Millisecond
	// Pause before hand-in records are deleted again after a failed attempt.
	deletionRetryPause = 2 * time.Second
	// Maximum number of jobs and queues whose hand-in records are deleted by one append.
	maxDeletions = 1000
)

// handinState tells which records HandinTopic holds of a job or of a queue. They are deleted before
// those in JobsTopic: a planner that found only a job's hand-in would run the job again.
type handinState struct {
	open   bool  // the job's open record, or the queue's record
	cancel bool  // a cancel record of the job
	newest int64 // offset of the newest record that was read
}

// handinDeletion is a deletion of records in HandinTopic.
type handinDeletion struct {
	keys []string
	done func(end int64) // called under the engine's lock when it is durable, with the end of the topic then
}

// present reports whether HandinTopic holds a record.
func (h handinState) present() bool { return h.open || h.cancel }

// noteOpen notes that an open record, or that of a queue, was read at an offset.
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
	if e.SinceBoot() < e.expiryCheckedAt+expiryInterval || !e.handinsCurrent() || e.handinOffset < e.deletedHandins {
		return
	}
	e.expiryCheckedAt = e.SinceBoot()
	deletions := e.dropUnusedQueues()
	for id, j := range e.jobs {
		switch {
		case !e.expired(j.Progress) || !j.durablePhase.Final():
		case j.handin.present():
			deletions = append(deletions, e.jobDeletion(id))
		default:
			e.forget(j)
			e.writer.drop(j)
		}
	}
	for id, early := range e.earlyCancels {
		switch {
		case e.SinceBoot() <= early.until:
		case early.handin.present():
			deletions = append(deletions, e.jobDeletion(id))
		default:
			delete(e.earlyCancels, id)
		}
	}
	e.deleteHandins(deletions)
}

// expired reports whether the retention period of a job has passed.
func (e *Engine) expired(p work.Progress) bool {
	return p.Phase.Final() && e.Now().Sub(time.UnixMilli(p.Ended)) > e.Timing.Retention
}

// jobDeletion returns the deletion of the hand-in records of a job.
func (e *Engine) jobDeletion(id string) handinDeletion {
	return handinDeletion{
		keys: []string{work.Key(work.OpenRecord, id), work.Key(work.CancelRecord, id)},
		done: func(end int64) { e.noteDeletion(id, end) },
	}
}

// deleteHandins deletes records that entry VMs wrote, unless a deletion is in flight or has failed
// recently. A later pass deletes the rest.
func (e *Engine) deleteHandins(all []handinDeletion) {
	if len(all) == 0 || e.deletingHandins || e.SinceBoot() < e.deletionRetryAt {
		return
	}
	all = e.fitDeletions(all[:min(len(all), maxDeletions)])
	e.deletingHandins = true
	readUntil := e.handinOffset
	e.background.Go(func() {
		end, err := e.appendDeletions(all, readUntil)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.deletingHandins = false
		if err != nil {
			e.deletionRetryAt = e.SinceBoot() + deletionRetryPause
			e.Log.Warn().Str("event", "handins-not-deleted").Int("deletions", len(all)).Err(err).Msg("")

			return
		}
		e.deletedHandins = max(e.deletedHandins, end)
		for _, d := range all {
			d.done(end)
		}
	})
}

// fitDeletions returns the first of the deletions, as many as fit in an append.
func (e *Engine) fitDeletions(all []handinDeletion) []handinDeletion {
	bytes := 0
	for i, d := range all {
		if bytes += store.Size(d.records()...); bytes > e.RequestBytes {
			return all[:i]
		}
	}

	return all
}

// records returns the records that delete those of the keys.
func (d handinDeletion) records() []store.Record {
	all := make([]store.Record, 0, len(d.keys))
	for _, key := range d.keys {
		all = append(all, store.Record{Key: key})
	}

	return all
}

// appendDeletions deletes records from HandinTopic, if nothing was written after the offset up to which it was
// read, and returns its end after that. A deletion without an answer may be executed seconds later; it must not
// delete a record that was written meanwhile.
func (e *Engine) appendDeletions(all []handinDeletion, readUntil int64) (int64, error) {
	a := store.Append{Topic: HandinTopic, ExpectedEnd: readUntil}
	for _, d := range all {
		a.Records = append(a.Records, d.records()...)
	}
	ctx, cancel := context.WithTimeout(e.ctx, timeoutFor(a.Records))
	defer cancel()

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
// anywhere: a planner was lost after it had deleted the job's hand-in record. It returns false, and
// deletes nothing, if the job has not expired.
func (e *Engine) dropRemainder(id string, b []byte) bool {
	var p work.Progress
	if err := cbor.Unmarshal(b, &p); err != nil || !e.expired(p) {
		return false
	}
	e.Log.Info().Str("event", "remainder-deleted").Str("id", id).Msg("")
	e.writer.putRecord(work.Key(work.ProgressRecord, id), nil, func(error) {})
	e.writer.putRecord(work.Key(work.CrashRecord, id), nil, func(error) {})

	return true
}
