package engine

import (
	"context"
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
		Done  []string // hosts that were ordered down for the wave or no longer exist; durable
		Begun int64    // start of the wave in Unix milliseconds; durable

		reported      string                   // state that was last reported to the operator
		unsaved       bool                     // Done and Begun are not durable yet
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

// openWaves returns the waves that have not been reported as done.
func (e *Engine) openWaves() []*wave {
	var open []*wave
	for _, requested := range e.Cloud.Waves() {
		w := e.waves[requested.Number]
		if w == nil {
			w = &wave{Begun: e.Now().UnixMilli()}
			e.waves[requested.Number] = w
			e.saveWave(w, requested.Number)
			e.Log.Info().Str("event", "wave").Int("wave", requested.Number).Int("hosts", len(requested.Hosts)).
				Int("most", requested.MaxDown).Dur("within", requested.TimeLimit).Msg("")
		}
		w.Wave = requested
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

// States of a wave, as reported to the operator.
const (
	waveRunning = "running"
	waveDone    = "done"
)

// processWaves reports the open waves to the operator and executes their next decisions.
func (e *Engine) processWaves(ctx context.Context, open []*wave) error {
	call, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	hosts, err := e.Cloud.Hosts(call)
	if err != nil {
		return err
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
	if !w.unsaved && !slices.ContainsFunc(w.Hosts, func(h string) bool { return !slices.Contains(w.Done, h) }) {
		state = waveDone
	}
	known := w.reported == state
	e.mu.Unlock()
	if known {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	if err := e.Cloud.Report(call, w.Number, state == waveDone); err != nil {
		return errors.Wrapf(err, "report wave %d", w.Number)
	}
	e.Log.Info().Str("event", "wave-reported").Int("wave", w.Number).Str("state", state).Int("done", len(w.Done)).Msg("")
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
func (e *Engine) decideWave(w *wave, hosts []cloud.Host) maintenance.Decision {
	now := e.SinceBoot()
	input := maintenance.Wave{MaxDown: w.MaxDown, Downtime: e.Timing.HostDowntime}
	input.Remaining = w.TimeLimit - e.Now().Sub(time.UnixMilli(w.Begun))
	for _, name := range w.Hosts {
		input.Hosts = append(input.Hosts, e.toMaintenanceHost(w, name, hosts, now))
	}
	d := maintenance.Decide(input)
	cordoned := slices.Concat(d.Cordon, d.Drain, d.Down)
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
	for _, h := range hosts {
		if worker := e.workers[h.Worker]; worker != nil && slices.Contains(d.Down, h.Name) {
			worker.maintainedUntil = now + e.Timing.HostDowntime + maintenanceSlack
		}
	}

	return d
}

// toMaintenanceHost returns a host of a wave as input of a maintenance decision.
func (e *Engine) toMaintenanceHost(w *wave, name string, hosts []cloud.Host, now time.Duration) maintenance.Host {
	h := maintenance.Host{Name: name, CordonedFor: -1, Done: slices.Contains(w.Done, name)}
	if at, ok := w.cordonedSince[name]; ok {
		h.CordonedFor = now - at
	}
	i := slices.IndexFunc(hosts, func(c cloud.Host) bool { return c.Name == name })
	if i < 0 {
		if !h.Done {
			e.markHostDone(w, name) // the host no longer exists
		}
		h.Done = true

		return h
	}
	at, ordered := w.downSince[name]
	h.MaybeDown = hosts[i].State == cloud.Maintained || now < w.unconfirmed[name] || (ordered && now < at+e.Timing.HostDowntime+waveInterval)
	worker := e.workers[hosts[i].Worker]
	h.Idle = hosts[i].State == cloud.Up && (worker == nil || len(worker.runs) == 0)
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
		if o == nil || o.aborted || !slices.ContainsFunc(o.members, func(x *member) bool {
			return x.index == i && x.phase == running && x.track.Percent() >= readyPercent && x.worker.silentSince == 0
		}) {
			unavailable++
		}
	}

	return unavailable < max(1, st.MaxUnavailable)
}

// cordonWorkers excludes the workers whose hosts are about to go down from new placements.
func (e *Engine) cordonWorkers(hosts []cloud.Host) {
	cordoned := map[string]bool{}
	for _, w := range e.waves {
		for name := range w.cordonedSince {
			if i := slices.IndexFunc(hosts, func(c cloud.Host) bool { return c.Name == name }); i >= 0 {
				cordoned[hosts[i].Worker] = true
			}
		}
	}
	for id, worker := range e.workers {
		worker.cordoned = cordoned[id]
	}
}

// drainHost stops the runs on a host, except long-running tasks that mayStop excludes.
func (e *Engine) drainHost(w *wave, name string, hosts []cloud.Host) {
	i := slices.IndexFunc(hosts, func(c cloud.Host) bool { return c.Name == name })
	worker := e.workers[hosts[i].Worker]
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
	if !slices.Contains(w.Done, name) {
		w.Done = append(w.Done, name)
		e.saveWave(w, w.Number)
	}
}

// saveWave writes the durable state of a wave, for later planners.
func (e *Engine) saveWave(w *wave, number int) {
	b, err := cbor.Marshal(waveRecord{Done: w.Done, Begun: w.Begun})
	if err != nil {
		e.Log.Error().Str("event", "record-not-encoded").Int("wave", number).Err(err).Msg("")

		return
	}
	w.unsaved = true
	done := len(w.Done)
	e.writer.putRecord(work.WaveKey(number), b, func(err error) {
		if err == nil && len(w.Done) == done {
			w.unsaved = false
		}
	})
}

// restoreWave rebuilds a wave from its record.
func (e *Engine) restoreWave(number int, b []byte) {
	var r waveRecord
	if err := cbor.Unmarshal(b, &r); err != nil {
		e.Log.Error().Str("event", "record-unreadable").Int("wave", number).Err(err).Msg("")

		return
	}
	e.waves[number] = &wave{Done: r.Done, Begun: r.Begun}
}
