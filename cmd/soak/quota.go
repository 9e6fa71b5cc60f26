package main

import (
	"runtime"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	quotaPeriod   = 100 * time.Millisecond // in which a process may use its share of a core, and then waits
	quotaInterval = 4 * time.Millisecond   // between two readings of the processor time
	weakCores     = 0.192
	strongCores   = 0.8
	strongShare   = 5   // one VM of this many has strongCores
	defaultCores  = 0.4 // of each VM without a quota
)

// limitCPU keeps the VMs within their quota of processor time until the run ends: it suspends a process
// that has used its share of a period for the rest of that period.
func (s *soak) limitCPU() {
	type usage struct {
		pid       int64
		used      time.Duration // at the beginning of the period
		suspended bool
	}
	all := make([]usage, len(s.vms))
	period := time.Now()
	for s.ctx.Err() == nil {
		time.Sleep(quotaInterval)
		next := time.Since(period) >= quotaPeriod
		if next {
			period = time.Now()
		}
		for i, p := range s.vms {
			u, pid := &all[i], p.pid.Load()
			if pid == 0 || p.paused.Load() {
				continue
			}
			if pid != u.pid {
				*u = usage{pid: pid}
			}
			switch used := processorTime(pid); {
			case next && u.suspended:
				_ = syscall.Kill(int(pid), syscall.SIGCONT) // it may have ended
				u.used, u.suspended = used, false
			case next:
				u.used = used
			case !u.suspended && float64(used-u.used) >= p.cores*float64(quotaPeriod):
				u.suspended = syscall.Kill(int(pid), syscall.SIGSTOP) == nil
			}
		}
	}
}

// processorTime returns the processor time that a process has used; 0 if it has ended.
func processorTime(pid int64) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|2), &ts); err != nil { // the kernel's number of the clock of a process
		return 0
	}

	return time.Duration(ts.Nano())
}

// onFirstCPUs calls f on a thread that may use only the first n processors, as the processes that f
// starts; 0 means all.
func onFirstCPUs(n int, f func() error) error {
	if n == 0 {
		return f()
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var old, set unix.CPUSet
	if err := unix.SchedGetaffinity(0, &old); err != nil {
		return err
	}
	for i := range n {
		set.Set(i)
	}
	if err := unix.SchedSetaffinity(0, &set); err != nil {
		return err
	}
	defer func() { _ = unix.SchedSetaffinity(0, &old) }() // it was accepted before

	return f()
}
