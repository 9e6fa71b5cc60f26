package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/engine"
)

// Endless is the length of a lasting task that does not fail.
const Endless time.Duration = 1 << 62

const (
	startup   = 500 * time.Millisecond // until a lasting task is at work
	longHold  = 10 * time.Second
	step      = 10 * time.Millisecond // in which the workers' time passes
	killGrace = 300 * time.Millisecond
	gangWait  = 3 * time.Second
	endPage   = 20 // ends in one report; small, so that tests see several
)

type (
	// Fleet is all workers.
	Fleet struct {
		Journal Journal
		// Ticketed names the workers that may run tasks, each with a ticket from
		// Advise; nil needs none.
		Ticketed map[string]bool
		// CrossLives lets an order that is done late reach a life of the worker
		// that began after the order was sent.
		CrossLives bool
		Roll       func() float64
		// Outcome tells how long a run works and how it ends.
		Outcome func(task work.Task, run int64, worker string) (time.Duration, target.How)

		mu      sync.Mutex
		hosts   hosts
		workers map[string]*Worker
		changes []string // workers whose entries changed
		late    float64  // share of the orders that get no answer and are done later
		lost    float64  // share of the orders that are done and not answered
		strange map[string][]target.Run
	}

	// Worker is one emulated worker.
	Worker struct {
		target.Worker

		up, cut, listed bool
		maintained      bool            // is down for maintenance
		cutFrom         map[string]bool // callers that do not reach it
		bornAt          time.Time
		rate            float64 // of its clock
		speed           float64 // of what runs there; 0 stands still
		token           int64
		deadline        int64
		runs            map[work.Task]*activeRun
		highest         map[work.Task]int64 // run that was stopped or has ended
		ends            []target.End
		number          int64
		lapsed          time.Time // the lease was last seen expired
	}
)

// NewFleet returns an empty fleet.
func NewFleet(roll func() float64) *Fleet {
	h := hosts{
		states: map[int]string{}, begun: map[int]map[string]bool{}, down: map[int]int{}, tokens: map[string]int64{}, holders: map[string]string{},
	}

	return &Fleet{Roll: roll, hosts: h, workers: map[string]*Worker{}, Journal: Journal{jobs: map[string]work.Job{}, refused: map[string]bool{}}}
}

// Run lets the workers' time pass until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	for sleep(ctx, step) == nil {
		f.mu.Lock()
		f.advance()
		f.mu.Unlock()
	}
}

// Add puts a worker in the list.
func (f *Fleet) Add(id, service, rack string, room work.Shape) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Worker{
		Worker: target.Worker{ID: id, Host: id, Service: service, Rack: rack, Labels: []string{"a", rack}, Room: room},
		up:     true, listed: true, cutFrom: map[string]bool{}, speed: 1, rate: 0.98 + 0.02*f.Roll(),
	}
	w.begin()
	f.workers[id] = w
	f.changes = append(f.changes, id)
}

func (w *Worker) begin() {
	w.bornAt = time.Now()
	w.Born = w.bornAt.UnixMilli()
	w.token, w.deadline, w.number = 0, 0, 0
	w.runs, w.highest, w.ends = map[work.Task]*activeRun{}, map[work.Task]int64{}, nil
}

func (w *Worker) clock() int64 { return int64(float64(time.Since(w.bornAt).Milliseconds()) * w.rate) }

// Kill ends a worker; what ran there is gone.
func (f *Fleet) Kill(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	w := f.workers[id]
	w.up = false
	for _, r := range w.runs {
		r.entry.close("gone")
	}
	w.runs = map[work.Task]*activeRun{}
}

// Restart starts a worker again under its ID.
func (f *Fleet) Restart(id string) {
	f.Kill(id)
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.begin()
	w.up, w.listed, w.Draining = true, true, false
	f.changes = append(f.changes, id)
}

// Unlist takes a worker off the list.
func (f *Fleet) Unlist(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].listed = false
	f.changes = append(f.changes, id)
}

// Drain lists a worker as leaving, after the given time at the earliest.
func (f *Fleet) Drain(id string, left time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].Draining, f.workers[id].Left = true, left
	f.changes = append(f.changes, id)
}

// SetSpeed sets how fast a worker's tasks work: 1 is usual, and with 0 they stand still.
func (f *Fleet) SetSpeed(id string, speed float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	f.workers[id].speed = speed
}

