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
	maxGroup      = 1 << 20                // bytes of records in one append
	appendTimeout = 900 * time.Millisecond // a silent connection is given up after this
	appendPause   = 60 * time.Millisecond  // between tries while the store is away
)

type (
	// writer makes the jobs' state durable, many changes with one append.
	writer struct {
		e       *Engine
		dirty   []*job
		dropped []*job
		kept    []store.Record // besides the jobs
		waiting []func(error)
		wake    chan struct{}
		next    int64 // sequence number
		ended   bool
	}

	// group is what one append carries.
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

// put marks a job's state for the next append; f is called under the engine's
// lock when it is durable, or with an error when that will not be known.
func (w *writer) put(s *job, f func(error)) {
	if !s.dirty {
		s.dirty = true
		w.dirty = append(w.dirty, s)
	}
	if f != nil {
		w.after(f)
	}
	w.poke()
}

// after has f called when all changes up to now are durable.
func (w *writer) after(f func(error)) {
	if w.ended {
		f(ErrStopped)

		return
	}
	w.waiting = append(w.waiting, f)
	w.poke()
}

// keep writes a record that belongs to no job; f is called as that of put.
func (w *writer) keep(key string, value []byte, f func(error)) {
	w.kept = append(w.kept, store.Record{Key: key, Value: value})
	w.after(f)
}

// drop deletes a job's records.
func (w *writer) drop(s *job) {
	w.dropped = append(w.dropped, s)
	w.poke()
}

func (w *writer) poke() {
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
			g, err := w.take()
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

// stop answers all who wait.
func (w *writer) stop() {
	w.e.mu.Lock()
	defer w.e.mu.Unlock()
	w.ended = true
	for _, f := range w.waiting {
		f(ErrStopped)
	}
	w.waiting = nil
}

// take collects the next group. Callbacks of a job wait for its own record, so
// all are taken only when all records are.
func (w *writer) take() (group, error) {
	w.e.mu.Lock()
	defer w.e.mu.Unlock()
	g := group{phases: map[*job]work.Phase{}}
	size := 0
	for len(w.dirty) > 0 && size < maxGroup {
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
	g.records = append(g.records, w.kept...)
	w.dropped, w.kept = nil, nil
	if len(w.dirty) == 0 {
		g.done, w.waiting = w.waiting, nil
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

// write appends until the outcome is known.
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
		s.shown = p
	}
	for _, f := range g.done {
		f(nil)
	}
	w.e.mu.Unlock()
}

func (w *writer) append(ctx context.Context, g group) bool {
	began, first := w.e.Boot(), true
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := w.e.Store.Append(call, store.Append{
			Topic: JobsTopic, Records: g.records, At: -1, Producer: producer, Epoch: w.e.Lease.Token, Sequence: w.next,
		})
		cancel()
		var seq *store.SequenceError
		switch {
		case err == nil, errors.As(err, &seq) && seq.Want == w.next+1:
			w.next++
			w.e.Observe("append_seconds", w.e.Boot()-began)
			if !first {
				w.e.Log.Info().Str("event", "store-regained").Dur("after", w.e.Boot()-began).Int("records", len(g.records)).Msg("")
			}

			return true
		case errors.Is(err, store.ErrFenced):
			w.e.lose("store")

			return false
		case seq != nil:
			w.e.Log.Error().Str("event", "append-out-of-sequence").Int64("sent", w.next).Int64("want", seq.Want).Msg("")
			w.e.lose("store")

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
