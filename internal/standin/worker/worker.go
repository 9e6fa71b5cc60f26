// Package worker emulates a worker of the platform. It reserves accelerators for tokens,
// simulates the run time of tasks under leases, and keeps a journal of the tasks that
// have actually started, for the tests.
package worker

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"sesameyoke/internal/core/job"
	protocol "sesameyoke/internal/peer/worker"
)

// failAfter is the run time after which tasks fail on a worker with FailAll.
const failAfter = 100 * time.Millisecond

type (
	// Faults are the injected faults of the worker. The zero value injects none.
	Faults struct {
		FailAll bool `json:"failall"` // every task fails soon after it starts
		Silent  bool `json:"silent"`  // requests are accepted and never answered
		Leaving bool `json:"leaving"`
	}

	// JournalEntry is an entry of the journal: a task that has actually started.
	JournalEntry struct {
		Key     job.Key        `json:"key"`
		Attempt int            `json:"attempt"`
		Member  int            `json:"member"`
		Members int            `json:"members"`
		At      time.Time      `json:"at"`
		Ended   time.Time      `json:"ended"`
		State   protocol.State `json:"state"`
	}

	// Worker is an emulated worker. Its methods are safe for concurrent use.
	Worker struct {
		Accelerators   int
		CheckpointTime time.Duration // time that a checkpoint takes

		mu          sync.Mutex
		incarnation string
		leaseEnd    time.Time
		version     int64 // incremented by each change of a task
		tasks       map[string]*task
		faults      Faults
		throttled   int
		journal     []*JournalEntry
	}

	task struct {
		protocol.Task
		run       time.Duration // run time until the task is done
		payload   string
		deadline  time.Time // end of the reservation, or of the first lease
		confirmed bool      // the lease of the worker covers the task
		started   time.Time
		restored  time.Duration // run time covered by the checkpoint that the task resumed from
		savedAt   time.Time     // completion of the checkpoint
		changedIn int64         // version of the newest change
		entry     *JournalEntry
	}

	// payloadOptions control the emulation of a task. A payload may contain them as JSON.
	payloadOptions struct {
		RunTime string `json:"work"` // actual run time, which may differ from the declared one
		Fail    bool   `json:"fail"`

		CPUShare float64 `json:"share"` // CPU use relative to the declared share
	}
)

// New returns a worker without tasks, in a new incarnation.
func New(accelerators int, checkpointTime time.Duration) *Worker {
	b := make([]byte, 6)
	_, _ = rand.Read(b)

	return &Worker{
		Accelerators: accelerators, CheckpointTime: checkpointTime,
		incarnation: hex.EncodeToString(b), tasks: make(map[string]*task),
	}
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.faults = f
}

// Run advances the tasks every step until the context ends, so that leases expire on time
// even without calls.
func (w *Worker) Run(ctx context.Context, step time.Duration) {
	t := time.NewTicker(step)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			w.mu.Lock()
			w.advance(now)
			w.mu.Unlock()
		}
	}
}

// Crash stops all tasks, like a crash of the worker. After it only the journal may be
// queried.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.advance(time.Now())
	for _, t := range w.tasks {
		if t.State.HoldsAccelerators() {
			w.setState(t, protocol.Stopped)
		}
	}
}

// Journal returns a copy of the journal.
func (w *Worker) Journal() []JournalEntry {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.advance(time.Now())
	out := make([]JournalEntry, 0, len(w.journal))
	for _, e := range w.journal {
		out = append(out, *e)
	}

	return out
}

// Reserve reserves accelerators for a token.
func (w *Worker) Reserve(r protocol.ReserveRequest) protocol.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()

	now := time.Now()
	w.advance(now)
	if t, ok := w.tasks[r.Token]; ok {
		return w.reply(t.State)
	}
	if r.First < 0 || r.Width < 1 || r.First+r.Width > w.Accelerators {
		return w.refuse(fmt.Sprintf("accelerators %d to %d are not among %d", r.First, r.First+r.Width-1, w.Accelerators))
	}
	for _, t := range w.tasks {
		if t.State.HoldsAccelerators() && t.First < r.First+r.Width && r.First < t.First+t.Width {
			return w.refuse("held by " + t.Key.String())
		}
	}
	t := &task{Task: protocol.Task{
		Token: r.Token, Key: r.Key, Attempt: r.Attempt, Member: r.Member, Members: r.Members,
		First: r.First, Width: r.Width,
	}}
	t.deadline = now.Add(r.TTL.Duration)
	w.tasks[r.Token] = t
	w.setState(t, protocol.Reserved)

	return w.reply(t.State)
}

