package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	tick       = 10 * time.Millisecond
	maxHold    = 10 * time.Second
	killGrace  = 300 * time.Millisecond // from a stop to the run's end; at most killGraceMs, 400
	maxWait    = 2 * time.Second        // longest wait of an answer to /hold
	endsListed = 500
	heartbeat  = 1500 * time.Millisecond
	startup    = 500 * time.Millisecond // until a task that lasts is at work
	full       = 100                    // percent

	endless time.Duration = 1 << 60
)

type (
	// plan tells how long a run takes and how it ends.
	plan struct {
		length time.Duration
		how    string
	}

	// fleet is the minions of the day.
	fleet struct {
		store   *storeServer
		record  *record
		service string
		// outcome returns the plan of a run.
		outcome func(task string, run int64, minion string) plan

		mu      sync.Mutex
		minions []*minion
	}

	// minion is one worker, which may have several lives under the same id.
	minion struct {
		fleet        *fleet
		id           string
		address      string
		rack         string
		gpu          int
		cpu, mem     int
		guards       bool
		refusesUntil time.Time // answers 503 to starts until then

		mu       sync.Mutex
		kind     string
		up       bool
		mute     bool // breaks each connection
		server   *http.Server
		began    time.Time     // start of this life
		skew     time.Duration // of the time of day
		born     int64         // start of this life by the time of day, in Unix milliseconds
		token    int64
		deadline int64
		runs     map[string]*run
		highest  map[string]int64
		ends     []end
		endCount int64
		sequence int64

		firstBeat time.Duration // from the start of a life to its first heartbeat
		beatAt    time.Time     // when the next heartbeat is due
		listed    bool          // has an entry in the store
	}

	run struct {
		task    string
		number  int64
		began   time.Time
		plan    plan
		stopped time.Time // zero without a stop
	}

	end struct {
		number int64
		task   string
		run    int64
		how    string
	}

	orderBody struct {
		Task         string
		RunID        int64
		Spec         string
		DeadlineMs   int64
		FencingToken int64
		AckCursor    int64
		WaitMs       int64
	}
)

// add starts a minion at an address.
func (f *fleet) add(m *minion) error {
	m.fleet = f
	f.mu.Lock()
	f.minions = append(f.minions, m)
	f.mu.Unlock()
	if err := m.start(); err != nil {
		return err
	}
	go func() {
		for {
			time.Sleep(tick)
			m.mu.Lock()
			m.advance()
			m.beat()
			m.mu.Unlock()
		}
	}()

	return nil
}

// start begins a life of the minion, in which it knows nothing of the one before.
func (m *minion) start() error {
	ln, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.up, m.began, m.token, m.deadline, m.endCount, m.sequence = true, time.Now(), 0, 0, 0, 0
	m.born = m.began.Add(m.skew).UnixMilli()
	m.runs, m.highest, m.ends = map[string]*run{}, map[string]int64{}, nil
	life := m.began
	m.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.serve(w, r, life) })}
	go func(s *http.Server) { _ = s.Serve(ln) }(m.server)
	m.beatAt = m.began.Add(m.firstBeat)
	m.beat()
	m.fleet.record.add("minion %s starts, born %d, kind %s", m.id, m.born, m.kind)

	return nil
}

// crash ends the minion's life without a word.
func (m *minion) crash() {
	m.mu.Lock()
	server, runs := m.server, len(m.runs)
	m.up, m.runs = false, map[string]*run{}
	m.mu.Unlock()
	m.fleet.record.add("minion %s crashes with %d runs", m.id, runs)
	_ = server.Close()
}

// beat writes the minion's entry in the store when that is due, and removes the entry of a minion that
// has been silent for three heartbeats. m.mu is held.
func (m *minion) beat() {
	now := time.Now()
	switch {
	case m.up && !now.Before(m.beatAt):
		m.beatAt = m.beatAt.Add(heartbeat)
		m.publish()
	case !m.up && m.listed && now.After(m.beatAt.Add(2*heartbeat)):
		m.listed = false
		m.fleet.store.put(names["servers"], m.id, nil)
		m.fleet.record.add("the entry of minion %s is removed", m.id)
	}
}

// publish writes the minion's entry in the store. m.mu is held.
func (m *minion) publish() {
	m.sequence++
	m.listed = true
	b, _ := json.Marshal(map[string]any{
		"service": m.fleet.service, "address": m.address, "zone": "z1", "version": "v1", "capacity": 8, "state": "ready", "coldRemainingMs": 0,
		names["capacity"]: map[string]int{"cpu": m.cpu, names["memory"]: m.mem, "gpu": m.gpu}, "labels": []string{m.kind, m.rack}, "clockMs": m.clock(),
		"born": m.born, "sequence": m.sequence,
	})
	m.fleet.store.put(names["servers"], m.id, b)
}

func (m *minion) clock() int64 { return time.Since(m.began).Milliseconds() }

// setMute makes the minion break its connections, or serve again. Its runs go on.
func (m *minion) setMute(mute bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mute = mute
	m.fleet.record.add("minion %s resets its connections: %t", m.id, mute)
}

