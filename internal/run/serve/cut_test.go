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

// wireProxy forwards TCP connections. Those that are open when it is told to go
// silent stay open and carry nothing more; new ones work.
type wireProxy struct {
	ln   net.Listener
	to   string
	mu   sync.Mutex
	cuts []chan struct{}
}

func (r *rig) proxy(to string) *wireProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(r.t, err)
	p := &wireProxy{ln: ln, to: strings.TrimPrefix(to, "http://")}
	r.t.Cleanup(func() { _ = ln.Close() })
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

func (p *wireProxy) forward(c net.Conn) {
	defer func() { _ = c.Close() }()
	d, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer func() { _ = d.Close() }()
	cut := make(chan struct{})
	p.mu.Lock()
	p.cuts = append(p.cuts, cut)
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	pump := func(dst, src net.Conn) {
		defer func() { done <- struct{}{} }()
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			select {
			case <-cut:
				_, _ = io.Copy(io.Discard, src) // swallowed until the caller gives up

				return
			default:
			}
			if _, werr := dst.Write(buf[:n]); err != nil || werr != nil {
				return
			}
		}
	}
	go pump(c, d)
	pump(d, c)
}

func (p *wireProxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, cut := range p.cuts {
		close(cut)
	}
	p.cuts = nil
}

// TestSilentConnections lets every open connection to the log and to the worker go
// silent, again and again, and requires that each job is answered all the same.
func TestSilentConnections(t *testing.T) {
	r := newRig(t, 1, plain("a"))
	logProxy := r.proxy(r.logURL)
	var address string
	for _, vm := range r.list.List() {
		if vm.Name == "w0" {
			address = vm.Address
		}
	}
	workerProxy := r.proxy(address)
	r.list.Put(vms.VM{Name: "w0", Role: "worker", Address: workerProxy.ln.Addr().String()})
	s := r.settings("x")
	s.Log = "http://" + logProxy.ln.Addr().String()
	s.Timing.Accept.Duration = 5 * time.Second
	x := r.launch(s, nil)
	r.ready(x)
	for i := range 3 {
		j := once(jobOf("a", fmt.Sprint("j", i), 1, 1, 20*time.Millisecond))
		a, err := r.caller(x).Submit(context.Background(), j, 8*time.Second)
		require.NoError(t, err)
		require.NoError(t, ownAnswer(a, j.Key()))
		require.Len(t, r.begun()[j.Key()], 1)
		logProxy.silence()
		workerProxy.silence()
	}
}

// TestPartition runs two entry VMs that never hear of each other: both plan the same
// region all the time, over the same workers and log. No job begins twice and all
// are answered.
func TestPartition(t *testing.T) {
	t.Parallel()
	r := newRig(t, 4, plain("a"))
	alone := r.host(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var workers []vms.VM
		for _, vm := range r.list.List() {
			if vm.Role == "worker" {
				workers = append(workers, vm)
			}
		}
		_ = json.NewEncoder(w).Encode(workers)
	}))
	urls := make([]string, 2)
	for i := range urls {
		s := r.settings(fmt.Sprint("v", i))
		s.VMs = alone
		vm := r.launch(s, nil)
		r.ready(vm)
		require.Eventually(t, func() bool { return vm.Plans("x") }, 5*time.Second, 10*time.Millisecond)
		urls[i] = vm.Address()
	}
	var wait sync.WaitGroup
	jobs := make([]job.Job, 12)
	answers := make([]job.Answer, len(jobs))
	for i := range jobs {
		jobs[i] = once(jobOf("a", fmt.Sprint("j", i), 1+i%2, 4, 100*time.Millisecond))
		wait.Go(func() { answers[i] = r.settle(jobs[i], 25*time.Second) })
	}
	wait.Wait()
	begun := r.begun()
	for i, a := range answers {
		require.Empty(t, judge(jobs[i], a, begun[jobs[i].Key()]))
		require.Equal(t, code.OK, a.Code, "%s: %s", jobs[i].ID, a.Reason)
	}
}
