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
	recoverPause = 100 * time.Millisecond
	recoverCall  = 2 * time.Second
	recoverLeast = 120 * time.Millisecond // of a wait for workers that do not report
	recoverFew   = 0.15                   // share of the workers that is not waited for any longer
	handinWait   = time.Second            // longest wait of a reading of HandinTopic
	handinSlack  = 400 * time.Millisecond // a silent connection is given up so long after
	freshFor     = 2 * time.Second        // an older reading of HandinTopic proves nothing missing
)

// recover fences the planner before, and reads what it has left.
func (e *Engine) recover(ctx context.Context) error {
	for ctx.Err() == nil {
		err := e.readAll(ctx)
		if err == nil {
			return nil
		}
		if errors.Is(err, store.ErrFenced) {
			e.lose("store")

			return err
		}
		e.Log.Warn().Str("event", "recovery-waits").Err(err).Int64("token", e.Lease.Token).Msg("")
		timer.Pause(ctx, recoverPause)
	}

	return ctx.Err()
}

func (e *Engine) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoverCall)
	defer cancel()
	var (
		jobs, handins []store.Record
		tail          int64
	)
	all, ctx := errgroup.WithContext(ctx)
	all.Go(func() (err error) {
		_, err = e.Store.Append(ctx, store.Append{Topic: JobsTopic, At: -1, Producer: producer, Epoch: e.Lease.Token})
		if err != nil {
			return errors.Wrap(err, "fence the planner before")
		}
		// The planner before writes nothing more: what it has taken in is in the
		// hand-ins that are read from now on.
		if handins, tail, err = e.Store.All(ctx, HandinTopic); err != nil {
			return err
		}
		jobs, _, err = e.Store.All(ctx, JobsTopic)

		return err
	})
	all.Go(func() error { return e.findWorkers(ctx) })
	if err := all.Wait(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list(*e.found)
	e.tail, e.tailed = tail, e.Boot()
	e.enter(jobs, handins)
	e.adopt()

	return nil
}

// findWorkers reads the list of workers once: the next reading tells changes only.
func (e *Engine) findWorkers(ctx context.Context) error {
	if e.found != nil {
		return nil
	}
	l, err := e.Discover(ctx)
	if err != nil {
		return err
	}
	e.found = &l

	return nil
}

// enter rebuilds the jobs from their records.
func (e *Engine) enter(jobs, handins []store.Record) {
	e.jobs, e.active, e.units = map[string]*job{}, nil, map[string]*unit{}
	progress := map[string][]byte{}
	for _, r := range jobs {
		switch kind, id := work.ParseKey(r.Key); kind {
		case work.OpenRecord:
			e.contain("job record", r.Key, func() { e.enterOpen(r, false) })
		case work.ProgressRecord:
			progress[id] = r.Value
		case work.WaveRecord:
			if n, err := strconv.Atoi(id); err == nil {
				e.enterWave(n, r.Value)
			}
		default:
			e.Log.Warn().Str("event", "record-skipped").Str("key", r.Key).Int64("offset", r.Offset).Msg("")
		}
	}
	for _, r := range handins {
		if kind, _ := work.ParseKey(r.Key); kind == work.OpenRecord {
			e.contain("hand-in", r.Key, func() { e.enterOpen(r, true) })
		}
	}
	for id, b := range progress {
		s := e.jobs[id]
		if s == nil {
			e.Log.Warn().Str("event", "progress-without-job").Str("id", id).Msg("")
			e.unread[id] = b

			continue
		}
		e.contain("progress record", id, func() { e.enterProgress(s, b) })
	}
	for _, s := range e.jobs {
		if !s.shown.Final() {
			e.active = append(e.active, s)
		}
	}
	sortByArrival(e.active)
	for _, r := range handins {
		if kind, id := work.ParseKey(r.Key); kind == work.CancelRecord {
			e.enterCancel(id, string(r.Value))
		}
	}
}

// enterProgress takes in what a planner before has kept of a job.
func (e *Engine) enterProgress(s *job, b []byte) {
	p, err := work.DecodeProgress(b, &s.Job)
	if err != nil {
		e.Log.Error().Str("event", "record-unreadable").Str("id", s.ID).Err(err).Msg("")

		return
	}
	s.Progress, s.shown = p, p.Phase
}

// enterOpen takes in a job's record; one key always has the same content.
func (e *Engine) enterOpen(r store.Record, handedIn bool) {
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
	s := &job{Job: j, durable: true, handedIn: handedIn, accepted: e.Boot() - max(0, age), lengths: map[stepOf]tally{}}
	e.jobs[id] = s
	if l, ok := e.early[id]; ok && l.workspace == j.Workspace {
		delete(e.early, id)
		e.cancelJob(s, "earlier cancellation")
	}
}

func (e *Engine) enterCancel(id, workspace string) {
	s := e.jobs[id]
	switch {
	case s == nil:
		e.early[id] = earlyCancel{workspace: workspace, until: e.Boot() + e.Timing.Keep}
	case s.Workspace == workspace:
		e.cancelJob(s, "record")
	}
}

