// Package worker is a small stand-in for a worker of the platform: it holds
// accelerators for tokens, runs tasks under leases by letting time pass, and keeps
// a journal of what has really begun, for the tests.
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
	port "sesameyoke/internal/peer/worker"
)

// failAfter is when a task on a worker with FailAll fails.
const failAfter = 100 * time.Millisecond

type (
	// Faults is how the worker misbehaves. The zero value is none.
	Faults struct {
		FailAll bool `json:"failall"` // every task fails soon after it starts
		Silent  bool `json:"silent"`  // requests are accepted and never answered
		Leaving bool `json:"leaving"`
	}

	// Begun is one line of the journal: work that has really started.
	Begun struct {
		Key     job.Key    `json:"key"`
		Attempt int        `json:"attempt"`
		Member  int        `json:"member"`
		Members int        `json:"members"`
		At      time.Time  `json:"at"`
		Ended   time.Time  `json:"ended"`
		State   port.State `json:"state"`
	}

	// Worker holds accelerators. Its methods may be called from any goroutine.
	Worker struct {
		Accelerators int
		SaveTime     time.Duration // a checkpoint takes this long

		mu        sync.Mutex
		life      string
		lease     time.Time
		version   int64
		tasks     map[string]*task
		faults    Faults
		throttled int
		journal   []*Begun
	}

	task struct {
		port.Task
		run       time.Duration
		payload   string
		deadline  time.Time // of the reservation, or of the first lease
		confirmed bool
		started   time.Time
		before    time.Duration // saved run time that the task started with
		saving    time.Time
		changed   int64
		begun     *Begun
	}

	// order is what a payload may tell the stand-in.
	order struct {
		Work string `json:"work"` // true run time
		Fail bool   `json:"fail"`

		Share float64 `json:"share"` // processor use over the declared share
	}
)

// New returns a worker without tasks, in a new incarnation.
func New(accelerators int, saveTime time.Duration) *Worker {
	b := make([]byte, 6)
	_, _ = rand.Read(b)

	return &Worker{
		Accelerators: accelerators, SaveTime: saveTime,
		life: hex.EncodeToString(b), tasks: make(map[string]*task),
	}
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.faults = f
}

// Run lets time pass until the context ends, so that leases lapse on time when
// nobody asks.
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

// Halt ends everything that runs, as a crash would. Nothing can be asked of the
// worker any more but its journal.
func (w *Worker) Halt() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.advance(time.Now())
	for _, t := range w.tasks {
		if t.State.Holds() {
			w.set(t, port.Stopped)
		}
	}
}

// Journal returns a copy of what has begun here.
func (w *Worker) Journal() []Begun {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.advance(time.Now())
	out := make([]Begun, 0, len(w.journal))
	for _, b := range w.journal {
		out = append(out, *b)
	}

	return out
}

// Reserve holds accelerators for a token.
func (w *Worker) Reserve(r port.ReserveRequest) port.Reply {
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
		if t.State.Holds() && t.First < r.First+r.Width && r.First < t.First+t.Width {
			return w.refuse("held by " + t.Key.String())
		}
	}
	t := &task{Task: port.Task{
		Token: r.Token, Key: r.Key, Attempt: r.Attempt, Member: r.Member, Members: r.Members,
		First: r.First, Width: r.Width,
	}}
	t.deadline = now.Add(r.TTL.Duration)
	w.tasks[r.Token] = t
	w.set(t, port.Reserved)

	return w.reply(t.State)
}

// Arm loads the work of a reserved token.
func (w *Worker) Arm(r port.ArmRequest) port.Reply {
	return w.with(r.Token, r.Life, func(t *task, now time.Time) {
		if t.State != port.Reserved {
			return
		}
		t.load(r)
		t.deadline = now.Add(r.TTL.Duration)
		w.set(t, port.Armed)
	})
}

// load takes the work from the request; its payload may name the true run time.
func (t *task) load(r port.ArmRequest) {
	t.run, t.payload = r.Run.Duration, r.Payload
	if r.Save != "" {
		t.before, _ = time.ParseDuration(r.Save)
	}
	var o order
	if json.Unmarshal([]byte(r.Payload), &o) != nil {
		return
	}
	t.Share = o.Share
	if d, err := time.ParseDuration(o.Work); err == nil {
		t.run = d
	}
}

// Go starts an armed token under its first, short lease.
func (w *Worker) Go(r port.TokenRequest) port.Reply {
	return w.with(r.Token, r.Life, func(t *task, now time.Time) {
		if t.State != port.Armed {
			return
		}
		t.started = now
		t.deadline = now.Add(r.TTL.Duration)
		t.begun = &Begun{Key: t.Key, Attempt: t.Attempt, Member: t.Member, Members: t.Members, At: now}
		w.journal = append(w.journal, t.begun)
		w.set(t, port.Running)
	})
}

// with calls f for a token under the lock, after time has passed, and answers with
// the token's state.
func (w *Worker) with(token, life string, f func(t *task, now time.Time)) port.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()

	now := time.Now()
	w.advance(now)
	t := w.find(token, life)
	if t == nil {
		return w.reply(port.Missing)
	}
	f(t, now)

	return w.reply(t.State)
}

