// Package log emulates the platform's log service in memory, for the demo and the
// tests.
package log

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

const maxWait = 30 * time.Second

type (
	// Faults are the injected faults of the service. The zero value injects none.
	Faults struct {
		Down      bool          `json:"down"`
		Slow      time.Duration `json:"slow"` // delay of each append and read
		LoseReply int           `json:"lose"` // number of the next appends that take effect but get no reply
	}

	// Service holds the streams.
	Service struct {
		Retain int // number of records retained per stream; 0 retains all

		mu      sync.Mutex
		faults  Faults
		streams map[string]*stream
		appends int
	}

	stream struct {
		start   int64 // offset of the first retained record
		records [][]byte
		changed chan struct{} // closed and replaced at each append
	}

	batch struct {
		First   int64    `json:"first"`
		Records [][]byte `json:"records"`
		Start   int64    `json:"start"`
		End     int64    `json:"end"`
	}
)

// New returns an empty service.
func New() *Service {
	return &Service{streams: make(map[string]*stream)}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.faults = f
}

// Appends returns the number of appends that have taken effect.
func (s *Service) Appends() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.appends
}

// Records returns a copy of the retained records of a stream.
func (s *Service) Records(name string) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()

	return append([][]byte(nil), s.stream(name).records...)
}

// Handler serves the streams and POST /faults.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/streams/{name}", s.handleAppend)
	r.Get("/streams/{name}", s.handleRead)
	r.Post("/faults", s.handleFaults)

	return r
}

func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	s.SetFaults(f)
}

// applyFaults delays or refuses a request according to the injected faults. It reports
// whether the request is to be served.
func (s *Service) applyFaults(w http.ResponseWriter) bool {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()

	time.Sleep(f.Slow)
	if f.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
	}

	return !f.Down
}

func (s *Service) handleAppend(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Records [][]byte `json:"records"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	if !s.applyFaults(w) {
		return
	}
	first, lost := s.add(chi.URLParam(r, "name"), req.Records)
	if lost {
		panic(http.ErrAbortHandler) // closes the connection without a reply
	}
	reply(w, map[string]int64{"first": first})
}

func (s *Service) add(name string, records [][]byte) (first int64, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	st := s.stream(name)
	first = st.end()
	st.records = append(st.records, records...)
	if over := len(st.records) - s.Retain; s.Retain > 0 && over > 0 {
		st.records = append([][]byte(nil), st.records[over:]...)
		st.start += int64(over)
	}
	close(st.changed)
	st.changed = make(chan struct{})
	s.appends++
	if s.faults.LoseReply > 0 {
		s.faults.LoseReply--
		lost = true
	}

	return first, lost
}

func (s *Service) handleRead(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w) {
		return
	}
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(q.Get("max"))
	wait, _ := time.ParseDuration(q.Get("wait"))
	name := chi.URLParam(r, "name")

	deadline := time.NewTimer(min(wait, maxWait))
	defer deadline.Stop()
	for {
		b, changed := s.read(name, from, limit)
		if len(b.Records) > 0 || wait <= 0 {
			reply(w, b)

			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Service) read(name string, from int64, limit int) (batch, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()

	st := s.stream(name)
	from = max(from, st.start)
	b := batch{First: from, Start: st.start, End: st.end()}
	if from < st.end() && !s.faults.Down {
		all := st.records[from-st.start:]
		b.Records = all[:min(len(all), limit)]
	}

	return b, st.changed
}

func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}

	return st
}

func (st *stream) end() int64 {
	return st.start + int64(len(st.records))
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
