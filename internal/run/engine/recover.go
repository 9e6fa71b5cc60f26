package engine

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/timer"
)

const (
	recoverPause    = 100 * time.Millisecond
	recoverTimeout  = 2 * time.Second
	minReportWait   = 120 * time.Millisecond // shortest wait before missing reports are tolerated
	maxMissingShare = 0.15                   // share of workers whose missing reports are tolerated after minReportWait
	handinWait      = time.Second            // longest wait of a read of HandinTopic (long poll)
	handinSlack     = 400 * time.Millisecond // timeout of a read beyond its wait, for silent connections
	handinFreshness = 2 * time.Second        // an older read of HandinTopic does not prove that a job does not exist
)

// recover fences the previous planner and reads its state, until that succeeds or a
// successor has fenced this planner.
func (e *Engine) recover(ctx context.Context) error {
	for ctx.Err() == nil {
		err := e.recoverOnce(ctx)
		if err == nil {
			return nil
		}
		if errors.Is(err, store.ErrFenced) {
			e.loseLease("store")

			return err
		}
		e.Log.Warn().Str("event", "recovery-waits").Err(err).Int64("token", e.Lease.Token).Msg("")
		timer.Pause(ctx, recoverPause)
	}

	return ctx.Err()
}

func (e *Engine) recoverOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	var (
		jobs, handins []store.Record
		tail          int64
	)
	all, ctx := errgroup.WithContext(ctx)
	all.Go(func() (err error) {
		_, err = e.Store.Append(ctx, store.Append{Topic: JobsTopic, ExpectedEnd: -1, Producer: producer, Epoch: e.Lease.Token})
		if err != nil {
			return errors.Wrap(err, "fence the previous planner")
		}
		// The previous planner can write nothing more, so every hand-in that it
		// has processed is among those that are read from here on.
		if handins, tail, err = e.Store.All(ctx, HandinTopic); err != nil {
			return err
		}
		jobs, _, err = e.Store.All(ctx, JobsTopic)

		return err
	})
	all.Go(func() error { return e.loadWorkers(ctx) })
	if err := all.Wait(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyListing(*e.firstListing)
	e.handinOffset, e.handinReadAt = tail, e.SinceBoot()
	e.rebuildJobs(jobs, handins)
	e.adopt()

	return nil
}

// loadWorkers reads the worker list once. Discover returns only changes afterwards, so
// the first listing is kept for later attempts at the recovery.
func (e *Engine) loadWorkers(ctx context.Context) error {
	if e.firstListing != nil {
		return nil
	}
	l, err := e.Discover(ctx)
	if err != nil {
		return err
	}
	e.firstListing = &l

	return nil
}

// rebuildJobs rebuilds the jobs from their records.
func (e *Engine) rebuildJobs(jobs, handins []store.Record) {
	e.jobs, e.active, e.units = map[string]*job{}, nil, map[string]*unit{}
	progress := map[string][]byte{}
	for _, r := range jobs {
		switch kind, id := work.ParseKey(r.Key); kind {
		case work.OpenRecord:
			e.contain("job record", r.Key, func() { e.applyOpen(r, false) })
		case work.ProgressRecord:
			progress[id] = r.Value
		case work.WaveRecord:
			if n, err := strconv.Atoi(id); err == nil {
				e.restoreWave(n, r.Value)
			}
		default:
			e.Log.Warn().Str("event", "record-skipped").Str("key", r.Key).Int64("offset", r.Offset).Msg("")
		}
	}
	for _, r := range handins {
		if kind, _ := work.ParseKey(r.Key); kind == work.OpenRecord {
			e.contain("hand-in", r.Key, func() { e.applyOpen(r, true) })
		}
	}
	for id, b := range progress {
		s := e.jobs[id]
		if s == nil {
			e.Log.Warn().Str("event", "progress-without-job").Str("id", id).Msg("")
			e.unmatchedProgress[id] = b

			continue
		}
		e.contain("progress record", id, func() { e.applyProgress(s, b) })
	}
	for _, s := range e.jobs {
		if !s.durablePhase.Final() {
			e.active = append(e.active, s)
		}
	}
	sortByArrival(e.active)
	for _, r := range handins {
		if kind, id := work.ParseKey(r.Key); kind == work.CancelRecord {
			e.applyCancel(id, string(r.Value))
		}
	}
}

