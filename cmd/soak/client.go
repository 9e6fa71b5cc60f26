package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/platform/standin"
)

const (
	lossSlack     = 200 * time.Millisecond // a request may stay without an answer if its connection ends sooner than this
	dialTimeout   = time.Second
	submitShare   = 3 // a client submits a job with one request of this many, and queries a job with the others
	rejectedPause = time.Second
)

var errNoVM = errors.New("no VM is ready")

type (
	// client keeps one connection open and uses it until the VM closes it.
	client struct {
		s    *soak
		rand *rand.Rand
		vm   *process
		conn net.Conn // nil if there is none
		in   *bufio.Reader
	}

	// counts of the requests of all clients.
	counts struct{ sent, rejected, unknown, closed, reset, late int }
)

func (n counts) String() string {
	return fmt.Sprintf("sent=%d rejected=%d unknown=%d closed=%d reset=%d late=%d ", n.sent, n.rejected, n.unknown, n.closed, n.reset, n.late)
}

// run sends requests, on average one per interval, until the context ends.
func (c *client) run(ctx context.Context, number int, interval time.Duration) {
	defer c.close()
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(c.rand.ExpFloat64() * float64(interval)))
		if c.rand.IntN(submitShare) > 0 {
			c.query(ctx)

			continue
		}
		j := randomJob(c.rand, c.s.Seed, number<<16|i)
		c.s.submit(j, func(attempt int, body []byte) (int, error) {
			if attempt > 0 {
				time.Sleep(time.Duration(c.rand.Float64() * float64(rejectedPause)))
			}
			status, _, err := c.send(ctx, http.MethodPost, j.ID, body)

			return status, err
		})
	}
}

// query asks for the state of a job that has not ended.
func (c *client) query(ctx context.Context) {
	for id := range c.s.unfinished() { // in random order
		if status, body, err := c.send(ctx, http.MethodGet, id, nil); err == nil {
			c.s.recordState(id, status, body)
		}

		return
	}
}

// send sends a request on the open connection, or on a new one to a VM that is ready, and reads the
// answer.
func (c *client) send(ctx context.Context, method, id string, body []byte) (int, []byte, error) {
	if err := c.connect(ctx); err != nil {
		return 0, nil, err
	}
	req, err := newRequest(ctx, method, c.vm, id, body)
	if err != nil {
		return 0, nil, err
	}
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return 0, nil, err
	}
	_ = c.conn.SetDeadline(time.Now().Add(callTimeout)) // fails only on a closed connection
	_, err = c.conn.Write(out.Bytes())
	sent := time.Now()
	if err == nil {
		var status int
		if status, body, err = c.readAnswer(req); err == nil {
			c.s.count(status)

			return status, body, nil
		}
	}
	c.s.recordNoAnswer(c.vm, method+" "+id, sent, err)
	c.close()

	return 0, nil, err
}

// readAnswer reads an answer, and closes the connection if the VM asks for that.
func (c *client) readAnswer(req *http.Request) (int, []byte, error) {
	resp, err := http.ReadResponse(c.in, req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.Close {
		c.close()
	}

	return resp.StatusCode, body, err
}

func (c *client) connect(ctx context.Context) error {
	if c.conn != nil {
		return nil
	}
	ready := c.s.inRotation()
	if len(ready) == 0 {
		return errNoVM
	}
	c.vm = ready[c.rand.IntN(len(ready))]

	return c.open(ctx)
}

// open opens a connection to the VM.
func (c *client) open(ctx context.Context) error {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.vm.frontend)
	if err != nil {
		return err
	}
	c.conn, c.in = conn, bufio.NewReader(conn)

	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close() // the VM may have closed it
		c.conn = nil
	}
}

// newRequest returns a caller's request about a job to one VM.
func newRequest(ctx context.Context, method string, p *process, id string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.frontend+standin.QueuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = standin.QueueHost
	req.Header.Set("Authorization", "Bearer "+standin.APIKey)
	req.Header.Set("Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))

	return req, nil
}

func (s *soak) count(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.sent++
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		s.counts.rejected++
	case http.StatusGatewayTimeout:
		s.counts.unknown++
	}
}

// recordNoAnswer records a request without a complete answer. Without faults, a VM that has read it must
// not close the connection later than lossSlack after it was sent. A connection with unread bytes is
// reset, so that its end without a reset shows that the VM has read the request.
func (s *soak) recordNoAnswer(p *process, request string, sent time.Time, err error) {
	after := time.Since(sent)
	s.mu.Lock()
	s.counts.sent++
	read := false
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.counts.late++
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		s.counts.reset++
	default:
		s.counts.closed++
		read = true
	}
	s.mu.Unlock()
	if !read || after <= lossSlack || s.Work != plannedWork {
		return
	}
	time.Sleep(2 * observeInterval) // until it is known whether the soak was held up
	if s.heldUp.Load() < sent.UnixMilli() {
		s.failf("%s to %s: connection ended without an answer %dms after the request: %v; %s", request, p.name, after.Milliseconds(), err, p.history())
	}
}
