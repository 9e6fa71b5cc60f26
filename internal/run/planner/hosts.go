package planner

import (
	"strings"
	"time"

	"sesameyoke/internal/core/plan"
	"sesameyoke/internal/core/unit"
	"sesameyoke/internal/peer/worker"
)

type (
	// host is the planner's state of one worker.
	host struct {
		name        string
		rack        int
		first       int // its first accelerator's position in the rack
		incarnation string
		version     int64     // version of the newest report
		wantFull    bool      // the next renewal asks for a full report
		renewing    bool      // a renewal is in flight
		lastRequest time.Time // when the last renewal was sent
		lastReply   time.Time // when the last renewal was answered
		contacted   bool      // at least one renewal has been answered or has failed
		reported    bool      // the plan has received the current value of down
		down        bool
		leaving     bool
		confirm     []string // tokens to confirm with the next renewal
		discard     []string // tokens whose results the worker may discard
	}

	// orphan is an attempt that workers report but that belongs to no run of this
	// session. The maps are keyed by member index.
	orphan struct {
		firstSeen time.Time
		tasks     map[int]worker.Task
		hosts     map[int]string
	}
)

// syncFleet updates the workers of the region from the fleet's configuration.
func (s *session) syncFleet() {
	known := 0
	for i, r := range s.configuration.Fleet.Racks {
		if r.Region != s.p.Region {
			continue
		}
		base := 0
		for _, w := range r.Workers {
			h, ok := s.workers[w.Name]
			if !ok {
				h = &host{name: w.Name}
				s.workers[w.Name] = h
			}
			h.rack, h.first = i, base
			base += w.Accelerators
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
	for _, r := range s.configuration.Fleet.Racks {
		for _, w := range r.Workers {
			if w.Name == name {
				return r.Region == s.p.Region
			}
		}
	}

	return false
}

// renewAll renews the lease of every worker whose renewal is due.
func (s *session) renewAll() {
	now := s.p.Timer.Now()
	for _, h := range s.workers {
		if h.renewing || now.Sub(h.lastRequest) < s.p.Timing.RenewInterval.Duration {
			continue
		}
		if s.p.Address(h.name) == "" {
			h.contacted = true

			continue
		}
		s.renew(h, now)
	}
}

// renew sends a lease renewal to a worker. Its reply is handled by onRenewReply.
func (s *session) renew(h *host, now time.Time) {
	h.renewing = true
	h.lastRequest = now
	req := worker.RenewRequest{
		TTL: s.p.Timing.WorkerLease, Confirm: h.confirm, Discard: h.discard, SinceVersion: h.version, Incarnation: h.incarnation,
	}
	if h.wantFull {
		req.SinceVersion, req.Incarnation = 0, ""
		h.wantFull = false
	}
	h.confirm, h.discard = nil, nil
	go func() {
		rep, err := s.p.calls.Renew(s.ctx, h.name, req)
		s.send(func(s *session) { s.onRenewReply(h, req, rep, err) })
	}()
}

// onRenewReply handles a worker's reply to a renewal. After an error, the confirmations
// and the results to discard are queued for the next renewal.
func (s *session) onRenewReply(h *host, req worker.RenewRequest, rep worker.Report, err error) {
	h.renewing = false
	h.contacted = true
	if err != nil {
		h.confirm = append(req.Confirm, h.confirm...)
		h.discard = append(req.Discard, h.discard...)
		h.wantFull = h.wantFull || req.Incarnation == ""
		s.p.Metrics.Count("renew_failed", nil)

		return
	}
	h.lastReply = s.p.Timer.Now()
	restarted := h.incarnation != rep.Incarnation
	h.incarnation, h.version, h.leaving = rep.Incarnation, rep.Version, rep.Leaving
	if restarted {
		s.checkAllIncarnations(h)
	}
	for _, t := range rep.Tasks {
		s.onTaskReport(h, t)
	}
	if rep.Full {
		s.checkFullReport(h, rep.Tasks)
	}
	s.updateUsable(h)
}

// updateUsable notifies the plan if the worker starts or stops accepting new work.
func (s *session) updateUsable(h *host) {
	now := s.p.Timer.Now()
	silent := h.lastReply.IsZero() || now.Sub(h.lastReply) > s.p.Timing.SuspectTimeout.Duration
	down := silent || h.leaving || s.p.Leaving(h.name)
	if h.reported && down == h.down {
		return
	}
	h.reported, h.down = true, down
	kind := plan.Up
	if down {
		kind = plan.Down
	}
	s.event(plan.Event{Kind: kind, Worker: h.name})
	s.p.Log.Info().Str("event", "worker").Str("worker", h.name).Bool("usable", !down).Bool("leaving", h.leaving).Msg("")
}

// checkLiveness stops using workers that have not answered for Timing.SuspectTimeout, and
// breaks the gangs of those whose lease must have expired, because they have not
// answered for its duration.
func (s *session) checkLiveness() {
	now := s.p.Timer.Now()
	for _, h := range s.workers {
		s.updateUsable(h)
		since := h.lastReply
		if since.IsZero() {
			since = s.startedAt
		}
		if now.Sub(since) > s.p.Timing.WorkerLease.Duration {
			s.markMembersLost(h, "the worker has not answered for the life of its lease")
		}
	}
}

// markMembersLost breaks the gangs that have an unfinished member on the worker.
func (s *session) markMembersLost(h *host, reason string) {
	for _, r := range s.runs {
		if r.phase == phaseStarting {
			continue
		}
		for i, m := range r.gang.Members {
			if m.Worker == h.name && r.states[i].State.HoldsAccelerators() {
				r.states[i].State = worker.Missing
				s.markBroken(r, h.name, reason)
			}
		}
	}
}

// checkAllIncarnations breaks the gangs that have an unfinished member in an earlier
// incarnation of the worker: a restart ends all tasks of a worker.
func (s *session) checkAllIncarnations(h *host) {
	for _, r := range s.runs {
		if r.phase != phaseStarting {
			s.checkIncarnation(r, h)
		}
	}
}

// checkFullReport breaks the gangs that have an unfinished member on the worker which
// the worker's full report does not list: the worker no longer knows it.
func (s *session) checkFullReport(h *host, tasks []worker.Task) {
	known := make(map[string]bool, len(tasks))
	for _, t := range tasks {
		known[t.Token] = true
	}
	for _, r := range s.runs {
		if r.phase == phaseStarting || !r.lastReport.Before(h.lastRequest) {
			continue // the report may have been made before the run started
		}
		for i, m := range r.gang.Members {
			if m.Worker == h.name && !known[m.Token] && r.states[i].State.HoldsAccelerators() {
				r.states[i].State = worker.Missing
				s.markBroken(r, h.name, "the worker has forgotten the task")
			}
		}
	}
}

// checkIncarnation breaks the gang if it has an unfinished member in an earlier
// incarnation of the worker.
func (s *session) checkIncarnation(r *run, h *host) {
	for i, m := range r.gang.Members {
		if m.Worker == h.name && m.Incarnation != h.incarnation && r.states[i].State.HoldsAccelerators() {
			r.states[i].State = worker.Missing
			s.markBroken(r, h.name, "the worker has restarted")
		}
	}
}

// takeInventory waits until a renewal of every worker has been answered or has failed,
// but no longer than one call timeout plus one renewal interval. It then adopts running
// gangs and allows the plan to decide.
func (s *session) takeInventory() {
	if s.inventoryDone {
		return
	}
	limit := s.p.Timing.CallTimeout.Duration + s.p.Timing.RenewInterval.Duration
	if s.p.Timer.Now().Sub(s.startedAt) < limit {
		for _, h := range s.workers {
			if !h.contacted {
				return
			}
		}
	}
	s.inventoryDone = true
	s.adoptOrphans()
}

// onTaskReport handles the reported state of one token. A token without a run is
// collected as part of an orphan.
func (s *session) onTaskReport(h *host, t worker.Task) {
	if r := s.runs[t.Key]; r != nil && r.owns(t.Token) {
		s.update(r, t)

		return
	}
	id := attemptID(t.Token)
	o, ok := s.orphans[id]
	if !ok {
		o = &orphan{firstSeen: s.p.Timer.Now(), tasks: map[int]worker.Task{}, hosts: map[int]string{}}
		s.orphans[id] = o
	}
	o.tasks[t.Member] = t
	o.hosts[t.Member] = h.name
}

// attemptID returns the attempt's ID, with which its tokens begin.
func attemptID(token string) string {
	id, _, _ := strings.Cut(token, ".")

	return id
}

// confirm notifies the workers that all members of the gang run, which puts the tasks
// under the workers' leases.
func (s *session) confirm(r *run) {
	for _, m := range r.gang.Members {
		if h := s.workers[m.Worker]; h != nil {
			h.confirm = append(h.confirm, m.Token)
			s.renewNow(h)
		}
	}
}

// discardResults allows the workers to discard a gang's results.
func (s *session) discardResults(r *run) {
	for _, m := range r.gang.Members {
		if h := s.workers[m.Worker]; h != nil {
			h.discard = append(h.discard, m.Token)
		}
	}
}

// renewNow renews a worker's lease immediately unless a renewal is in flight.
func (s *session) renewNow(h *host) {
	if s.p.Address(h.name) != "" && !h.renewing {
		s.renew(h, s.p.Timer.Now())
	}
}

func ttl(d time.Duration) unit.Duration {
	return unit.Duration{Duration: d}
}
