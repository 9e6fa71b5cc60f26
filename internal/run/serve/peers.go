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
	fetchMax        = 2000
	snapshotTimeout = 20 * time.Second
)

// directory is the VM list as last read. It is kept while the list is down.
type directory struct {
	client *vms.Client

	mu     sync.RWMutex
	byName map[string]vms.VM
}

func (d *directory) start() {
	d.byName = make(map[string]vms.VM)
}

func (d *directory) refresh(ctx context.Context) {
	list, err := d.client.List(ctx)
	if err != nil {
		return
	}
	m := make(map[string]vms.VM, len(list))
	for _, vm := range list {
		m[vm.Name] = vm
	}
	d.mu.Lock()
	defer d.mu.Unlock()

	d.byName = m
}

func (d *directory) get(name string) vms.VM {
	d.mu.RLock()
	defer d.mu.RUnlock()

	return d.byName[name]
}

// entries returns the addresses of the entry VMs.
func (d *directory) entries() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()

	var out []string
	for _, vm := range d.byName {
		if vm.Role == vms.RoleEntry {
			out = append(out, vm.Address)
		}
	}

	return out
}

// self is what this VM says of itself in heartbeats.
func (v *VM) self() entry.Member {
	return entry.Member{
		Name: v.Settings.Name, Address: v.Settings.Listen, Region: v.Settings.Region, Domain: v.Settings.Domain,
		Life: v.life, Leaving: v.gone.Load(), Ready: v.ready.Load(),
		Config: v.tails[streamConfig].Applied(), Jobs: v.tails[streamJobs].Applied(),
	}
}

// shown notes how far a peer has come.
func (v *VM) shown(m entry.Member) {
	v.tails[streamConfig].Show(m.Config)
	v.tails[streamJobs].Show(m.Jobs)
}

// catchUp fetches from peers what they have applied and this VM has not, and
// decides whether this VM is ready.
func (v *VM) catchUp(ctx context.Context) {
	for stream, tail := range v.tails {
		if tail.Applied() < tail.Shown() {
			v.fetch(ctx, stream, tail)
		}
	}
	if v.ready.Load() {
		return
	}
	for _, tail := range v.tails {
		if tail.Applied() < tail.Shown() || !tail.Alive() && tail.Applied() < 0 {
			return
		}
	}
	if !v.tails[streamConfig].Alive() && len(v.members.Live()) < 2 {
		return // neither the log nor a peer has shown how far the others are
	}
	v.ready.Store(true)
	v.Log.Info().Str("event", "ready").Int64("config", v.tails[streamConfig].Applied()).
		Int64("jobs", v.tails[streamJobs].Applied()).Msg("")
}

// fetch takes records, or the whole state, from the peer that is furthest ahead.
func (v *VM) fetch(ctx context.Context, stream string, tail *log.Tail) {
	best := entry.Member{}
	top := tail.Applied()
	for _, m := range v.members.Live() {
		at := m.Config
		if stream == streamJobs {
			at = m.Jobs
		}
		if m.Name != v.Settings.Name && at > top {
			best, top = m, at
		}
	}
	if best.Name == "" {
		return
	}
	peer := v.members.Peer(best.Address)
	short, stop := context.WithTimeout(ctx, v.Settings.Timing.Call.Duration)
	reply, err := peer.Records(short, &entrypb.RecordsRequest{Stream: stream, From: tail.Applied() + 1, Max: fetchMax})
	stop()
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
	v.Log.Info().Str("event", "restore").Str("stream", stream).Str("peer", best.Name).Int64("upto", snap.Upto).Msg("")
}

// snapshot writes the folded state of a stream to the log again, long before the
// records that it stands for expire. The writer is chosen by hashing; two writers
// do no harm.
func (v *VM) snapshot(ctx context.Context) {
	for stream, tail := range v.tails {
		if !v.ready.Load() || tail.Unsaved() < v.Settings.Limits.Snapshot || !v.writes(stream) {
			continue
		}
		upto, state, err := tail.Snapshot()
		if err != nil {
			continue
		}
		parts, err := log.Parts(v.life, upto, state)
		if err != nil {
			continue
		}
		for _, p := range parts {
			if _, err := v.writers[stream].Append(ctx, stream, [][]byte{p}); err != nil {
				return // tried again at the next turn
			}
		}
		v.Log.Info().Str("event", "snapshot").Str("stream", stream).Int64("upto", upto).Int("bytes", len(state)).Msg("")
	}
}

func (v *VM) writes(stream string) bool {
	best := ""
	var top uint64
	for _, m := range v.members.Live() {
		h := xxhash.Sum64String(stream + "/" + m.Name)
		if m.Ready && !m.Leaving && (best == "" || h > top) {
			best, top = m.Name, h
		}
	}

	return best == v.Settings.Name
}

// plan makes sure that there is a planner for each region of the fleet; each
// decides by itself whether it is this VM's turn.
func (v *VM) plan() {
	v.plannerOf(v.Settings.Region)
	for _, r := range v.config.get().Fleet.Racks {
		v.plannerOf(r.Region)
	}
}

func (v *VM) plannerOf(region string) *planner.Planner {
	v.mu.Lock()
	defer v.mu.Unlock()

	p, ok := v.planners[region]
	if ok {
		return p
	}
	p = planner.New(planner.Config{
		Self: v.Settings.Name, Region: region, Timing: v.Settings.Timing, Ledger: v.ledger,
		Rules: v.config.get, Planning: func() bool { return v.Plans(region) },
		Address: func(w string) string { return v.list.get(w).Address },
		Leaving: func(w string) bool { return v.list.get(w).Leaving },
		Workers: v.workers, LogAlive: v.logAlive, Commit: v.commit, Timer: v.timer,
		Metrics: v.metrics, Log: v.Log, Ports: v.Ports,
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

// Plans reports whether this VM is the planner of a region.
func (v *VM) Plans(region string) bool {
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

// racks returns the occupancy of all regions, asking their planners.
func (v *VM) racks(ctx context.Context) []plan.Occupancy {
	ctx, cancel := context.WithTimeout(ctx, v.Settings.Timing.Call.Duration)
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
		var theirs []plan.Occupancy
		if json.Unmarshal(reply.Racks, &theirs) == nil {
			out = append(out, theirs...)
		}
	}

	return out
}
