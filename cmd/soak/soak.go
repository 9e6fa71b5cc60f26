package main

import (
	"context"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/standin/fleet"
	"sesameyoke/internal/standin/proxy"
	"sesameyoke/platform/standin"
)

const (
	portsPerVM       = 8 // calls between VMs, then one port for readiness, then one for callers
	readyTimeout     = 10 * time.Second
	maxFaultInterval = 1200 * time.Millisecond // between two injections
	traceTime        = "15:04:05.000000"
	failedShare      = 0.08                   // share of the runs that fail
	pollInterval     = 150 * time.Millisecond // also between two submissions
)

type (
	soakConfig struct {
		Seed    uint64
		VMs     int
		Workers int
		Binary  string
		Logs    string
		Work    string // randomFaults, plannedWork, allWork or restartedWork
		Clients int
		Rate    float64 // jobs per second of all clients
		CPUs    int     // number of processors that all VMs share; 0 for all
		Quota   bool    // limit the processor time of each VM
		Calm    time.Duration
		// Appended is called after each append to the store, before the VM gets its answer; nil for no calls.
		Appended func(topic string, records []store.Record)
	}

	// soak is the run of one seed.
	soak struct {
		soakConfig
		ctx         context.Context
		cancel      context.CancelFunc
		dir         string
		trace       *log.Logger // writes what happens to workers and planners beside the logs of the VMs
		rand        *rand.Rand
		platform    standin.Platform
		server      *http.Server
		workerProxy *proxy.Proxy
		restarts    *restarts // nil unless Work is restartedWork
		vms         []*process
		version     int64 // of the published configuration
		steps       int   // calls of injectFault

		mu        sync.Mutex
		submitted int
		refused   int
		accepted  map[string]string // newest known state by job ID
		failures  []string
		counts    counts
		heldUp    atomic.Int64 // Unix milliseconds of the newest time at which the soak was held up
		heldUps   atomic.Int64
		rotation  []*process // VMs that the load balancer uses
		published time.Time  // of the newest configuration
	}
)

func newSoak(ctx context.Context, c soakConfig) (*soak, error) {
	s := &soak{soakConfig: c, rand: rand.New(rand.NewPCG(c.Seed, 0)), accepted: map[string]string{}}
	s.ctx, s.cancel = context.WithCancel(ctx)
	var lock sync.Mutex
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	random := func() float64 {
		lock.Lock()
		defer lock.Unlock()

		return rng.Float64()
	}
	s.platform = standin.Platform{Store: fleet.NewStore(random), Fleet: fleet.NewFleet(random), Appended: c.Appended}
	s.platform.Fleet.Outcome = func(t work.Task, run int64, _ string) (time.Duration, target.How) {
		x := rand.New(rand.NewPCG(c.Seed+uint64(run), uint64(t.Index))).Float64()
		switch {
		case x < failedShare:
			return 200 * time.Millisecond, target.Failed
		case c.Work == restartedWork && isLong(t):
			return minLongRun + time.Duration(x*float64(maxLongRun-minLongRun)), target.Done
		}

		return 300*time.Millisecond + time.Duration(x*float64(3*time.Second)), target.Done
	}
	s.platform.Fleet.CrossIncarnations = c.Work == allWork
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, errors.Wrap(err, "create directory")
	}
	s.dir = dir
	out, err := os.Create(filepath.Join(dir, "soak.log"))
	if err != nil {
		return nil, errors.Wrap(err, "create log")
	}
	context.AfterFunc(s.ctx, func() { _ = out.Close() }) // late calls may still be traced; nobody reads that
	s.trace = log.New(out, "", log.Ltime|log.Lmicroseconds|log.LUTC)

	return s, s.start()
}

