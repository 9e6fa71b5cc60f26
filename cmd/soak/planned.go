package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"sesameyoke/internal/standin/fleet"
)

// Kinds of work on the VMs during a run. There is restartedWork, too.
const (
	randomFaults = "faults"  // unplanned faults, and graceful restarts one at a time
	plannedWork  = "planned" // only series of graceful restarts, signals, configurations and added VMs, which overlap
	allWork      = "all"     // both
)

const (
	probeInterval   = time.Second // of the load balancer
	probeMisses     = 2           // after which a VM gets no new connections
	observeInterval = 200 * time.Millisecond
	maxLateness     = 200 * time.Millisecond // of the soak, beyond which the emulated platform is too slow for its checks
	maxPlannedPause = 4 * time.Second        // between the beginnings of two series
	maxRestartGap   = 2 * time.Second        // between two graceful restarts of a series
	maxSignalGap    = 500 * time.Millisecond
	maxSignals      = 4 // SIGHUPs or configurations of a series
	maxDowntime     = time.Second
	addedShare      = 8               // one VM of this many starts only during the run
	calmBefore      = 4 * time.Second // after the faults, from which on no job may wait
	// Largest share of the lease renewals that are carried out late, and of those without an answer.
	maxRenewalFaults = 0.1
)

// planned runs the clients, the load balancer and the planned work.
type planned struct {
	*soak
	rand *rand.Rand
	wait sync.WaitGroup
}

// isPlanned reports whether there is planned work, with its load.
func (s *soak) isPlanned() bool { return s.Work == plannedWork || s.Work == allWork }

// runPlanned does planned work under load for the given time, together with the faults of injectFault
// if Work is allWork.
func (s *soak) runPlanned(d time.Duration) {
	p := &planned{soak: s, rand: rand.New(rand.NewPCG(s.Seed, 3))}
	traffic, stop := context.WithCancel(s.ctx)
	var load sync.WaitGroup
	for i := range s.Clients {
		c := &client{s: s, rand: rand.New(rand.NewPCG(s.Seed, 100+uint64(i)))}
		interval := time.Duration(float64(s.Clients) * float64(time.Second) / s.Rate / submitShare)
		load.Go(func() { c.run(traffic, i, interval) })
	}
	observer, end := context.WithCancel(s.ctx)
	load.Go(func() { s.balance(traffic) })
	idle := make(chan []*fleet.IdleWait)
	go func() { idle <- s.observeIdle(observer) }()
	until := time.Now().Add(d)
	for time.Now().Before(until) && s.ctx.Err() == nil {
		s.steps++
		p.begin()
		if s.Work == allWork {
			s.injectFault()
			s.platform.Fleet.SetRenewalFaults(maxRenewalFaults*p.rand.Float64(), maxRenewalFaults*p.rand.Float64())
		}
		time.Sleep(time.Duration(p.rand.Int64N(int64(maxPlannedPause))))
	}
	p.wait.Wait()
	s.clearFaults()
	calm := time.Now().Add(calmBefore)
	stop()
	load.Wait()
	s.awaitCompletion(s.Calm)
	end()
	for _, w := range <-idle {
		if s.Work == plannedWork || w.From.After(calm) {
			s.failf("idle at %s: %v", w.From.UTC().Format("15:04:05.000"), w)
		}
	}
	s.queryAtEnd()
}

// begin begins one series of planned work. It does not wait for its end, so that series overlap.
func (p *planned) begin() {
	first, n := p.rand.IntN(len(p.vms)), 1+p.rand.IntN(len(p.vms))
	series := rand.New(rand.NewPCG(p.Seed, p.rand.Uint64()))
	pause := func(most time.Duration) { time.Sleep(time.Duration(series.Int64N(int64(most)))) }
	switch p.rand.IntN(5) {
	case 0, 1:
		p.wait.Go(func() {
			gap := time.Duration(series.Int64N(int64(maxRestartGap)))
			for i := range min(n, int(maxPlannedPause/(gap+1))+1) {
				vm, down := p.vms[(first+i)%len(p.vms)], time.Duration(series.Int64N(int64(maxDowntime)))
				p.wait.Go(func() { vm.replace(down) })
				time.Sleep(gap)
			}
		})
	case 2:
		p.wait.Go(func() {
			for range 1 + series.IntN(maxSignals) {
				for i := range n {
					p.vms[(first+i)%len(p.vms)].reload()
				}
				pause(maxSignalGap)
			}
		})
	case 3:
		p.wait.Go(func() {
			for range 1 + series.IntN(maxSignals) {
				p.publish()
				pause(maxSignalGap)
			}
		})
	case 4:
		for _, vm := range p.vms {
			if vm.add() {
				break
			}
		}
	}
}