// setSkew makes the minion's time of day jump. Its steady clock goes on.
func (m *minion) setSkew(skew time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.skew = skew
	m.fleet.record.add("the time of day of minion %s differs by %v", m.id, skew)
}

func (m *minion) isMute() bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.mute
}

// advance ends the runs whose time has come. m.mu is held.
func (m *minion) advance() {
	if !m.up {
		return
	}
	for _, r := range m.runs {
		switch {
		case m.clock() > m.deadline:
			m.finish(r, "lapsed")
		case !r.stopped.IsZero() && time.Since(r.stopped) >= killGrace:
			m.finish(r, "stopped")
		case time.Since(r.began) >= r.plan.length:
			m.finish(r, r.plan.how)
		}
	}
}

func (m *minion) finish(r *run, how string) {
	delete(m.runs, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.endCount++
	m.ends = append(m.ends, end{m.endCount, r.task, r.number, how})
	m.fleet.record.ended(m.id, r.task, r.number, how)
}

func (r *run) percent() int {
	length := r.plan.length
	if length >= endless {
		length = startup
	}

	return min(full, int(full*time.Since(r.began)/length))
}

func (m *minion) serve(w http.ResponseWriter, r *http.Request, life time.Time) {
	if m.isMute() {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get(names["instance"]); id != "" && id != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}
	var b orderBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up || m.began != life {
		panic(http.ErrAbortHandler)
	}
	m.advance()
	if b.FencingToken < m.token {
		m.refuse(w, "fence")

		return
	}
	m.token = b.FencingToken
	switch r.URL.Path {
	case "/run-start":
		m.order(w, b)
	case "/run-stop":
		m.highest[b.Task] = max(m.highest[b.Task], b.RunID)
		if x := m.runs[b.Task]; x != nil && x.number <= b.RunID && x.stopped.IsZero() {
			x.stopped = time.Now()
		}
		answer(w, http.StatusOK, map[string]any{"clockMs": m.clock(), "born": m.born})
	case "/pace":
		answer(w, http.StatusOK, map[string]any{"clockMs": m.clock(), "born": m.born})
	case "/hold":
		m.hold(w, r, b)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (m *minion) refuse(w http.ResponseWriter, reason string) {
	answer(w, http.StatusConflict, map[string]any{"clockMs": m.clock(), "reason": reason})
}

// extend extends the lease to a deadline on the minion's clock.
func (m *minion) extend(deadline int64) {
	m.deadline = max(m.deadline, min(deadline, m.clock()+maxHold.Milliseconds()))
}

// order carries out a start.
func (m *minion) order(w http.ResponseWriter, b orderBody) {
	running := m.runs[b.Task]
	switch {
	case time.Now().Before(m.refusesUntil):
		m.fleet.record.add("minion %s answers 503 to the start of %s run %d", m.id, b.Task, b.RunID)
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	case b.DeadlineMs <= m.clock():
		m.refuse(w, "late")

		return
	case running != nil && running.number == b.RunID:
		answer(w, http.StatusOK, map[string]any{"clockMs": m.clock(), "born": m.born})

		return
	}
	m.extend(b.DeadlineMs)
	if running != nil || b.RunID <= m.highest[b.Task] {
		m.refuse(w, "old")

		return
	}
	m.runs[b.Task] = &run{task: b.Task, number: b.RunID, began: time.Now(), plan: m.fleet.outcome(b.Task, b.RunID, m.id)}
	m.fleet.record.started(m.id, m.kind, b.Task, b.RunID, b.FencingToken)
	answer(w, http.StatusOK, map[string]any{"clockMs": m.clock(), "born": m.born})
}

// hold renews the lease and answers with the report, once there is an end or the wait has passed.
func (m *minion) hold(w http.ResponseWriter, r *http.Request, b orderBody) {
	if b.DeadlineMs > 0 {
		m.extend(b.DeadlineMs)
	}
	kept := m.ends[:0:0]
	for _, e := range m.ends {
		if e.number > b.AckCursor {
			kept = append(kept, e)
		} else {
			m.fleet.record.noted(m.id, e)
		}
	}
	m.ends = kept
	until, life := time.Now().Add(min(maxWait, time.Duration(b.WaitMs)*time.Millisecond)), m.began
	for len(m.ends) == 0 && time.Now().Before(until) {
		m.mu.Unlock()
		time.Sleep(tick)
		m.mu.Lock()
		if !m.up || m.began != life || m.mute || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range m.runs {
		running = append(running, []any{x.task, x.number, "", x.percent(), m.cpu / full})
	}
	for _, e := range m.ends[:min(len(m.ends), endsListed)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer(w, http.StatusOK, map[string]any{"clockMs": m.clock(), "born": m.born, "running": running, names["ended"]: ended})
}

// jobOf returns the ID of the job that a task's name begins with.
func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }

// stepOf returns the step in a task's name.
func stepOf(task string) int {
	n, _ := strconv.Atoi(strings.Split(task, ".")[2])

	return n
}
