package engine

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"sesameyoke/internal/core/maintenance"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/cloud"
	"sesameyoke/internal/run/timer"
)

const (
	waveInterval = 500 * time.Millisecond  // interval between decisions on maintenance waves
	cloudTimeout = time.Second             // timeout of one call to the cloud
	maxLeaseAge  = 1200 * time.Millisecond // hosts receive orders only if the planner lease was renewed within this time
	readyPercent = 100                     // progress in percent from which a long-running task counts as available
)

type (
	// wave is a maintenance wave in progress.
	wave struct {
		cloud.Wave
		done  map[string]bool // hosts that were ordered down for the wave or no longer exist; durable
		Begun int64           // start of the wave in Unix milliseconds; durable

		reported      string                   // state that was last reported to the operator
		unsaved       bool                     // done and Begun are not durable yet
		ordered       map[string]bool          // hosts with an order that may be unanswered; durable before it is sent
		unconfirmed   map[string]time.Duration // hosts with an unanswered order, and until when that may be executed
		cordonedSince map[string]time.Duration // cordoned hosts, and since when
		downSince     map[string]time.Duration // hosts that were ordered down, and when
	}

	// waveRecord is the durable state of a wave.
	waveRecord struct {
		_     struct{} `cbor:",toarray"`
		Done  []string
		Begun int64
	}
)

// maintain executes maintenance waves until the context ends.
func (e *Engine) maintain(ctx context.Context) {
	timer.Pause(ctx, e.Timing.HostLease) // after that, the previous planner sends no orders to hosts
	for ctx.Err() == nil {
		timer.Pause(ctx, waveInterval)
		e.mu.Lock()
		open := e.openWaves()
		e.mu.Unlock()
		if len(open) == 0 || e.Lease.Age() > maxLeaseAge {
			continue
		}
		if err := e.processWaves(ctx, open); err != nil && ctx.Err() == nil {
			e.Log.Warn().Str("event", "maintenance-waits").Err(err).Msg("")
		}
	}
}

// openWaves returns the waves that have not been reported as done, or whose request has named further hosts since.
func (e *Engine) openWaves() []*wave {
	var open []*wave
	for _, requested := range e.Cloud.Waves() {
		w := e.waves[requested.Number]
		if w == nil {
			w = &wave{Begun: e.Now().UnixMilli(), done: map[string]bool{}}
			e.waves[requested.Number] = w
			e.saveWave(w, requested.Number)
			e.Log.Info().Str("event", "wave").Int("wave", requested.Number).Int("hosts", len(requested.Hosts)).
				Int("most", requested.MaxDown).Dur("within", requested.TimeLimit).Msg("")
		}
		if !slices.Equal(w.Hosts, requested.Hosts) && w.dropUnrequested(requested.Hosts) {
			e.saveWave(w, requested.Number)
		}
		w.Wave = requested
		if w.reported == waveDone && w.hasPending() {
			w.reported = ""
		}
		if w.cordonedSince == nil {
			w.unconfirmed, w.cordonedSince, w.downSince = map[string]time.Duration{}, map[string]time.Duration{}, map[string]time.Duration{}
			w.ordered = map[string]bool{}
			e.inheritOrders(w)
		}
		if w.reported != waveDone {
			open = append(open, w)
		}
	}

	return open
}

// dropUnrequested forgets which hosts are done that the operator doesn't request any more. So the record
// is no larger than the operator's request. An order for such a host, if it is requested again, has no
// effect if it has been executed. It reports whether there were any.
func (w *wave) dropUnrequested(requested []string) bool {
	before := len(w.done)
	named := map[string]bool{}
	for _, name := range requested {
		named[name] = true
	}
	maps.DeleteFunc(w.done, func(name string, _ bool) bool { return !named[name] })

	return len(w.done) < before
}

// hasPending reports whether hosts of the wave are not done.
func (w *wave) hasPending() bool {
	return slices.ContainsFunc(w.Hosts, func(name string) bool { return !w.done[name] })
}

// allDone reports whether all hosts of the wave are done, as far as is durable.
func (w *wave) allDone() bool { return !w.unsaved && !w.hasPending() }

// States of a wave, as reported to the operator.
const (
	waveRunning = "running"
	waveDone    = "done"
)

