package engine

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/timer"
)

const (
	// Pause after a failed attempt at the recovery or at a read of HandinTopic.
	recoverPause = 100 * time.Millisecond
	// Timeout of the first attempt at a step of the recovery, such as reading one page.
	minStepTimeout = 2 * time.Second
	// Bounds to which the timeout is doubled: if no reply began to arrive, and if one did.
	maxSilentTimeout = 4 * time.Second
	maxReplyTimeout  = 16 * time.Second
	// A new planner waits this long for all reports; then those of a few workers may be missing.
	minReportWait = 120 * time.Millisecond
	// Largest share of the workers whose reports may be missing after minReportWait.
	maxMissingShare = 0.15
)

// recover fences the previous planner and reads its state. It retries until that succeeds
// or a successor has fenced this planner. What has been read is not read again.
func (e *Engine) recover(ctx context.Context) error {
	e.journal.takeOver()
	handins, jobs := store.Scan{Topic: HandinTopic}, store.Scan{Topic: JobsTopic, Part: e.journal.at.number}
	reads, readCtx := errgroup.WithContext(ctx)
	reads.Go(func() error {
		if err := e.retryStep(readCtx, e.fencePredecessor); err != nil {
			return err
		}
		// The previous planner can write nothing more from here on, so the hand-ins that are
		// read now include all that it has processed.
		e.fencedAt = e.SinceBoot()
		if err := e.readAll(readCtx, &handins); err != nil {
			return err
		}

		return e.readAll(readCtx, &jobs)
	})
	reads.Go(func() error { return e.retryStep(readCtx, e.loadWorkers) })
	if err := reads.Wait(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyListing(*e.firstListing)
	e.handinOffset, e.handinReadAt = handins.End, e.fencedAt
	e.journal.load(jobs.Records)
	e.rebuildJobs(jobs.Records, handins.Records)
	e.adopt()
	e.recordGrants()

	return nil
}

// fencePredecessor sets the producer's epoch, after which the previous planner can write
// nothing more.
func (e *Engine) fencePredecessor(ctx context.Context) error {
	_, err := e.Store.Append(ctx, store.Append{
		Topic: JobsTopic, Part: e.journal.at.number, ExpectedEnd: -1, Producer: producer, Epoch: e.Lease.Token,
	})

	return errors.Wrap(err, "fence the previous planner")
}

// readAll reads the remaining pages of a topic.
func (e *Engine) readAll(ctx context.Context, scan *store.Scan) error {
	for !scan.Done {
		err := e.retryStep(ctx, func(ctx context.Context) error { return scan.Read(ctx, e.Store) })
		if err != nil {
			return err
		}
	}

	return nil
}

// retryStep repeats a step of the recovery until it succeeds or a successor has fenced this
// planner. An attempt that times out is followed by a longer one, because each starts anew.
func (e *Engine) retryStep(ctx context.Context, step func(context.Context) error) error {
	timeout := minStepTimeout
	for ctx.Err() == nil {
		next, err := attemptStep(ctx, timeout, step)
		if err == nil {
			return nil
		}
		if errors.Is(err, store.ErrFenced) {
			e.loseLease("store")

			return err
		}
		e.Log.Warn().Str("event", "recovery-waits").Err(err).Int64("token", e.Lease.Token).Dur("timeout", timeout).Msg("")
		timeout = next
		timer.Pause(ctx, recoverPause)
	}

	return ctx.Err()
}

// attemptStep makes one attempt at a step and returns the timeout of the next one.
func attemptStep(ctx context.Context, timeout time.Duration, step func(context.Context) error) (next time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var replying atomic.Bool
	err = step(store.OnReply(ctx, func() { replying.Store(true) }))
	switch {
	case ctx.Err() == nil:
		return timeout, err
	case replying.Load():
		return min(2*timeout, maxReplyTimeout), err
	}

	return max(timeout, min(2*timeout, maxSilentTimeout)), err
}

// loadWorkers reads the worker list unless an earlier attempt at the recovery has read it:
// later calls of Discover return only changes.
func (e *Engine) loadWorkers(ctx context.Context) error {
	if e.firstListing != nil {
		return nil
	}
	sent := e.SinceBoot()
	listing, err := e.Discover(ctx)
	if err != nil {
		return err
	}
	e.firstListing, e.listedAt = &listing, sent

	return nil
}

// rebuildJobs rebuilds the jobs from their records.
func (e *Engine) rebuildJobs(jobs, handins []store.Record) {
	e.jobs, e.active, e.units = map[string]*job{}, nil, map[string]*unit{}
	e.kept, e.keptBy = 0, map[string]int{}
	progress, crashes := map[string][]byte{}, map[string][]byte{}
	jobs, e.writer.parts = joinParts(jobs)
	e.deleteOrphanParts(jobs)
	for _, r := range jobs {
		switch kind, id := work.ParseKey(r.Key); kind {
		case work.ProgressRecord:
			progress[id] = r.Value
		case work.CrashRecord:
			crashes[id] = r.Value
		default:
			e.contain("record", r.Key, func() { e.applyRecord(r) })
		}
	}
	for _, r := range handins {
		e.contain("hand-in", r.Key, func() { e.rebuildHandin(r) })
	}
	for id, b := range progress {
		j := e.jobs[id]
		if j == nil && !e.held[id] && e.dropRemainder(id, b) { // a job that reuses the ID must not take it over
			continue
		}
		if j == nil {
			e.Log.Warn().Str("event", "progress-without-job").Str("id", id).Msg("")
			e.unmatchedProgress[id] = b

			continue
		}
		e.contain("progress record", id, func() { e.applyProgress(j, b) })
	}
	e.restoreCrashes(crashes)
	for _, j := range e.jobs {
		if !j.durablePhase.Final() {
			e.active = append(e.active, j)
		}
	}
	sortByArrival(e.active)
	for _, r := range handins {
		if kind, _ := work.ParseKey(r.Key); kind == work.CancelRecord {
			e.applyCancel(r)
		}
	}
}

// applyRecord applies a record of JobsTopic that does not need the job's open record before.
func (e *Engine) applyRecord(r store.Record) {
	switch kind, id := work.ParseKey(r.Key); kind {
	case work.OpenRecord:
		e.applyOpen(r)
	case work.WaveRecord:
		if n, err := strconv.Atoi(id); err == nil {
			e.restoreWave(n, r.Value)
		} else if !e.restoreOrders(id, r.Value) {
			e.Log.Warn().Str("event", "record-skipped").Str("key", r.Key).Int64("offset", r.Offset).Msg("")
		}
	case work.SilentRecord:
		e.loadSilent(r.Value)
	case work.StaleRecord:
		e.loadStale(r.Value)
	case work.StartsRecord:
		e.loadStarts(r.Value)
	case work.SpeedRecord:
		e.loadSpeeds(r.Value)
	case work.QueueRecord:
		e.applyQueueJobs(r)
	default:
		e.Log.Warn().Str("event", "record-skipped").Str("key", r.Key).Int64("offset", r.Offset).Msg("")
	}
}

// rebuildHandin applies a job or queue from HandinTopic. Cancellations follow when all jobs are known.
func (e *Engine) rebuildHandin(r store.Record) {
	switch kind, _ := work.ParseKey(r.Key); kind {
	case work.OpenRecord:
		e.applyOpenHandin(r)
	case work.QueueRecord:
		e.applyQueueHandin(r)
	}
}

// applyProgress applies the progress record that a previous planner wrote for a job.
func (e *Engine) applyProgress(j *job, b []byte) {
	p, err := work.DecodeProgress(b, &j.Job)
	if err != nil {
		e.Log.Error().Str("event", "record-unreadable").Str("id", j.ID).Err(err).Msg("")
		e.held[j.ID] = true

		return
	}
	j.Progress, j.durablePhase, j.begun = p, p.Phase, p.Started
}

// applyOpen adds a job from its open record. A known job stays as it is, because records
// with the same key always have the same content. It returns nil if the record is unreadable.
func (e *Engine) applyOpen(r store.Record) *job {
	_, id := work.ParseKey(r.Key)
	if j := e.jobs[id]; j != nil {
		j.durable = true

		return j
	}
	def, err := work.DecodeJob(r.Value)
	if err != nil || def.ID != id {
		e.Log.Error().Str("event", "record-unreadable").Str("id", id).Err(err).Int64("offset", r.Offset).Msg("")
		e.unreadableJobs[id], e.held[id] = true, true

		return nil
	}
	age := e.Now().Sub(time.UnixMilli(def.Sent))
	j := &job{Job: def, durable: true, acceptedAt: e.SinceBoot() - max(0, age), doneRunTimes: map[occurStep]runTimeSum{}}
	e.keep(j)
	e.applyEarlyCancel(j)

	return j
}

// applyOpenHandin adds a job from an open record in HandinTopic. JobsTopic may hold one too.
func (e *Engine) applyOpenHandin(r store.Record) *job {
	j := e.applyOpen(r)
	if j != nil {
		j.handin.noteOpen(r.Offset)
	}

	return j
}

// applyCancel applies a cancellation that an entry VM wrote to the store.
func (e *Engine) applyCancel(r store.Record) {
	_, id := work.ParseKey(r.Key)
	workspace := work.DecodeCancel(r.Value)
	j := e.jobs[id]
	if j == nil {
		early := earlyCancel{workspace: workspace, until: e.SinceBoot() + e.Timing.Retention}
		early.handin.noteCancel(r.Offset)
		e.earlyCancels[id] = early

		return
	}
	j.handin.noteCancel(r.Offset)
	if e.mayAccess(j, workspace) {
		e.cancelJob(j, "record")
	}
}

// adopt adds the runs that previous planners assigned, and stops those of ended jobs.
func (e *Engine) adopt() {
	for _, j := range e.jobs { // ended jobs too: their stops may not have reached the workers
		e.contain("progress of job", j.ID, func() { e.adoptJob(j) })
	}
	for _, u := range e.units {
		if u.job.Phase.Final() {
			e.abort(u, "job "+u.job.Phase.String())
		}
	}
}

// adoptJob adds the assigned runs of one job.
func (e *Engine) adoptJob(j *job) {
	for occur := range j.Occurs {
		for step := range j.Occurs[occur].Steps {
			for i := range j.Occurs[occur].Steps[step] {
				e.adoptTask(j, occur, step, i)
			}
		}
	}
}

// restoreUnmatched applies the progress record of a job if it was read before the job's
// open record.
func (e *Engine) restoreUnmatched(j *job) {
	b, ok := e.unmatchedProgress[j.ID]
	if !ok {
		return
	}
	delete(e.unmatchedProgress, j.ID)
	e.applyProgress(j, b)
	if b, ok := e.unmatchedCrashes[j.ID]; ok {
		e.applyCrashes(j, b)
	}
	e.adoptJob(j)
	if !e.held[j.ID] {
		e.endHold(j.ID)
	}
}

// dropUnmatched stops the runs of jobs whose open record was not read within
// unmatchedGrace, and discards their progress records. Those that cannot be read are on hold.
func (e *Engine) dropUnmatched() {
	if e.SinceBoot() < e.began+unmatchedGrace {
		return
	}
	var dropped []string
	for id, b := range e.unmatchedProgress {
		if e.held[id] {
			continue
		}
		delete(e.unmatchedProgress, id)
		delete(e.unmatchedCrashes, id)
		e.dropRemainder(id, b)
		dropped = append(dropped, id)
	}
	if len(dropped) > 0 {
		e.endHold(dropped...)
	}
}

// adoptTask adds the run of a task if one is assigned. Whether it still goes on is not
// known until its worker reports or the worker's lease has expired.
func (e *Engine) adoptTask(j *job, occur, step, index int) {
	t := &j.Occurs[occur].Steps[step][index]
	if t.Phase != work.Assigned {
		return
	}
	name := unitName(j, occur, step, index)
	u := e.units[name]
	if u == nil {
		u = &unit{name: name, job: j, occur: occur, step: step, run: t.Run, checkpoint: t.Saved, began: e.SinceBoot()}
		e.units[name] = u
	}
	w := e.workers[t.Worker]
	if w == nil {
		w = e.newWorker(target.Worker{ID: t.Worker, Incarnation: t.Incarnation})
		w.expiredBy = e.predecessorExpiry(w)
		e.workers[w.ID] = w
		e.startSession(w)
	}
	// answeredAt is long past, so any report that omits the run proves its end.
	m := &member{unit: u, index: index, worker: w, phase: unconfirmed, resumedFrom: t.Saved, checkpoint: t.Saved, answeredAt: 1, inherited: true, confirmedShare: -1}
	if o := w.findRun(m.task(), u.run); o != nil && o.unit.orphan {
		e.release(o) // the run was reported before its job was read
	}
	m.lateStartUntil = e.inheritedStartUntil(w)
	if m.lateStartUntil != 0 && t.Incarnation != 0 && w.Incarnation != t.Incarnation { // its time of day may have been set back
		w.lateUntil = max(w.lateUntil, m.lateStartUntil+w.maxLease)
	}
	e.reserve(m)
	e.markCrashBefore(m, t)
}

// maxLease returns the longest time for which a lease that a worker accepts now can be valid.
func (e *Engine) maxLease() time.Duration {
	return time.Duration(float64(e.Timing.MaxLease)/minClockRate) + clockMargin
}

// missingReports counts the listed workers, and those of them that have not reported
// under this planner lease.
func (e *Engine) missingReports() (missing, listed float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range e.workers {
		if w.listed {
			listed++
		}
		if w.listed && !w.reported {
			missing++
		}
	}

	return missing, listed
}

// awaitReports waits for the first reports of the workers. It does not wait long for a few
// silent ones: the runs that they may have are on record, so the other workers can be used.
func (e *Engine) awaitReports(ctx context.Context) {
	began := e.SinceBoot()
	for ctx.Err() == nil && e.SinceBoot() < began+e.Timing.FirstReportsTimeout {
		missing, listed := e.missingReports()
		if missing == 0 || (missing <= maxMissingShare*listed && e.SinceBoot() >= began+minReportWait) {
			return
		}
		timer.Pause(ctx, confirmWait)
	}
}
