package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/run/timer"
)

const (
	// Longest wait of a read of HandinTopic (long poll).
	handinWait = time.Second
	// A read times out this long after its wait has passed, because the store may not answer at
	// all.
	handinSlack = 400 * time.Millisecond
	// A job that this planner does not know counts as nonexistent only if HandinTopic was read and
	// the lease was renewed within this time.
	handinFreshness = 2 * time.Second
)

// readHandins processes the records that entry VMs wrote to the store themselves.
func (e *Engine) readHandins(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.readNewHandins(ctx); err != nil && ctx.Err() == nil {
			e.Log.Warn().Str("event", "handins-not-read").Err(err).Int64("offset", e.handinOffset).Msg("")
			timer.Pause(ctx, recoverPause)
		}
	}
}

// readNewHandins reads the records of HandinTopic from handinOffset on and processes them.
func (e *Engine) readNewHandins(ctx context.Context) error {
	sent := e.SinceBoot()
	r, err := e.readHandinRange(ctx)
	var truncated *store.TruncatedError
	if errors.As(err, &truncated) {
		all := store.Scan{Topic: HandinTopic}
		if err := e.readAll(ctx, &all); err != nil {
			return err
		}
		r = store.Range{Records: all.Records, End: all.End}
	} else if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, rec := range r.Records {
		e.contain("hand-in", rec.Key, func() { e.applyHandin(rec) })
	}
	e.handinOffset = r.End
	e.handinReadAt = max(e.handinReadAt, sent)

	return nil
}

// readHandinRange reads HandinTopic from handinOffset on, and waits for a record if there is
// none.
func (e *Engine) readHandinRange(ctx context.Context) (store.Range, error) {
	ctx, cancel := context.WithTimeout(ctx, handinWait+handinSlack)
	defer cancel()

	return e.Store.Read(ctx, HandinTopic, e.handinOffset, handinWait)
}

// handinsCurrent reports whether this planner knows all jobs, so that an unknown one does not
// exist. That is certain only if its lease was renewed and HandinTopic was read recently.
func (e *Engine) handinsCurrent() bool {
	return e.Lease.Age() < handinFreshness && e.SinceBoot()-e.handinReadAt < handinFreshness
}

// applyHandin processes one record of HandinTopic. Records without a value are deletions.
func (e *Engine) applyHandin(r store.Record) {
	kind, id := work.ParseKey(r.Key)
	if r.IsDeletion() {
		return
	}
	switch kind {
	case work.OpenRecord:
		known := e.jobs[id] != nil
		if j := e.applyOpenHandin(r); j != nil && !known {
			e.Log.Info().Str("event", "job-read").Str("id", id).Int64("offset", r.Offset).Msg("")
			e.active = append(e.active, j)
			e.restoreUnmatched(j)
			e.requestPass()
		}
	case work.CancelRecord:
		e.applyCancel(r)
	case work.QueueRecord:
		e.applyQueueHandin(r)
	default:
		e.Log.Warn().Str("event", "record-skipped").Str("key", r.Key).Int64("offset", r.Offset).Msg("")
	}
}
