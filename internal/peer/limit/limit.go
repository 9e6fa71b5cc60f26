// Package limit bounds what the clients of an HTTP server can use: connections, memory for heads and
// bodies, and time. docs/design/hostile-clients.md describes it.
package limit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	connectionShare  = 0.3       // of the memory of the process, for connections
	bodyShare        = 0.07      // of the memory of the process, for bodies beyond freeBodyBytes
	connectionBytes  = 80 << 10  // one connection: twice receiveBuffer in the kernel, a head, freeBodyBytes, buffers and stack
	receiveBuffer    = 16 << 10  // bytes; Linux reserves twice as much. The default of up to 6 MB counts as memory of the machine
	freeBodyBytes    = 16 << 10  // the first bytes of a body need no share of the budget
	bodyCopies       = 2         // io.ReadAll holds the old and the new buffer while it grows
	headBytes        = 16 << 10  // of the largest legal head
	headLines        = 256       // lines of an ordinary head
	longHeadBytes    = 640 << 10 // memory of the largest legal head with more lines: short ones take about 30 times their size in the map of headers
	reservedFDs      = 200       // for files
	connectionFDs    = 4         // listeners and outgoing connections get three quarters of the other descriptors
	minConnections   = 16        // also with less memory
	defaultMemoryMB  = 512       // if the settings state none
	defaultFDs       = 4096      // if the settings state none
	defaultBodyBytes = 256 << 10 // largest legal body
	headTimeout      = 5 * time.Second
	bodyTimeout      = 15 * time.Second // 256 KB on a link of 10 Mbit/s that 70 clients share
	writeTimeout     = 15 * time.Second
	bodyWait         = 2 * time.Second // callers wait 3 s for the answer
	logInterval      = time.Second
)

type (
	// Config of a Server.
	Config struct {
		Connections   int           // largest number of open connections
		ReceiveBuffer int           // bytes that the kernel may hold for a connection; 0 for its default
		BodyBudget    int64         // bytes of memory for all bodies that are being read, except the first 16 KB of each; 0 for no limit
		BodyBytes     int64         // largest legal body
		IdleTimeout   time.Duration // of a connection without a request
		BodyTimeout   time.Duration // of a body; 0 for no limit
		BodyWait      time.Duration // of a body for memory
		Now           func() time.Time
		Log           *log.Logger
		Count         func(name string) // adds 1 to a counter
	}

	// Server bounds the clients of one listener.
	Server struct {
		Config

		mu       sync.Mutex
		listener net.Listener // nil before Listen
		draining bool         // no further requests are read
		conns    map[*conn]bool
		reserved int64         // bytes of BodyBudget in use
		long     int           // connections that hold a head of more than headLines
		freed    chan struct{} // closed and replaced when a share is returned
		logged   time.Time
	}

	connKey struct{} // key of the connection in the context of its requests
)

// Defaults returns the limits of the callers' listener of a process with the given memory and number of
// descriptors; 0 stands for a figure that is not known.
func Defaults(memoryMB, maxFDs int, bodyBytes int64) Config {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	if maxFDs <= 0 {
		maxFDs = defaultFDs
	}
	if bodyBytes <= 0 {
		bodyBytes = defaultBodyBytes
	}
	memory := float64(memoryMB) * (1 << 20)

	return Config{
		Connections:   max(minConnections, min(int(connectionShare*memory/connectionBytes), (maxFDs-reservedFDs)/connectionFDs)),
		ReceiveBuffer: receiveBuffer,
		BodyBudget:    max(int64(bodyShare*memory), bodyCopies*bodyBytes),
		BodyBytes:     bodyBytes,
		BodyTimeout:   bodyTimeout,
		BodyWait:      bodyWait,
		Now:           time.Now,
	}
}

// Internal returns the limits of a listener for calls from inside the deployment, whose largest legal body
// has the given size. It has a budget for bodies of its own, and c the other one.
func (c Config) Internal(connections int, bodyBytes int64) Config {
	c.Connections, c.BodyBytes = max(minConnections, connections), bodyBytes
	c.BodyBudget = max(c.BodyBudget, bodyCopies*bodyBytes)

	return c
}

// New returns a server without connections.
func New(c Config) *Server {
	return &Server{Config: c, conns: map[*conn]bool{}, freed: make(chan struct{})}
}

// Listen opens a listener that holds at most Connections connections open.
func (s *Server) Listen(ctx context.Context, address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: s.setReceiveBuffer}
	ln, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}

	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = ln

	return &listener{Listener: ln, server: s}, nil
}

// setReceiveBuffer sets the buffer of the listener, which its connections inherit: the window that a
// client is offered first depends on it.
func (s *Server) setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	if s.ReceiveBuffer == 0 {
		return nil
	}
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, s.ReceiveBuffer)
	})
	if err != nil {
		return err
	}

	return failed
}

// HTTP returns the HTTP server for the listener of Listen.
func (s *Server) HTTP(h http.Handler) *http.Server {
	return &http.Server{
		Handler: s.handler(h), ReadHeaderTimeout: headTimeout, IdleTimeout: s.IdleTimeout, MaxHeaderBytes: headBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, state http.ConnState) {
			if c, ok := c.(*conn); ok && state == http.StateIdle {
				s.enter(c, idle)
			}
		},
	}
}

// note counts an action against a client, and logs at most one a second. The lock is held.
func (s *Server) note(name string) {
	if s.Count != nil {
		s.Count(name)
	}
	now := s.Now()
	if s.Log == nil || now.Sub(s.logged) < logInterval {
		return
	}
	s.logged = now
	s.Log.Warn().Str("event", "client-limited").Str("what", name).Int("connections", len(s.conns)).Int64("reserved", s.reserved).Msg("")
}
