package engine

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Why the runs of a worker were lost.
const (
	lostByCrash       lossCause = "crash"       // the worker has restarted, and nothing announced it
	lostByDrain       lossCause = "drain"       // the worker had announced that it leaves
	lostByMaintenance lossCause = "maintenance" // its host was ordered down
	lostByLease       lossCause = "lease"       // its lease expired: it may be cut off, gone or down
)

const (
	// A worker is back at the latest this long after the downtime of its host.
	maintenanceSlack = 10 * time.Second
	// Maintenance waves that began longer ago do not explain restarts before a takeover.
	maxWaveAge = 5 * time.Minute
)

// lossCause tells why the runs of a worker were lost.
type lossCause string

// restartCause returns why a worker has restarted.
func (e *Engine) restartCause(w *worker, draining bool) lossCause {
	switch {
	case draining:
		return lostByDrain
	case e.inMaintenance(w):
		return lostByMaintenance
	}

	return lostByCrash
}

// inMaintenance reports whether the worker's host was ordered down. Until a new planner knows
// the states of the hosts, each may have been ordered down by its predecessor.
func (e *Engine) inMaintenance(w *worker) bool {
	now := e.SinceBoot()
	if now < w.maintainedUntil {
		return true
	}
	if e.Cloud == nil || now >= e.began+e.Timing.HostLease+cloudTimeout+waveInterval {
		return false
	}
	for _, wave := range e.waves {
		if len(wave.Done) > 0 && e.Now().Sub(time.UnixMilli(wave.Begun)) < maxWaveAge {
			return true
		}
	}

	return false
}

// logLostRuns logs which runs a worker has lost and why. The incarnation is that which
// follows; 0 if it is not known.
func (e *Engine) logLostRuns(w *worker, cause lossCause, incarnation int64) {
	if len(w.runs) == 0 {
		return
	}
	var silent time.Duration
	if w.silentSince != 0 {
		silent = e.SinceBoot() - w.silentSince
	}
	e.Count("runs_lost_"+string(cause), int64(len(w.runs)))
	e.Log.Warn().Str("event", "runs-lost").Str("worker", w.ID).Str("cause", string(cause)).Int64("before", w.Incarnation).
		Int64("born", incarnation).Dur("silent", silent).Str("runs", e.describeRuns(w)).Msg("")
}

// describeRuns lists the runs of a worker: task, run number, and age when the worker was
// lost; "?" for a run whose start this planner has not sent.
func (e *Engine) describeRuns(w *worker) string {
	members := w.members()
	all := make([]string, 0, len(members))
	for _, m := range members {
		age := "?"
		if a, ok := m.ageAtLoss(e.SinceBoot()); ok {
			age = a.Round(time.Millisecond).String()
		}
		all = append(all, fmt.Sprintf("%s.%d#%d@%s", stepName(m.unit.job, m.unit.occur, m.unit.step), m.index, m.unit.run, age))
	}
	slices.Sort(all)

	return strings.Join(all, " ")
}

// ageAtLoss returns how long before the loss of its worker a run was ordered to start. It
// returns false if this planner has not sent the start.
func (m *member) ageAtLoss(now time.Duration) (time.Duration, bool) {
	if m.sentAt == 0 {
		return 0, false
	}
	if m.worker.silentSince != 0 {
		now = m.worker.lostAt
	}

	return max(0, now-m.sentAt), true
}
