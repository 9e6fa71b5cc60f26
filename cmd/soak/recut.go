package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"sesameyoke/internal/core/work"
	"sesameyoke/platform"
)

// restartedWork is a kind of work: workers restart under their IDs and are cut off soon after, while long
// tasks run and planners are killed.
const restartedWork = "recut"

const (
	leaseTopic     = "keyed.lead"     // holds the record of the planner's lease
	firstSeries    = 4 * time.Second  // until the workers' clocks show more than a lease can last
	maxSeriesPause = 16 * time.Second // between the beginnings of two series
	groupShare     = 2                // a series restarts at most one worker of this many
	killShare      = 0.8              // of the series, which kill the planner
	resetShare     = 0.3              // of the series, which reset the calls in flight when the workers crash; as many do when they start
	maxLateShare   = 0.2              // of the calls to workers that are late, in every other seed
	minLongRun     = 8 * time.Second
	maxLongRun     = 40 * time.Second
)

type (
	// restarts runs the series of a soak. Calls to workers pass through its handler.
	restarts struct {
		*soak
		rand *rand.Rand
		wait sync.WaitGroup

		mu        sync.Mutex
		lateShare float64                  // share of the calls that get no answer and are executed late
		backAt    map[string]time.Time     // end of the newest downtime, by worker
		cutUntil  map[string]time.Time     // end of the newest time without connection, by worker
		busyUntil map[string]time.Time     // end of the newest series, by worker
		inFlight  map[*http.Request]func() // resets a call that a worker has received, by call
	}

	// answer is the answer to a call, before which a function is called.
	answer struct {
		http.ResponseWriter

		before func()
	}
)

func newRestarts(s *soak) *restarts {
	r := &restarts{
		soak: s, rand: rand.New(rand.NewPCG(s.Seed, 4)), backAt: map[string]time.Time{}, cutUntil: map[string]time.Time{},
		busyUntil: map[string]time.Time{}, inFlight: map[*http.Request]func(){},
	}
	if s.Seed%2 == 0 {
		r.lateShare = maxLateShare * r.rand.Float64()
	}

	return r
}

// between returns a random duration.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// begin begins a series. It does not wait for its end, so that series overlap.
func (r *restarts) begin() {
	if r.steps == 1 {
		time.Sleep(firstSeries)
	}
	first, n := r.rand.IntN(r.Workers), 1+r.rand.IntN(max(1, r.Workers/groupShare))
	rng := rand.New(rand.NewPCG(r.Seed, r.rand.Uint64()))
	reset := rng.Float64()
	for i := 0; i < r.Workers && n > 0; i++ {
		id := fmt.Sprintf("k%d", (first+i)%r.Workers)
		if r.timeLeft(r.busyUntil, id) > 0 {
			continue
		}
		n--
		down, connected, cut := between(rng, 300*time.Millisecond, time.Second), between(rng, time.Second, 4*time.Second), between(rng, 5*time.Second, 12*time.Second)
		r.setTime(r.busyUntil, id, down+connected+cut)
		r.wait.Go(func() { r.restartAndCut(id, reset, down, connected, cut) })
	}
	if rng.Float64() < killShare {
		after, down := between(rng, 0, 700*time.Millisecond), between(rng, 500*time.Millisecond, 3*time.Second)
		r.wait.Go(func() { r.killPlanner(after, down) })
	}
}

// end waits for the ends of all series. Calls are not late any more.
func (r *restarts) end() {
	r.wait.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateShare = 0
}

// restartAndCut crashes a worker, starts it again, and cuts it off. The worker runs on while it is cut off.
func (r *restarts) restartAndCut(id string, reset float64, down, connected, cut time.Duration) {
	r.trace.Printf("event=worker-down worker=%s for=%v", id, down)
	r.setTime(r.backAt, id, down)
	r.platform.Fleet.Crash(id)
	if reset < resetShare {
		r.resetCalls(id)
	}
	time.Sleep(down)
	r.trace.Printf("event=worker-back worker=%s", id)
	r.platform.Fleet.Restart(id)
	if reset > 1-resetShare {
		r.resetCalls(id)
	}
	time.Sleep(connected)
	r.trace.Printf("event=worker-cut worker=%s for=%v", id, cut)
	r.setTime(r.cutUntil, id, cut)
	time.Sleep(cut)
}

