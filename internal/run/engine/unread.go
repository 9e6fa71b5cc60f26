package engine

import (
	"context"
	"time"

	"sesameyoke/internal/core/work"
)

// unreadHandins tells which jobs HandinTopic held that this planner had not read when it was last asked. Calls
// that wait at the same time share a read.
type unreadHandins struct {
	turn   semaphore     // held while the other fields are used
	sentAt time.Duration // when the newest read was sent
	open   map[string]bool
	err    error
}

// mayBeUnread reports whether HandinTopic may hold a job that this planner has not read. The answer that there is
// no such job would be forgotten with this planner, and the next one would run the job.
func (e *Engine) mayBeUnread(ctx context.Context, id string) bool {
	calledAt := e.SinceBoot()
	e.mu.Lock()
	known, running := e.jobs[id] != nil, e.ctx
	e.mu.Unlock()
	if known {
		return false
	}
	if running == nil || !e.unread.turn.acquire(ctx.Done()) {
		return true
	}
	defer e.unread.turn.release()
	if e.unread.sentAt <= calledAt {
		e.readUnread(running)
	}

	return e.unread.err != nil || e.unread.open[id]
}

// readUnread reads which jobs HandinTopic holds beyond what has been processed.
func (e *Engine) readUnread(ctx context.Context) {
	e.mu.Lock()
	from := e.handinOffset
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, handinSlack)
	defer cancel()
	e.unread.sentAt, e.unread.open = e.SinceBoot(), map[string]bool{}
	for {
		r, err := e.Store.Read(ctx, HandinTopic, from, 0)
		for _, record := range r.Records {
			if kind, id := work.ParseKey(record.Key); kind == work.OpenRecord {
				e.unread.open[id] = true
			}
		}
		e.unread.err = err
		if err != nil || r.End <= from {
			return
		}
		from = r.End
	}
}