// applyProgress applies the progress record that a previous planner wrote for a job.
func (e *Engine) applyProgress(s *job, b []byte) {
	p, err := work.DecodeProgress(b, &s.Job)
	if err != nil {
		e.Log.Error().Str("event", "record-unreadable").Str("id", s.ID).Err(err).Msg("")

		return
	}
	s.Progress, s.durablePhase = p, p.Phase
}

// applyOpen adds a job from its open record. Records with the same key always have the
// same content, so a known job is left alone.
func (e *Engine) applyOpen(r store.Record, handedIn bool) {
	_, id := work.ParseKey(r.Key)
	if e.jobs[id] != nil {
		return
	}
	j, err := work.DecodeJob(r.Value)
	if err != nil || j.ID != id {
		e.Log.Error().Str("event", "record-unreadable").Str("id", id).Err(err).Int64("offset", r.Offset).Msg("")

		return
	}
	age := e.Now().Sub(time.UnixMilli(j.Sent))
	s := &job{Job: j, durable: true, handedIn: handedIn, acceptedAt: e.SinceBoot() - max(0, age), doneRunTimes: map[occurStep]runTimeSum{}}
	e.jobs[id] = s
	if l, ok := e.earlyCancels[id]; ok && l.workspace == j.Workspace {
		delete(e.earlyCancels, id)
		e.cancelJob(s, "earlier cancellation")
	}
}

func (e *Engine) applyCancel(id, workspace string) {
	s := e.jobs[id]
	switch {
	case s == nil:
		e.earlyCancels[id] = earlyCancel{workspace: workspace, until: e.SinceBoot() + e.Timing.Retention}
	case s.Workspace == workspace:
		e.cancelJob(s, "record")
	}
}

// adopt adds the runs that the previous planner assigned.
func (e *Engine) adopt() {
	for _, s := range e.jobs { // ended jobs too: their stops may not have reached the workers
		e.contain("progress of job", s.ID, func() { e.adoptJob(s) })
	}
	for _, u := range e.units {
		if u.job.Phase.Final() {
			e.abort(u, "job "+u.job.Phase.String())
		}
	}
}

func (e *Engine) adoptJob(s *job) {
	for k := range s.Occurs {
		for step := range s.Occurs[k].Steps {
			for i := range s.Occurs[k].Steps[step] {
				e.adoptTask(s, k, step, i)
			}
		}
	}
}

// restoreUnmatched applies the progress record of a job whose open record has been
// read only now.
func (e *Engine) restoreUnmatched(s *job) {
	b, ok := e.unmatchedProgress[s.ID]
	if !ok {
		return
	}
	delete(e.unmatchedProgress, s.ID)
	e.applyProgress(s, b)
	e.adoptJob(s)
}

// dropUnmatched stops the runs of jobs whose open record was not read within
// unmatchedGrace, and discards their progress records.
func (e *Engine) dropUnmatched() {
	if len(e.unmatchedProgress) == 0 || e.SinceBoot() < e.began+unmatchedGrace {
		return
	}
	for _, w := range e.workers {
		for _, m := range w.members() {
			if _, ok := e.unmatchedProgress[m.unit.job.ID]; ok && m.unit.orphan {
				e.abort(m.unit, "job not found")
			}
		}
	}
	clear(e.unmatchedProgress)
}

