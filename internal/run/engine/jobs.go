package engine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
)

const maxEarly = 10000 // cancellations kept for jobs that may still come

// Submit takes a job and returns when it is durable. An error other than
// ErrNotPlanning leaves open whether the job is accepted.
func (e *Engine) Submit(ctx context.Context, j work.Job) error {
	e.mu.Lock()
	if e.ctx == nil || e.ctx.Err() != nil || !e.ready {
		e.mu.Unlock()

		return ErrNotPlanning
	}
	s := e.jobs[j.ID]
	if s == nil {
		s = e.add(j)
		e.Log.Info().Str("event", "job-taken").Str("id", j.ID).Str("queue", j.Queue).Str("workspace", j.Workspace).
			Int("steps", len(j.Steps)).Int("tasks", j.Steps[0].Count).Int("accelerators", j.Steps[0].Need.Accelerators).
			Bool("gang", j.Steps[0].Gang).Int("times", j.Times).Int("active", len(e.active)).Msg("")
	}
	if s.durable {
		e.mu.Unlock()

		return nil
	}
	done := make(chan error, 1)
	e.writer.put(s, func(err error) { done <- err })
	e.mu.Unlock()

	return await(ctx, done)
}

func await(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the store")
	}
}

// add enters a new job.
func (e *Engine) add(j work.Job) *job {
	s := &job{Job: j, accepted: e.Boot(), lengths: map[stepOf]tally{}}
	e.jobs[j.ID] = s
	e.active = append(e.active, s)
	e.readLate(s)
	if l, ok := e.early[j.ID]; ok && l.workspace == j.Workspace {
		delete(e.early, j.ID)
		s.cancel = true
	}
	e.kick()

	return s
}

// Cancel ends a job and returns when that is durable.
func (e *Engine) Cancel(ctx context.Context, id, workspace string) error {
	e.mu.Lock()
	if e.ctx == nil || e.ctx.Err() != nil || !e.ready {
		e.mu.Unlock()

		return ErrNotPlanning
	}
	s := e.jobs[id]
	if s == nil && !e.fresh() {
		e.mu.Unlock()

		return ErrNotPlanning
	}
	if s == nil || s.Workspace != workspace {
		if s == nil && len(e.early) < maxEarly {
			e.early[id] = earlyCancel{workspace: workspace, until: e.Boot() + e.Timing.Keep}
		}
		e.mu.Unlock()

		return ErrUnknownJob
	}
	if s.shown.Final() {
		e.mu.Unlock()

		return nil
	}
	e.cancelJob(s, "caller")
	done := make(chan error, 1)
	e.writer.put(s, func(err error) { done <- err })
	e.mu.Unlock()

	return await(ctx, done)
}

func (e *Engine) cancelJob(s *job, by string) {
	if s.Phase.Final() {
		return
	}
	e.Log.Info().Str("event", "job-cancelled").Str("id", s.ID).Str("by", by).Str("phase", s.Phase.String()).
		Dur("age", e.Boot()-s.accepted).Msg("")
	e.finish(s, work.Cancelled)
}

// finish ends a job and stops what still runs of it.
func (e *Engine) finish(s *job, p work.Phase) {
	s.Phase = p
	s.Ended = e.Now().UnixMilli()
	for _, u := range e.units {
		if u.job == s {
			e.abort(u, "job "+p.String())
		}
	}
	e.writer.put(s, nil)
	e.kick()
}

// State returns a job's durable phase.
func (e *Engine) State(id, workspace string) (work.Phase, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx == nil || e.ctx.Err() != nil || !e.ready {
		return 0, ErrNotPlanning
	}
	s := e.jobs[id]
	if (s == nil && !e.fresh()) || (s != nil && !s.durable) {
		return 0, ErrNotPlanning // it may be accepted: an entry VM may have written it itself
	}
	if s == nil || s.Workspace != workspace {
		return 0, ErrUnknownJob
	}
	if s.shown == work.Queued && s.Started {
		return work.Running, nil
	}

	return s.shown, nil
}

// Pending returns by queue how many accepted jobs have not begun, or false if
// some may not be known here.
func (e *Engine) Pending() (map[string]int32, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ready || e.ctx.Err() != nil || !e.fresh() {
		return nil, false
	}
	n := map[string]int32{}
	for _, s := range e.active {
		if !s.Started && !s.Phase.Final() && s.durable {
			n[s.Queue]++
		}
	}

	return n, true
}

// Ready reports whether the engine takes calls.
func (e *Engine) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.ready && e.ctx.Err() == nil
}

// settle drops ended jobs from the active list, and old ones altogether.
func (e *Engine) settle() {
	e.dropUnread()
	kept := e.active[:0]
	for _, s := range e.active {
		if !s.shown.Final() {
			kept = append(kept, s)
		} else if e.rules(s.Queue).Advised {
			e.dropAdvice(s)
		}
	}
	clear(e.active[len(kept):])
	e.active = kept
	now := e.Now()
	for id, s := range e.jobs {
		if s.shown.Final() && now.Sub(time.UnixMilli(s.Ended)) > e.Timing.Keep {
			delete(e.jobs, id)
			e.writer.drop(s)
			if s.handedIn || s.Phase == work.Cancelled {
				e.forget(id)
			}
		}
	}
	for id, l := range e.early {
		if e.Boot() > l.until {
			delete(e.early, id)
		}
	}
}

// forget deletes what entry VMs wrote of a job. If that fails, the records are
// dropped by whoever drops the job after the next recovery.
func (e *Engine) forget(id string) {
	e.session.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, appendTimeout)
		defer cancel()
		_, err := e.Store.Append(ctx, store.Append{Topic: HandinTopic, At: -1, Records: []store.Record{
			{Key: work.Key(work.OpenRecord, id)}, {Key: work.Key(work.CancelRecord, id)},
		}})
		if err != nil {
			e.Log.Warn().Str("event", "handin-not-dropped").Str("id", id).Err(err).Msg("")
		}
	})
}

// sortByArrival orders jobs by their arrival at an entry VM.
func sortByArrival(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int {
		if c := cmp.Compare(a.Sent, b.Sent); c != 0 {
			return c
		}

		return cmp.Compare(a.ID, b.ID)
	})
}
