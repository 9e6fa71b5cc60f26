package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the settings of a small deployment name them.
const (
	recordBytes  = 262144
	requestBytes = 2097152
	pageItems    = 500
	pageBytes    = 1 << 20
	dedupAppends = 5
	callDelay    = 2 * time.Millisecond
)

type (
	// metaStore is the platform's metadata store: a log with keyed topics.
	metaStore struct {
		mu         sync.Mutex
		topics     map[string]*logTopic
		leader     int       // index of the VM that last wrote under a condition
		rejects    int       // appends refused because of a record's size
		rejectedAt time.Time // of the first of them

		slow time.Duration // by which all answers are late
	}

	logTopic struct {
		records   []keyedRecord // offset = index
		newest    map[string]int
		producers map[string]*producerState
		changed   chan struct{}
	}

	keyedRecord struct {
		raw   []byte
		key   string
		value []byte
	}

	producerState struct {
		epoch, next int64
		recent      []map[string]any
	}
)

func newStore() *metaStore { return &metaStore{topics: map[string]*logTopic{}, leader: -1} }

func (s *metaStore) topic(name string) *logTopic {
	t := s.topics[name]
	if t == nil {
		t = &logTopic{newest: map[string]int{}, producers: map[string]*producerState{}, changed: make(chan struct{})}
		s.topics[name] = t
	}

	return t
}

// handler serves the store to one VM.
func (s *metaStore) handler(vm int) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+names["append"], func(w http.ResponseWriter, r *http.Request) { s.append(w, r, vm) })
	m.HandleFunc("GET /log-read", s.read)
	m.HandleFunc("GET "+names["newest"], s.list)

	return m
}

// delay holds an answer back while the store is slow.
func (s *metaStore) delay() {
	s.mu.Lock()
	d := s.slow
	s.mu.Unlock()
	time.Sleep(d)
}

func parseRecords(b []byte) ([]keyedRecord, string) {
	if len(b) > requestBytes {
		return nil, "request too large"
	}
	var out []keyedRecord
	for len(b) > 0 {
		if len(b) < 4 {
			return nil, "bad record"
		}
		n := int(binary.BigEndian.Uint32(b))
		if n > recordBytes {
			return nil, "record too large"
		}
		if n < 1 || n > len(b)-4 {
			return nil, "bad record"
		}
		raw := b[4 : 4+n]
		k := int(raw[0])
		if k > n-1 {
			return nil, "bad record"
		}
		out = append(out, keyedRecord{raw: raw, key: string(raw[1 : 1+k]), value: raw[1+k:]})
		b = b[4+n:]
	}

	return out, ""
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func number(r *http.Request, name string, otherwise int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return otherwise
	}

	return n
}

func (s *metaStore) append(w http.ResponseWriter, r *http.Request, vm int) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(callDelay)
	name := r.URL.Query().Get("topic")
	if name == names["operator"] || name == names["servers"] {
		reply(w, http.StatusForbidden, map[string]any{})

		return
	}
	records, fault := parseRecords(body)
	s.mu.Lock()
	if fault != "" {
		s.rejects++
		if s.rejects == 1 {
			s.rejectedAt = time.Now()
		}
		s.mu.Unlock()
		reply(w, http.StatusBadRequest, map[string]any{"reason": fault})

		return
	}
	at := number(r, "at", -1)
	status, out := s.apply(name, records, at, r.URL.Query().Get("producer"), number(r, "epoch", 0), number(r, "sequence", 0))
	if at >= 0 && status == http.StatusOK {
		s.leader = vm
	}
	s.mu.Unlock()
	s.delay()
	reply(w, status, out)
}

// apply executes an append. s.mu must be held.
func (s *metaStore) apply(name string, records []keyedRecord, at int64, producer string, epoch, sequence int64) (int, map[string]any) {
	t := s.topic(name)
	end := int64(len(t.records))
	if at >= 0 && at != end {
		return http.StatusPreconditionFailed, map[string]any{"endOffset": end}
	}
	var p *producerState
	if producer != "" {
		p = t.producers[producer]
		if p == nil || epoch > p.epoch {
			p = &producerState{epoch: epoch, next: sequence}
			t.producers[producer] = p
		}
		switch {
		case epoch < p.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case len(records) == 0 || sequence == p.next:
		case sequence < p.next && p.next-sequence <= int64(len(p.recent)):
			return http.StatusOK, p.recent[int64(len(p.recent))-(p.next-sequence)]
		default:
			return http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.next}
		}
	}
	for _, rec := range records {
		t.records = append(t.records, rec)
		if len(rec.value) == 0 {
			delete(t.newest, rec.key)
		} else {
			t.newest[rec.key] = len(t.records) - 1
		}
	}
	out := map[string]any{"offset": end, "endOffset": int64(len(t.records))}
	if p != nil && len(records) > 0 {
		p.next++
		p.recent = append(p.recent, out)
		p.recent = p.recent[max(0, len(p.recent)-dedupAppends):]
	}
	close(t.changed)
	t.changed = make(chan struct{})

	return http.StatusOK, out
}

// put writes a record as the operator or a worker does.
func (s *metaStore) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	raw = append(raw, value...)
	s.apply(topic, []keyedRecord{{raw: raw, key: key, value: value}}, -1, "", 0, 0)
}

// get returns the newest value of a key.
func (s *metaStore) get(topic, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	if i, ok := t.newest[key]; ok {
		return string(t.records[i].value)
	}

	return ""
}

// planner returns the index of the VM that last wrote to the store under a condition.
func (s *metaStore) planner() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.leader
}

func (s *metaStore) read(w http.ResponseWriter, r *http.Request) {
	time.Sleep(callDelay)
	from, limit := number(r, "from", 0), number(r, "maxReadKb", 1024)<<10
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(number(r, "waitMs", 0))*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		head := len(out)
		for i := from; i < int64(len(t.records)); i++ {
			if len(out) > head && int64(len(out)+len(t.records[i].raw)) > limit {
				break
			}
			out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i].raw)))
			out = append(out, t.records[i].raw...)
		}
		changed := t.changed
		s.mu.Unlock()
		if len(out) > head || ctx.Err() != nil {
			s.delay()
			_, _ = w.Write(out)

			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *metaStore) list(w http.ResponseWriter, r *http.Request) {
	time.Sleep(callDelay)
	after := r.URL.Query().Get("dependsOn")
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	var keys []string
	for k := range t.newest {
		if strings.Compare(k, after) > 0 {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for i, k := range keys {
		if i == pageItems || size > pageBytes {
			more = true

			break
		}
		rec := t.records[t.newest[k]]
		size += len(rec.raw)
		items = append(items, map[string]any{"key": k, "value": rec.value, "offset": t.newest[k]})
	}
	end := len(t.records)
	s.mu.Unlock()
	s.delay()
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "endOffset": end})
}
