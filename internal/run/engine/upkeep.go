package engine

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"sesameyoke/internal/core/upkeep"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/cloud"
	"sesameyoke/internal/run/timer"
)

const (
	upkeepEvery = 500 * time.Millisecond // between decisions on waves
	cloudCall   = time.Second
	freshLease  = 1200 * time.Millisecond // hosts are ordered only under a lease renewed since then
	atWork      = 100                     // percent that a lasting task shows at work
)

type (
	// wave is a round of maintenance in work.
	wave struct {
		cloud.Wave
		Done  []string // hosts that have been down for it, or are gone; durable
		Begun int64    // Unix milliseconds; durable

		reported string // state that the operator was told
		unsaved  bool
		unsure   map[string]time.Duration // hosts whose order has no answer: it may be executed until then
		closed   map[string]time.Duration // hosts that take no work, since when
		ordered  map[string]time.Duration // hosts that went down at
	}

	// waveRecord is what is kept of a wave.
	waveRecord struct {
		_     struct{} `cbor:",toarray"`
		Done  []string
		Begun int64
	}
)

// maintain carries waves of maintenance out until the context ends.
func (e *Engine) maintain(ctx context.Context) {
	timer.Pause(ctx, e.Timing.HostLease) // the planner before has stopped ordering
	for ctx.Err() == nil {
		timer.Pause(ctx, upkeepEvery)
		e.mu.Lock()
		open := e.openWaves()
		e.mu.Unlock()
		if len(open) == 0 || e.Lease.Age() > freshLease {
			continue
		}
		if err := e.maintainOnce(ctx, open); err != nil && ctx.Err() == nil {
			e.Log.Warn().Str("event", "maintenance-waits").Err(err).Msg("")
		}
	}
}

// openWaves returns the waves that are not known to be complete.
func (e *Engine) openWaves() []*wave {
	var open []*wave
	for _, w := range e.Cloud.Waves() {
		v := e.waves[w.Number]
		if v == nil {
			v = &wave{Begun: e.Now().UnixMilli()}
			e.waves[w.Number] = v
			e.saveWave(v, w.Number)
			e.Log.Info().Str("event", "wave").Int("wave", w.Number).Int("hosts", len(w.Hosts)).Int("most", w.Most).Dur("within", w.Within).Msg("")
		}
		if v.closed == nil {
			v.unsure, v.closed, v.ordered = map[string]time.Duration{}, map[string]time.Duration{}, map[string]time.Duration{}
		}
		v.Wave = w
		if v.reported != waveDone {
			open = append(open, v)
		}
	}

	return open
}

// States of a wave as the operator is told.
const (
	waveRunning = "running"
	waveDone    = "done"
)

func (e *Engine) maintainOnce(ctx context.Context, open []*wave) error {
	call, cancel := context.WithTimeout(ctx, cloudCall)
	defer cancel()
	hosts, err := e.Cloud.Hosts(call)
	if err != nil {
		return err
	}
	for _, w := range open {
		if err := e.report(ctx, w); err != nil {
			return err
		}
		e.mu.Lock()
		d := e.decideWave(w, hosts)
		e.mu.Unlock()
		for _, h := range d.Down {
			e.takeDown(ctx, w, h)
		}
	}

	return nil
}

// report tells the operator how a wave stands, once each.
func (e *Engine) report(ctx context.Context, w *wave) error {
	e.mu.Lock()
	state := waveRunning
	if !w.unsaved && !slices.ContainsFunc(w.Hosts, func(h string) bool { return !slices.Contains(w.Done, h) }) {
		state = waveDone
	}
	told := w.reported == state
	e.mu.Unlock()
	if told {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, cloudCall)
	defer cancel()
	if err := e.Cloud.Report(call, w.Number, state == waveDone); err != nil {
		return errors.Wrapf(err, "report wave %d", w.Number)
	}
	e.Log.Info().Str("event", "wave-reported").Int("wave", w.Number).Str("state", state).Int("done", len(w.Done)).Msg("")
	e.mu.Lock()
	w.reported = state
	e.mu.Unlock()

	return nil
}

// decideWave decides which hosts go down, and closes and clears others.
func (e *Engine) decideWave(w *wave, hosts []cloud.Host) upkeep.Decision {
	now := e.Boot()
	u := upkeep.Wave{Most: w.Most, Each: e.Timing.Maintenance}
	u.Left = w.Within - e.Now().Sub(time.UnixMilli(w.Begun))
	for _, name := range w.Hosts {
		u.Hosts = append(u.Hosts, e.hostOf(w, name, hosts, now))
	}
	d := upkeep.Decide(u)
	shut := slices.Concat(d.Close, d.Clear, d.Down)
	for name := range w.closed {
		if !slices.Contains(shut, name) {
			delete(w.closed, name)
		}
	}
	for _, name := range shut {
		if _, ok := w.closed[name]; !ok {
			w.closed[name] = now
		}
	}
	e.closeWorkers(hosts)
	for _, name := range d.Clear {
		e.clear(w, name, hosts)
	}

	return d
}

