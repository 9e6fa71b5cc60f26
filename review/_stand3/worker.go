package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/platform"
)

const (
	startup      = 500 * time.Millisecond  // until a task that lasts is at work
	killGrace    = 300 * time.Millisecond  // less than killGraceMs
	entryRefresh = 1500 * time.Millisecond // heartbeatMs
	firstEntry   = time.Second             // from the start of a life until its first entry; less than heartbeatMs
)

type (
	// worker is a stand-in of a worker with tasks that last. It follows PROTOCOL.md, "Running tasks".
	worker struct {
		d       *deployment
		id      string
		address string
		server  *http.Server

		mu       sync.Mutex
		born     time.Time
		down     bool
		token    int64
		deadline int64
		runs     map[string]*lastingRun
		highest  map[string]int64
		ends     [][]any
		number   int64
		changed  chan struct{}
	}

	lastingRun struct {
		task    string
		run     int64
		from    time.Time
		killAt  time.Time // zero without a stop
		percent int       // pace
	}

	// lastingRecord is the record of one run for the checks.
	lastingRecord struct {
		Task   string
		Run    int64
		Worker string
		From   time.Time
		To     time.Time
		How    string
		AtWork bool // when it was told to stop
	}
)

// eight is the number of accelerators of a usual worker.
func eight(int) int { return 8 }

// lasting holds the workers with tasks that last, and what they have run.
type lasting struct {
	d       *deployment
	workers []*worker
	mu      sync.Mutex
	orders  int // all orders that workers have received
	records []*lastingRecord
	usage   func(task string) int // fifth entry of a row of running tasks
	// ends tells after what time a run ends and how; 0 for never.
	ends func(task string, run int64) (time.Duration, string)
	// late tells how much later than it was sent a start is carried out, without an answer; 0 for at once.
	late func(task string, run int64) time.Duration
}

func newLasting(d *deployment, n int, accelerators func(i int) int, usage func(task string) int) (*lasting, error) {
	l := &lasting{d: d, usage: usage}
	for i := range n {
		w := &worker{d: d, id: fmt.Sprintf("m%d", i), born: time.Now(), runs: map[string]*lastingRun{}, highest: map[string]int64{}, changed: make(chan struct{})}
		ln, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		w.address = ln.Addr().String()
		l.serve(w, ln)
		go l.advance(w)
		l.workers = append(l.workers, w)
		go l.publish(w, i, accelerators(i))
	}

	return l, nil
}

// serve starts the server of a life of the worker.
func (l *lasting) serve(w *worker, ln net.Listener) {
	m := http.NewServeMux()
	m.HandleFunc("POST /run-start", l.handler(w, l.start))
	m.HandleFunc("POST /run-stop", l.handler(w, l.stop))
	m.HandleFunc("POST /pace", l.handler(w, l.pace))
	m.HandleFunc("POST /hold", l.handler(w, l.hold))
	s := &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	w.server = s
	go func() { _ = s.Serve(ln) }()
}

// crash ends the worker with all that it runs, and starts it again under its id after a time. It holds and knows
// nothing of before then. Its first entry in the list follows firstEntry later.
func (l *lasting) crash(w *worker, down time.Duration) error {
	l.d.notef("%s: crashes for %v", w.id, down)
	w.mu.Lock()
	w.down = true
	for _, r := range w.runs {
		l.finish(r, "crashed")
	}
	w.token, w.deadline, w.number = 0, 0, 0
	w.runs, w.highest, w.ends = map[string]*lastingRun{}, map[string]int64{}, nil
	w.mu.Unlock()
	_ = w.server.Close()
	time.Sleep(down)
	ln, err := (&net.ListenConfig{}).Listen(l.d.ctx, "tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.born, w.down = time.Now(), false
	w.mu.Unlock()
	l.serve(w, ln)
	l.d.notef("%s: is back", w.id)

	return nil
}

// publish writes the worker's entry in the list every entryRefresh.
func (l *lasting) publish(w *worker, i, accelerators int) {
	var life time.Time
	for seq := int64(1); l.d.ctx.Err() == nil; seq++ {
		w.mu.Lock()
		born, down := w.born, w.down
		w.mu.Unlock()
		if down {
			time.Sleep(10 * time.Millisecond)

			continue
		}
		if !life.IsZero() && life != born {
			time.Sleep(firstEntry - time.Since(born))
			seq = 1
		}
		life = born
		l.d.platform.Store.Put(platform.ServersTopic, w.id, platform.ServerRecord(target.Worker{
			ID: w.id, Host: w.address, Service: "s", Domain: "z1", Labels: []string{"a", fmt.Sprintf("r%d", i/6)}, Rack: fmt.Sprintf("r%d", i/6),
			Capacity: work.Shape{CPU: 32000, Memory: 65536, Accelerators: accelerators}, Incarnation: born.UnixMilli(), Clock: time.Since(born).Milliseconds(), Sequence: seq,
		}))
		for until := time.Now().Add(entryRefresh); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
			w.mu.Lock()
			changed := w.down || w.born != life
			w.mu.Unlock()
			if changed {
				break
			}
		}
	}
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// order is the body of any call. Its names need no tags: package json ignores their case.
type order struct {
	Task         string
	RunID        int64
	DeadlineMs   int64
	FencingToken int64
	AckCursor    int64
	WaitMs       int64
	Percent      int
}

// handler decodes an order, refuses those of another incarnation or with a lower token, and replies.
func (l *lasting) handler(w *worker, f func(w *worker, o order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)

			return
		}
		if r.Header.Get(names["instance"]) != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)

			return
		}
		l.mu.Lock()
		l.orders++
		l.mu.Unlock()
		if r.URL.Path == "/run-start" && l.late != nil {
			if after := l.late(o.Task, o.RunID); after > 0 {
				l.d.notef("%s: start of %s run %d gets no answer", w.id, o.Task, o.RunID)
				go func() {
					time.Sleep(after)
					status, _ := l.execute(w, o, f)
					l.d.notef("%s: start of %s run %d is carried out %v late: %d", w.id, o.Task, o.RunID, after, status)
				}()
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
		}
		status, body := l.execute(w, o, f)
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(body)
	}
}

