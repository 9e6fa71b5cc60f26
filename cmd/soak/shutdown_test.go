package main

import (
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startVMs starts a platform with n VMs that run the present code.
func startVMs(t *testing.T, n int) *soak {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "sesameyoke")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../sesameyoke").CombinedOutput()
	require.NoError(t, err, string(out))
	s, err := newSoak(t.Context(), soakConfig{Seed: 1, VMs: n, Workers: 1, Binary: binary, Work: randomFaults})
	require.NoError(t, err)
	s.Work = plannedWork // all VMs have been started
	t.Cleanup(func() { s.close(false) })

	return s
}

// TestShutdownAnswers guards against a VM that ends while it answers. All VMs shut down at the same time,
// so that there is no planner and an answer takes until shortly before the caller's deadline. Each has
// one client, which sends a request on an open connection.
func TestShutdownAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		sentAfter time.Duration // from SIGTERM on
		unused    bool          // the VMs have open connections on which nothing is sent, as HTTP clients open in reserve
	}{
		"before the listeners close":                 {sentAfter: 2200 * time.Millisecond},
		"while other listeners wait for connections": {sentAfter: 3200 * time.Millisecond, unused: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := startVMs(t, 12) // the order in which a VM shuts its listeners down varies
			var clients sync.WaitGroup
			for i, p := range s.vms {
				c := &client{s: s, rand: rand.New(rand.NewPCG(1, uint64(i))), vm: p}
				require.NoError(t, c.open(t.Context()))
				t.Cleanup(c.close)
				_, _, err := c.send(t.Context(), http.MethodGet, "0000000000000001", nil)
				require.NoError(t, err)
				clients.Go(func() {
					time.Sleep(test.sentAfter)
					_, _, _ = c.send(t.Context(), http.MethodGet, "0000000000000001", nil) // records a loss
				})
			}
			for _, p := range s.vms {
				if test.unused {
					p.holdUnused(t)
				}
				p.terminated.Store(time.Now().UnixMilli())
				p.signal(syscall.SIGTERM)
			}
			clients.Wait()
			require.Empty(t, s.failures)
		})
	}
}

// holdUnused opens a connection to each listener of a VM but the callers'.
func (p *process) holdUnused(t *testing.T) {
	t.Helper()
	for _, address := range []string{p.readiness, p.internal(0), p.internal(1)} {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() }) // the VM may have closed it
	}
}

// TestShutdownReadsRequest guards against a shutdown that closes a connection as idle while the VM reads a
// request from it. A VM that has used its processor time is suspended when the requests arrive, and goes on
// after the time at which it closes its listeners.
func TestShutdownReadsRequest(t *testing.T) {
	const (
		connections = 40
		suspended   = 2300 * time.Millisecond // after SIGTERM, before the listeners close
		resumed     = 2800 * time.Millisecond // after SIGTERM, when the listeners should have closed
	)
	s := startVMs(t, 8)
	var clients []*client
	stopped := s.vms[1:]
	for i, p := range stopped {
		for range connections {
			c := &client{s: s, rand: rand.New(rand.NewPCG(1, uint64(i))), vm: p}
			require.NoError(t, c.open(t.Context()))
			t.Cleanup(c.close)
			_, _, err := c.send(t.Context(), http.MethodGet, "0000000000000001", nil)
			require.NoError(t, err)
			clients = append(clients, c)
		}
	}
	for _, p := range stopped {
		p.terminated.Store(time.Now().UnixMilli())
		p.signal(syscall.SIGTERM)
	}
	time.Sleep(suspended)
	for _, p := range stopped {
		p.pause()
	}
	var requests sync.WaitGroup
	for _, c := range clients {
		requests.Go(func() { _, _, _ = c.send(t.Context(), http.MethodGet, "0000000000000001", nil) }) // records a loss
	}
	time.Sleep(resumed - suspended)
	for _, p := range stopped {
		p.resume()
	}
	requests.Wait()
	t.Log(s.counts)
	require.Empty(t, s.failures)
	require.Zero(t, s.counts.reset, "requests that the VMs did not read")
}