// hostOf returns a host of a wave as a decision sees it.
func (e *Engine) hostOf(w *wave, name string, hosts []cloud.Host, now time.Duration) upkeep.Host {
	h := upkeep.Host{Name: name, Closed: -1, Done: slices.Contains(w.Done, name)}
	if at, ok := w.closed[name]; ok {
		h.Closed = now - at
	}
	i := slices.IndexFunc(hosts, func(c cloud.Host) bool { return c.Name == name })
	if i < 0 {
		if !h.Done {
			e.waveDone(w, name) // it has left for good
		}
		h.Done = true

		return h
	}
	at, ordered := w.ordered[name]
	h.Away = hosts[i].State == cloud.Maintained || now < w.unsure[name] || (ordered && now < at+e.Timing.Maintenance+upkeepEvery)
	k := e.workers[hosts[i].Worker]
	h.Idle = hosts[i].State == cloud.Up && (k == nil || len(k.runs) == 0)
	if k == nil {
		return h
	}
	for _, m := range k.all() {
		h.Lost += m.lost(now)
		if m.unit.job.Steps[m.unit.step].Lasting && !e.mayStop(m) {
			h.Held = true
		}
	}

	return h
}

// mayStop reports whether a lasting task may be stopped: so many others of its step
// may be away at once.
func (e *Engine) mayStop(m *member) bool {
	u := m.unit
	if u.orphan {
		return true
	}
	st := &u.job.Steps[u.step]
	away := 0
	for i := range st.Count {
		if i == m.index {
			continue
		}
		o := e.units[unitName(u.job, u.occur, u.step, i)]
		if o == nil || o.aborted || !slices.ContainsFunc(o.members, func(x *member) bool {
			return x.index == i && x.phase == running && x.track.Percent() >= atWork
		}) {
			away++
		}
	}

	return away < max(1, st.MayMiss)
}

// closeWorkers keeps work off the workers whose hosts are to go down.
func (e *Engine) closeWorkers(hosts []cloud.Host) {
	shut := map[string]bool{}
	for _, w := range e.waves {
		for name := range w.closed {
			if i := slices.IndexFunc(hosts, func(c cloud.Host) bool { return c.Name == name }); i >= 0 {
				shut[hosts[i].Worker] = true
			}
		}
	}
	for id, k := range e.workers {
		k.shut = shut[id]
	}
}

// clear stops what runs on a host, lasting tasks one by one.
func (e *Engine) clear(w *wave, name string, hosts []cloud.Host) {
	i := slices.IndexFunc(hosts, func(c cloud.Host) bool { return c.Name == name })
	k := e.workers[hosts[i].Worker]
	if k == nil {
		return
	}
	e.Log.Info().Str("event", "host-cleared").Int("wave", w.Number).Str("host", name).Str("worker", k.ID).Int("runs", len(k.runs)).Msg("")
	for _, m := range k.all() {
		if m.unit.aborted || (m.unit.job.Steps[m.unit.step].Lasting && !e.mayStop(m)) {
			continue
		}
		e.abort(m.unit, "maintenance")
	}
}

// takeDown orders a host's maintenance. Without an answer it is ordered again: that
// does nothing if it has been executed.
func (e *Engine) takeDown(ctx context.Context, w *wave, name string) {
	if e.Lease.Age() > freshLease {
		return
	}
	call, cancel := context.WithTimeout(ctx, cloudCall)
	defer cancel()
	err := e.Cloud.Maintain(call, cloud.Order{Host: name, By: e.Name, Token: e.Lease.Token}, w.Number)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Boot()
	e.Log.Info().Str("event", "host-ordered-down").Int("wave", w.Number).Str("host", name).Int64("token", e.Lease.Token).Err(err).Msg("")
	switch {
	case err == nil:
		w.ordered[name] = now
		delete(w.unsure, name)
		e.waveDone(w, name)
	case errors.Is(err, cloud.ErrNoHost):
		e.waveDone(w, name)
	case errors.Is(err, cloud.ErrFenced):
		e.lose("cloud")
	case errors.Is(err, cloud.ErrUnknown):
		w.unsure[name] = now + e.Timing.Straggle
	}
}

func (e *Engine) waveDone(w *wave, name string) {
	if !slices.Contains(w.Done, name) {
		w.Done = append(w.Done, name)
		e.saveWave(w, w.Number)
	}
}

// saveWave keeps what is done of a wave for the planner's successors.
func (e *Engine) saveWave(w *wave, number int) {
	b, err := cbor.Marshal(waveRecord{Done: w.Done, Begun: w.Begun})
	if err != nil {
		e.Log.Error().Str("event", "record-not-encoded").Int("wave", number).Err(err).Msg("")

		return
	}
	w.unsaved = true
	done := len(w.Done)
	e.writer.keep(work.WaveKey(number), b, func(err error) {
		if err == nil && len(w.Done) == done {
			w.unsaved = false
		}
	})
}

// enterWave rebuilds a wave from its record.
func (e *Engine) enterWave(number int, b []byte) {
	var r waveRecord
	if err := cbor.Unmarshal(b, &r); err != nil {
		e.Log.Error().Str("event", "record-unreadable").Int("wave", number).Err(err).Msg("")

		return
	}
	e.waves[number] = &wave{Done: r.Done, Begun: r.Begun}
}