// start starts the emulated platform and the VMs, and waits until all VMs are ready.
func (s *soak) start() error {
	for i := range s.Workers {
		s.platform.Fleet.Add(fmt.Sprintf("k%d", i), "s", fmt.Sprintf("r%d", i/4), work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
	}
	go s.platform.Fleet.Run(s.ctx)
	ln, err := (&net.ListenConfig{}).Listen(s.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.server = &http.Server{Handler: s.platform.Handler(), ReadHeaderTimeout: readyTimeout}
	if s.Work == restartedWork {
		s.restarts = newRestarts(s)
		s.server.Handler = s.restarts.handler(s.server.Handler)
	}
	go func() {
		if err := s.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			s.failf("emulated platform stopped: %v", err)
		}
	}()
	if s.workerProxy, err = proxy.New(s.ctx, ln.Addr().String()); err != nil {
		return err
	}
	s.publish()
	go s.platform.PublishWorkers(s.ctx, s.workerProxy.Address)
	for i := range s.VMs {
		p, err := s.newProcess(i, ln.Addr().String())
		if err != nil {
			return err
		}
		s.vms = append(s.vms, p)
		if s.isPlanned() && i%addedShare == addedShare-1 {
			continue // it is added during the run
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	if s.Quota {
		go s.limitCPU()
	}

	return s.awaitReady()
}

func (s *soak) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.published = time.Now()
	s.platform.PublishConfig(s.version)
}

func (s *soak) awaitReady() error {
	until := time.Now().Add(readyTimeout)
	for time.Now().Before(until) {
		n := 0
		for _, p := range s.vms {
			if p.pid.Load() == 0 || p.ready(s.ctx) {
				n++
			}
		}
		if n == len(s.vms) {
			return nil
		}
		time.Sleep(pollInterval)
	}

	return errors.Errorf("not all of %d VMs are ready after %v", len(s.vms), readyTimeout)
}

func (s *soak) failf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// run injects faults under load, then ends all faults and waits for all jobs to end. It
// returns the failures.
func (s *soak) run(faultTime time.Duration) []string {
	switch s.Work {
	case randomFaults:
		s.runFaults(faultTime, s.injectFault, maxFaultInterval)
	case restartedWork:
		s.runFaults(faultTime, s.restarts.begin, maxSeriesPause)
	default:
		s.runPlanned(faultTime)
	}
	for _, f := range s.platform.Fleet.Violations() {
		s.failf("workers: %s", f)
	}
	for _, r := range s.platform.Fleet.Runs() {
		s.trace.Printf("event=run task=%v run=%d worker=%s from=%s to=%s how=%s", r.Task, r.Run, r.Worker, r.From.UTC().Format(traceTime), r.To.UTC().Format(traceTime), r.How)
	}

	return s.failures
}

// runFaults injects faults while jobs are submitted and queried.
func (s *soak) runFaults(faultTime time.Duration, inject func(), maxInterval time.Duration) {
	var wait sync.WaitGroup
	traffic, stop := context.WithCancel(s.ctx)
	wait.Go(func() { s.submitAll(traffic) })
	wait.Go(func() { s.pollStates(traffic) })
	until := time.Now().Add(faultTime)
	for time.Now().Before(until) && s.ctx.Err() == nil {
		s.steps++
		inject()
		time.Sleep(time.Duration(s.rand.Int64N(int64(maxInterval))))
	}
	s.clearFaults()
	stop()
	wait.Wait()
	s.awaitCompletion(s.Calm)
}

// awaitCompletion polls until all accepted jobs have ended, for at most the given time.
func (s *soak) awaitCompletion(settleTime time.Duration) {
	until := time.Now().Add(settleTime)
	for time.Now().Before(until) && s.ctx.Err() == nil {
		s.queryAll(s.ctx)
		if len(s.unfinished()) == 0 {
			return
		}
		time.Sleep(pollInterval)
	}
	for id, state := range s.unfinished() {
		s.failf("job %s is still %q %v after the end of the faults", id, state, settleTime)
	}
}

// unfinished returns the accepted jobs that are not known to have ended.
func (s *soak) unfinished() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	unfinished := map[string]string{}
	for id, state := range s.accepted {
		if !final(state) {
			unfinished[id] = state
		}
	}

	return unfinished
}

// close stops the processes and servers of the run. It copies the logs to Logs if the
// run failed.
func (s *soak) close(failed bool) {
	for _, p := range s.vms {
		p.kill()
		p.storeProxy.Close()
		_ = p.reserved.Close() // nothing has connected to it
	}
	s.workerProxy.Close()
	_ = s.server.Close() // the run has ended; a close error loses nothing
	s.cancel()
	if failed && s.Logs != "" {
		to := filepath.Join(s.Logs, fmt.Sprintf("soak-%d", s.Seed))
		if err := os.CopyFS(to, os.DirFS(s.dir)); err != nil {
			fmt.Fprintln(os.Stderr, "soak: copy logs:", err)
		}
	}
	_ = os.RemoveAll(s.dir) // files left in the temporary directory do no harm
}
