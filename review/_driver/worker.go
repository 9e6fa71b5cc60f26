package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxHoldMs   = 10000
	killGrace   = 200 * time.Millisecond
	workerTick  = 10 * time.Millisecond
	serviceName = "svc"
	endsAtOnce  = 500
	maxConns    = 64
	endless     = 24 * time.Hour // length of a task that lasts
)

type (
	// worker is a server that runs tasks, as PROTOCOL.md describes it.
	worker struct {
		d        *driver
		id       string
		machine  string
		address  string
		labels   []string
		cut      atomic.Bool   // calls neither arrive nor are answered
		lateTask string        // the first start of this task gets no answer and is carried out late
		lateBy   time.Duration // how long after its arrival
		heldAt   time.Time     // arrival of the newest call to hold that was let in
		open     atomic.Int64  // connections
		resets   atomic.Int64  // connections that were reset because they were beyond the cap

		mu       sync.Mutex
		server   *http.Server
		up       bool
		bornAt   time.Time
		token    int64
		deadline int64
		runs     map[string]*taskRun
		highest  map[string]int64
		ends     []taskEnd
		endCount int64
		changed  chan struct{}
	}

	taskRun struct {
		task   string
		run    int64
		from   time.Time
		length time.Duration
		killAt time.Time
	}

	taskEnd struct {
		number int64
		task   string
		run    int64
		how    string
	}
)

func newWorker(d *driver, i int, labels []string) *worker {
	w := &worker{d: d, id: fmt.Sprintf("i-%08d", i), machine: fmt.Sprintf("m-%03d", i), labels: labels, changed: make(chan struct{})}
	go w.tick()

	return w
}

// start starts an incarnation of the worker and publishes its entry.
func (w *worker) start() { w.startAndPublish(0) }

// startAndPublish starts an incarnation of the worker. Its entry is published after the given time.
func (w *worker) startAndPublish(after time.Duration) {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		w.d.fatal("listen for worker %s: %v", w.id, err)
	}
	w.mu.Lock()
	w.address = ln.Addr().String()
	w.up, w.bornAt = true, time.Now()
	w.token, w.deadline, w.endCount, w.ends = 0, 0, 0, nil
	w.runs, w.highest = map[string]*taskRun{}, map[string]int64{}
	w.server = &http.Server{Handler: w.handler()}
	go func(s *http.Server) { _ = s.Serve(&cappedListener{Listener: ln, worker: w}) }(w.server)
	if after == 0 {
		w.publish()
	} else {
		time.AfterFunc(after, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.publish()
			w.d.note("worker %s publishes its entry", w.id)
		})
	}
	w.mu.Unlock()
	w.d.note("worker %s (%s) starts", w.id, strings.Join(w.labels, ","))
}

type (
	// cappedListener resets the connections beyond those that a worker takes.
	cappedListener struct {
		net.Listener
		worker *worker
	}

	countedConn struct {
		net.Conn
		once   sync.Once
		worker *worker
	}
)

// Accept returns the next connection within the cap.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.worker.open.Add(1) <= maxConns {
			return &countedConn{Conn: c, worker: l.worker}, nil
		}
		l.worker.open.Add(-1)
		l.worker.resets.Add(1)
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close closes the connection and counts it once.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.worker.open.Add(-1) })

	return c.Conn.Close()
}

// publish writes the worker's entry. w.mu must be held.
func (w *worker) publish() {
	b, _ := json.Marshal(map[string]any{
		"service": serviceName, "address": w.address, "zone": "z1", "version": "v1", "capacity": 8, "state": "ready", "coldRemainingMs": 0,
		names["capacity"]: map[string]int{"cpu": 32000, names["memory"]: 65536, "gpu": 8}, "labels": w.labels, "clockMs": w.clock(), "sequence": 1,
		"born": w.bornAt.UnixMilli(),
	})
	w.d.store.put(names["servers"], w.id, b)
}

// crash ends the worker's process: its connections are reset and its runs are gone.
func (w *worker) crash(why string) {
	w.mu.Lock()
	w.up = false
	server := w.server
	for _, r := range w.runs {
		w.d.runEnded(w, r, "gone")
	}
	w.runs = map[string]*taskRun{}
	w.mu.Unlock()
	_ = server.Close()
	w.d.note("worker %s %s", w.id, why)
}

func (w *worker) clock() int64 { return time.Since(w.bornAt).Milliseconds() }

func (w *worker) tick() {
	for range time.Tick(workerTick) {
		w.mu.Lock()
		if w.up {
			w.advance()
		}
		w.mu.Unlock()
	}
}