func (e *Engine) adoptTask(s *job, occur, step, index int) {
	t := &s.Occurs[occur].Steps[step][index]
	if t.Phase != work.Assigned {
		return
	}
	name := unitName(s, occur, step, index)
	u := e.units[name]
	if u == nil {
		u = &unit{name: name, job: s, occur: occur, step: step, run: t.Run, checkpoint: t.Saved, began: e.SinceBoot()}
		e.units[name] = u
	}
	w := e.workers[t.Worker]
	if w == nil {
		w = newWorker(target.Worker{ID: t.Worker, Incarnation: t.Incarnation})
		w.expiredBy = e.predecessorExpiry()
		e.workers[w.ID] = w
		e.startSession(w)
	}
	// With answeredAt 1, any report that omits the run proves its end.
	m := &member{unit: u, index: index, worker: w, phase: unconfirmed, resumedFrom: t.Saved, checkpoint: t.Saved, answeredAt: 1, inherited: true, confirmedPace: -1}
	if o := w.findRun(m.task(), u.run); o != nil && o.unit.orphan {
		e.release(o) // the run was reported before its job was read
	}
	e.reserve(m)
}

// predecessorExpiry returns the time by which the worker leases granted under earlier
// planner leases have expired, so that every run started before has ended. All planners
// grant workers the same lease.
func (e *Engine) predecessorExpiry() time.Duration {
	return e.began + e.Timing.Overrun + time.Duration(float64(e.Timing.WorkerLease)/minClockRate) + clockMargin
}

// maxLease returns how long a worker may hold a lease that it accepts now.
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

// awaitReports waits for the first report of every worker. It tolerates a few silent
// ones: the runs that they may hold are on record, so the rest can be planned.
func (e *Engine) awaitReports(ctx context.Context) {
	began := e.SinceBoot()
	for ctx.Err() == nil && e.SinceBoot() < began+e.Timing.RecoverTimeout {
		missing, listed := e.missingReports()
		if missing == 0 || (missing <= maxMissingShare*listed && e.SinceBoot() >= began+minReportWait) {
			return
		}
		timer.Pause(ctx, confirmWait)
	}
}

// readHandins processes the records that entry VMs wrote to the store themselves.
func (e *Engine) readHandins(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.readNewHandins(ctx); err != nil && ctx.Err() == nil {
			e.Log.Warn().Str("event", "handins-not-read").Err(err).Int64("offset", e.handinOffset).Msg("")
			timer.Pause(ctx, recoverPause)
		}
	}
}

func (e *Engine) readNewHandins(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handinWait+handinSlack)
	defer cancel()
	sent := e.SinceBoot()
	r, err := e.Store.Read(ctx, HandinTopic, e.handinOffset, handinWait)
	var truncated *store.TruncatedError
	if errors.As(err, &truncated) {
		all, end, err := e.Store.All(ctx, HandinTopic)
		if err != nil {
			return err
		}
		r = store.Range{Records: all, End: end}
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

// handinsCurrent reports whether a job unknown to this planner does not exist. That
// requires a recently renewed lease and a recent read of HandinTopic.
func (e *Engine) handinsCurrent() bool {
	return e.Lease.Age() < handinFreshness && e.SinceBoot()-e.handinReadAt < handinFreshness
}

func (e *Engine) applyHandin(r store.Record) {
	kind, id := work.ParseKey(r.Key)
	if len(r.Value) == 0 {
		return
	}
	switch kind {
	case work.OpenRecord:
		if s := e.jobs[id]; s != nil {
			s.durable, s.handedIn = true, true
		} else {
			e.applyOpen(r, true)
			if s := e.jobs[id]; s != nil {
				e.Log.Info().Str("event", "job-read").Str("id", id).Int64("offset", r.Offset).Msg("")
				e.active = append(e.active, s)
				e.restoreUnmatched(s)
				e.requestPass()
			}
		}
	case work.CancelRecord:
		e.applyCancel(id, string(r.Value))
	default:
		e.Log.Warn().Str("event", "record-skipped").Str("key", r.Key).Int64("offset", r.Offset).Msg("")
	}
}
