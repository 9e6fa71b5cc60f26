package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	plog "github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/run/logs"
	"sesameyoke/internal/standin/fleet"
	"sesameyoke/platform"
	"sesameyoke/platform/standin"
)

const (
	awaitLimit    = 30 * time.Second
	awaitInterval = 10 * time.Millisecond
)

// connections counts the open connections of a server.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]bool
}

func (c *connections) note(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateClosed {
		delete(c.open, conn)

		return
	}
	c.open[conn] = true
}

func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return len(c.open)
}

// TestTermClosesConnections lets a VM plan and then give the planner's lease up. It guards
// against idle connections that outlive the term: with each change of the planner they would
// add up, until the workers turn away the calls of the next one.
func TestTermClosesConnections(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	p := &standin.Platform{Store: fleet.NewStore(rand.Float64), Fleet: fleet.NewFleet(rand.Float64)}
	p.Fleet.Add("k0", "s", "r0", work.Shape{CPU: 8000, Memory: 8000, Accelerators: 8})
	p.PublishConfig(1)
	storeServer := httptest.NewServer(p.Handler())
	defer storeServer.Close()
	toWorkers := &connections{open: map[net.Conn]bool{}}
	workerServer := httptest.NewUnstartedServer(p.Handler())
	workerServer.Config.ConnState = toWorkers.note
	workerServer.Start()
	defer workerServer.Close()
	go p.PublishWorkers(ctx, workerServer.Listener.Addr().String())

	v := newVM(testSettings(t, storeServer.Listener.Addr().String()), testLogger())
	go v.entry.Watcher.Run(ctx)
	go v.elector.Run(ctx)
	require.Eventually(t, func() bool { return toWorkers.count() > 0 }, awaitLimit, awaitInterval)
	v.elector.Leave(ctx)
	require.Eventually(t, func() bool { return v.elector.Lease() == nil }, awaitLimit, awaitInterval)
	require.Eventually(t, func() bool { return toWorkers.count() == 0 }, awaitLimit, awaitInterval)
}

// testSettings returns the settings of a VM that uses the store at the given address.
func testSettings(t *testing.T, store string) platform.Settings {
	t.Helper()

	return platform.Settings{
		Name: "a", IP: "127.0.0.1", Domain: "z", Store: store, Ports: [2]int{1, 2}, Cores: 1, MemoryMB: 256,
		MaxWorkerLease: 10 * time.Second, KeyRevocation: 5 * time.Second, Grace: 6 * time.Second, JobRetention: 2 * time.Minute,
	}
}

func testLogger() *plog.Logger { return logs.New("error", io.Discard) }
