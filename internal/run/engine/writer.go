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
	maxGroupBytes = 1 << 20                // size of the largest append of several jobs' records
	appendTimeout = 900 * time.Millisecond // timeout of one attempt, because the store may not answer at all
	appendPause   = 60 * time.Millisecond  // between attempts while the store is unavailable
)

type (
	// writer makes state changes durable and groups many of them into one append.
	writer struct {
		e         *Engine
		dirty     []*job   // jobs whose state has changed since it was last written
		dropped   []*job   // jobs whose records are to be deleted
		others    []string // keys of the values that belong to no job, in the order of the next appends
		contents  map[string]content
		parts     partCounts
		callbacks []func(error) // to be called once all changes before them are durable
		wake      chan struct{}
		next      int64 // sequence number of the next append
		stopped   bool
	}

	// content returns a value when it is appended. It is called under the engine's lock; an empty
	// value deletes the key.
	content func() ([]byte, error)

	// group is the content of one append.
	group struct {
		limit     int // size of the records in the append, unless the first ones alone exceed it
		bytes     int // their size so far
		records   []store.Record
		phases    map[*job]work.Phase // phases that the records make durable
		callbacks []func(error)
	}
)

func (w *writer) init(e *Engine) {
	w.e = e
	w.wake = make(chan struct{}, 1)
	w.parts, w.contents = partCounts{}, map[string]content{}
}

// put schedules a job's state for the next append. The callback f is called under the
// engine's lock when the state is durable, or with an error if the outcome will stay
// unknown.
func (w *writer) put(j *job, f func(error)) {
	if !j.dirty {
		j.dirty = true
		w.dirty = append(w.dirty, j)
	}
	if f != nil {
		w.after(f)
	}
	w.wakeWriter()
}

// after schedules f to be called when all changes up to now are durable.
func (w *writer) after(f func(error)) {
	if w.stopped {
		f(ErrStopped)

		return
	}
	w.callbacks = append(w.callbacks, f)
	w.wakeWriter()
}

// putRecord schedules a value that belongs to no job; an empty one deletes the key. The callback f is
// called like that of put.
func (w *writer) putRecord(key string, value []byte, f func(error)) {
	r := store.Record{Key: key, Value: value}
	if w.e.tooLarge(r) {
		w.e.logTooLarge(r)
		f(ErrTooLarge)

		return
	}
	w.putContent(key, func() ([]byte, error) { return value, nil }, f)
}

// putContent schedules a value like putRecord, but determines it when it is appended. It replaces one
// of the same key that waits for that, so that many changes in a short time share an append.
func (w *writer) putContent(key string, c content, f func(error)) {
	if _, waits := w.contents[key]; !waits {
		w.others = append(w.others, key)
	}
	w.contents[key] = c
	w.after(f)
}

// drop schedules the deletion of a job's records.
func (w *writer) drop(j *job) {
	j.dropped = true
	w.dropped = append(w.dropped, j)
	w.wakeWriter()
}

func (w *writer) wakeWriter() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes groups until the context ends.
func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		for ctx.Err() == nil {
			g := w.nextGroup()
			if len(g.records) == 0 && len(g.callbacks) == 0 {
				break
			}
			w.write(ctx, g)
		}
	}
}

// stop calls the waiting callbacks with ErrStopped.
func (w *writer) stop() {
	w.e.mu.Lock()
	defer w.e.mu.Unlock()
	w.stopped = true
	for _, f := range w.callbacks {
		f(ErrStopped)
	}
	w.callbacks = nil
}

// nextGroup collects the next group, which is no larger than an append may be. Deletions come
// first: a job may be submitted again after its records were deleted. A callback must not be called
// before the records that were scheduled earlier are durable, so the group takes the callbacks only
// if it takes all records.
func (w *writer) nextGroup() group {
	w.e.mu.Lock()
	defer w.e.mu.Unlock()
	g := group{limit: min(maxGroupBytes, w.e.RequestBytes), phases: map[*job]work.Phase{}}
	for len(w.dropped) > 0 && w.add(&g, w.dropped[0].deletions()...) {
		w.dropped = w.dropped[1:]
	}
	for len(w.dropped) == 0 && len(w.others) > 0 && w.addOther(&g, w.others[0]) {
		delete(w.contents, w.others[0])
		w.others = w.others[1:]
	}
	for len(w.dropped) == 0 && len(w.others) == 0 && len(w.dirty) > 0 && w.addJob(&g, w.dirty[0]) {
		w.dirty = w.dirty[1:]
	}
	if len(w.dropped) == 0 && len(w.others) == 0 && len(w.dirty) == 0 {
		g.callbacks, w.callbacks = w.callbacks, nil
	}

	return g
}

