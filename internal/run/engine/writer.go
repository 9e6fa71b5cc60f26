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
	maxGroupBytes = 1 << 20                // bytes of records after which an append takes no further job
	appendTimeout = 900 * time.Millisecond // timeout of an append, for silent connections
	appendPause   = 60 * time.Millisecond  // between attempts while the store is unavailable
)

type (
	// writer makes state changes durable and groups many of them into one append.
	writer struct {
		e            *Engine
		dirty        []*job
		dropped      []*job
		otherRecords []store.Record // records that belong to no job
		callbacks    []func(error)
		wake         chan struct{}
		next         int64 // sequence number of the next append
		stopped      bool
	}

	// group is the content of one append.
	group struct {
		records []store.Record
		phases  map[*job]work.Phase
		done    []func(error)
	}
)

func (w *writer) init(e *Engine) {
	w.e = e
	w.wake = make(chan struct{}, 1)
}

// put schedules a job's state for the next append. The callback f is called under the
// engine's lock when the state is durable, or with an error if the outcome will stay
// unknown.
func (w *writer) put(s *job, f func(error)) {
	if !s.dirty {
		s.dirty = true
		w.dirty = append(w.dirty, s)
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

// putRecord schedules a record that belongs to no job. The callback f is called as
// that of put.
func (w *writer) putRecord(key string, value []byte, f func(error)) {
	w.otherRecords = append(w.otherRecords, store.Record{Key: key, Value: value})
	w.after(f)
}

// drop schedules the deletion of a job's records.
func (w *writer) drop(s *job) {
	w.dropped = append(w.dropped, s)
	w.wakeWriter()
}

func (w *writer) wakeWriter() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		for ctx.Err() == nil {
			g, err := w.nextGroup()
			if err != nil {
				w.e.Log.Error().Str("event", "record-not-encoded").Err(err).Msg("")

				continue
			}
			if len(g.records) == 0 && len(g.done) == 0 {
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

// nextGroup collects the next group. A callback must wait for its own job's record, so
// callbacks join the group only if no dirty job is left over.
func (w *writer) nextGroup() (group, error) {
	w.e.mu.Lock()
	defer w.e.mu.Unlock()
	g := group{phases: map[*job]work.Phase{}}
	size := 0
	for len(w.dirty) > 0 && size < maxGroupBytes {
		s := w.dirty[0]
		w.dirty = w.dirty[1:]
		s.dirty = false
		n, err := g.add(s)
		if err != nil {
			return g, err
		}
		size += n
	}
	for _, s := range w.dropped {
		g.records = append(g.records, store.Record{Key: work.Key(work.OpenRecord, s.ID)}, store.Record{Key: work.Key(work.ProgressRecord, s.ID)})
	}
	g.records = append(g.records, w.otherRecords...)
	w.dropped, w.otherRecords = nil, nil
	if len(w.dirty) == 0 {
		g.done, w.callbacks = w.callbacks, nil
	}

	return g, nil
}

func (g *group) add(s *job) (int, error) {
	size := 0
	if !s.durable && !s.handedIn {
		b, err := work.Encode(s.Job)
		if err != nil {
			return 0, errors.Wrapf(err, "job %q", s.ID)
		}
		g.records = append(g.records, store.Record{Key: work.Key(work.OpenRecord, s.ID), Value: b})
		size += len(b)
	}
	if len(s.Occurs) > 0 || s.Phase != work.Queued || s.handedIn {
		b, err := work.Encode(s.Progress)
		if err != nil {
			return 0, errors.Wrapf(err, "progress of job %q", s.ID)
		}
		g.records = append(g.records, store.Record{Key: work.Key(work.ProgressRecord, s.ID), Value: b})
		size += len(b)
	}
	g.phases[s] = s.Phase

	return size, nil
}

// write appends a group until the outcome is known, and calls its callbacks.
func (w *writer) write(ctx context.Context, g group) {
	if len(g.records) > 0 && !w.append(ctx, g) {
		w.e.mu.Lock()
		for _, f := range g.done {
			f(ErrStopped)
		}
		w.e.mu.Unlock()

		return
	}
	w.e.mu.Lock()
	for s, p := range g.phases {
		s.durable = true
		s.durablePhase = p
	}
	for _, f := range g.done {
		f(nil)
	}
	w.e.mu.Unlock()
}

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
