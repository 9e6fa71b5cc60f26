package planner

import (
	"strings"
	"time"

	"sesameyoke/internal/core/plan"
	"sesameyoke/internal/core/unit"
	"sesameyoke/internal/peer/worker"
)

type (
	// host is one worker as the planner knows it.
	host struct {
		name    string
		rack    int
		first   int // its first accelerator's position in the rack
		life    string
		version int64
		full    bool      // the next renewal asks for a full report
		busy    bool      // a renewal is on its way
		asked   time.Time // when the last renewal was sent
		heard   time.Time // when the last renewal was answered
		tried   bool      // at least one renewal has been answered or has failed
		told    bool      // the plan knows the present value of down
		down    bool
		leaving bool
		confirm []string
		forget  []string
	}

	// orphan is an attempt found at workers that no run here knows.
	orphan struct {
		seen  time.Time
		tasks map[int]worker.Task
		hosts map[int]string
	}
)

// syncWorkers follows the fleet.
func (s *session) syncWorkers() {
	known := 0
	for i, r := range s.rules.Fleet.Racks {
		if r.Region != s.p.Region {
			continue
		}
		at := 0
		for _, w := range r.Workers {
			h, ok := s.workers[w.Name]
			if !ok {
				h = &host{name: w.Name}
				s.workers[w.Name] = h
			}
			h.rack, h.first = i, at
			at += w.Accelerators
			known++
		}
	}
	if known == len(s.workers) {
		return
	}
	for name := range s.workers {
		if !s.inFleet(name) {
			delete(s.workers, name)
		}
	}
}

func (s *session) inFleet(name string) bool {
	for _, r := range s.rules.Fleet.Racks {
		for _, w := range r.Workers {
			if w.Name == name {
				return r.Region == s.p.Region
			}
		}
	}

	return false
}

// renewAll renews the lease of every worker that is due.
func (s *session) renewAll() {
	now := s.p.Timer.Now()
	for _, h := range s.workers {
		if h.busy || now.Sub(h.asked) < s.p.Timing.Renew.Duration {
			continue
		}
		if s.p.Address(h.name) == "" {
			h.tried = true

			continue
		}
		s.renew(h, now)
	}
}

func (s *session) renew(h *host, now time.Time) {
	h.busy = true
	h.asked = now
	req := worker.RenewRequest{
		TTL: s.p.Timing.Lease, Confirm: h.confirm, Forget: h.forget, Since: h.version, Life: h.life,
	}
	if h.full {
		req.Since, req.Life = 0, ""
		h.full = false
	}
	h.confirm, h.forget = nil, nil
	go func() {
		rep, err := s.p.calls.Renew(s.ctx, h.name, req)
		s.send(func(s *session) { s.renewed(h, req, rep, err) })
	}()
}

// renewed takes in a worker's report.
func (s *session) renewed(h *host, req worker.RenewRequest, rep worker.Report, err error) {
	h.busy = false
	h.tried = true
	if err != nil {
		h.confirm = append(req.Confirm, h.confirm...)
		h.forget = append(req.Forget, h.forget...)
		h.full = h.full || req.Life == ""
		s.p.Metrics.Count("renew_failed", nil)

		return
	}
	h.heard = s.p.Timer.Now()
	reborn := h.life != rep.Life
	h.life, h.version, h.leaving = rep.Life, rep.Version, rep.Leaving
	if reborn {
		s.checkLives(h)
	}
	for _, t := range rep.Tasks {
		s.report(h, t)
	}
	if rep.Full {
		s.checkFull(h, rep.Tasks)
	}
	s.setDown(h)
}

// setDown tells the plan whether the worker takes new work.
func (s *session) setDown(h *host) {
	now := s.p.Timer.Now()
	silent := h.heard.IsZero() || now.Sub(h.heard) > s.p.Timing.Suspect.Duration
	down := silent || h.leaving || s.p.Leaving(h.name)
	if h.told && down == h.down {
		return
	}
	h.told, h.down = true, down
	kind := plan.Up
	if down {
		kind = plan.Down
	}
	s.event(plan.Event{Kind: kind, Worker: h.name})
	s.p.Log.Info().Str("event", "worker").Str("worker", h.name).Bool("usable", !down).Bool("leaving", h.leaving).Msg("")
}