// Arm loads the task of a reserved token.
func (w *Worker) Arm(r protocol.ArmRequest) protocol.Reply {
	return w.withTask(r.Token, r.Incarnation, func(t *task, now time.Time) {
		if t.State != protocol.Reserved {
			return
		}
		t.load(r)
		t.deadline = now.Add(r.TTL.Duration)
		w.setState(t, protocol.Armed)
	})
}

// load loads the task from the request. Its payload may contain payloadOptions.
func (t *task) load(r protocol.ArmRequest) {
	t.run, t.payload = r.Run.Duration, r.Payload
	if r.Checkpoint != "" {
		t.restored, _ = time.ParseDuration(r.Checkpoint)
	}
	var o payloadOptions
	if json.Unmarshal([]byte(r.Payload), &o) != nil {
		return
	}
	t.CPUUsage = o.CPUShare
	if d, err := time.ParseDuration(o.RunTime); err == nil {
		t.run = d
	}
}

// Go starts an armed token under its first, short lease.
func (w *Worker) Go(r protocol.TokenRequest) protocol.Reply {
	return w.withTask(r.Token, r.Incarnation, func(t *task, now time.Time) {
		if t.State != protocol.Armed {
			return
		}
		t.started = now
		t.deadline = now.Add(r.TTL.Duration)
		t.entry = &JournalEntry{Key: t.Key, Attempt: t.Attempt, Member: t.Member, Members: t.Members, At: now}
		w.journal = append(w.journal, t.entry)
		w.setState(t, protocol.Running)
	})
}

// withTask brings all tasks up to date, calls f with the task of a token under the lock,
// and replies with the state of the token.
func (w *Worker) withTask(token, incarnation string, f func(t *task, now time.Time)) protocol.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()

	now := time.Now()
	w.advance(now)
	t := w.find(token, incarnation)
	if t == nil {
		return w.reply(protocol.Missing)
	}
	f(t, now)

	return w.reply(t.State)
}

// Release releases a token that has not started. An unknown token is recorded as
// released, so that a delayed request cannot reserve it later.
func (w *Worker) Release(r protocol.TokenRequest) protocol.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.advance(time.Now())
	if r.Incarnation != "" && r.Incarnation != w.incarnation {
		return w.reply(protocol.Missing)
	}
	t, ok := w.tasks[r.Token]
	if !ok {
		w.tasks[r.Token] = &task{Task: protocol.Task{Token: r.Token, State: protocol.Released}}

		return w.reply(protocol.Missing)
	}
	if t.State == protocol.Reserved || t.State == protocol.Armed {
		w.setState(t, protocol.Released)
	}

	return w.reply(t.State)
}

// Save starts a checkpoint of a running task.
func (w *Worker) Save(r protocol.TokenRequest) protocol.Reply {
	return w.withTask(r.Token, r.Incarnation, func(t *task, now time.Time) {
		if t.State == protocol.Running {
			t.RunTime.Duration = t.runTime(now)
			t.savedAt = now.Add(w.CheckpointTime)
			w.setState(t, protocol.Saving)
		}
	})
}

// Stop stops the task of a token at once.
func (w *Worker) Stop(r protocol.TokenRequest) protocol.Reply {
	return w.withTask(r.Token, r.Incarnation, func(t *task, _ time.Time) {
		switch t.State {
		case protocol.Reserved, protocol.Armed:
			w.setState(t, protocol.Released)
		case protocol.Running, protocol.Saving:
			w.setState(t, protocol.Stopped)
		}
	})
}

