package serve

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sesameyoke/internal/core/plan"
	"sesameyoke/internal/peer/entry"
	"sesameyoke/internal/peer/entry/entrypb"
	"sesameyoke/internal/peer/log"
	"sesameyoke/internal/peer/vms"
	"sesameyoke/internal/run/planner"
)

const (
	maxFetchRecords = 2000 // maximum number of records that one call fetches from a peer
	snapshotTimeout = 20 * time.Second
)

// vmList caches the platform's VM list. While the list service is unavailable, the list
// that was read last stays in use.
type vmList struct {
	client *vms.Client

	mu     sync.RWMutex
	byName map[string]vms.VM
}

func (l *vmList) init() {
	l.byName = make(map[string]vms.VM)
}

func (l *vmList) refresh(ctx context.Context) {
	list, err := l.client.List(ctx)
	if err != nil {
		return
	}
	m := make(map[string]vms.VM, len(list))
	for _, vm := range list {
		m[vm.Name] = vm
	}
	l.mu.Lock()
	defer l.mu.Unlock()

	l.byName = m
}

func (l *vmList) get(name string) vms.VM {
	l.mu.RLock()
	defer l.mu.RUnlock()

	return l.byName[name]
}

// entryAddresses returns the addresses of the listed entry VMs.
func (l *vmList) entryAddresses() []string {
	l.mu.RLock()
	defer l.mu.RUnlock()

	var out []string
	for _, vm := range l.byName {
		if vm.Role == vms.RoleEntry {
			out = append(out, vm.Address)
		}
	}

	return out
}

// self returns this VM's own state, as it is sent in heartbeats.
func (v *VM) self() entry.Member {
	return entry.Member{
		Name: v.Settings.Name, Address: v.Settings.Listen, Region: v.Settings.Region, Domain: v.Settings.Domain,
		Incarnation: v.incarnation, Leaving: v.announceLeaving.Load(), Ready: v.ready.Load(),
		ConfigOffset: v.tails[streamConfig].Applied(), JobsOffset: v.tails[streamJobs].Applied(),
	}
}

// recordPeerOffsets notes the offsets that a peer has applied, so that catchUp fetches
// the records that this VM lacks.
func (v *VM) recordPeerOffsets(m entry.Member) {
	v.tails[streamConfig].Observe(m.ConfigOffset)
	v.tails[streamJobs].Observe(m.JobsOffset)
}

// catchUp fetches from peers the records that they have applied and this VM has not,
// and marks this VM as ready once it has applied every offset it knows of.
func (v *VM) catchUp(ctx context.Context) {
	for stream, tail := range v.tails {
		if tail.Applied() < tail.HighestSeen() {
			v.fetch(ctx, stream, tail)
		}
	}
	if v.ready.Load() {
		return
	}
	for _, tail := range v.tails {
		if tail.Applied() < tail.HighestSeen() || !tail.Alive() && tail.Applied() < 0 {
			return
		}
	}
	if !v.tails[streamConfig].Alive() && len(v.members.Live()) < 2 {
		return // neither the log nor a peer has reported its newest offset
	}
	v.ready.Store(true)
	v.Log.Info().Str("event", "ready").Int64("config", v.tails[streamConfig].Applied()).
		Int64("jobs", v.tails[streamJobs].Applied()).Msg("")
}

