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

const maxEarlyCancels = 10000 // limit of remembered cancellations of jobs that have not arrived

// Submit adds a job and returns when it is durable. After an error other than
// ErrNotPlanning it is unknown whether the job is accepted.
func (e *Engine) Submit(ctx context.Context, j work.Job) error {
	e.mu.Lock()
	if e.ctx == nil || e.ctx.Err() != nil || !e.ready {
		e.mu.Unlock()

		return ErrNotPlanning
	}
	s := e.jobs[j.ID]
	if s == nil {
		s = e.addJob(j)
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
		return errors.Wrap(ctx.Err(), "wait until the change is durable")
	}
}

// addJob adds a new job to the engine's state.
func (e *Engine) addJob(j work.Job) *job {
	s := &job{Job: j, acceptedAt: e.SinceBoot(), doneRunTimes: map[occurStep]runTimeSum{}}
	e.jobs[j.ID] = s
	e.active = append(e.active, s)
	e.restoreUnmatched(s)
	if l, ok := e.earlyCancels[j.ID]; ok && l.workspace == j.Workspace {
		delete(e.earlyCancels, j.ID)
		s.cancelRequested = true
	}
	e.requestPass()

	return s
}

// Cancel cancels a job and returns when the cancellation is durable.
func (e *Engine) Cancel(ctx context.Context, id, workspace string) error {
	e.mu.Lock()
	if e.ctx == nil || e.ctx.Err() != nil || !e.ready {
		e.mu.Unlock()

		return ErrNotPlanning
	}
	s := e.jobs[id]
	if s == nil && !e.handinsCurrent() {
		e.mu.Unlock()

		return ErrNotPlanning
	}
	if s == nil || s.Workspace != workspace {
		if s == nil && len(e.earlyCancels) < maxEarlyCancels {
			e.earlyCancels[id] = earlyCancel{workspace: workspace, until: e.SinceBoot() + e.Timing.Retention}
		}
		e.mu.Unlock()

		return ErrUnknownJob
	}
	if s.durablePhase.Final() {
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
		Dur("age", e.SinceBoot()-s.acceptedAt).Msg("")
	e.endJob(s, work.Cancelled)
}

// endJob ends a job in the given phase and stops its runs.
func (e *Engine) endJob(s *job, p work.Phase) {
	s.Phase = p
	s.Ended = e.Now().UnixMilli()
	for _, u := range e.units {
		if u.job == s {
			e.abort(u, "job "+p.String())
		}
	}
	e.writer.put(s, nil)
	e.requestPass()
}

// State returns a job's durable phase.
func (e *Engine) State(id, workspace string) (work.Phase, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx == nil || e.ctx.Err() != nil || !e.ready {
		return 0, ErrNotPlanning
	}
	s := e.jobs[id]
	if (s == nil && !e.handinsCurrent()) || (s != nil && !s.durable) {
		return 0, ErrNotPlanning // the job may exist: an entry VM may have written it to the store itself
	}
	if s == nil || s.Workspace != workspace {
		return 0, ErrUnknownJob
	}
	if s.durablePhase == work.Queued && s.Started {
		return work.Running, nil
	}

	return s.durablePhase, nil
}

// Pending returns the number of accepted jobs by queue that have not started. It
// returns false if this planner may not know all of them.
func (e *Engine) Pending() (map[string]int32, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ready || e.ctx.Err() != nil || !e.handinsCurrent() {
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

// Ready reports whether the engine accepts calls.
func (e *Engine) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.ready && e.ctx.Err() == nil
}

// dropEndedJobs removes ended jobs from the active list, and deletes jobs whose
// retention period has passed.
func (e *Engine) dropEndedJobs() {
	e.dropUnmatched()
	kept := e.active[:0]
	for _, s := range e.active {
		if !s.durablePhase.Final() {
			kept = append(kept, s)
		} else if e.queuePolicy(s.Queue).Advised {
			e.dropAdvice(s)
		}
	}
	clear(e.active[len(kept):])
	e.active = kept
	now := e.Now()
	for id, s := range e.jobs {
		if s.durablePhase.Final() && now.Sub(time.UnixMilli(s.Ended)) > e.Timing.Retention {
			delete(e.jobs, id)
			e.writer.drop(s)
			if s.handedIn || s.Phase == work.Cancelled {
				e.deleteHandin(id)
			}
		}
	}
	for id, l := range e.earlyCancels {
		if e.SinceBoot() > l.until {
			delete(e.earlyCancels, id)
		}
	}
}

// deleteHandin deletes the records that entry VMs wrote for a job. If that fails, the
// planner that deletes the job after the next recovery deletes them too.
func (e *Engine) deleteHandin(id string) {
	e.background.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, appendTimeout)
		defer cancel()
		_, err := e.Store.Append(ctx, store.Append{Topic: HandinTopic, ExpectedEnd: -1, Records: []store.Record{
			{Key: work.Key(work.OpenRecord, id)}, {Key: work.Key(work.CancelRecord, id)},
		}})
		if err != nil {
			e.Log.Warn().Str("event", "handin-not-dropped").Str("id", id).Err(err).Msg("")
		}
	})
}

// sortByArrival sorts jobs by their arrival at an entry VM.
func sortByArrival(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int {
		if c := cmp.Compare(a.Sent, b.Sent); c != 0 {
			return c
		}

		return cmp.Compare(a.ID, b.ID)
	})
}
