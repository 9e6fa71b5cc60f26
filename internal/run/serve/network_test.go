package serve_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/standin/vms"
)

// stallingProxy forwards TCP connections. stallConnections makes the connections that
// are open at that time stay open and deliver nothing more; new connections work.
type stallingProxy struct {
	ln     net.Listener
	to     string
	mu     sync.Mutex
	stalls []chan struct{}
}

func (tc *testCluster) proxy(to string) *stallingProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tc.t, err)
	p := &stallingProxy{ln: ln, to: strings.TrimPrefix(to, "http://")}
	tc.t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()

	return p
}

func (p *stallingProxy) forward(c net.Conn) {
	defer func() { _ = c.Close() }()
	d, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer func() { _ = d.Close() }()
	stalled := make(chan struct{})
	p.mu.Lock()
	p.stalls = append(p.stalls, stalled)
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	copyUntilStalled := func(dst, src net.Conn) {
		defer func() { done <- struct{}{} }()
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			select {
			case <-stalled:
				_, _ = io.Copy(io.Discard, src) // discard until the caller closes the connection

				return
			default:
			}
			if _, werr := dst.Write(buf[:n]); err != nil || werr != nil {
				return
			}
		}
	}
	go copyUntilStalled(c, d)
	copyUntilStalled(d, c)
}

// stallConnections stalls all open connections.
func (p *stallingProxy) stallConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, stalled := range p.stalls {
		close(stalled)
	}
	p.stalls = nil
}

// TestStalledConnections guards against calls that keep using a connection that stays open
// but delivers nothing, as after a network failure. It stalls all open connections to the
// log and to the worker after each job, and requires that every job is answered and runs
// once.
func TestStalledConnections(t *testing.T) {
	tc := newTestCluster(t, 1, basicContract("a"))
	logProxy := tc.proxy(tc.logURL)
	var address string
	for _, vm := range tc.vmList.List() {
		if vm.Name == "w0" {
			address = vm.Address
		}
	}
	workerProxy := tc.proxy(address)
	tc.vmList.Put(vms.VM{Name: "w0", Role: "worker", Address: workerProxy.ln.Addr().String()})
	s := tc.settings("x")
	s.Log = "http://" + logProxy.ln.Addr().String()
	s.Timing.AcceptTimeout.Duration = 5 * time.Second
	x := tc.launch(s, nil)
	tc.ready(x)
	for i := range 3 {
		j := nonIdempotent(jobOf("a", fmt.Sprint("j", i), 1, 1, 20*time.Millisecond))
		a, err := tc.caller(x).Submit(context.Background(), j, 8*time.Second)
		require.NoError(t, err)
		require.NoError(t, checkAnswer(a, j.Key()))
		require.Len(t, tc.startedTasks()[j.Key()], 1)
		logProxy.stallConnections()
		workerProxy.stallConnections()
	}
}

// TestPartition runs two entry VMs that are partitioned from each other, so that both
// act as planner of the same region on the same workers and log. No job may start twice,
// and all must be answered.
func TestPartition(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t, 4, basicContract("a"))
	workerList := tc.serveHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var workers []vms.VM
		for _, vm := range tc.vmList.List() {
			if vm.Role == "worker" {
				workers = append(workers, vm)
			}
		}
		_ = json.NewEncoder(w).Encode(workers)
	}))
	urls := make([]string, 2)
	for i := range urls {
		s := tc.settings(fmt.Sprint("v", i))
		s.VMs = workerList
		vm := tc.launch(s, nil)
		tc.ready(vm)
		require.Eventually(t, func() bool { return vm.IsPlanner("x") }, 5*time.Second, 10*time.Millisecond)
		urls[i] = vm.Address()
	}
	var wait sync.WaitGroup
	jobs := make([]job.Job, 12)
	answers := make([]job.Answer, len(jobs))
	for i := range jobs {
		jobs[i] = nonIdempotent(jobOf("a", fmt.Sprint("j", i), 1+i%2, 4, 100*time.Millisecond))
		wait.Go(func() { answers[i] = tc.awaitAnswer(jobs[i], 25*time.Second) })
	}
	wait.Wait()
	started := tc.startedTasks()
	for i, a := range answers {
		require.Empty(t, findViolations(jobs[i], a, started[jobs[i].Key()]))
		require.Equal(t, code.OK, a.Code, "%s: %s", jobs[i].ID, a.Reason)
	}
}