// fetch gets records from the peer with the highest applied offset, or a snapshot of
// the state if the peer no longer has the records in memory.
func (v *VM) fetch(ctx context.Context, stream string, tail *log.Tail) {
	source := entry.Member{}
	highest := tail.Applied()
	for _, m := range v.members.Live() {
		offset := m.ConfigOffset
		if stream == streamJobs {
			offset = m.JobsOffset
		}
		if m.Name != v.Settings.Name && offset > highest {
			source, highest = m, offset
		}
	}
	if source.Name == "" {
		return
	}
	peer := v.members.Peer(source.Address)
	callCtx, cancelCall := context.WithTimeout(ctx, v.Settings.Timing.CallTimeout.Duration)
	reply, err := peer.Records(callCtx, &entrypb.RecordsRequest{Stream: stream, From: tail.Applied() + 1, Max: maxFetchRecords})
	cancelCall()
	if err != nil {
		return
	}
	if !reply.Missing {
		tail.Feed(reply.First, reply.Records)
		v.metrics.Count("peer_records", map[string]string{"stream": stream})

		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()

	snap, err := peer.Snapshot(ctx, &entrypb.SnapshotRequest{Stream: stream})
	if err != nil {
		return
	}
	if err := tail.Restore(snap.Upto, snap.State); err != nil {
		v.Log.Error().Str("event", "restore").Str("stream", stream).Str("error", err.Error()).Msg("")

		return
	}
	v.Log.Info().Str("event", "restore").Str("stream", stream).Str("peer", source.Name).Int64("upto", snap.Upto).Msg("")
}

// snapshot appends a snapshot of each stream's state to the log if this VM writes the
// stream's snapshots and Limits.SnapshotInterval offsets have passed since the last one.
// A snapshot must be in the log long before the records that it replaces expire. If two VMs
// write one at the same time, this does no harm.
func (v *VM) snapshot(ctx context.Context) {
	for stream, tail := range v.tails {
		if !v.ready.Load() || tail.SinceSnapshot() < v.Settings.Limits.SnapshotInterval || !v.writesSnapshots(stream) {
			continue
		}
		upto, state, err := tail.Snapshot()
		if err != nil {
			continue
		}
		parts, err := log.SplitSnapshot(v.incarnation, upto, state)
		if err != nil {
			continue
		}
		for _, p := range parts {
			if _, err := v.writers[stream].Append(ctx, stream, [][]byte{p}); err != nil {
				return // retried at the next interval
			}
		}
		v.Log.Info().Str("event", "snapshot").Str("stream", stream).Int64("upto", upto).Int("bytes", len(state)).Msg("")
	}
}

// writesSnapshots reports whether this VM writes the snapshots of a stream. The VM is
// chosen by rendezvous hashing among those that are ready and not leaving.
func (v *VM) writesSnapshots(stream string) bool {
	best := ""
	var bestHash uint64
	for _, m := range v.members.Live() {
		h := xxhash.Sum64String(stream + "/" + m.Name)
		if m.Ready && !m.Leaving && (best == "" || h > bestHash) {
			best, bestHash = m.Name, h
		}
	}

	return best == v.Settings.Name
}

// ensurePlanners starts a planner for each region of the fleet that has none on this VM.
// Each of them is active only while this VM is the region's planner.
func (v *VM) ensurePlanners() {
	v.plannerOf(v.Settings.Region)
	for _, r := range v.config.get().Fleet.Racks {
		v.plannerOf(r.Region)
	}
}

// plannerOf returns this VM's planner for a region, which may be inactive. It starts one
// if there is none.
func (v *VM) plannerOf(region string) *planner.Planner {
	v.mu.Lock()
	defer v.mu.Unlock()

	p, ok := v.planners[region]
	if ok {
		return p
	}
	p = planner.New(planner.Config{
		Self: v.Settings.Name, Region: region, Timing: v.Settings.Timing, Ledger: v.ledger,
		Configuration: v.config.get, Planning: func() bool { return v.IsPlanner(region) },
		Address: func(w string) string { return v.vmList.get(w).Address },
		Leaving: func(w string) bool { return v.vmList.get(w).Leaving },
		Workers: v.workers, LogAlive: v.logAlive, Commit: v.commit, Timer: v.timer,
		Metrics: v.metrics, Log: v.Log, WrapCalls: v.WrapCalls,
	})
	v.planners[region] = p
	v.timer.Go(p.Run)

	return p
}

func (v *VM) allPlanners() []*planner.Planner {
	v.mu.Lock()
	defer v.mu.Unlock()

	out := make([]*planner.Planner, 0, len(v.planners))
	for _, p := range v.planners {
		out = append(out, p)
	}

	return out
}

// IsPlanner reports whether this VM is the planner of a region.
func (v *VM) IsPlanner(region string) bool {
	m, ok := v.members.Planner(region)

	return ok && m.Name == v.Settings.Name
}

func (v *VM) logAlive() bool {
	return v.tails[streamJobs].Alive()
}

// ownRacks returns the occupancy of the regions that this VM plans.
func (v *VM) ownRacks(ctx context.Context) []plan.Occupancy {
	out := make([]plan.Occupancy, 0, len(v.config.get().Fleet.Racks))
	for _, p := range v.allPlanners() {
		out = append(out, p.Occupancy(ctx)...)
	}

	return out
}

// racks returns the occupancy of all regions. It asks the planners of the regions that
// this VM does not plan, and omits those that do not answer.
func (v *VM) racks(ctx context.Context) []plan.Occupancy {
	ctx, cancel := context.WithTimeout(ctx, v.Settings.Timing.CallTimeout.Duration)
	defer cancel()

	out := v.ownRacks(ctx)
	asked := map[string]bool{v.Settings.Name: true}
	for _, r := range v.config.get().Fleet.Racks {
		m, ok := v.members.Planner(r.Region)
		if !ok || asked[m.Name] {
			continue
		}
		asked[m.Name] = true
		reply, err := v.members.Peer(m.Address).Racks(ctx, &entrypb.RacksRequest{Region: r.Region})
		if err != nil {
			continue
		}
		var occupancy []plan.Occupancy
		if json.Unmarshal(reply.Racks, &occupancy) == nil {
			out = append(out, occupancy...)
		}
	}

	return out
}
