package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/engine"
)

// Endless is the length of a run of a long-running task that does not fail.
const Endless time.Duration = 1 << 62

const (
	startupTime   = 500 * time.Millisecond // time until an endless run reports progress of 100 percent
	maxLease      = 10 * time.Second       // longest lease that a worker accepts; longer ones are cut
	tick          = 10 * time.Millisecond  // interval at which Run advances the workers
	killGrace     = 300 * time.Millisecond // from a stop until the run ends
	gangTimeout   = 3 * time.Second        // how long a run waits for the rest of its gang
	endsPerReport = 20                     // small, so that tests cover ends that take several reports

	minLateness = 2 * time.Second  // from an order without an answer until it is carried out late
	maxLateness = 12 * time.Second // the same
	resetShare  = 0.5              // share of the held calls that a restart resets; the others get no answer
)

type (
	// Fleet emulates all workers and the hosts that they run on.
	Fleet struct {
		Journal Journal
		// Ticketed holds the workers that may run tasks, with a ticket from Advise for
		// each start. No tickets are needed if it is nil.
		Ticketed map[string]bool
		// CrossIncarnations lets an order that is executed late reach an incarnation of the
		// worker that started after the order was sent.
		CrossIncarnations bool
		// SpreadSlowdown is how much longer a gang takes that must be on one rack and is on
		// several. There is no difference if it is 0.
		SpreadSlowdown float64
		Random         func() float64 // returns a number in [0,1)
		EndsPerReport  int            // largest number of ends in a report
		CheckpointName int            // least length of a checkpoint's name, in bytes
		// Outcome returns the length of a run, as work at full speed, and how it ends.
		Outcome func(task work.Task, run int64, worker string) (time.Duration, target.How)
		// ListLag returns how long a change of the list takes to become visible. Changes stay in
		// order. They are visible at once if it is nil.
		ListLag func() time.Duration
		// KillGrace returns the time from a stop until the run ends. It is killGrace if it is nil.
		KillGrace func(worker string) time.Duration
		// NoLateStarts lets starts that are not executed at once be lost. The other calls may be executed late.
		NoLateStarts bool
		// HeldRenewalsStay lets a lease renewal that the worker holds be answered in the end even if
		// the worker has received a higher fencing token meanwhile. It is refused otherwise.
		HeldRenewalsStay bool
		// ExtraLatency returns the latency of a request or an answer beyond callLatency, so that
		// calls overtake each other. There is none if it is nil.
		ExtraLatency func() time.Duration
		// Log receives what happens to the workers, and the calls that they execute late. Nothing is
		// logged if it is nil.
		Log func(format string, args ...any)

		mu                                 sync.Mutex
		hosts                              hosts
		workers                            map[string]*Worker
		present                            map[gangKey]int                            // active members by gang; nil outside advance
		changes                            []listChange                               // log of the changed entries of the list, in order
		lateShare                          float64                                    // share of the orders that get no reply and are executed later
		lostShare                          float64                                    // share of the orders that are executed but get no reply
		lateRenewalShare, lostRenewalShare float64                                    // the same for lease renewals
		undeliveredShare                   float64                                    // see SetUndeliveredShare
		deadly                             func(task work.Task) (time.Duration, bool) // see SetDeadly; nil for no such tasks
		newIDs                             bool                                       // see SetDeadly
		phantomRuns                        map[string][]target.Run                    // runs that a worker reports but does not have, by worker
	}

	// listChange is one changed entry of the list of workers.
	listChange struct {
		worker    target.Worker
		listed    bool
		visibleAt time.Time
	}

	// Worker emulates one worker.
	Worker struct {
		target.Worker

		up, cutOff, listed bool
		maintained         bool            // down for maintenance
		replacedBy         string          // ID of the worker that runs at its address now; empty for itself
		cutOffCallers      map[string]bool // callers that cannot reach the worker
		bornAt             time.Time
		larger             work.Shape // capacity before it last shrank
		shrunkAt           time.Time
		clockRate          float64       // of the worker's clock, relative to real time
		ahead              time.Duration // by which its time of day is ahead
		speed              float64       // of the worker's runs: 1 is full speed, 0 makes no progress
		token              int64         // highest fencing token seen
		deadline           int64         // end of the lease, on the worker's clock in milliseconds
		runs               map[work.Task]*activeRun
		highestRun         map[work.Task]int64 // highest run that was stopped or has ended
		unackedEnds        []target.End
		endNumber          int64     // number of the newest end
		leaseExpiredAt     time.Time // when the lease was last seen expired
		restarting         bool      // is down for the time of RestartAfter
		undelivered        []undeliveredCall
	}
)