// Renew extends the lease of the worker and reports the tasks that have changed since
// the given version.
func (w *Worker) Renew(r protocol.RenewRequest) protocol.Report {
	w.mu.Lock()
	defer w.mu.Unlock()

	now := time.Now()
	w.advance(now)
	w.leaseEnd = now.Add(r.TTL.Duration)
	for _, token := range r.Confirm {
		if t := w.tasks[token]; t != nil {
			t.confirmed = true
		}
	}
	for _, token := range r.Discard {
		if t := w.tasks[token]; t != nil && !t.State.HoldsAccelerators() {
			delete(w.tasks, token)
		}
	}
	full := r.Incarnation != w.incarnation
	rep := protocol.Report{Incarnation: w.incarnation, Leaving: w.faults.Leaving, Version: w.version, Full: full}
	for _, t := range w.tasks {
		overShare := t.State == protocol.Running && t.CPUUsage > 1
		if !full && !overShare && t.changedIn <= r.SinceVersion {
			continue
		}
		if t.State == protocol.Released {
			continue
		}
		out := t.Task
		if t.State == protocol.Running {
			out.RunTime.Duration = t.runTime(now)
		}
		rep.Tasks = append(rep.Tasks, out)
	}

	return rep
}

func (w *Worker) find(token, incarnation string) *task {
	if incarnation != "" && incarnation != w.incarnation {
		return nil
	}

	return w.tasks[token]
}

func (w *Worker) reply(s protocol.State) protocol.Reply {
	return protocol.Reply{State: s, Incarnation: w.incarnation, Leaving: w.faults.Leaving}
}

func (w *Worker) refuse(reason string) protocol.Reply {
	r := w.reply(protocol.Busy)
	r.Reason = reason

	return r
}

func (w *Worker) setState(t *task, s protocol.State) {
	w.version++
	t.State = s
	t.changedIn = w.version
	if t.entry != nil {
		t.entry.State = s
		if !s.HoldsAccelerators() {
			t.entry.Ended = time.Now()
		}
	}
}

// advance brings all tasks up to date: reservations and leases expire, checkpoints
// complete, tasks end.
func (w *Worker) advance(now time.Time) {
	for _, t := range w.tasks {
		w.advanceTask(t, now)
	}
}

func (w *Worker) advanceTask(t *task, now time.Time) {
	switch t.State {
	case protocol.Reserved, protocol.Armed:
		if now.After(t.deadline) {
			w.setState(t, protocol.Released)
		}
	case protocol.Running:
		w.advanceRun(t, now)
	case protocol.Saving:
		if now.After(t.savedAt) {
			t.Checkpoint = t.RunTime.String()
			w.setState(t, protocol.Saved)
		}
	}
}

func (w *Worker) advanceRun(t *task, now time.Time) {
	until := t.deadline
	if t.confirmed && w.leaseEnd.After(until) {
		until = w.leaseEnd
	}
	end := t.started.Add(t.run - t.restored)
	switch {
	case w.faults.FailAll && now.Sub(t.started) > failAfter:
		w.setState(t, protocol.Failed)
	case now.After(until) && end.After(until):
		w.setState(t, protocol.Expired)
	case now.After(end):
		w.finish(t)
	}
}

func (w *Worker) finish(t *task) {
	var o payloadOptions
	if json.Unmarshal([]byte(t.payload), &o) == nil && o.Fail {
		w.setState(t, protocol.Failed)

		return
	}
	t.RunTime.Duration = t.run
	t.Data = fmt.Sprintf("member %d of %d of %s: %s", t.Member, t.Members, t.Key, t.payload)
	w.setState(t, protocol.Done)
}

func (t *task) runTime(now time.Time) time.Duration {
	return t.restored + now.Sub(t.started)
}

// Throttled returns the number of tasks that this worker has throttled.
func (w *Worker) Throttled() int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.throttled
}

// Throttle limits a running task to its declared CPU share.
func (w *Worker) Throttle(r protocol.TokenRequest) protocol.Reply {
	return w.withTask(r.Token, r.Incarnation, func(t *task, _ time.Time) {
		if t.CPUUsage > 1 {
			t.CPUUsage = 1
			w.throttled++
		}
	})
}

// DropTokens drops all tokens without a change of incarnation, for tests.
func (w *Worker) DropTokens() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.tasks = make(map[string]*task)
}