func (w *worker) advance() {
	for _, r := range w.runs {
		switch {
		case w.clock() > w.deadline:
			w.end(r, "lapsed")
		case !r.killAt.IsZero() && time.Now().After(r.killAt):
			w.end(r, "stopped")
		case time.Since(r.from) >= r.length:
			w.end(r, "done")
		}
	}
}

func (w *worker) end(r *taskRun, how string) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.endCount++
	w.ends = append(w.ends, taskEnd{w.endCount, r.task, r.run, how})
	w.d.runEnded(w, r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	m.HandleFunc("POST /run-start", w.order(w.startRun))
	m.HandleFunc("POST /run-stop", w.order(w.stopRun))
	m.HandleFunc("POST /hold", w.order(w.hold))

	return m
}

// order decodes an order, checks the incarnation and the fencing token, and calls f with w.mu held.
func (w *worker) order(f func(rw http.ResponseWriter, r *http.Request, o orderBody)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w.d.orders.Add(1)
		if w.cut.Load() {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()

			return
		}
		o, err := decodeOrder(r.Body)
		if err != nil {
			reply(rw, http.StatusBadRequest, map[string]any{})

			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case r.Header.Get(names["instance"]) != w.id:
			reply(rw, http.StatusMisdirectedRequest, map[string]any{})

			return
		case o.FencingToken < w.token:
			reply(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": "fence"})

			return
		}
		if w.lateTask != "" && o.Task == w.lateTask && r.URL.Path == "/run-start" {
			w.keepLate(o)
			w.mu.Unlock()
			<-r.Context().Done()
			w.mu.Lock()

			return
		}
		w.token = o.FencingToken
		w.advance()
		f(rw, r, o)
	}
}

// keepLate takes a start that is to be carried out late. w.mu must be held.
func (w *worker) keepLate(o orderBody) {
	w.lateTask = ""
	w.d.note("worker %s: the start of task %s run %d gets no answer", w.id, o.Task, o.RunID)
	time.AfterFunc(w.lateBy, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.advance()
		answer := httptest.NewRecorder()
		if o.FencingToken >= w.token {
			w.token = o.FencingToken
			w.startRun(answer, nil, o)
		}
		w.d.note("worker %s carries out the late start of task %s run %d: %d %s; its lease ends in %d ms", w.id, o.Task, o.RunID,
			answer.Code, strings.TrimSpace(answer.Body.String()), w.deadline-w.clock())
	})
}

func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+maxHoldMs))
}

func (w *worker) startRun(rw http.ResponseWriter, _ *http.Request, o orderBody) {
	if o.DeadlineMs <= w.clock() {
		reply(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": "late"})

		return
	}
	w.extend(o.DeadlineMs)
	old := w.runs[o.Task]
	switch {
	case old != nil && old.run == o.RunID:
	case old != nil || o.RunID <= w.highest[o.Task]:
		reply(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": "old"})

		return
	default:
		length, _ := strconv.Atoi(o.Spec)
		w.runs[o.Task] = &taskRun{task: o.Task, run: o.RunID, from: time.Now(), length: time.Duration(length) * time.Millisecond}
		w.d.runStarted(w, o)
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

func (w *worker) stopRun(rw http.ResponseWriter, _ *http.Request, o orderBody) {
	w.highest[o.Task] = max(w.highest[o.Task], o.RunID)
	if r := w.runs[o.Task]; r != nil && r.run <= o.RunID && r.killAt.IsZero() {
		r.killAt = time.Now().Add(killGrace)
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o orderBody) {
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	for len(w.ends) > 0 && w.ends[0].number <= o.AckCursor {
		w.d.endAcked(w, w.ends[0])
		w.ends = w.ends[1:]
	}
	if o.WaitMs > 0 {
		w.heldAt = time.Now()
	}
	born, until := w.bornAt, time.Now().Add(time.Duration(min(o.WaitMs, 2000))*time.Millisecond)
	for len(w.ends) == 0 && time.Now().Before(until) {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
		}
		w.mu.Lock()
		if !w.up || w.bornAt != born || r.Context().Err() != nil {
			return
		}
	}
	if w.cut.Load() {
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()

		return
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range w.runs {
		percent := min(100, int(100*time.Since(x.from)/max(1, x.length)))
		if x.length >= endless {
			percent = 100
		}
		running = append(running, []any{x.task, x.run, "", percent, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), endsAtOnce)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.bornAt.UnixMilli(), "running": running, names["ended"]: ended})
}