// addJob adds the records of a job's state to the group, after that of its queue if it is due,
// unless they have no room there.
func (w *writer) addJob(g *group, j *job) bool {
	if j.dropped {
		return true
	}
	w.e.contain("queue", j.Queue, func() {
		if r, due := w.e.dueQueueRecord(j.Queue); due && !w.add(g, r) {
			w.putRecord(r.Key, r.Value, func(error) {})
		}
	})
	records := w.e.recordsOf(j)
	if len(w.others) > 0 || !w.add(g, records...) {
		return false
	}
	j.crashesStored = len(j.crashes) > 0 && !j.oversize
	g.phases[j] = j.Phase
	j.dirty = false

	return true
}

// addOther adds a value that belongs to no job to the group unless it has no room there.
func (w *writer) addOther(g *group, key string) bool {
	b, err := w.contents[key]()
	r := store.Record{Key: key, Value: b}
	switch {
	case err != nil:
		w.e.Log.Error().Str("event", "record-not-encoded").Str("key", key).Err(err).Msg("")
	case w.e.tooLarge(r):
		w.e.logTooLarge(r)
	default:
		return w.add(g, r)
	}

	return true
}

// add adds values to the group unless they have no room there. Each has been found not to be too
// large.
func (w *writer) add(g *group, values ...store.Record) bool {
	var all []store.Record
	for _, r := range values {
		records, err := w.parts.split(r, w.e.RecordBytes)
		if err != nil {
			w.e.Log.Error().Str("event", "record-not-encoded").Str("key", r.Key).Err(err).Msg("")
		}
		all = append(all, records...)
	}
	if !g.add(all...) {
		return false
	}
	w.parts.note(all)

	return true
}

// deletions returns the records that delete those of a job.
func (j *job) deletions() []store.Record {
	all := []store.Record{{Key: work.Key(work.OpenRecord, j.ID)}, {Key: work.Key(work.ProgressRecord, j.ID)}}
	if j.crashesStored {
		all = append(all, store.Record{Key: work.Key(work.CrashRecord, j.ID)})
	}

	return all
}

// add adds records to the group unless they have no room there.
func (g *group) add(records ...store.Record) bool {
	if len(g.records) > 0 && g.bytes+store.Size(records...) > g.limit {
		return false
	}
	g.records, g.bytes = append(g.records, records...), g.bytes+store.Size(records...)

	return true
}

// write appends a group until the outcome is known, and calls its callbacks.
func (w *writer) write(ctx context.Context, g group) {
	if len(g.records) > 0 && !w.append(ctx, g) {
		w.e.mu.Lock()
		for _, f := range g.callbacks {
			f(ErrStopped)
		}
		w.e.mu.Unlock()

		return
	}
	w.e.mu.Lock()
	for j, p := range g.phases {
		j.durable = true
		j.durablePhase = p
	}
	for _, f := range g.callbacks {
		f(nil)
	}
	w.e.mu.Unlock()
}

// append appends a group's records to JobsTopic until the outcome is known. It reports
// whether they were appended.
func (w *writer) append(ctx context.Context, g group) bool {
	began, first := w.e.SinceBoot(), true
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := w.e.Store.Append(call, store.Append{
			Topic: JobsTopic, Records: g.records, ExpectedEnd: -1, Producer: producer, Epoch: w.e.Lease.Token, Sequence: w.next,
		})
		cancel()
		var seq *store.SequenceError
		switch {
		// If the store expects the sequence number after this one, an earlier attempt was
		// executed although it got no answer.
		case err == nil, errors.As(err, &seq) && seq.Expected == w.next+1:
			w.next++
			w.e.Observe("append_seconds", w.e.SinceBoot()-began)
			if !first {
				w.e.Log.Info().Str("event", "store-regained").Dur("after", w.e.SinceBoot()-began).Int("records", len(g.records)).Msg("")
			}

			return true
		case errors.Is(err, store.ErrFenced):
			w.e.loseLease("store")

			return false
		case seq != nil:
			w.e.Log.Error().Str("event", "append-out-of-sequence").Int64("sent", w.next).Int64("want", seq.Expected).Msg("")
			w.e.loseLease("store")

			return false
		}
		if first {
			w.e.Log.Warn().Str("event", "store-lost").Err(err).Int("records", len(g.records)).Msg("")
		}
		first = false
		timer.Pause(ctx, appendPause)
	}

	return false
}
