package limit

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// Interval at which Drain looks for connections that are still in use.
	drainInterval = 10 * time.Millisecond
	// The process must have run for this long before connections are closed, to read the requests that
	// arrived while it was suspended or had used up its processor time.
	settleTime = 200 * time.Millisecond
)

// errDraining ends connections on which the server reads no further requests.
var errDraining = errors.New("server reads no more requests")

// Drain closes the listener, and each connection once the request that has been read from it is answered.
// It returns when no client waits for an answer, or with an error when the context ends. Clients that have
// stalled aren't waited for. http.Server.Shutdown would close connections from which it has just read a
// request without answering it.
func (s *Server) Drain(ctx context.Context) error {
	settle(ctx)
	s.mu.Lock()
	s.draining = true
	ln := s.listener
	for c := range s.conns {
		if !c.begun {
			_ = c.SetReadDeadline(time.Unix(1, 0)) // ends a read that waits; the client may have closed the connection
		}
	}
	s.mu.Unlock()
	if ln != nil {
		_ = ln.Close() // Serve may have closed it
	}
	t := time.NewTicker(drainInterval)
	defer t.Stop()
	for n := s.inUse(); n > 0; n = s.inUse() {
		select {
		case <-ctx.Done():
			return errors.Errorf("%d requests are not answered", n)
		case <-t.C:
		}
	}

	return nil
}

// settle waits until a wait of settleTime has not taken twice as long.
func settle(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		select {
		case <-ctx.Done():
		case <-time.After(settleTime):
		}
		if time.Since(began) < 2*settleTime {
			return
		}
	}
}

// inUse returns the number of connections from which a request has been read at least in part, without
// those that have stalled.
func (s *Server) inUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, n := s.Now(), 0
	for c := range s.conns {
		if c.begun && !c.stalled(now) {
			n++
		}
	}

	return n
}

// readsNoMore reports whether the server drains and no request has been read from the connection.
func (c *conn) readsNoMore() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()

	return c.server.draining && !c.begun
}
