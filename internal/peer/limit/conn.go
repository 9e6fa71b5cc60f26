package limit

import (
	"bytes"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Phases of a connection.
const (
	readingHead phase = iota
	readingBody
	waiting   // for a share of the budget of bodies
	answering // the request has been read
	idle
)

const (
	// minRate is the rate at which a client that makes progress sends, in bytes per second: an
	// eightieth of a link of 10 Mbit/s.
	minRate = 16 << 10
	// maxCredit bounds how long a client may pause, however fast it has sent before.
	maxCredit = 500 * time.Millisecond
	// stallTime is how far a client may lag behind minRate before it counts as stalled: a lost segment
	// is sent again after 0.2 to 1 s.
	stallTime = time.Second
)

var errLines = errors.New("too many lines in the head of a request")

type (
	phase int

	// conn is a connection of a client. The lock of the server guards its fields.
	conn struct {
		net.Conn

		server *Server
		phase  phase
		begun  bool      // bytes of the current request have been read, or it is being answered
		paid   time.Time // until when the bytes that have arrived suffice at minRate; of an idle connection, since when it is idle
		lines  int       // of the head so far
		long   bool      // counts among Server.long until the next head or the end of the connection
		body   *body     // being read; nil if there is none
	}

	listener struct {
		net.Listener

		server *Server
	}
)

// Accept returns the next connection. If there are too many, it closes the one that has made least
// progress, or the new one if all others wait for their answers.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.server.admit(c); admitted != nil {
			return admitted, nil
		}
		abort(c)
	}
}

func (s *Server) admit(raw net.Conn) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	if len(s.conns) >= s.Connections {
		c := s.leastProgress(now)
		if c == nil {
			s.note("connections_refused")

			return nil
		}
		delete(s.conns, c)
		abort(c.Conn)
		s.note("connections_evicted")
	}
	c := &conn{Conn: raw, server: s, paid: now}
	s.conns[c] = true

	return c
}

// abort closes a connection and drops what the kernel holds for it.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it, the connection is only closed later
	}
	_ = c.Close() // the client may have closed it
}

// leastProgress returns the connection to close for a new one, or nil if all are answering.
func (s *Server) leastProgress(now time.Time) *conn {
	var worst *conn
	for c := range s.conns {
		if c.phase != answering && (worst == nil || c.worse(worst, now)) {
			worst = c
		}
	}

	return worst
}

// worse reports whether c is closed rather than o: stalled ones first, then idle ones, then those that
// read, and last those that wait for the server. Of one kind, it is the one that lags most.
func (c *conn) worse(o *conn, now time.Time) bool {
	if a, b := c.class(now), o.class(now); a != b {
		return a < b
	}

	return c.paid.Before(o.paid)
}

func (c *conn) class(now time.Time) int {
	switch {
	case c.phase == waiting:
		return 3
	case c.phase == idle:
		return 1
	case c.stalled(now):
		return 0
	}

	return 2
}

// stalled reports whether a client that is to send lags behind minRate.
func (c *conn) stalled(now time.Time) bool {
	return (c.phase == readingHead || c.phase == readingBody) && now.Sub(c.paid) > stallTime
}

// enter starts a phase.
func (s *Server) enter(c *conn, p phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.phase, c.paid, c.lines, c.begun = p, s.Now(), 0, p != idle
	if p == idle {
		c.endHead()
	}
}

// Read reads from the client. It fails if the head has too many lines, or if the server drains and the
// client has not begun a request.
func (c *conn) Read(b []byte) (int, error) {
	if c.readsNoMore() {
		return 0, errDraining
	}
	if c.tooManyLines() {
		return 0, errLines
	}
	n, err := c.Conn.Read(b)
	c.progress(b[:n])

	return n, err
}

// tooManyLines reports whether the head has more than headLines lines, and too many others have,
// too. It doesn't count the lines of the newest read, which may belong to the body.
func (c *conn) tooManyLines() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()

	return c.phase == readingHead && c.lines > headLines && !c.takeLongHead()
}

// takeLongHead reports whether the connection may hold a head of more than headLines. The lock is held.
func (c *conn) takeLongHead() bool {
	if !c.long && c.server.long < c.server.longHeads() {
		c.long = true
		c.server.long++
	}

	return c.long
}

// mayHoldLongHead is takeLongHead for callers that do not hold the lock.
func (c *conn) mayHoldLongHead() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()

	return c.takeLongHead()
}

// releaseLongHead is endHead for callers that do not hold the lock.
func (c *conn) releaseLongHead() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.endHead()
}

// longHeads returns how many connections may hold a head of more than headLines at a time: as many as
// fit in the memory for bodies, one at least.
func (s *Server) longHeads() int { return max(1, int(s.BodyBudget/longHeadBytes)) }

// endHead notes that the connection no longer holds its head. The lock is held.
func (c *conn) endHead() {
	if c.long {
		c.long = false
		c.server.long--
	}
}

// progress credits the client with the bytes that have arrived.
func (c *conn) progress(b []byte) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	now := c.server.Now()
	c.begun = c.begun || len(b) > 0
	if c.phase == idle && len(b) > 0 {
		c.phase, c.paid, c.lines = readingHead, now, 0
	}
	if c.phase == readingHead {
		c.lines += bytes.Count(b, []byte("\n"))
	}
	if c.phase == readingHead || c.phase == readingBody {
		c.paid = credit(c.paid, now, len(b))
	}
}

// credit returns until when n further bytes suffice at minRate.
func credit(paid, now time.Time, n int) time.Time {
	paid = paid.Add(time.Duration(n) * time.Second / minRate)
	if limit := now.Add(maxCredit); paid.After(limit) {
		return limit
	}

	return paid
}

// Write writes to the client, which must read the answer in time.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}

	return c.Conn.Write(b)
}

// CloseWrite lets the server end its side of the connection before it closes it, so that the client
// can read the answer to a request whose body was refused.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}

	return nil
}

// Close closes the connection and makes room for another one.
func (c *conn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.endHead()
	c.server.mu.Unlock()

	return c.Conn.Close()
}