// adopt enters the runs that the planner before had assigned.
func (e *Engine) adopt() {
	for _, s := range e.jobs { // ended jobs too: their stops may not have arrived
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

// readLate takes in what is kept of a job whose own record is read only now.
func (e *Engine) readLate(s *job) {
	b, ok := e.unread[s.ID]
	if !ok {
		return
	}
	delete(e.unread, s.ID)
	e.enterProgress(s, b)
	e.adoptJob(s)
}

// dropUnread stops the runs of jobs that have not been read after all.
func (e *Engine) dropUnread() {
	if len(e.unread) == 0 || e.Boot() < e.began+unreadFor {
		return
	}
	for _, w := range e.workers {
		for _, m := range w.all() {
			if _, ok := e.unread[m.unit.job.ID]; ok && m.unit.orphan {
				e.abort(m.unit, "job not found")
			}
		}
	}
	clear(e.unread)
}

func (e *Engine) adoptTask(s *job, occur, step, index int) {
	t := &s.Occurs[occur].Steps[step][index]
	if t.Phase != work.Assigned {
		return
	}
	name := unitName(s, occur, step, index)
	u := e.units[name]
	if u == nil {
		u = &unit{name: name, job: s, occur: occur, step: step, run: t.Run, saved: t.Saved, began: e.Boot()}
		e.units[name] = u
	}
	w := e.workers[t.Worker]
	if w == nil {
		w = newWorker(target.Worker{ID: t.Worker, Born: t.Born})
		w.bound = e.lapseBound()
		e.workers[w.ID] = w
		e.attend(w)
	}
	m := &member{unit: u, index: index, worker: w, phase: unsure, from: t.Saved, saved: t.Saved, settled: 1, byOther: true, paced: -1}
	if o := w.find(m.task(), u.run); o != nil && o.unit.orphan {
		e.release(o) // it was seen before its job was read
	}
	e.occupy(m)
}

// lapseBound returns when everything that was started before this lease has
// ended. Every planner gives the same lease.
func (e *Engine) lapseBound() time.Duration {
	return e.began + e.Timing.Overrun + time.Duration(float64(e.Timing.Lease)/slowClock) + clockSlip
}

// longest is the longest time for which a worker keeps a lease from now.
func (e *Engine) longest() time.Duration {
	return time.Duration(float64(e.Timing.LongHold)/slowClock) + clockSlip
}

// missing counts the workers that have not reported under this lease, and all.
func (e *Engine) missing() (missing, listed float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range e.workers {
		if w.listed {
			listed++
		}
		if w.listed && !w.reached {
			missing++
		}
	}

	return missing, listed
}

// awaitReports waits until every worker has reported once, but not for silent
// ones: what they may run is durable, so that the rest can be planned.
func (e *Engine) awaitReports(ctx context.Context) {
	began := e.Boot()
	for ctx.Err() == nil && e.Boot() < began+e.Timing.Recover {
		missing, listed := e.missing()
		if missing == 0 || (missing <= recoverFew*listed && e.Boot() >= began+recoverLeast) {
			return
		}
		timer.Pause(ctx, settleHold)
	}
}

// readHandins takes in what entry VMs wrote to the store themselves.
func (e *Engine) readHandins(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.readHandin(ctx); err != nil && ctx.Err() == nil {
			e.Log.Warn().Str("event", "handins-not-read").Err(err).Int64("offset", e.tail).Msg("")
			timer.Pause(ctx, recoverPause)
		}
	}
}

func (e *Engine) readHandin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handinWait+handinSlack)
	defer cancel()
	sent := e.Boot()
	r, err := e.Store.Read(ctx, HandinTopic, e.tail, handinWait)
	var gone *store.TruncatedError
	if errors.As(err, &gone) {
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
		e.contain("hand-in", rec.Key, func() { e.handin(rec) })
	}
	e.tail = r.End
	e.tailed = max(e.tailed, sent)

	return nil
}

// fresh reports whether a job that is not known here is not known at all: this
// VM still plans, and has read of late what the others wrote themselves.
func (e *Engine) fresh() bool {
	return e.Lease.Age() < freshFor && e.Boot()-e.tailed < freshFor
}

func (e *Engine) handin(r store.Record) {
	kind, id := work.ParseKey(r.Key)
	if len(r.Value) == 0 {
		return
	}
	switch kind {
	case work.OpenRecord:
		if s := e.jobs[id]; s != nil {
			s.durable, s.handedIn = true, true
		} else {
			e.enterOpen(r, true)
			if s := e.jobs[id]; s != nil {
				e.Log.Info().Str("event", "job-read").Str("id", id).Int64("offset", r.Offset).Msg("")
				e.active = append(e.active, s)
				e.readLate(s)
				e.kick()
			}
		}
	case work.CancelRecord:
		e.enterCancel(id, string(r.Value))
	default:
		e.Log.Warn().Str("event", "record-skipped").Str("key", r.Key).Int64("offset", r.Offset).Msg("")
	}
}