// NewFleet returns a fleet without workers. random returns numbers in [0,1).
func NewFleet(random func() float64) *Fleet {
	h := hosts{
		waveStates: map[int]string{}, takenDown: map[int]map[string]bool{}, downCount: map[int]int{}, tokens: map[string]int64{}, holders: map[string]string{},
	}

	return &Fleet{Random: random, EndsPerReport: endsPerReport, hosts: h, workers: map[string]*Worker{}, Journal: Journal{jobs: map[string]work.Job{}, refused: map[string]bool{}}}
}

// Run advances the workers every tick until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	for sleep(ctx, tick) == nil {
		f.mu.Lock()
		f.advance()
		f.mu.Unlock()
	}
}

// Add starts a worker and lists it.
func (f *Fleet) Add(id, service, rack string, capacity work.Shape) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Worker{
		Worker: target.Worker{ID: id, Host: id, Service: service, Rack: rack, Labels: []string{"a", rack}, Capacity: capacity},
		up:     true, listed: true, cutOffCallers: map[string]bool{}, speed: 1, clockRate: 0.98 + 0.02*f.Random(),
	}
	w.startIncarnation()
	f.workers[id] = w
	f.publish(w)
}

// startIncarnation resets the worker's state, as a restart of its process does.
func (w *Worker) startIncarnation() {
	w.bornAt = time.Now()
	w.Incarnation = w.bornAt.Add(w.ahead).UnixMilli()
	w.token, w.deadline, w.endNumber, w.restarting = 0, 0, 0, false
	w.runs, w.highestRun, w.unackedEnds = map[work.Task]*activeRun{}, map[work.Task]int64{}, nil
}

// clock returns the worker's clock: milliseconds since the incarnation started, scaled by
// clockRate, which makes it up to 2 % slower than real time.
func (w *Worker) clock() int64 {
	return int64(float64(time.Since(w.bornAt).Milliseconds()) * w.clockRate)
}

// Kill ends a worker's process. Its runs are lost and their ends never reported.
func (f *Fleet) Kill(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	w := f.current(id)
	w.up = false
	w.closeRuns("gone")
}

// Restart restarts a worker at once under the same ID. Unless it was draining, that is a
// crash.
func (f *Fleet) Restart(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	w := f.current(id)
	how := Crashed
	if w.Draining {
		how = "gone"
	}
	w.closeRuns(how)
	w.startIncarnation()
	w.up, w.listed, w.Draining = true, true, false
	f.publish(w)
}

// Unlist removes a worker from the list, but does not stop it.
func (f *Fleet) Unlist(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current(id).listed = false
	f.publish(f.current(id))
}

// Relist returns a worker to the list.
func (f *Fleet) Relist(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current(id).listed = true
	f.publish(f.current(id))
}

// Drain lists a worker as draining. left is the least time until it leaves.
func (f *Fleet) Drain(id string, left time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.current(id)
	w.Draining, w.TimeToLeave = true, left
	f.publish(w)
}

// SetSpeed sets how fast a worker's runs make progress: 1 is full speed, and with 0 they
// make none.
func (f *Fleet) SetSpeed(id string, speed float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	f.current(id).speed = speed
}

// SetAhead sets by how much a worker's time of day is ahead. It tells its next starts by it.
func (f *Fleet) SetAhead(id string, ahead time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current(id).ahead = ahead
}