// processWaves reports the open waves to the operator and executes their next decisions.
func (e *Engine) processWaves(ctx context.Context, open []*wave) error {
	call, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	list, err := e.Cloud.Hosts(call)
	if err != nil {
		return err
	}
	hosts := map[string]cloud.Host{}
	for _, h := range list {
		hosts[h.Name] = h
	}
	for _, w := range open {
		if err := e.reportWave(ctx, w); err != nil {
			return err
		}
		e.mu.Lock()
		d := e.decideWave(w, hosts)
		e.mu.Unlock()
		if len(d.Down) == 0 || !e.recordOrders(ctx, w, d.Down) {
			continue
		}
		for _, h := range d.Down {
			e.orderDown(ctx, w, h)
		}
	}

	return nil
}

// reportWave reports the state of a wave to the operator when it has changed.
func (e *Engine) reportWave(ctx context.Context, w *wave) error {
	e.mu.Lock()
	state := waveRunning
	if w.allDone() {
		state = waveDone
	}
	known, done := w.reported == state, len(w.done)
	e.mu.Unlock()
	if known {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	if err := e.Cloud.Report(call, w.Number, state == waveDone); err != nil {
		return errors.Wrapf(err, "report wave %d", w.Number)
	}
	e.Log.Info().Str("event", "wave-reported").Int("wave", w.Number).Str("state", state).Int("done", done).Msg("")
	e.mu.Lock()
	w.reported = state
	if state == waveDone {
		e.dropOrders(w)
	}
	e.mu.Unlock()

	return nil
}

// decideWave decides which hosts go down next. It cordons the workers of these hosts and of
// those that follow, and drains the hosts whose runs must end.
func (e *Engine) decideWave(w *wave, hosts map[string]cloud.Host) maintenance.Decision {
	now := e.SinceBoot()
	input := maintenance.Wave{MaxDown: w.MaxDown, Downtime: e.Timing.HostDowntime}
	input.Remaining = w.TimeLimit - e.Now().Sub(time.UnixMilli(w.Begun))
	for _, name := range w.Hosts {
		input.Hosts = append(input.Hosts, e.toMaintenanceHost(w, name, hosts, now))
	}
	d := maintenance.Decide(input)
	cordoned := slices.Concat(d.Cordon, d.Drain, d.Down, w.unanswered(now))
	for name := range w.cordonedSince {
		if !slices.Contains(cordoned, name) {
			delete(w.cordonedSince, name)
		}
	}
	for _, name := range cordoned {
		if _, ok := w.cordonedSince[name]; !ok {
			w.cordonedSince[name] = now
		}
	}
	e.cordonWorkers(hosts)
	for _, name := range d.Drain {
		e.drainHost(w, name, hosts)
	}
	for _, name := range d.Down {
		if worker := e.workers[hosts[name].Worker]; worker != nil {
			worker.maintainedUntil = now + e.Timing.HostDowntime + maintenanceSlack
		}
	}

	return d
}

// toMaintenanceHost returns a host of a wave as input of a maintenance decision.
func (e *Engine) toMaintenanceHost(w *wave, name string, hosts map[string]cloud.Host, now time.Duration) maintenance.Host {
	h := maintenance.Host{Name: name, CordonedFor: -1, Done: w.done[name]}
	if at, ok := w.cordonedSince[name]; ok {
		h.CordonedFor = now - at
	}
	host, exists := hosts[name]
	if !exists {
		if !h.Done {
			e.markHostDone(w, name) // the host no longer exists
		}
		h.Done = true

		return h
	}
	at, ordered := w.downSince[name]
	h.MaybeDown = host.State == cloud.Maintained || e.mayBeOrdered(name, now) || (ordered && now < at+e.Timing.HostDowntime+waveInterval)
	worker := e.workers[host.Worker]
	h.Idle = host.State == cloud.Up && (worker == nil || len(worker.runs) == 0)
	if worker == nil {
		return h
	}
	if h.MaybeDown {
		worker.maintainedUntil = now + e.Timing.HostDowntime + maintenanceSlack
	}
	for _, m := range worker.members() {
		h.LostWork += m.lostWork(now)
		if m.unit.job.Steps[m.unit.step].LongRunning && !e.mayStop(m) {
			h.NoDrain = true
		}
	}

	return h
}

// unanswered returns the hosts of the wave that an unanswered order may still take down, which ends all runs there.
func (w *wave) unanswered(now time.Duration) []string {
	return slices.DeleteFunc(slices.Clone(w.Hosts), func(name string) bool { return w.done[name] || now >= w.unconfirmed[name] })
}

// mayBeOrdered reports whether an order for a host, of any wave, may still be executed.
func (e *Engine) mayBeOrdered(name string, now time.Duration) bool {
	for _, w := range e.waves {
		if now < w.unconfirmed[name] {
			return true
		}
	}

	return false
}

// mayStop reports whether a long-running task may be stopped without exceeding the number
// of tasks of its step that may be unavailable at once.
func (e *Engine) mayStop(m *member) bool {
	u := m.unit
	if u.orphan {
		return true
	}
	st := &u.job.Steps[u.step]
	unavailable := 0
	for i := range st.Count {
		if i == m.index {
			continue
		}
		o := e.units[unitName(u.job, u.occur, u.step, i)]
		if o == nil || o.aborted || !slices.ContainsFunc(o.members, func(x *member) bool { return x.index == i && x.isReady() }) {
			unavailable++
		}
	}

	return unavailable < max(1, st.MaxUnavailable)
}

// isReady reports whether a long-running task is available.
func (m *member) isReady() bool {
	return m.phase == running && m.track.Percent() >= readyPercent && m.worker.silentSince == 0
}

// cordonWorkers excludes the workers whose hosts are about to go down from new placements.
func (e *Engine) cordonWorkers(hosts map[string]cloud.Host) {
	cordoned := map[string]bool{}
	for _, w := range e.waves {
		for name := range w.cordonedSince {
			if h, exists := hosts[name]; exists {
				cordoned[h.Worker] = true
			}
		}
	}
	for id, worker := range e.workers {
		worker.cordoned = cordoned[id]
	}
}

// drainHost stops the runs on a host, except long-running tasks that mayStop excludes.
func (e *Engine) drainHost(w *wave, name string, hosts map[string]cloud.Host) {
	worker := e.workers[hosts[name].Worker]
	if worker == nil {
		return
	}
	e.Log.Info().Str("event", "host-cleared").Int("wave", w.Number).Str("host", name).Str("worker", worker.ID).Int("runs", len(worker.runs)).Msg("")
	for _, m := range worker.members() {
		if m.unit.aborted || (m.unit.job.Steps[m.unit.step].LongRunning && !e.mayStop(m)) {
			continue
		}
		e.abort(m.unit, "maintenance")
	}
}

// orderDown orders the maintenance of a host. Later decisions repeat an unanswered order,
// which has no effect if it has been executed.
func (e *Engine) orderDown(ctx context.Context, w *wave, name string) {
	if e.Lease.Age() > maxLeaseAge {
		return
	}
	call, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	err := e.Cloud.Maintain(call, cloud.Order{Host: name, Holder: e.Name, Token: e.Lease.Token}, w.Number)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.SinceBoot()
	e.Log.Info().Str("event", "host-ordered-down").Int("wave", w.Number).Str("host", name).Int64("token", e.Lease.Token).Err(err).Msg("")
	switch {
	case err == nil:
		w.downSince[name] = now
		e.markHostDone(w, name)
		e.noteOrderAnswered(w, name)
	case errors.Is(err, cloud.ErrNoHost):
		e.markHostDone(w, name)
		e.noteOrderAnswered(w, name)
	case errors.Is(err, cloud.ErrFenced):
		e.loseLease("cloud")
	case errors.Is(err, cloud.ErrUnknown):
		w.unconfirmed[name] = now + e.Timing.LateOrderWindow
	}
}

// markHostDone records that a host has been ordered down for the wave or no longer exists.
func (e *Engine) markHostDone(w *wave, name string) {
	if !w.done[name] {
		w.done[name] = true
		e.saveWave(w, w.Number)
	}
}

// saveWave schedules the write of the durable state of a wave, for later planners.
func (e *Engine) saveWave(w *wave, number int) {
	w.unsaved = true
	done := len(w.done)
	e.writer.putContent(work.WaveKey(number), w.encode, func(err error) {
		if err == nil && len(w.done) == done {
			w.unsaved = false
		}
	})
}

// encode returns the wave's record.
func (w *wave) encode() ([]byte, error) {
	return work.Encode(waveRecord{Done: slices.Sorted(maps.Keys(w.done)), Begun: w.Begun})
}

// restoreWave rebuilds a wave from its record.
func (e *Engine) restoreWave(number int, b []byte) {
	var r waveRecord
	if err := cbor.Unmarshal(b, &r); err != nil {
		e.Log.Error().Str("event", "record-unreadable").Int("wave", number).Err(err).Msg("")

		return
	}
	w := &wave{Begun: r.Begun, done: map[string]bool{}}
	for _, name := range r.Done {
		w.done[name] = true
	}
	e.waves[number] = w
}
