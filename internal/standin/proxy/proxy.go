// Package proxy forwards TCP connections on the loopback interface and injects network
// faults, for runs of the real programs.
package proxy

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Modes of a proxy.
const (
	Pass        Mode = iota
	Delay            // each chunk is delayed
	Reset            // open and new connections are reset
	DropReplies      // data from the target to the client is dropped
	Blackhole        // all data is dropped; open connections stay open, new ones hang
)

const (
	delay        = 150 * time.Millisecond
	bufferSize   = 32 << 10 // bytes
	pollInterval = 20 * time.Millisecond
)

type (
	// Mode is the fault that a proxy injects.
	Mode int32

	// Proxy forwards connections from Address to a target.
	Proxy struct {
		Address string

		target string
		ln     net.Listener
		mode   atomic.Int32
		mu     sync.Mutex
		conns  map[net.Conn]bool
	}
)

// New starts a proxy on a free port, which forwards to the target address.
func New(ctx context.Context, target string) (*Proxy, error) {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Proxy{Address: ln.Addr().String(), target: target, ln: ln, conns: map[net.Conn]bool{}}
	go p.accept(ctx)

	return p, nil
}

// SetMode changes the mode. Reset also resets the open connections.
func (p *Proxy) SetMode(m Mode) {
	p.mode.Store(int32(m))
	if m != Reset {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// Close closes the listener and resets the open connections.
func (p *Proxy) Close() {
	_ = p.ln.Close() // closing fails only if the listener is closed already
	p.SetMode(Reset)
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only if the connection is closed already
	}
	_ = c.Close()
}

func (p *Proxy) accept(ctx context.Context) {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		if Mode(p.mode.Load()) == Reset {
			reset(c)

			continue
		}
		go p.forward(ctx, c)
	}
}

func (p *Proxy) forward(ctx context.Context, c net.Conn) {
	out, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.target)
	if err != nil {
		reset(c)

		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[out] = true, true
	p.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { p.pipe(out, c, false) })
	wait.Go(func() { p.pipe(c, out, true) })
	wait.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, out)
	p.mu.Unlock()
}

// pipe copies data in one direction until either side closes. If it has dropped data, it
// waits for the mode Pass before it closes the receiving side.
func (p *Proxy) pipe(to io.WriteCloser, from io.ReadCloser, fromTarget bool) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, bufferSize)
	dropping := false // stays true: a direction that has lost data passes none again
	for {
		n, err := from.Read(buf)
		switch m := Mode(p.mode.Load()); {
		case m == Blackhole, m == DropReplies && fromTarget:
			dropping = true
		case m == Delay:
			time.Sleep(delay)
		}
		if n > 0 && !dropping {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			for dropping && Mode(p.mode.Load()) != Pass {
				time.Sleep(pollInterval)
			}

			return
		}
	}
}