// Cut separates a worker from all callers, or joins it again.
func (f *Fleet) Cut(id string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].cut = cut
}

// SetOutcome changes how long runs work and how they end, from the next start on.
func (f *Fleet) SetOutcome(outcome func(task work.Task, run int64, worker string) (time.Duration, target.How)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Outcome = outcome
}

// SetStrange sets the runs that workers list though they have none such, by worker.
func (f *Fleet) SetStrange(runs map[string][]target.Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.strange = runs
}

// SetOrders sets the shares of orders that are done late and not answered.
func (f *Fleet) SetOrders(late, lost float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late, f.lost = late, lost
}

// Discover returns a reader of the list with its own place.
func (f *Fleet) Discover() func(ctx context.Context) (engine.Listing, error) {
	next, known := 0, false

	return func(context.Context) (engine.Listing, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		l := engine.Listing{Whole: !known}
		ids := f.changes[next:]
		if !known {
			ids = nil
			for id := range f.workers {
				ids = append(ids, id)
			}
		}
		next, known = len(f.changes), true
		for _, id := range ids {
			w := f.workers[id]
			if w.listed {
				l.Workers = append(l.Workers, w.Worker)
			} else {
				l.Gone = append(l.Gone, id)
			}
		}

		return l, nil
	}
}

// For returns the client of one caller. Gate is passed before and after each call.
func (f *Fleet) For(caller string, gate func()) *target.Client {
	return &target.Client{
		Start: func(ctx context.Context, a target.Address, s target.Start) (int64, error) {
			gate()
			defer gate()

			return f.order(ctx, caller, a, func(w *Worker) (int64, error) { return f.start(w, s) })
		},
		Stop: func(ctx context.Context, a target.Address, s target.Stop) (int64, error) {
			gate()
			defer gate()

			return f.order(ctx, caller, a, func(w *Worker) (int64, error) { return f.stop(w, s) })
		},
		Pace: func(ctx context.Context, a target.Address, p target.Pace) (int64, error) {
			gate()
			defer gate()

			return f.order(ctx, caller, a, func(w *Worker) (int64, error) { return w.setPace(p) })
		},
		Hold: func(ctx context.Context, a target.Address, h target.Hold) (target.Report, error) {
			gate()
			defer gate()

			return f.hold(ctx, caller, a, h)
		},
	}
}

// reach passes the time of a call and returns the worker if it can be reached.
func (f *Fleet) reach(ctx context.Context, caller string, a target.Address) (*Worker, error) {
	if err := sleep(ctx, answerTime); err != nil {
		return nil, errors.Wrap(target.ErrUnknown, "no answer in time")
	}
	f.mu.Lock()
	w := f.workers[a.ID]
	away := w == nil || !w.up || w.cut || w.cutFrom[caller]
	f.mu.Unlock()
	if away {
		<-ctx.Done()

		return nil, errors.Wrap(target.ErrRefused, "not reached")
	}

	return w, nil
}

func (f *Fleet) order(ctx context.Context, caller string, a target.Address, do func(w *Worker) (int64, error)) (int64, error) {
	w, err := f.reach(ctx, caller, a)
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	late, lost := f.late > 0 && f.Roll() < f.late, f.lost > 0 && f.Roll() < f.lost
	if !late {
		f.advance()
		clock, err := do(w)
		f.mu.Unlock()
		if !lost {
			return clock, err
		}
		<-ctx.Done()

		return 0, errors.Wrap(target.ErrUnknown, "answer lost")
	}
	after := 2*time.Second + time.Duration(f.Roll()*float64(10*time.Second))
	born := w.Born
	f.mu.Unlock()
	go func() {
		time.Sleep(after)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.advance()
		if w.up && (w.Born == born || f.CrossLives) {
			_, _ = do(w) // nobody waits for the outcome any more
		}
	}()
	<-ctx.Done()

	return 0, errors.Wrap(target.ErrUnknown, "no answer")
}

