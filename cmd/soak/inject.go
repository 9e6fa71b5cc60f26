package main

import (
	"fmt"
	"time"

	"sesameyoke/internal/standin/fleet"
	"sesameyoke/internal/standin/proxy"
)

// injectFault injects or ends one random fault. Faults may overlap and recur.
func (s *soak) injectFault() {
	p := s.vms[s.rand.IntN(len(s.vms))]
	switch s.rand.IntN(15) {
	case 0, 1:
		p.restart()
	case 2:
		p.restartGracefully()
	case 3:
		p.pause()
	case 4, 5:
		for _, o := range s.vms {
			if o.paused.Load() {
				o.resume()
			}
		}
	case 6:
		p.storeProxy.SetMode([]proxy.Mode{proxy.Delay, proxy.Reset, proxy.DropReplies, proxy.Blackhole}[s.rand.IntN(4)])
	case 7:
		for _, o := range s.vms {
			o.storeProxy.SetMode(proxy.Pass)
		}
	case 8:
		s.workerProxy.SetMode([]proxy.Mode{proxy.Delay, proxy.Reset, proxy.Blackhole, proxy.Pass}[s.rand.IntN(4)])
	default:
		s.injectPlatformFault()
	}
}

// injectPlatformFault injects or ends a fault of the store or a worker, or publishes the
// next version of the configuration.
func (s *soak) injectPlatformFault() {
	worker := fmt.Sprintf("k%d", s.rand.IntN(s.Workers))
	switch s.rand.IntN(6) {
	case 0:
		s.platform.Store.SetFaults(fleet.StoreFaults{Down: s.rand.IntN(3) == 0, Silent: s.rand.IntN(2) == 0, LostShare: 0.2, LateShare: 0.1})
	case 1:
		s.platform.Store.SetFaults(fleet.StoreFaults{})
	case 2:
		s.platform.Fleet.Restart(worker)
	case 3:
		s.platform.Fleet.Cut(worker, s.rand.IntN(2) == 0)
	case 4:
		s.platform.Fleet.SetOrderFaults(0.1*float64(s.rand.IntN(2)), 0.1*float64(s.rand.IntN(2)))
	case 5:
		s.publish()
	}
}

// clearFaults ends all faults, and resumes paused VMs.
func (s *soak) clearFaults() {
	if s.Work == restartedWork {
		s.restarts.end()
	}
	s.platform.Store.SetFaults(fleet.StoreFaults{})
	s.platform.Fleet.SetOrderFaults(0, 0)
	s.platform.Fleet.SetRenewalFaults(0, 0)
	s.workerProxy.SetMode(proxy.Pass)
	for i := range s.Workers {
		s.platform.Fleet.Cut(fmt.Sprintf("k%d", i), false)
	}
	for _, p := range s.vms {
		p.storeProxy.SetMode(proxy.Pass)
		if p.paused.Load() {
			p.resume()
		}
	}
	time.Sleep(pollInterval)
}