// execute carries an order out unless its token is too low.
func (l *lasting) execute(w *worker, o order, f func(w *worker, o order) (int, map[string]any)) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	status, body := http.StatusConflict, map[string]any{"reason": "fence"}
	if o.FencingToken >= w.token {
		w.token = o.FencingToken
		status, body = f(w, o)
	}
	body["clockMs"] = w.clock()

	return status, body
}

func (l *lasting) start(w *worker, o order) (int, map[string]any) {
	w.deadline = max(w.deadline, min(o.DeadlineMs, w.clock()+10000))
	r := w.runs[o.Task]
	switch {
	case o.DeadlineMs <= w.clock():
		return http.StatusConflict, map[string]any{"reason": "late"}
	case r != nil && r.run == o.RunID:
		return http.StatusOK, map[string]any{}
	case r != nil || o.RunID <= w.highest[o.Task]:
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	w.runs[o.Task] = &lastingRun{task: o.Task, run: o.RunID, from: time.Now(), percent: 100}
	l.note(&lastingRecord{Task: o.Task, Run: o.RunID, Worker: w.id, From: time.Now()})
	l.d.notef("%s: starts %s run %d", w.id, o.Task, o.RunID)

	return http.StatusOK, map[string]any{}
}

func (l *lasting) stop(w *worker, o order) (int, map[string]any) {
	w.highest[o.Task] = max(w.highest[o.Task], o.RunID)
	if r := w.runs[o.Task]; r != nil && r.run <= o.RunID && r.killAt.IsZero() {
		r.killAt = time.Now().Add(killGrace)
		l.mu.Lock()
		for _, c := range l.records {
			if c.Task == r.task && c.Run == r.run {
				c.AtWork = time.Since(r.from) >= startup
			}
		}
		l.mu.Unlock()
		l.d.notef("%s: is told to stop %s run %d, pace %d", w.id, o.Task, o.RunID, r.percent)
	}

	return http.StatusOK, map[string]any{}
}

func (l *lasting) pace(w *worker, o order) (int, map[string]any) {
	if r := w.runs[o.Task]; r != nil && r.run == o.RunID {
		r.percent = o.Percent
		l.d.notef("%s: %s run %d is paced to %d", w.id, o.Task, o.RunID, o.Percent)
	}

	return http.StatusOK, map[string]any{}
}

func (l *lasting) hold(w *worker, o order) (int, map[string]any) {
	if o.DeadlineMs > 0 {
		w.deadline = max(w.deadline, min(o.DeadlineMs, w.clock()+10000))
	}
	w.ends = slices.DeleteFunc(w.ends, func(e []any) bool { return e[0].(int64) <= o.AckCursor })
	until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	for len(w.ends) == 0 && time.Now().Before(until) {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		}
		w.mu.Lock()
		if o.FencingToken < w.token {
			return http.StatusConflict, map[string]any{"reason": "fence"}
		}
	}
	running := [][]any{}
	for _, r := range w.runs {
		percent := min(100, int(100*time.Since(r.from)/startup))
		running = append(running, []any{r.task, r.run, "", percent, l.usage(r.task)})
	}

	return http.StatusOK, map[string]any{"born": w.born.UnixMilli(), "running": running, names["ended"]: append([][]any{}, w.ends...)}
}

// advance ends runs that have been stopped, that end by themselves, or whose lease has lapsed.
func (l *lasting) advance(w *worker) {
	for l.d.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		for name, r := range w.runs {
			how := ""
			switch {
			case !r.killAt.IsZero() && time.Now().After(r.killAt):
				how = "stopped"
			case w.clock() > w.deadline:
				how = "lapsed"
			case l.ends != nil:
				after, end := l.ends(r.task, r.run)
				if after == 0 || time.Since(r.from) < after {
					continue
				}
				how = end
			default:
				continue
			}
			w.number++
			w.ends = append(w.ends, []any{w.number, r.task, r.run, how, ""})
			w.highest[name] = max(w.highest[name], r.run)
			delete(w.runs, name)
			l.finish(r, how)
			l.d.notef("%s: %s run %d ends %s", w.id, r.task, r.run, how)
			close(w.changed)
			w.changed = make(chan struct{})
		}
		w.mu.Unlock()
	}
}

func (l *lasting) note(c *lastingRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, c)
}

func (l *lasting) finish(r *lastingRun, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.records {
		if c.Task == r.task && c.Run == r.run {
			c.To, c.How = time.Now(), how
		}
	}
}

// of returns copies of the records of a job's runs.
func (l *lasting) of(job string) []lastingRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []lastingRecord
	for _, c := range l.records {
		if strings.HasPrefix(c.Task, job+".") {
			all = append(all, *c)
		}
	}

	return all
}
