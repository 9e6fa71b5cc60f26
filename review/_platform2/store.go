package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	appendTime   = 2 * time.Millisecond // time that one append takes
	pageRecords  = 500                  // records on a page of the newest ones
	pageBytes    = 1 << 20
	lengthBytes  = 4
	recordsLimit = 262144
)

type (
	// storeServer is the platform's store: a log with conditional and fenced appends.
	storeServer struct {
		mu     sync.Mutex
		topics map[string]*topicLog
	}

	topicLog struct {
		records   []entry
		newest    map[string]entry
		producers map[string]*producer
		changed   chan struct{} // closed by the next append
	}

	entry struct {
		key    string
		raw    []byte // the whole record without its length
		value  []byte
		offset int
	}

	producer struct {
		epoch, next int64
		open        bool             // the epoch has begun without a record
		done        map[int64][2]int // first and end offset by sequence number
	}
)

func newStore() *storeServer { return &storeServer{topics: map[string]*topicLog{}} }

func (s *storeServer) topic(name string) *topicLog {
	t := s.topics[name]
	if t == nil {
		t = &topicLog{newest: map[string]entry{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}

	return t
}

// put writes a record as the operator and the workers do.
func (s *storeServer) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	s.topic(topic).add(append(raw, value...))
}

func (t *topicLog) add(raw []byte) {
	e := entry{raw: raw, offset: len(t.records)}
	if n := int(raw[0]); len(raw) > n {
		e.key, e.value = string(raw[1:1+n]), raw[1+n:]
	}
	t.records = append(t.records, e)
	if len(e.value) == 0 {
		delete(t.newest, e.key)
	} else {
		t.newest[e.key] = e
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func (s *storeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case names["append"]:
		s.append(w, r)
	case "/log-read":
		s.read(w, r)
	case names["newest"]:
		s.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func queryNumber(r *http.Request, name string, fallback int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return fallback
	}

	return n
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func split(body []byte) (records [][]byte, ok bool) {
	for len(body) > 0 {
		if len(body) < lengthBytes {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n == 0 || n > recordsLimit || n > len(body)-lengthBytes {
			return nil, false
		}
		records = append(records, body[lengthBytes:lengthBytes+n])
		body = body[lengthBytes+n:]
	}

	return records, true
}

func (s *storeServer) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	records, ok := split(body)
	name := r.URL.Query().Get("topic")
	if err != nil || !ok {
		w.WriteHeader(http.StatusBadRequest)

		return
	}
	if name == names["operator"] || name == names["servers"] {
		w.WriteHeader(http.StatusForbidden)

		return
	}
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if at := queryNumber(r, "at", -1); at >= 0 && int(at) != len(t.records) {
		answer(w, http.StatusPreconditionFailed, map[string]any{"endOffset": len(t.records)})

		return
	}
	if id := r.URL.Query().Get("producer"); id != "" && !t.admit(w, r, id, len(records)) {
		return
	}
	first := len(t.records)
	for _, raw := range records {
		t.add(raw)
	}
	answer(w, http.StatusOK, map[string]any{"offset": first, "endOffset": len(t.records)})
}

// admit checks the epoch and the sequence number of an append, and answers it if it is not to be
// executed.
func (t *topicLog) admit(w http.ResponseWriter, r *http.Request, id string, records int) bool {
	epoch, sequence := queryNumber(r, "epoch", 0), queryNumber(r, "sequence", 0)
	p := t.producers[id]
	if p == nil || epoch > p.epoch {
		p = &producer{epoch: epoch, open: true, done: map[int64][2]int{}}
		t.producers[id] = p
	}
	switch {
	case epoch < p.epoch:
		answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})

		return false
	case records == 0:
		return true
	case p.open || sequence == p.next:
		p.open, p.next = false, sequence+1
		p.done[sequence] = [2]int{len(t.records), len(t.records) + records}
		delete(p.done, sequence-5)

		return true
	}
	if d, repeated := p.done[sequence]; repeated {
		answer(w, http.StatusOK, map[string]any{"offset": d[0], "endOffset": d[1]})

		return false
	}
	answer(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.next})

	return false
}

func (s *storeServer) read(w http.ResponseWriter, r *http.Request) {
	from, until := int(queryNumber(r, "from", 0)), time.Now().Add(time.Duration(queryNumber(r, "waitMs", 0))*time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		end, changed := len(t.records), t.changed
		b := binary.BigEndian.AppendUint64(nil, uint64(end))
		b = binary.BigEndian.AppendUint64(b, 0)
		for i := from; i < end && len(b) < pageBytes; i++ {
			b = binary.BigEndian.AppendUint32(b, uint32(len(t.records[i].raw)))
			b = append(b, t.records[i].raw...)
		}
		s.mu.Unlock()
		left := time.Until(until)
		if from < end || left <= 0 {
			_, _ = w.Write(b)

			return
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *storeServer) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	after, keys := r.URL.Query().Get("dependsOn"), []string{}
	for k := range t.newest {
		if strings.Compare(k, after) > 0 {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, k := range keys {
		if more = len(items) == pageRecords || size >= pageBytes; more {
			break
		}
		e := t.newest[k]
		size += len(e.value)
		items = append(items, map[string]any{"key": k, "value": e.value, "offset": e.offset})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "endOffset": len(t.records)})
}