// judgeSilence takes workers out of use that have not answered, and ends the gangs
// of those whose lease must have lapsed.
func (s *session) judgeSilence() {
	now := s.p.Timer.Now()
	for _, h := range s.workers {
		s.setDown(h)
		since := h.heard
		if since.IsZero() {
			since = s.begun
		}
		if now.Sub(since) > s.p.Timing.Lease.Duration {
			s.lost(h, "the worker has not answered for the life of its lease")
		}
	}
}

// lost ends the gangs that have a member on the worker.
func (s *session) lost(h *host, reason string) {
	for _, r := range s.runs {
		if r.phase == phaseStarting {
			continue
		}
		for i, m := range r.gang.Members {
			if m.Worker == h.name && r.states[i].State.Holds() {
				r.states[i].State = worker.Missing
				s.broken(r, h.name, reason)
			}
		}
	}
}

// checkLives ends the gangs that have a member in an earlier incarnation of the
// worker: its tasks are gone.
func (s *session) checkLives(h *host) {
	for _, r := range s.runs {
		if r.phase != phaseStarting {
			s.checkLife(r, h)
		}
	}
}

// checkFull ends the gangs that have a member of which a worker's full report says
// nothing: the worker has forgotten it.
func (s *session) checkFull(h *host, tasks []worker.Task) {
	known := make(map[string]bool, len(tasks))
	for _, t := range tasks {
		known[t.Token] = true
	}
	for _, r := range s.runs {
		if r.phase == phaseStarting || !r.heard.Before(h.asked) {
			continue // the report was on its way before the run began
		}
		for i, m := range r.gang.Members {
			if m.Worker == h.name && !known[m.Token] && r.states[i].State.Holds() {
				r.states[i].State = worker.Missing
				s.broken(r, h.name, "the worker has forgotten the task")
			}
		}
	}
}

func (s *session) checkLife(r *run, h *host) {
	for i, m := range r.gang.Members {
		if m.Worker == h.name && m.Life != h.life && r.states[i].State.Holds() {
			r.states[i].State = worker.Missing
			s.broken(r, h.name, "the worker has restarted")
		}
	}
}

// survey waits until every worker has been asked once, and then takes stock.
func (s *session) survey() {
	if s.surveyed {
		return
	}
	patience := s.p.Timing.Call.Duration + s.p.Timing.Renew.Duration
	if s.p.Timer.Now().Sub(s.begun) < patience {
		for _, h := range s.workers {
			if !h.tried {
				return
			}
		}
	}
	s.surveyed = true
	s.adoptOrphans()
}

// report takes in the state of one token.
func (s *session) report(h *host, t worker.Task) {
	if r := s.runs[t.Key]; r != nil && r.owns(t.Token) {
		s.update(r, t)

		return
	}
	id := attemptOf(t.Token)
	o, ok := s.orphans[id]
	if !ok {
		o = &orphan{seen: s.p.Timer.Now(), tasks: map[int]worker.Task{}, hosts: map[int]string{}}
		s.orphans[id] = o
	}
	o.tasks[t.Member] = t
	o.hosts[t.Member] = h.name
}

func attemptOf(token string) string {
	id, _, _ := strings.Cut(token, ".")

	return id
}

// confirm tells the workers that the gang runs whole.
func (s *session) confirm(r *run) {
	for _, m := range r.gang.Members {
		if h := s.workers[m.Worker]; h != nil {
			h.confirm = append(h.confirm, m.Token)
			s.hurry(h)
		}
	}
}

// forget lets the workers drop a gang's results.
func (s *session) forget(r *run) {
	for _, m := range r.gang.Members {
		if h := s.workers[m.Worker]; h != nil {
			h.forget = append(h.forget, m.Token)
		}
	}
}

// hurry renews a worker's lease at once.
func (s *session) hurry(h *host) {
	if s.p.Address(h.name) != "" && !h.busy {
		s.renew(h, s.p.Timer.Now())
	}
}

func ttl(d time.Duration) unit.Duration {
	return unit.Duration{Duration: d}
}