func (f *Fleet) start(w *Worker, s target.Start) (int64, error) {
	clock := w.clock()
	if s.Token < w.token {
		return clock, target.ErrFenced
	}
	w.token = s.Token
	if clock >= s.Deadline {
		return clock, target.ErrLate
	}
	if r := w.runs[s.Task]; r != nil && r.run == s.Run {
		return clock, nil
	}
	if f.Ticketed != nil && (!f.Ticketed[w.ID] || s.Ticket != ticketOf(s.Task, w)) {
		return clock, target.ErrTicket
	}
	w.extend(s.Deadline)
	if s.Run <= w.highest[s.Task] || w.runs[s.Task] != nil {
		return clock, target.ErrOld
	}
	length, how := f.Outcome(s.Task, s.Run, w.ID)
	r := &activeRun{task: s.Task, run: s.Run, started: time.Now(), length: length, how: how, percent: 100}
	r.entry = f.Journal.begin(w, s)
	w.runs[s.Task] = r

	return clock, nil
}

// ticketOf is good for one step in one life of the worker.
func ticketOf(t work.Task, w *Worker) string {
	return fmt.Sprintf("%s.%d.%s.%d", t.Job, t.Step, w.ID, w.Born)
}

// Advise answers which of the named workers may run a step.
func (f *Fleet) Advise(ctx context.Context, step work.Task, names []string) (map[string]string, time.Duration, error) {
	if err := sleep(ctx, 10*answerTime); err != nil {
		return nil, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	allowed := map[string]string{}
	for _, n := range names {
		if f.Ticketed[n] {
			allowed[n] = ticketOf(step, f.workers[n])
		}
	}

	return allowed, 3 * time.Second, nil
}

func (w *Worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+longHold.Milliseconds()))
}

func (f *Fleet) stop(w *Worker, s target.Stop) (int64, error) {
	if s.Token < w.token {
		return w.clock(), target.ErrFenced
	}
	w.token = s.Token
	w.highest[s.Task] = max(w.highest[s.Task], s.Run)
	if r := w.runs[s.Task]; r != nil && r.run <= s.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(killGrace)
	}

	return w.clock(), nil
}

func (f *Fleet) hold(ctx context.Context, caller string, a target.Address, h target.Hold) (target.Report, error) {
	w, err := f.reach(ctx, caller, a)
	if err != nil {
		return target.Report{}, err
	}
	until := time.Now().Add(h.Wait)
	for first := true; ; first = false {
		f.mu.Lock()
		if !w.up || w.cut {
			f.mu.Unlock()
			<-ctx.Done()

			return target.Report{}, errors.Wrap(target.ErrUnknown, "no answer")
		}
		if first {
			f.advance() // Run does it from now on
		}
		if h.Token < w.token {
			f.mu.Unlock()

			return target.Report{}, target.ErrFenced
		}
		if first {
			w.token = h.Token
			w.ack(h.Acked, &f.Journal)
			if h.Deadline > 0 {
				w.extend(h.Deadline)
			}
		}
		if len(w.ends) > 0 || time.Now().After(until) || h.Wait == 0 {
			r := f.report(w)
			f.mu.Unlock()

			return r, nil
		}
		f.mu.Unlock()
		if err := sleep(ctx, step); err != nil {
			return target.Report{}, errors.Wrap(target.ErrUnknown, "no answer in time")
		}
	}
}

func (w *Worker) ack(n int64, j *Journal) {
	w.ends = slices.DeleteFunc(w.ends, func(e target.End) bool {
		if e.Number <= n {
			j.acked(w.ID, e, w.lapsed)
		}

		return e.Number <= n
	})
}

func (f *Fleet) report(w *Worker) target.Report {
	r := target.Report{Clock: w.clock(), Born: w.Born, Ended: slices.Clone(w.ends[:min(len(w.ends), endPage)])}
	for _, a := range w.runs {
		r.Running = append(r.Running, target.Run{Task: a.task, Run: a.run, Saved: a.saved(), Percent: a.progress(), Usage: f.usage(w, a)})
	}

	r.Running = append(r.Running, f.strange[w.ID]...)

	return r
}

// advance brings all workers to the present. It is called under the lock.
func (f *Fleet) advance() {
	for _, id := range sortedIDs(f.workers) {
		w := f.workers[id]
		if !w.up {
			continue
		}
		if w.clock() > w.deadline {
			w.lapsed = time.Now()
		}
		for _, r := range w.runs {
			f.progress(w, r)
		}
	}
}

func sortedIDs(ws map[string]*Worker) []string {
	ids := make([]string, 0, len(ws))
	for id := range ws {
		ids = append(ids, id)
	}
	slices.Sort(ids)

	return ids
}
