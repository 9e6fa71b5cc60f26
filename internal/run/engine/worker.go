package engine

import (
	"slices"
	"time"

	"sesameyoke/internal/core/share"
	"sesameyoke/internal/core/watch"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

const (
	slowClock = 0.98 // slowest rate of a worker's clock against ours
	clockSlip = 300 * time.Millisecond

	probeEvery = 600 * time.Millisecond // between questions to a silent worker on which nothing runs
)

// worker is one worker's life as the planner knows it.
type worker struct {
	target.Worker
	listed   bool // stands in the list of workers
	reached  bool // has reported under this lease
	free     work.Shape
	runs     map[work.Task][]*member
	wake     chan struct{}
	closed   bool
	clock    int64         // of the worker, milliseconds
	clockAt  time.Duration // when clock was received
	deadline int64         // latest deadline sent, on the worker's clock
	bound    time.Duration // without a report, all that ran there before this lease has ended by then
	floor    time.Duration // not taken for lapsed before
	seen     int64         // highest end taken in
	acked    int64         // highest durable end
	ackSent  int64         // highest end that the worker knows to be durable
	silent   time.Duration // no report since; 0 while it reports
	probed   time.Duration // it was asked at, though silent and idle
	refusing time.Duration // gets no starts until then
	pace     share.Pace    // of tasks that fill
	noFill   time.Duration // gets no filling tasks until then
	shut     bool          // its host is to go down for maintenance
	leaves   time.Duration // a draining worker stays until then at least

	slow       float64       // learnt: how much longer than usual its runs take
	slowNow    float64       // a passing slowness besides, until slowUntil
	slowUntil  time.Duration // its runs were slow of late
	stillUntil time.Duration // its runs stood still of late
	record     watch.Record
}

func newWorker(w target.Worker) *worker {
	return &worker{Worker: w, free: w.Room, slow: 1, pace: share.Pace{Percent: share.First}, runs: map[work.Task][]*member{}, wake: make(chan struct{}, 1)}
}

func (w *worker) address() target.Address { return target.Address{ID: w.ID, Host: w.Host} }

func (w *worker) poke() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// now estimates the worker's clock; it is never ahead of it.
func (w *worker) now(boot time.Duration) int64 {
	return w.clock + int64(float64((boot-w.clockAt).Milliseconds())*slowClock)
}

// probe reports whether a silent worker is to be asked though nothing runs there: it
// gets no work before it has answered.
func (w *worker) probe(boot time.Duration) bool {
	if w.silent == 0 || boot < w.probed+probeEvery {
		return false
	}
	w.probed = boot

	return true
}

// extend returns the deadline for an order sent now.
func (w *worker) extend(boot, lease time.Duration) int64 {
	d := w.now(boot) + lease.Milliseconds()
	w.deadline = max(w.deadline, d)

	return d
}

// lapsed reports whether all that ran there must have ended by itself.
func (w *worker) lapsed(boot time.Duration) bool {
	if !w.reached {
		return w.bound != 0 && boot > w.bound
	}
	if boot < w.floor {
		return false
	}
	left := time.Duration(float64(w.deadline-w.clock)/slowClock) * time.Millisecond

	return boot > w.clockAt+left+clockSlip
}

// hear takes in a clock.
func (w *worker) hear(clock int64, boot time.Duration) {
	w.clock, w.clockAt = clock, boot
}

func (w *worker) removeRun(m *member) {
	t := m.task()
	rest := slices.DeleteFunc(w.runs[t], func(o *member) bool { return o == m })
	if len(rest) == 0 {
		delete(w.runs, t)

		return
	}
	w.runs[t] = rest
}

func (w *worker) find(t work.Task, run int64) *member {
	for _, m := range w.runs[t] {
		if m.unit.run == run {
			return m
		}
	}

	return nil
}

func (w *worker) all() []*member {
	var ms []*member
	for _, r := range w.runs {
		ms = append(ms, r...)
	}

	return ms
}

// note adds the end of a run to the worker's record. Elsewhere tells that its job
// has failed on other workers.
func (w *worker) note(how target.How, boot time.Duration, elsewhere bool) {
	switch how {
	case target.Done:
		w.record.Succeed()
	case target.Failed:
		w.record.Fail(boot, elsewhere)
	}
}

// newLife forgets what belonged to the incarnation before.
// Orders on their way may still be executed, and hold a lease until floor.
func (w *worker) newLife(born int64, floor time.Duration) {
	w.Born, w.floor = born, floor
	w.seen, w.acked, w.ackSent = 0, 0, 0
	w.deadline = 0
	w.record = watch.Record{}
	w.slowUntil, w.stillUntil = 0, 0
}
