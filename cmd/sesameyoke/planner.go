package main

import (
	"time"

	"sesameyoke/internal/core/policy"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/run/engine"
	"sesameyoke/internal/run/entry"
	"sesameyoke/internal/run/lead"
	"sesameyoke/platform"
)

// Intervals and bounds of the planner.
const (
	workerLease   = 6 * time.Second
	workerWait    = 1800 * time.Millisecond // longest wait of a worker's report
	workerCall    = 700 * time.Millisecond
	startCall     = 450 * time.Millisecond
	discoverEvery = 400 * time.Millisecond
	recoverWait   = 800 * time.Millisecond
	evictAfter    = 400 * time.Millisecond
	claimLife     = 1500 * time.Millisecond
	refusedPause  = time.Second
	straggle      = 15 * time.Second // orders without an answer have been executed up to 12 s later
	callsPerCore  = 160              // calls to workers that are made at a time
	callsLeast    = 24
)

func (v *vm) engineConfig(st *store.Store, l *lead.Lease, f *entry.Follower, w *platform.Waves) engine.Config {
	d := &platform.Discovery{Store: st, Log: v.log}
	c := engine.Config{
		Name:  v.entry.Name,
		Store: st, Workers: platform.NewWorkers(v.log), Lease: l,
		Timing: engine.Timing{
			Lease: min(workerLease, v.boot.LongHold), LongHold: v.boot.LongHold, Overrun: leaseKeep - leaseBrief, Wait: workerWait,
			Call: workerCall, Start: startCall, Discover: discoverEvery, Keep: v.boot.Status + v.boot.Status/4, Recover: recoverWait,
			Evict: evictAfter, Claim: claimLife, Backoff: refusedPause, Straggle: straggle,
			Restore: v.boot.Restore, HostLease: v.boot.HostLease, Maintenance: v.boot.Upkeep,
		},
		Policy: func() *policy.Policy { return f.Policy() },
		Calls:  max(callsLeast, int(callsPerCore*v.boot.Cores)), Late: v.lag.Late,
		Boot: sinceBoot, Now: time.Now, Log: v.log, Count: v.count, Observe: v.metrics.Time,
		Discover: d.Changes,
		Advise:   platform.NewAdvice(v.boot.Advice),
	}
	if v.boot.Cloud != "" {
		c.Cloud = platform.NewCloud(v.boot.Cloud, st, w)
	}

	return c
}