// replace requests a graceful shutdown and starts the process again after a downtime, unless that is
// going on already.
func (p *process) replace(down time.Duration) {
	if !p.work.TryLock() {
		return
	}
	defer p.work.Unlock()
	if p.pid.Load() == 0 {
		return
	}
	p.terminated.Store(time.Now().UnixMilli())
	p.stopGracefully()
	time.Sleep(down)
	if err := p.start(); err != nil {
		p.s.failf("restart %s: %v", p.name, err)
	}
}

// reload sends SIGHUP to a process that is not being restarted.
func (p *process) reload() {
	if !p.work.TryLock() {
		return
	}
	defer p.work.Unlock()
	if p.pid.Load() == 0 {
		return
	}
	p.reloaded.Store(time.Now().UnixMilli())
	p.signal(syscall.SIGHUP)
}

// add starts a VM that has not run yet, and reports whether it is one.
func (p *process) add() bool {
	p.work.Lock()
	defer p.work.Unlock()
	if p.cmd != nil {
		return false
	}
	if err := p.start(); err != nil {
		p.s.failf("add %s: %v", p.name, err)
	}

	return true
}

// history tells when planned work was done on a VM last.
func (p *process) history() string {
	ago := func(ms int64) string {
		if ms == 0 {
			return "none"
		}

		return fmt.Sprint(time.Now().UnixMilli()-ms, "ms before")
	}
	p.s.mu.Lock()
	published := p.s.published.UnixMilli()
	p.s.mu.Unlock()

	return fmt.Sprintf("SIGTERM %s, SIGHUP %s, configuration %s", ago(p.terminated.Load()), ago(p.reloaded.Load()), ago(published))
}

// balance probes the VMs as the load balancer does, until the context ends.
func (s *soak) balance(ctx context.Context) {
	misses := make([]int, len(s.vms))
	for ctx.Err() == nil {
		var ready []*process
		var probes sync.WaitGroup
		for i, p := range s.vms {
			probes.Go(func() {
				misses[i]++
				if p.ready(ctx) {
					misses[i] = 0
				}
			})
		}
		probes.Wait()
		for i, p := range s.vms {
			if misses[i] < probeMisses && p.pid.Load() != 0 {
				ready = append(ready, p)
			}
		}
		s.mu.Lock()
		s.rotation = ready
		s.mu.Unlock()
		time.Sleep(probeInterval)
	}
}

// inRotation returns the VMs that get new connections: all if fewer than half are ready.
func (s *soak) inRotation() []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	if 2*len(s.rotation) < len(s.vms) {
		return s.vms
	}

	return s.rotation
}

// observeIdle returns the waits of jobs that have no run although there is room, until the context ends.
func (s *soak) observeIdle(ctx context.Context) []*fleet.IdleWait {
	check := fleet.IdleCheck{Fleet: s.platform.Fleet, Service: "s"}
	due := time.Now()
	for ctx.Err() == nil {
		if time.Since(due) > maxLateness { // the waits so far may be due to the emulated platform
			s.heldUp.Store(time.Now().UnixMilli())
			s.heldUps.Add(1)
			check = fleet.IdleCheck{Fleet: check.Fleet, Service: check.Service, Found: check.Found}
		}
		due = time.Now().Add(observeInterval)
		check.Observe(slices.Collect(maps.Keys(s.unfinished())))
		time.Sleep(observeInterval)
	}

	return check.Found
}

// queryAtEnd asks for all accepted jobs. Each must be known, and answered in time.
func (s *soak) queryAtEnd() {
	s.mu.Lock()
	ids := slices.Collect(maps.Keys(s.accepted))
	s.mu.Unlock()
	for i, id := range ids {
		p := s.vms[i%len(s.vms)]
		if p.pid.Load() == 0 {
			continue
		}
		if status, _, err := s.call(s.ctx, http.MethodGet, p, id, nil); err != nil || status != http.StatusOK {
			s.failf("job %s at the end: status %d from %s, %v", id, status, p.name, err)
		}
	}
	for _, id := range ids {
		if s.state(id) == "failed" {
			s.platform.Fleet.CheckGivenUp(id)
		}
	}
}
