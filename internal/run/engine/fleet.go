package engine

import (
	"slices"
	"time"

	"sesameyoke/internal/core/assign"
)

const (
	accelCores   = 8   // an accelerator counts as so many cores
	servingShare = 2   // a serving task makes filling ones stay off this part of a worker
	mostBarred   = 0.3 // share of the workers that may be barred at once: if more fail work, the work is at fault
)

// fleet is the workers as a decision sees them.
type fleet struct {
	names   []string
	index   map[string]int
	workers []assign.Worker
}

// fleet collects the workers and what could be evicted from them.
func (e *Engine) fleet() *fleet {
	f := &fleet{index: map[string]int{}}
	for name := range e.workers {
		f.names = append(f.names, name)
	}
	slices.Sort(f.names)
	now := e.Boot()
	barred := e.barred(now)
	for i, name := range f.names {
		f.index[name] = i
		a := e.workers[name].place(now)
		a.Open = a.Open && !barred[name]
		a.Claim = e.claimOn(name, now)
		for _, m := range e.workers[name].all() {
			if !m.unit.job.Steps[m.unit.step].Lasting || m.unit.aborted {
				a.Runs = append(a.Runs, e.evictable(m, now))
			}
		}
		f.workers = append(f.workers, a)
	}

	return f
}

// place returns a worker as a decision sees it.
func (w *worker) place(now time.Duration) assign.Worker {
	return assign.Worker{
		Service: w.Service, Rack: w.Rack, Labels: w.Labels, Room: w.Room, Free: w.free,
		Open:    w.takesWork(now),
		Penalty: w.record.Penalty(now), Slow: w.slowness(now), NoFill: now < w.noFill, Busy: w.busy(),
	}
}

// takesWork reports whether a worker may be given runs now.
func (w *worker) takesWork(now time.Duration) bool {
	known := w.listed && w.reached && w.Host != ""
	sound := w.silent == 0 && now >= w.refusing && now >= w.stillUntil

	return known && sound && !w.Draining && !w.shut
}

// busy returns the share of a worker's processors that its tasks want: filling ones
// besides what they hold of its capacity.
func (w *worker) busy() float64 {
	wanted := 0
	for _, m := range w.all() {
		wanted += m.unit.job.Steps[m.unit.step].Need.CPU
		if m.serves() {
			wanted += w.Room.CPU / servingShare
		}
	}

	return float64(wanted) / float64(max(1, w.Room.CPU))
}

// claimOn returns the unit that a worker's room is kept for.
func (e *Engine) claimOn(name string, now time.Duration) string {
	c, ok := e.claims[name]
	if ok && now > c.until {
		delete(e.claims, name)

		return ""
	}

	return c.unit
}

// barred returns the workers that fail what they are given.
func (e *Engine) barred(now time.Duration) map[string]bool {
	names := map[string]bool{}
	for name, w := range e.workers {
		if w.record.Barred(now) {
			names[name] = true
		}
	}
	if float64(len(names)) > mostBarred*float64(len(e.workers)) {
		return nil
	}

	return names
}

func (e *Engine) evictable(m *member, now time.Duration) assign.Run {
	u := m.unit
	r := assign.Run{Group: u.name, Need: m.need(), Priority: e.rules(u.job.Queue).Priority, Ending: u.aborted || u.done}
	for _, o := range u.members {
		r.Lost += o.lost(now)
	}

	return r
}

// lost returns the core-seconds that a stop throws away.
func (m *member) lost(now time.Duration) float64 {
	if m.began == 0 || m.phase == gone {
		return 0
	}
	need := m.need()
	cores := float64(need.CPU)/1000 + accelCores*float64(need.Accelerators)
	if m.unit.job.Steps[m.unit.step].Checkpoints {
		return cores * 0.1
	}

	return cores * (now - m.began).Seconds()
}

// holds reports whether an empty fleet would hold the unit.
func (f *fleet) holds(u *assign.Unit) bool {
	if !u.Together {
		return fits(f, "", u)
	}

	return slices.ContainsFunc(f.racks(), func(r string) bool { return fits(f, r, u) })
}

func (f *fleet) racks() []string {
	var names []string
	for i := range f.workers {
		if !slices.Contains(names, f.workers[i].Rack) {
			names = append(names, f.workers[i].Rack)
		}
	}

	return names
}

// fits reports whether a rack, or all if it has no name, would hold the unit if
// nothing ran there.
func fits(f *fleet, rack string, u *assign.Unit) bool {
	n := 0
	for i := range f.workers {
		w := &f.workers[i]
		if (rack != "" && w.Rack != rack) || w.Service != u.Service || !w.Open || u.Avoid[i] || (u.Label != "" && !slices.Contains(w.Labels, u.Label)) {
			continue
		}
		fit := 0
		for room := w.Room; u.Need.Fits(room) && fit < len(u.Tasks); fit++ {
			room = room.Minus(u.Need)
		}
		if u.Spread > 0 {
			fit = min(fit, u.Spread)
		}
		n += fit
	}
	if u.Gang {
		return n >= len(u.Tasks)
	}

	return n > 0
}

// set returns the workers that are keys of m.
func set[V any](f *fleet, m map[string]V) map[int]bool {
	in := map[int]bool{}
	for name := range m {
		if i, ok := f.index[name]; ok {
			in[i] = true
		}
	}

	return in
}
