package engine

import (
	"maps"
	"slices"

	"sesameyoke/internal/core/evacuation"
)

// evacuations is what the planner knows of evacuated failure domains, and has logged of them.
type evacuations struct {
	gate    evacuation.Gate
	closed  bool            // starts are held back because the newest read of the records is too old
	applied map[string]bool // domains that were evacuated in the newest pass
}

// isEvacuated reports whether a worker is in an evacuated domain.
func (e *Engine) isEvacuated(w *worker) bool { return e.Evacuated != nil && e.Evacuated()[w.Domain] }

// evacuationsKnown reports whether the evacuated domains are known recently enough to send starts.
func (e *Engine) evacuationsKnown() bool {
	if e.Evacuated == nil {
		return true
	}
	s := &e.evacuations
	s.gate.Bound = e.Timing.Evacuate
	age := e.EvacuatedAge()
	open := s.gate.Open(age)
	if s.closed == open {
		s.closed = !open
		e.Log.Warn().Str("event", "evacuations-unknown").Bool("on", !open).Dur("age", age).Msg("")
	}

	return open
}

// mayStart reports whether the start of a member may be sent now: its worker is neither leaving nor
// in an evacuated domain. The age of the newest read is checked first, so that the domains are at
// least as new.
func (e *Engine) mayStart(m *member) bool {
	return e.evacuationsKnown() && !m.worker.Draining && !e.isEvacuated(m.worker)
}

// mayStillStart is mayStart for callers that do not hold mu. A unit that is being stopped starts no
// more.
func (e *Engine) mayStillStart(m *member) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.phase != starting || m.unit.aborted || !e.mayStart(m) {
		return false
	}

	return e.Lease.Valid()
}

// abortInEvacuated aborts the unit of a planned member whose worker is in an evacuated domain. Its
// other members would wait in vain.
func (e *Engine) abortInEvacuated(m *member) {
	e.Count("starts_held_evacuated", 1)
	e.abort(m.unit, "domain evacuated")
	e.release(m)
}

// applyEvacuations logs which domains have been evacuated or restored since the last pass, and
// aborts units with members there whose starts have not been sent. What runs there goes on.
func (e *Engine) applyEvacuations() {
	if e.Evacuated == nil {
		return
	}
	now, before := e.Evacuated(), e.evacuations.applied
	e.evacuations.applied = now
	for _, domain := range slices.Sorted(maps.Keys(now)) {
		if !before[domain] {
			e.logEvacuation(domain, true)
			e.Count("evacuations", 1)
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(before)) {
		if !now[domain] {
			e.logEvacuation(domain, false)
		}
	}
	for _, w := range e.workers {
		if w.evacuated = now[w.Domain]; !w.evacuated {
			continue
		}
		for _, m := range w.members() {
			if m.phase == planned {
				e.abortInEvacuated(m)
			}
		}
	}
}

// logEvacuation logs that a domain was evacuated or restored, with its workers and their runs. A
// domain without workers may be misspelt.
func (e *Engine) logEvacuation(domain string, on bool) {
	workers, runs := 0, 0
	for _, w := range e.workers {
		if w.Domain == domain {
			workers++
			runs += len(w.runs)
		}
	}
	if workers == 0 {
		e.Log.Warn().Str("event", "evacuation-without-workers").Str("domain", domain).Bool("on", on).Msg("")
	}
	e.Log.Info().Str("event", "evacuation").Str("domain", domain).Bool("on", on).Int("workers", workers).Int("runs", runs).Msg("")
}