// killPlanner kills the planner's process after a time, and starts it again after a downtime.
func (r *restarts) killPlanner(after, down time.Duration) {
	time.Sleep(after)
	if p := r.planner(); p != nil {
		r.trace.Printf("event=planner-killed vm=%s for=%v", p.name, down)
		p.restartAfter(down)
	}
}

// planner returns the VM that has acquired the planner's lease last; nil if there is none.
func (s *soak) planner() *process {
	for _, key := range s.platform.Store.Keys(leaseTopic) {
		record := s.platform.Store.Value(leaseTopic, key)
		for _, p := range s.vms {
			if bytes.Contains(record, []byte(p.name+"/")) {
				return p
			}
		}
	}

	return nil
}

// setTime sets the time of a worker to one that lies ahead.
func (r *restarts) setTime(of map[string]time.Time, id string, ahead time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	of[id] = time.Now().Add(ahead)
}

// timeLeft returns how far the time of a worker lies ahead, at least 0.
func (r *restarts) timeLeft(of map[string]time.Time, id string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()

	return max(0, time.Until(of[id]))
}

// lateness returns how late a call is executed, usually 0.
func (r *restarts) lateness() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rand.Float64() >= r.lateShare {
		return 0
	}

	return between(rand.New(rand.NewPCG(rand.Uint64(), 0)), 2*time.Second, 12*time.Second)
}

// handler returns a handler that passes a call to a worker on when the worker receives it. The next
// incarnation receives a call that was sent while the worker was down, and may receive a late one. A late
// call also reaches a worker that has been cut off since it was sent.
func (r *restarts) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		id := platform.ExpectedIncarnation(req).ID
		if id == "" { // a call to the store
			next.ServeHTTP(w, req)

			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || r.timeLeft(r.cutUntil, id) > 0 {
			abort(req)
		}
		late := r.lateness()
		time.Sleep(late)
		down := r.timeLeft(r.backAt, id)
		time.Sleep(down)
		received := req
		if late+down > 0 {
			r.trace.Printf("event=received worker=%s after=%v late=%v call=%s body=%s", id, late+down, late > 0, req.URL.Path, body)
			received = req.WithContext(context.WithoutCancel(req.Context())) // the caller may have given up waiting
		}
		received.Body = io.NopCloser(bytes.NewReader(body))
		received, done := r.track(received)
		defer done()
		next.ServeHTTP(&answer{w, func() {
			if late > 0 || r.timeLeft(r.cutUntil, id) > 0 {
				abort(req)
			}
		}}, received)
	})
}

// abort ends a call without an answer when its caller gives up waiting.
func abort(req *http.Request) {
	<-req.Context().Done()
	panic(http.ErrAbortHandler)
}

func (a *answer) WriteHeader(status int) {
	a.before()
	a.ResponseWriter.WriteHeader(status)
}

// track returns a call that resetCalls resets until done is called.
func (r *restarts) track(req *http.Request) (tracked *http.Request, done func()) {
	ctx, reset := context.WithCancel(req.Context())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[req] = reset

	return req.WithContext(ctx), func() {
		reset()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.inFlight, req)
	}
}

// resetCalls resets the calls that a worker has received.
func (r *restarts) resetCalls(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for req, reset := range r.inFlight {
		if platform.ExpectedIncarnation(req).ID == id {
			reset()
		}
	}
}

// adapt reduces the needs of a job, so that many tasks fit on a worker, and estimates its long tasks. It takes
// its checkpoints away, because emulated workers start each run from the beginning.
func adapt(j *work.Job) {
	for i := range j.Steps {
		st := &j.Steps[i]
		st.Need, st.Checkpoints = work.Shape{CPU: 1000, Memory: 1000}, false
		if isLong(work.Task{Job: j.ID, Step: i}) {
			st.Estimate = (minLongRun + maxLongRun).Milliseconds() / 2
		}
	}
}

// isLong reports whether a task is a long one: one of the first step of a quarter of the jobs.
func isLong(t work.Task) bool {
	return t.Step == 0 && strings.ContainsAny(t.Job[len(t.Job)-1:], "048c")
}
