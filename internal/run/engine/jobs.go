package engine

import (
	"cmp"
	"context"
	"slices"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/work"
)

const (
	maxEarlyCancels = 10000 // maximum number of remembered cancellations of unknown jobs
	maxWorkspaces   = 2     // workspaces that together may take all the room for jobs
)

// Submit adds a job and returns when it is durable. After an error other than
// ErrNotPlanning, ErrUnknownQueue, ErrTooLarge, ErrFull and OverloadError it is unknown whether the job is accepted.
func (e *Engine) Submit(ctx context.Context, def work.Job) error {
	if err := def.CheckSize(e.RecordBytes); err != nil {
		return errors.Wrap(ErrTooLarge, err.Error())
	}
	if err := e.turnAway(ctx, def); err != nil {
		return err
	}
	e.mu.Lock()
	if e.ctx == nil || e.ctx.Err() != nil || !e.ready {
		e.mu.Unlock()

		return ErrNotPlanning
	}
	j := e.jobs[def.ID]
	if j == nil && e.unreadableJobs[def.ID] {
		e.mu.Unlock()

		return nil // it is stored
	}
	if j == nil && !e.knowsQueue(def.Queue) {
		e.mu.Unlock()
		e.Log.Warn().Str("event", "queue-unknown").Str("id", def.ID).Str("queue", def.Queue).Msg("")

		return ErrUnknownQueue
	}
	if j == nil && !e.hasRoom(def) {
		e.mu.Unlock()
		e.Log.Warn().Str("event", "full").Str("id", def.ID).Int("bytes", def.KeptBytes()).Int("limit", e.KeptBytes).Msg("")

		return ErrFull
	}
	if j == nil {
		j = e.addJob(def)
		e.Log.Info().Str("event", "job-taken").Str("id", def.ID).Str("queue", def.Queue).Str("workspace", def.Workspace).
			Int("steps", len(def.Steps)).Int("tasks", def.Steps[0].Count).Int("accelerators", def.Steps[0].Need.Accelerators).
			Bool("gang", def.Steps[0].Gang).Int("times", def.Times).Int("active", len(e.active)).Msg("")
	}
	if j.durable {
		e.mu.Unlock()

		return nil
	}
	done := make(chan error, 1)
	e.writer.put(j, func(err error) { done <- err })
	e.mu.Unlock()

	return await(ctx, done)
}

// hasRoom reports whether a job may be accepted beside those that are kept. No workspace may take all
// the room.
func (e *Engine) hasRoom(def work.Job) bool {
	n := def.KeptBytes()

	return e.KeptBytes == 0 || (e.kept+n <= e.KeptBytes && e.keptBy[def.Workspace]+n <= e.KeptBytes/maxWorkspaces)
}

// keep adds a job to the engine's state.
func (e *Engine) keep(j *job) {
	e.jobs[j.ID] = j
	e.addKept(j, j.KeptBytes())
}

// forget removes a job from the engine's state.
func (e *Engine) forget(j *job) {
	delete(e.jobs, j.ID)
	e.addKept(j, -j.KeptBytes())
}

func (e *Engine) addKept(j *job, bytes int) {
	e.kept += bytes
	if e.keptBy[j.Workspace] += bytes; e.keptBy[j.Workspace] == 0 {
		delete(e.keptBy, j.Workspace)
	}
}

// await waits until a change is durable.
func await(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait until the change is durable")
	}
}

// addJob adds a new job to the engine's state.
func (e *Engine) addJob(def work.Job) *job {
	j := &job{Job: def, acceptedAt: e.SinceBoot(), doneRunTimes: map[occurStep]runTimeSum{}}
	e.keep(j)
	e.active = append(e.active, j)
	e.restoreUnmatched(j)
	e.applyEarlyCancel(j)
	e.requestPass()

	return j
}

// mayAccess reports whether a caller of a workspace may see and cancel a job. A public queue asks for no key, so its
// callers may have no workspace, and its jobs may belong to none. The queue may have become public, or ceased to be,
// since the job was accepted.
func (e *Engine) mayAccess(j *job, workspace string) bool {
	switch {
	case j.Workspace == workspace, j.Workspace == "":
		return true
	case workspace == "":
		return e.queuePolicy(j.Queue).Public
	}

	return false
}