// Release gives up a token that has not started. An unknown token is remembered,
// so that a request that is still on its way cannot revive it.
func (w *Worker) Release(r port.TokenRequest) port.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.advance(time.Now())
	if r.Life != "" && r.Life != w.life {
		return w.reply(port.Missing)
	}
	t, ok := w.tasks[r.Token]
	if !ok {
		w.tasks[r.Token] = &task{Task: port.Task{Token: r.Token, State: port.Released}}

		return w.reply(port.Missing)
	}
	if t.State == port.Reserved || t.State == port.Armed {
		w.set(t, port.Released)
	}

	return w.reply(t.State)
}

// Save starts a checkpoint of a running task.
func (w *Worker) Save(r port.TokenRequest) port.Reply {
	return w.with(r.Token, r.Life, func(t *task, now time.Time) {
		if t.State == port.Running {
			t.Done.Duration = t.ran(now)
			t.saving = now.Add(w.SaveTime)
			w.set(t, port.Saving)
		}
	})
}

// Stop ends a token at once.
func (w *Worker) Stop(r port.TokenRequest) port.Reply {
	return w.with(r.Token, r.Life, func(t *task, _ time.Time) {
		switch t.State {
		case port.Reserved, port.Armed:
			w.set(t, port.Released)
		case port.Running, port.Saving:
			w.set(t, port.Stopped)
		}
	})
}

// Renew extends the lease and reports what changed.
func (w *Worker) Renew(r port.RenewRequest) port.Report {
	w.mu.Lock()
	defer w.mu.Unlock()

	now := time.Now()
	w.advance(now)
	w.lease = now.Add(r.TTL.Duration)
	for _, token := range r.Confirm {
		if t := w.tasks[token]; t != nil {
			t.confirmed = true
		}
	}
	for _, token := range r.Forget {
		if t := w.tasks[token]; t != nil && !t.State.Holds() {
			delete(w.tasks, token)
		}
	}
	full := r.Life != w.life
	rep := port.Report{Life: w.life, Leaving: w.faults.Leaving, Version: w.version, Full: full}
	for _, t := range w.tasks {
		over := t.State == port.Running && t.Share > 1
		if !full && !over && t.changed <= r.Since {
			continue
		}
		if t.State == port.Released {
			continue
		}
		out := t.Task
		if t.State == port.Running {
			out.Done.Duration = t.ran(now)
		}
		rep.Tasks = append(rep.Tasks, out)
	}

	return rep
}

func (w *Worker) find(token, life string) *task {
	if life != "" && life != w.life {
		return nil
	}

	return w.tasks[token]
}

func (w *Worker) reply(s port.State) port.Reply {
	return port.Reply{State: s, Life: w.life, Leaving: w.faults.Leaving}
}

func (w *Worker) refuse(reason string) port.Reply {
	r := w.reply(port.Busy)
	r.Reason = reason

	return r
}

func (w *Worker) set(t *task, s port.State) {
	w.version++
	t.State = s
	t.changed = w.version
	if t.begun != nil {
		t.begun.State = s
		if !s.Holds() {
			t.begun.Ended = time.Now()
		}
	}
}

// advance lets time pass: reservations and leases lapse, tasks end.
func (w *Worker) advance(now time.Time) {
	for _, t := range w.tasks {
		w.advanceTask(t, now)
	}
}

func (w *Worker) advanceTask(t *task, now time.Time) {
	switch t.State {
	case port.Reserved, port.Armed:
		if now.After(t.deadline) {
			w.set(t, port.Released)
		}
	case port.Running:
		w.advanceRun(t, now)
	case port.Saving:
		if now.After(t.saving) {
			t.Save = t.Done.String()
			w.set(t, port.Saved)
		}
	}
}

func (w *Worker) advanceRun(t *task, now time.Time) {
	until := t.deadline
	if t.confirmed && w.lease.After(until) {
		until = w.lease
	}
	ended := t.started.Add(t.run - t.before)
	switch {
	case w.faults.FailAll && now.Sub(t.started) > failAfter:
		w.set(t, port.Failed)
	case now.After(until) && ended.After(until):
		w.set(t, port.Expired)
	case now.After(ended):
		w.finish(t)
	}
}

func (w *Worker) finish(t *task) {
	var o order
	if json.Unmarshal([]byte(t.payload), &o) == nil && o.Fail {
		w.set(t, port.Failed)

		return
	}
	t.Done.Duration = t.run
	t.Data = fmt.Sprintf("member %d of %d of %s: %s", t.Member, t.Members, t.Key, t.payload)
	w.set(t, port.Done)
}

func (t *task) ran(now time.Time) time.Duration {
	return t.before + now.Sub(t.started)
}

// Throttled returns how many tasks have been throttled here.
func (w *Worker) Throttled() int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.throttled
}

// Throttle holds a running task to its declared share of processors.
func (w *Worker) Throttle(r port.TokenRequest) port.Reply {
	return w.with(r.Token, r.Life, func(t *task, _ time.Time) {
		if t.Share > 1 {
			t.Share = 1
			w.throttled++
		}
	})
}

// Lose makes the worker forget all its tokens within one incarnation, for tests.
func (w *Worker) Lose() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.tasks = make(map[string]*task)
}
