package limit

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	recheckInterval = 100 * time.Millisecond // how often a waiting body looks for others that have stalled
	drainTimeout    = time.Second            // for the end of a chunked body after what the handler needs of it
)

// ErrBusy is returned by reads of a body for which there is no memory. The request can be repeated.
var ErrBusy = errors.New("too many large bodies are being read")

// body is the body of a request. Reads beyond freeBodyBytes need a share of the budget, which Close
// returns. The lock of the server guards reserved and what follows.
type body struct {
	io.Reader

	server   *Server
	conn     *conn
	length   int64 // declared by the client; negative if it is not known
	started  bool  // the handler reads it
	read     int64
	covered  int64 // bytes that may be read with the shares so far
	reserved int64
	evicted  bool // the share is needed by others
	closed   bool // the handler needs no more of it
	complete bool
}

// handler bounds the time and the memory of the bodies that h reads. A body that it does not read to the
// end is not read from the client either.
func (s *Server) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if ok && lines(r.Header) > headLines {
			if !c.mayHoldLongHead() {
				w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)

				return
			}
			defer c.releaseLongHead() // before the client gets the answer and sends another such head
		}
		if !ok || r.Body == nil || r.Body == http.NoBody {
			if ok {
				s.enter(c, answering)
			}
			h.ServeHTTP(w, r)

			return
		}
		b := &body{Reader: r.Body, server: s, conn: c, length: r.ContentLength, covered: freeBodyBytes}
		b.begin()
		defer b.end()
		r.Body = b
		h.ServeHTTP(w, r)
	})
}

func lines(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}

	return n
}

func (b *body) begin() {
	s := b.server
	s.enter(b.conn, answering) // a handler that reads no body answers at once
	s.mu.Lock()
	defer s.mu.Unlock()
	b.conn.body = b
	if s.BodyTimeout > 0 {
		_ = b.conn.SetReadDeadline(time.Now().Add(s.BodyTimeout)) // fails on a closed connection only
	}
}

// end makes the server close the connection after the answer if the handler has not read the body.
func (b *body) end() {
	b.server.mu.Lock()
	defer b.server.mu.Unlock()
	b.release()
	b.conn.body = nil
	if !b.complete { // it can be closed for another one while the server waits for the rest
		b.conn.phase, b.conn.paid = readingBody, b.server.Now()
	}
	if !b.complete { // without time for the rest, the client's writes would fail before it reads the answer
		_ = b.conn.SetReadDeadline(time.Now().Add(drainTimeout)) // fails on a closed connection only
	}
}

// Read reads from the body. It waits for a share of the budget if it needs one.
func (b *body) Read(p []byte) (int, error) {
	if !b.started {
		b.started = true
		b.server.enter(b.conn, readingBody)
	}
	if b.read >= b.covered && b.server.BodyBudget > 0 {
		if err := b.reserve(); err != nil {
			return 0, err
		}
	}
	if rest := b.covered - b.read; b.server.BodyBudget > 0 && int64(len(p)) > rest {
		p = p[:rest]
	}
	n, err := b.Reader.Read(p)
	b.read += int64(n)
	if err != nil {
		return n, b.finish(err)
	}

	return n, nil
}

// finish ends the limits of a body that has been read. A read that failed because others needed the
// share fails with ErrBusy.
func (b *body) finish(err error) error {
	s := b.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != io.EOF {
		if b.evicted {
			return ErrBusy
		}

		return err
	}
	b.complete = true
	b.reduce(bodyCopies * max(0, b.read-freeBodyBytes))
	b.conn.body, b.conn.phase = nil, answering
	if s.BodyTimeout > 0 { // the server now waits for the end of the connection by a read
		_ = b.conn.SetReadDeadline(time.Time{}) // fails on a closed connection only
	}

	return err
}

// reserve takes a share for all of the rest of the body, so that bodies with a share never wait for each
// other. It waits for one for at most BodyWait.
func (b *body) reserve() error {
	s := b.server
	size := s.BodyBytes
	if b.length >= 0 {
		size = min(size, b.length-b.read)
	}
	until := s.Now().Add(s.BodyWait)
	for s.Now().Before(until) {
		freed, done := b.take(size)
		if done {
			return nil
		}
		t := time.NewTimer(recheckInterval)
		select {
		case <-freed:
		case <-t.C:
		}
		t.Stop()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note("bodies_refused")

	return ErrBusy
}

// take takes the share if there is room. Otherwise it takes the share of the body that has stalled for
// longest, and returns the channel that is closed when a share is returned.
func (b *body) take(size int64) (freed <-chan struct{}, done bool) {
	s := b.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	if s.reserved+bodyCopies*size <= s.BodyBudget || s.reserved == b.reserved { // one body may exceed the budget
		s.reserved += bodyCopies * size
		b.reserved += bodyCopies * size
		b.covered += max(size, 1)
		b.conn.phase, b.conn.paid = readingBody, now

		return nil, true
	}
	b.conn.phase = waiting
	s.evictStalled(now)

	return s.freed, false
}

// evictStalled ends the body that has stalled for longest, if one has.
func (s *Server) evictStalled(now time.Time) {
	var worst *conn
	for c := range s.conns {
		if c.body == nil || c.body.reserved == 0 || c.body.evicted || !c.stalled(now) {
			continue
		}
		if worst == nil || c.paid.Before(worst.paid) {
			worst = c
		}
	}
	if worst == nil {
		return
	}
	worst.body.evicted = true
	_ = worst.SetReadDeadline(time.Unix(1, 0)) // fails on a closed connection only
	s.note("bodies_evicted")
}

// Close returns the share of the body, which is otherwise returned when the handler ends. Call it when the
// handler keeps nothing of the body while it waits.
func (b *body) Close() error {
	b.server.mu.Lock()
	defer b.server.mu.Unlock()
	b.release()
	b.closed = true
	b.conn.phase = answering // a decoder may leave the end of a chunked body unread

	return nil
}

// release returns the share of the body. The lock is held.
func (b *body) release() { b.reduce(0) }

// reduce returns what the share exceeds size by. The lock is held.
func (b *body) reduce(size int64) {
	if b.reserved <= size {
		return
	}
	s := b.server
	s.reserved -= b.reserved - size
	b.reserved = size
	close(s.freed)
	s.freed = make(chan struct{})
}