// SetCapacity changes a worker's capacity while it runs.
func (f *Fleet) SetCapacity(id string, capacity work.Shape) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.current(id)
	if !w.Capacity.Fits(capacity) {
		w.larger, w.shrunkAt = w.Capacity, time.Now()
	}
	w.Capacity = capacity
	f.publish(w)
}

// Cut cuts a worker off from all callers, or reconnects it.
func (f *Fleet) Cut(id string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.current(id)
	w.cutOff = cut
	f.logf("cut %s: %t", id, cut)
	f.deliver(w)
}

// CutFrom cuts a worker off from one caller, or reconnects it.
func (f *Fleet) CutFrom(id, caller string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.current(id)
	w.cutOffCallers[caller] = cut
	f.deliver(w)
}

// SetOutcome replaces Outcome for runs that start from now on.
func (f *Fleet) SetOutcome(outcome func(task work.Task, run int64, worker string) (time.Duration, target.How)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Outcome = outcome
}

// SetPhantomRuns sets runs that workers report although they do not have them, by worker.
func (f *Fleet) SetPhantomRuns(runs map[string][]target.Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.phantomRuns = runs
}

// SetOrderFaults sets the share of the orders that get no reply and are executed late, and the
// share of those that are executed at once but whose reply is lost.
func (f *Fleet) SetOrderFaults(lateShare, lostShare float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateShare, f.lostShare = lateShare, lostShare
}

// SetRenewalFaults is like SetOrderFaults for lease renewals.
func (f *Fleet) SetRenewalFaults(lateShare, lostShare float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateRenewalShare, f.lostRenewalShare = lateShare, lostShare
}

// SetUndeliveredShare sets the share of the calls that cannot be delivered and that the worker executes later:
// those sent while it restarts or is cut off, and those whose caller gives up at once. They get no answer.
func (f *Fleet) SetUndeliveredShare(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.undeliveredShare = share
}

// Discover returns a function that returns the changes of the list of workers since its
// previous call, and the whole list on its first call.
func (f *Fleet) Discover() func(ctx context.Context) (engine.Listing, error) {
	next, synced := 0, false

	return func(context.Context) (engine.Listing, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		l := engine.Listing{Complete: !synced}
		newest := map[string]listChange{}
		for ; next < len(f.changes) && !f.changes[next].visibleAt.After(time.Now()); next++ {
			newest[f.changes[next].worker.ID] = f.changes[next]
		}
		synced = true
		for _, id := range sortedIDs(newest) {
			if newest[id].listed {
				l.Workers = append(l.Workers, newest[id].worker)
			} else if !l.Complete {
				l.Removed = append(l.Removed, id)
			}
		}

		return l, nil
	}
}

// publish adds a worker's entry to the changes of the list. f.mu must be held.
func (f *Fleet) publish(w *Worker) {
	c := listChange{worker: w.Worker, listed: w.listed, visibleAt: time.Now()}
	if f.ListLag != nil {
		c.visibleAt = c.visibleAt.Add(f.ListLag())
	}
	if n := len(f.changes); n > 0 && f.changes[n-1].visibleAt.After(c.visibleAt) {
		c.visibleAt = f.changes[n-1].visibleAt
	}
	f.changes = append(f.changes, c)
}

// advance updates all runs to the current time. f.mu must be held.
func (f *Fleet) advance() {
	f.present = f.countMembers()
	defer func() { f.present = nil }()
	for _, id := range sortedIDs(f.workers) {
		w := f.workers[id]
		if !w.up {
			continue
		}
		if w.clock() > w.deadline {
			w.leaseExpiredAt = time.Now()
		}
		for _, r := range w.runs {
			f.crashIfDeadly(w, r)
			if !w.up {
				break
			}
			f.advanceRun(w, r)
		}
	}
}

func sortedIDs[V any](ws map[string]V) []string {
	ids := make([]string, 0, len(ws))
	for id := range ws {
		ids = append(ids, id)
	}
	slices.Sort(ids)

	return ids
}