// Cancel cancels a job and returns when the cancellation is durable.
func (e *Engine) Cancel(ctx context.Context, id, workspace string) error {
	if e.mayBeUnread(ctx, id) {
		return ErrNotPlanning
	}
	e.mu.Lock()
	if e.ctx == nil || e.ctx.Err() != nil || !e.ready {
		e.mu.Unlock()

		return ErrNotPlanning
	}
	j := e.jobs[id]
	if j == nil && (e.unreadableJobs[id] || !e.handinsCurrent()) {
		e.mu.Unlock()

		return ErrNotPlanning
	}
	if j == nil || !e.mayAccess(j, workspace) {
		if j == nil && len(e.earlyCancels) < maxEarlyCancels {
			early := e.earlyCancels[id] // keeps what is known of hand-in records
			early.workspace, early.until = workspace, e.SinceBoot()+e.Timing.Retention
			e.earlyCancels[id] = early
		}
		e.mu.Unlock()

		return ErrUnknownJob
	}
	if j.durablePhase.Final() {
		e.mu.Unlock()

		return nil
	}
	e.cancelJob(j, "caller")
	done := make(chan error, 1)
	e.writer.put(j, func(err error) { done <- err })
	e.mu.Unlock()

	return await(ctx, done)
}

// applyEarlyCancel cancels a job whose cancellation arrived before it, for example because its
// first hand-in was delayed.
func (e *Engine) applyEarlyCancel(j *job) {
	if early, ok := e.earlyCancels[j.ID]; ok && e.mayAccess(j, early.workspace) {
		delete(e.earlyCancels, j.ID)
		if early.handin.cancel {
			j.handin.noteCancel(early.handin.newest)
		}
		e.cancelJob(j, "earlier cancellation")
	}
}

func (e *Engine) cancelJob(j *job, by string) {
	if j.Phase.Final() {
		return
	}
	e.Log.Info().Str("event", "job-cancelled").Str("id", j.ID).Str("by", by).Str("phase", j.Phase.String()).
		Dur("age", e.SinceBoot()-j.acceptedAt).Msg("")
	e.endJob(j, work.Cancelled)
}

// endJob ends a job in the given phase and stops its runs.
func (e *Engine) endJob(j *job, p work.Phase) {
	j.Phase = p
	j.Ended = e.Now().UnixMilli()
	e.abortUnits(j, "job "+p.String())
	if e.held[j.ID] {
		e.endHold(j.ID)
	}
	e.writer.put(j, nil)
	e.requestPass()
}

// abortUnits stops all runs of a job.
func (e *Engine) abortUnits(j *job, why string) {
	for _, u := range e.units {
		if u.job == j {
			e.abort(u, why)
		}
	}
}

// State returns a job's durable phase if that is final, else Running if the job has begun.
func (e *Engine) State(id, workspace string) (work.Phase, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx == nil || e.ctx.Err() != nil || !e.ready {
		return 0, ErrNotPlanning
	}
	j := e.jobs[id]
	if (j == nil && (e.unreadableJobs[id] || !e.handinsCurrent())) || (j != nil && !j.durable) {
		return 0, ErrNotPlanning // the job may exist: an entry VM may have written it to the store itself
	}
	if j == nil || !e.mayAccess(j, workspace) {
		return 0, ErrUnknownJob
	}
	switch {
	case j.durablePhase.Final():
		return j.durablePhase, nil
	case j.begun || e.held[id]:
		return work.Running, nil
	}

	return work.Queued, nil
}

// Pending returns the number of accepted jobs by queue that have not begun. It
// returns false if this planner may not know all of them.
func (e *Engine) Pending() (map[string]int32, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ready || e.ctx.Err() != nil || !e.handinsCurrent() {
		return nil, false
	}
	n := map[string]int32{}
	for _, j := range e.active {
		if !j.begun && !j.Phase.Final() && j.durable && !e.held[j.ID] {
			n[j.Queue]++
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

// dropEndedJobs removes ended jobs from the active list, and deletes what has been retained
// long enough.
func (e *Engine) dropEndedJobs() {
	e.dropUnmatched()
	e.failHeld()
	kept := e.active[:0]
	for _, j := range e.active {
		if !j.durablePhase.Final() {
			kept = append(kept, j)
		} else if e.queuePolicy(j.Queue).Advised {
			e.dropAdvice(j)
		}
	}
	clear(e.active[len(kept):])
	e.active = kept
	e.dropExpired()
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
