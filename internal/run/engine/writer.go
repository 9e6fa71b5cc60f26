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
	slowLink      = 256 << 10              // bytes per second that an append may need beyond that
	appendPause   = 60 * time.Millisecond  // between attempts while the store is unavailable
	maxRefusals   = 3                      // refusals for good, one after the other, after which an append is given up
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
		callbacks []callback // to be called once all changes before them are durable
		wake      chan struct{}
		stopped   bool
	}

	// content returns a value when it is appended. It is called under the engine's lock; an empty
	// value deletes the key.
	content func() ([]byte, error)

	// group is the content of one append.
	group struct {
		limit     int // size of the records in the append, unless the first ones alone exceed it
		bytes     int // their size so far
		batches   []batch
		callbacks []callback
	}

	// batch is the part of a group that belongs together.
	batch struct {
		records []store.Record
		change
		phase work.Phase // phase of the job that the records make durable
	}

	// change tells what a record, or a callback, belongs to: a job, a value of no job, or neither.
	change struct {
		job *job
		key string
	}

	// callback is called under the engine's lock when a change is durable, or with an error.
	callback struct {
		change
		f func(error)
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
		w.afterChange(change{job: j}, f)
	}
	w.wakeWriter()
}

// after schedules f to be called when all changes up to now are durable.
func (w *writer) after(f func(error)) { w.afterChange(change{}, f) }

// afterChange is like after. If the store refuses the change for good, f is called with ErrTooLarge.
func (w *writer) afterChange(c change, f func(error)) {
	if w.stopped {
		f(ErrStopped)

		return
	}
	w.callbacks = append(w.callbacks, callback{change: c, f: f})
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
	w.afterChange(change{key: key}, f)
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
			w.e.journal.returnHome(ctx)
			g := w.nextGroup()
			if len(g.batches) == 0 && len(g.callbacks) == 0 {
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
	callAll(w.callbacks, ErrStopped)
	w.callbacks = nil
}

func callAll(callbacks []callback, err error) {
	for _, c := range callbacks {
		c.f(err)
	}
}

// nextGroup collects the next group, which is no larger than an append may be. Deletions come
// first: a job may be submitted again after its records were deleted. A callback must not be called
// before the records that were scheduled earlier are durable, so the group takes the callbacks only
// if it takes all records.
func (w *writer) nextGroup() group {
	w.e.mu.Lock()
	defer w.e.mu.Unlock()
	if len(w.dirty) > 0 { // the runs in these records are covered by the record of starts in the same append
		w.e.recordStarts()
	}
	g := group{limit: min(maxGroupBytes, w.e.RequestBytes)}
	for len(w.dropped) > 0 && w.add(&g, change{}, w.dropped[0].deletions()...) {
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
		if r, due := w.e.dueQueueRecord(j.Queue); due && !w.add(g, change{key: r.Key}, r) {
			w.putRecord(r.Key, r.Value, func(error) {})
		}
	})
	records := w.e.recordsOf(j)
	if len(w.others) > 0 || !w.add(g, change{job: j}, records...) {
		return false
	}
	j.crashesStored = len(j.crashes) > 0 && !j.oversize
	g.batches[len(g.batches)-1].phase = j.Phase
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
		return w.add(g, change{key: key}, r)
	}

	return true
}

// add adds values to the group unless they have no room there. Each has been found not to be too
// large.
func (w *writer) add(g *group, c change, values ...store.Record) bool {
	var all []store.Record
	for _, r := range values {
		records, err := w.parts.split(r, w.e.RecordBytes)
		if err != nil {
			w.e.Log.Error().Str("event", "record-not-encoded").Str("key", r.Key).Err(err).Msg("")
		}
		all = append(all, records...)
	}
	if !g.add(c, all) {
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

// add adds the records of a change to the group unless they have no room there.
func (g *group) add(c change, records []store.Record) bool {
	bytes := store.Size(records...)
	if len(g.batches) > 0 && g.bytes+bytes > g.limit {
		return false
	}
	g.batches, g.bytes = append(g.batches, batch{records: records, change: c}), g.bytes+bytes

	return true
}

// recordsIn returns the records of batches.
func recordsIn(batches []batch) []store.Record {
	var all []store.Record
	for _, b := range batches {
		all = append(all, b.records...)
	}

	return all
}

// write appends a group until the outcome is known, and calls its callbacks.
func (w *writer) write(ctx context.Context, g group) {
	outcome := w.append(ctx, recordsIn(g.batches))
	w.e.mu.Lock()
	defer w.e.mu.Unlock()
	switch outcome {
	case stopped:
		callAll(g.callbacks, ErrStopped)
	case appended:
		noteDurable(g.batches)
		callAll(g.callbacks, nil)
	case refused:
		if refusals, ok := w.writeApart(ctx, g.batches); ok {
			w.settleApart(g.callbacks, refusals)
		} else {
			callAll(g.callbacks, ErrStopped)
		}
	}
}

// noteDurable notes that the records of batches are durable.
func noteDurable(batches []batch) {
	for _, b := range batches {
		if b.job != nil {
			b.job.durable, b.job.durablePhase = true, b.phase
		}
	}
}

// timeoutFor returns the timeout of one attempt. It is longer for a large append, which takes its time on
// the link of a weak VM and would never succeed otherwise.
func timeoutFor(records []store.Record) time.Duration {
	return appendTimeout + time.Duration(store.Size(records...))*time.Second/slowLink
}

// append appends records to the journal until the outcome is known, in another partition if the
// present one does not answer. Without any, it makes no call: an append without records doesn't take
// a sequence number.
func (w *writer) append(ctx context.Context, records []store.Record) outcome {
	if len(records) == 0 {
		return appended
	}
	began, first, refusals := w.e.SinceBoot(), true, 0
	j := &w.e.journal
	for ctx.Err() == nil && !j.ended {
		err := j.send(ctx, j.at, records, timeoutFor(records))
		var seq *store.SequenceError
		switch {
		case err == nil:
			w.noteAppended(records, began, first)

			return appended
		case errors.Is(err, store.ErrFenced):
			w.e.loseLease("store")

			return stopped
		case errors.As(err, &seq):
			w.e.Log.Error().Str("event", "append-out-of-sequence").Int64("sent", j.at.next).Int64("want", seq.Expected).Msg("")
			w.e.loseLease("store")

			return stopped
		case errors.Is(err, store.ErrInvalid):
			if refusals++; refusals == maxRefusals {
				w.e.Log.Error().Str("event", "append-refused").Err(err).Int("records", len(records)).Msg("")

				return refused
			}
		default:
			refusals = 0
		}
		if first {
			w.e.Log.Warn().Str("event", "store-lost").Err(err).Int("records", len(records)).Msg("")
		}
		first = false
		if outcome, settled := j.move(ctx, records, w.e.SinceBoot()-began); settled {
			return outcome
		}
		timer.Pause(ctx, appendPause)
	}

	return stopped
}

// noteAppended notes that records are durable in the journal.
func (w *writer) noteAppended(records []store.Record, began time.Duration, first bool) {
	j := &w.e.journal
	j.at.next++
	j.note(records)
	w.e.Observe("append_seconds", w.e.SinceBoot()-began)
	if !first {
		w.e.Log.Info().Str("event", "store-regained").Dur("after", w.e.SinceBoot()-began).Int("records", len(records)).Msg("")
	}
}
