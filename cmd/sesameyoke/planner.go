package main

import (
	"net/http"
	"time"

	"sesameyoke/internal/core/policy"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/run/engine"
	"sesameyoke/internal/run/entry"
	"sesameyoke/internal/run/lead"
	"sesameyoke/platform"
)

// Intervals and limits of the planner.
const (
	workerLease         = 6 * time.Second
	reportWait          = 1800 * time.Millisecond // long-poll wait for a worker's report
	orderTimeout        = 700 * time.Millisecond
	startTimeout        = 450 * time.Millisecond
	discoverInterval    = 400 * time.Millisecond  // between reads of the list of workers
	firstReportsTimeout = 800 * time.Millisecond  // of the wait for the workers' first reports after a takeover
	evictAfter          = 400 * time.Millisecond  // urgent work waits this long for capacity before it preempts other work
	claimTTL            = 1500 * time.Millisecond // capacity that preemption has freed stays claimed for this time
	refusalBackoff      = time.Second             // a worker that refused a start receives no further ones for this time
	lateOrderWindow     = 15 * time.Second        // unanswered orders have been executed up to 12 s after they were sent
	callsPerCore        = 160                     // limit of concurrent calls to workers per core of this VM
	maxKept             = 32 << 20                // size of all jobs, in bytes, from which no further ones are accepted
	keptShare           = 0.15                    // share of this VM's memory that they may take at most
	handinShare         = 4                       // a VM may append this part of that size to the store at once without the planner
	minCalls            = 24                      // lower limit of the concurrent calls, for VMs with few cores
)

// engineConfig returns the configuration of the engine for one term as planner, which uses the
// connections of t.
func (v *vm) engineConfig(t *http.Transport, st *store.Store, l *lead.Lease, watcher *entry.ConfigWatcher, w *platform.Waves) engine.Config {
	d := &platform.Discovery{Store: st, Log: v.log}
	c := engine.Config{
		Name:  v.entry.Name,
		Store: st, Workers: platform.NewWorkers(t, v.log), Lease: l,
		Timing: engine.Timing{
			WorkerLease: min(workerLease, v.settings.MaxWorkerLease), MaxLease: v.settings.MaxWorkerLease, PredecessorValidity: leaseValidity - deadHolderTimeout, ReportWait: reportWait,
			OrderTimeout: orderTimeout, StartTimeout: startTimeout, DiscoverInterval: discoverInterval,
			Retention: v.settings.JobRetention + v.settings.JobRetention/4, FirstReportsTimeout: firstReportsTimeout,
			EvictAfter: evictAfter, ClaimTTL: claimTTL, RefusalBackoff: refusalBackoff, LateOrderWindow: lateOrderWindow,
			RestoreTime: v.settings.Restore, HostLease: v.settings.HostLease, HostDowntime: v.settings.MaintenanceTime,
		},
		Policy:      func() *policy.Policy { return watcher.Policy() },
		RecordBytes: v.settings.RecordBytes, RequestBytes: v.settings.RequestBytes, KeptBytes: v.keptBytes(), MaxCalls: max(minCalls, int(callsPerCore*v.settings.Cores)), SchedulingDelay: v.lag.Max,
		SinceBoot: sinceBoot, Now: time.Now, Log: v.log, Count: v.count, Observe: v.metrics.Time,
		Discover: d.Changes, AllReadCompact: v.entry.AllReadCompact,
		Advise: platform.NewPlacementAdvisor(v.settings.PlacementService, t),
	}
	if v.evac != nil {
		c.Evacuated, c.EvacuatedAge, c.Timing.Evacuate = v.evac.Domains, v.evac.Age, v.settings.Evacuate
	}
	if v.settings.Cloud != "" {
		c.Cloud = platform.NewCloud(v.settings.Cloud, t, st, w)
	}

	return c
}

// keptBytes returns the size of all jobs from which no further ones are accepted. A new planner holds
// their records and what it decodes from them at the same time.
func (v *vm) keptBytes() int {
	return min(maxKept, int(keptShare*float64(v.settings.MemoryMB)*(1<<20)))
}
