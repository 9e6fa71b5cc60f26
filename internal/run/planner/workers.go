package planner

import (
	"strings"
	"time"

	"sesameyoke/internal/core/plan"
	"sesameyoke/internal/core/unit"
	"sesameyoke/internal/peer/worker"
)

type (
	// workerStatus is what the planner knows about one worker.
	workerStatus struct {
		name         string
		rack         int
		first        int // position of its first accelerator in the rack
		incarnation  string
		version      int64     // version of the newest report
		wantFull     bool      // the next renewal asks for a full report
		renewing     bool      // a renewal is in flight
		lastRequest  time.Time // when the last renewal was sent
		lastReply    time.Time // when the last renewal was answered
		renewalTried bool      // a renewal has been answered, has failed, or was not sent because the address is unknown
		downSent     bool      // the plan has been notified of the current value of down
		down         bool
		leaving      bool
		confirm      []string // tokens to confirm with the next renewal
		discard      []string // tokens whose results the worker may discard
	}

	// orphan is an attempt that workers report but that belongs to no run of this
	// session. The maps are keyed by the index of the member.
	orphan struct {
		firstSeen time.Time
		tasks     map[int]worker.Task
		workers   map[int]string // names
	}
)

// syncFleet updates the table of the region's workers from the fleet's configuration.
func (s *session) syncFleet() {
	known := 0
	for i, r := range s.configuration.Fleet.Racks {
		if r.Region != s.p.Region {
			continue
		}
		base := 0
		for _, entry := range r.Workers {
			w, ok := s.workers[entry.Name]
			if !ok {
				w = &workerStatus{name: entry.Name}
				s.workers[entry.Name] = w
			}
			w.rack, w.first = i, base
			base += entry.Accelerators
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
	for _, w := range s.workers {
		if w.renewing || now.Sub(w.lastRequest) < s.p.Timing.RenewInterval.Duration {
			continue
		}
		if s.p.Address(w.name) == "" {
			w.renewalTried = true

			continue
		}
		s.renew(w, now)
	}
}

// renew sends a lease renewal to a worker. Its reply is handled by onRenewReply.
func (s *session) renew(w *workerStatus, now time.Time) {
	w.renewing = true
	w.lastRequest = now
	req := worker.RenewRequest{
		TTL: s.p.Timing.WorkerLease, Confirm: w.confirm, Discard: w.discard, SinceVersion: w.version, Incarnation: w.incarnation,
	}
	if w.wantFull {
		req.SinceVersion, req.Incarnation = 0, ""
		w.wantFull = false
	}
	w.confirm, w.discard = nil, nil
	go func() {
		rep, err := s.p.calls.Renew(s.ctx, w.name, req)
		s.send(func(s *session) { s.onRenewReply(w, now, req, rep, err) })
	}()
}

// onRenewReply handles a worker's reply to a renewal sent at the given time. After an error, the confirmations
// and the results to discard are queued for the next renewal.
func (s *session) onRenewReply(w *workerStatus, requested time.Time, req worker.RenewRequest, rep worker.Report, err error) {
	w.renewing = false
	w.renewalTried = true
	if err != nil {
		w.confirm = append(req.Confirm, w.confirm...)
		w.discard = append(req.Discard, w.discard...)
		w.wantFull = w.wantFull || req.Incarnation == ""
		s.p.Metrics.Count("renew_failed", nil)

		return
	}
	w.lastReply = s.p.Timer.Now()
	restarted := w.incarnation != rep.Incarnation
	w.incarnation, w.version, w.leaving = rep.Incarnation, rep.Version, rep.Leaving
	if restarted {
		s.checkRunsAfterRestart(w)
	}
	for _, t := range rep.Tasks {
		s.onTaskReport(w, t)
	}
	if rep.Full {
		s.checkFullReport(w, requested, rep.Tasks)
	}
	s.updateUsable(w)
}

// updateUsable notifies the plan if the worker has become usable for new work or has
// ceased to be. A worker that is silent or leaving is not usable.
func (s *session) updateUsable(w *workerStatus) {
	now := s.p.Timer.Now()
	silent := w.lastReply.IsZero() || now.Sub(w.lastReply) > s.p.Timing.SuspectTimeout.Duration
	down := silent || w.leaving || s.p.Leaving(w.name)
	if w.downSent && down == w.down {
		return
	}
	w.downSent, w.down = true, down
	kind := plan.Up
	if down {
		kind = plan.Down
	}
	s.event(plan.Event{Kind: kind, Worker: w.name})
	s.p.Log.Info().Str("event", "worker").Str("worker", w.name).Bool("usable", !down).Bool("leaving", w.leaving).Msg("")
}

// checkLiveness stops using workers that have not answered for Timing.SuspectTimeout. If a
// worker has not answered for Timing.WorkerLease, its lease must have expired, and
// checkLiveness breaks the gangs that have an unfinished member on it.
func (s *session) checkLiveness() {
	now := s.p.Timer.Now()
	for _, w := range s.workers {
		s.updateUsable(w)
		since := w.lastReply
		if since.IsZero() {
			since = s.startedAt
		}
		if now.Sub(since) > s.p.Timing.WorkerLease.Duration {
			s.markMembersLost(w, "the worker has not answered for the life of its lease")
		}
	}
}

// markMembersLost breaks the gangs that have an unfinished member on the worker.
func (s *session) markMembersLost(w *workerStatus, reason string) {
	for _, r := range s.runs {
		if r.phase == phaseStarting {
			continue
		}
		for i, m := range r.gang.Members {
			if m.Worker == w.name && r.tasks[i].State.HoldsAccelerators() {
				r.tasks[i].State = worker.Missing
				s.markBroken(r, w.name, reason)
			}
		}
	}
}

// checkRunsAfterRestart breaks the gangs that have an unfinished member on an earlier
// incarnation of the worker: a restart ends all tasks of a worker.
func (s *session) checkRunsAfterRestart(w *workerStatus) {
	for _, r := range s.runs {
		if r.phase != phaseStarting {
			s.checkIncarnation(r, w)
		}
	}
}

// checkFullReport breaks the gangs that have an unfinished member on the worker whose
// token is missing from the worker's full report: the worker no longer knows the token.
// A gang that has started since the report was requested may be missing from it.
func (s *session) checkFullReport(w *workerStatus, requested time.Time, tasks []worker.Task) {
	known := make(map[string]bool, len(tasks))
	for _, t := range tasks {
		known[t.Token] = true
	}
	for _, r := range s.runs {
		if r.phase == phaseStarting || !r.runningSince.Before(requested) {
			continue
		}
		for i, m := range r.gang.Members {
			if m.Worker == w.name && !known[m.Token] && r.tasks[i].State.HoldsAccelerators() {
				r.tasks[i].State = worker.Missing
				s.markBroken(r, w.name, "the worker has forgotten the task")
			}
		}
	}
}

// checkIncarnation breaks the gang if it has an unfinished member on an earlier
// incarnation of the worker.
func (s *session) checkIncarnation(r *run, w *workerStatus) {
	for i, m := range r.gang.Members {
		if m.Worker == w.name && m.Incarnation != w.incarnation && r.tasks[i].State.HoldsAccelerators() {
			r.tasks[i].State = worker.Missing
			s.markBroken(r, w.name, "the worker has restarted")
		}
	}
}

// takeInventory does nothing until a renewal has been tried at every worker, but for at
// most one call timeout plus one renewal interval after the session's start. It then
// adopts running gangs and allows the plan to decide.
func (s *session) takeInventory() {
	if s.inventoryDone {
		return
	}
	limit := s.p.Timing.CallTimeout.Duration + s.p.Timing.RenewInterval.Duration
	if s.p.Timer.Now().Sub(s.startedAt) < limit {
		for _, w := range s.workers {
			if !w.renewalTried {
				return
			}
		}
	}
	s.inventoryDone = true
	s.adoptOrphans()
}

// onTaskReport handles the reported state of one token. A token without a run is
// collected as part of an orphan.
func (s *session) onTaskReport(w *workerStatus, t worker.Task) {
	if r := s.runs[t.Key]; r != nil && r.owns(t.Token) {
		s.update(r, t)

		return
	}
	id := attemptID(t.Token)
	o, ok := s.orphans[id]
	if !ok {
		o = &orphan{firstSeen: s.p.Timer.Now(), tasks: map[int]worker.Task{}, workers: map[int]string{}}
		s.orphans[id] = o
	}
	o.tasks[t.Member] = t
	o.workers[t.Member] = w.name
}

// attemptID returns the ID of a token's attempt, which is the part before the first dot.
func attemptID(token string) string {
	id, _, _ := strings.Cut(token, ".")

	return id
}

// confirm notifies the workers that all members of the gang run, which puts the tasks
// under the workers' leases.
func (s *session) confirm(r *run) {
	for _, m := range r.gang.Members {
		if w := s.workers[m.Worker]; w != nil {
			w.confirm = append(w.confirm, m.Token)
			s.renewNow(w)
		}
	}
}

// discardResults makes the next renewals allow the workers to discard a gang's results.
func (s *session) discardResults(r *run) {
	for _, m := range r.gang.Members {
		if w := s.workers[m.Worker]; w != nil {
			w.discard = append(w.discard, m.Token)
		}
	}
}

// renewNow renews a worker's lease immediately unless a renewal is in flight.
func (s *session) renewNow(w *workerStatus) {
	if s.p.Address(w.name) != "" && !w.renewing {
		s.renew(w, s.p.Timer.Now())
	}
}

func unitDuration(d time.Duration) unit.Duration {
	return unit.Duration{Duration: d}
}
