package engine

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"sesameyoke/internal/core/placement"
	"sesameyoke/internal/core/speed"
	"sesameyoke/internal/core/work"
)

const (
	// Least time between two writes of the speed record.
	speedRecordInterval = 5 * time.Second
	// Size of an entry of the record without the worker's name, and of its head, at most.
	speedEntryBytes = 24
	speedHeadBytes  = 32
	// Largest number of runs of a step that are compared at a time.
	maxBatch = 24
	// Estimates are recorded in thousandths.
	speedScale = 1000
)

type (
	// speedRecord holds the estimated speeds of an uneven fleet, so that a new planner does not have
	// to learn them again at the cost of urgent gangs.
	speedRecord struct {
		_       struct{} `cbor:",toarray"`
		Workers map[string]speedEntry
	}

	// comparedRun is a run to be compared with others of its step or gang.
	comparedRun struct {
		worker *worker
		took   time.Duration // run time, projected if it has not ended
		member *member       // nil if it has ended
	}

	// speedEntry is the estimate for one worker, in thousandths.
	speedEntry struct {
		_        struct{} `cbor:",toarray"`
		Log      int64
		Variance int64
	}
)

// factor returns how much longer runs take on the worker than usual, apart from temporary
// slowness.
func (w *worker) factor() float64 {
	if w.speedFactor > 0 {
		return w.speedFactor
	}

	return w.baseSlowdown
}

// speedRatio is like factor, but 1 in an even fleet, where factors are too uncertain to correct
// measured run times by them.
func (w *worker) speedRatio() float64 {
	if w.speedFactor > 0 {
		return w.speedFactor
	}

	return 1
}

// reviewSpeeds updates the estimated speeds of the workers from the runs that go on or have ended,
// and the summary of the fleet.
func (e *Engine) reviewSpeeds(now time.Duration) {
	steps := map[stepKey][]comparedRun{}
	for _, u := range e.units {
		st := &u.job.Steps[u.step]
		switch {
		case u.orphan || u.aborted || u.done || st.LongRunning || st.BestEffort:
		case st.Gang:
			compareGang(u, now)
		case len(u.members) == 1 && !u.members[0].speedCounted && u.members[0].speedReady(now):
			m := u.members[0]
			steps[u.stepKey()] = append(steps[u.stepKey()], comparedRun{m.worker, m.track.Length(), m})
		}
	}
	for _, j := range e.active {
		for key, done := range j.doneRuns {
			steps[stepKey{j, key}] = append(steps[stepKey{j, key}], done...)
		}
	}
	for key, runs := range steps {
		if len(runs) >= batchSize(key.job.Steps[key.step].Count) {
			compareRuns(runs, false, now)
			delete(key.job.doneRuns, key.occurStep)
		}
	}
	e.summarizeSpeeds(now)
}

// batchSize returns how many runs of a step with the given number of tasks are compared at a time.
// In a small batch, the runs that are ready first are those on fast workers.
func batchSize(tasks int) int {
	return max(minMedianPeers, min(maxBatch, tasks*3/4))
}

// speedReady reports whether the member's projected run time may be compared with others.
func (m *member) speedReady(now time.Duration) bool {
	return m.phase == running && m.track.Length() > 0 && speed.Ready(m.track.Percent(), now-m.began)
}

// compareGang compares the members of a gang once all of them are ready.
func compareGang(u *unit, now time.Duration) {
	runs := make([]comparedRun, 0, len(u.members))
	for _, m := range u.members {
		if m.speedCounted || !m.speedReady(now) {
			return
		}
		runs = append(runs, comparedRun{m.worker, m.track.Length(), m})
	}
	compareRuns(runs, true, now)
}

// compareRuns updates the estimates of the workers of runs that should take equally long.
func compareRuns(runs []comparedRun, equalWork bool, now time.Duration) {
	observed := make([]speed.Observation, 0, len(runs))
	for _, r := range runs {
		observed = append(observed, speed.Observation{Length: r.took, Estimate: r.worker.speed})
	}
	for i, next := range speed.Compare(observed, equalWork, now) {
		runs[i].worker.speed = next
		if runs[i].member != nil {
			runs[i].member.speedCounted = true
		}
	}
}

// keepDone keeps the run of a task that is done for comparison: a short run ends before its
// progress was reported often enough. The end of a gang tells nothing of its members.
func (e *Engine) keepDone(u *unit) {
	st := &u.job.Steps[u.step]
	if st.Gang || st.BestEffort || len(u.members) != 1 || u.members[0].speedCounted {
		return
	}
	m := u.members[0]
	took := m.track.Length()
	if took == 0 && m.began != 0 && m.resumedFrom == "" && !m.inherited {
		took = e.SinceBoot() - m.began
	}
	if took <= 0 {
		return
	}
	if u.job.doneRuns == nil {
		u.job.doneRuns = map[occurStep][]comparedRun{}
	}
	key := occurStep{u.occur, u.step}
	if len(u.job.doneRuns[key]) < maxBatch {
		u.job.doneRuns[key] = append(u.job.doneRuns[key], comparedRun{worker: m.worker, took: took})
	}
}

// summarizeSpeeds decides whether the fleet is uneven and sets the factors of its workers. In an
// even fleet the estimates are not used.
func (e *Engine) summarizeSpeeds(now time.Duration) {
	all := make([]speed.Estimate, 0, len(e.workers))
	for _, w := range e.workers {
		all = append(all, w.speed)
	}
	before := e.fleetSpeed
	e.fleetSpeed = speed.Summarize(all, before, now)
	if e.fleetSpeed.Uneven != before.Uneven {
		e.Log.Info().Str("event", "fleet-uneven").Bool("on", e.fleetSpeed.Uneven).Int("known", e.fleetSpeed.Known).
			Int("fast", e.fleetSpeed.Fast).Int("slow", e.fleetSpeed.Slow).Msg("")
	}
	for _, w := range e.workers {
		w.speedFactor = 0
		if e.fleetSpeed.Uneven {
			w.speedFactor = e.fleetSpeed.Factor(w.speed, now)
		}
	}
	if e.fleetSpeed.Uneven && now >= e.speedsRecordedAt+speedRecordInterval {
		e.speedsRecordedAt = now
		e.writer.putContent(work.Key(work.SpeedRecord, ""), e.encodeSpeeds, func(error) {})
	}
}

// encodeSpeeds returns the content of the speed record. Workers for which it has no room are left
// out: their speeds are learned again.
func (e *Engine) encodeSpeeds() ([]byte, error) {
	r := speedRecord{Workers: map[string]speedEntry{}}
	room := e.RecordBytes - speedHeadBytes
	for id, w := range e.workers {
		if w.speed.Variance == 0 {
			continue
		}
		if room -= len(id) + speedEntryBytes; room < 0 {
			break
		}
		r.Workers[id] = speedEntry{Log: int64(w.speed.Log * speedScale), Variance: max(1, int64(w.speed.Variance*speedScale))}
	}

	return work.Encode(r)
}

// loadSpeeds applies the speed record of the previous planners. An unreadable one is ignored: the
// speeds are learned again.
func (e *Engine) loadSpeeds(b []byte) {
	var r speedRecord
	if err := cbor.Unmarshal(b, &r); err != nil {
		e.Log.Error().Str("event", "record-unreadable").Str("key", work.Key(work.SpeedRecord, "")).Err(err).Msg("")

		return
	}
	e.inheritedSpeeds = r.Workers
	for id, w := range e.workers {
		w.speed = e.inheritedSpeed(id)
	}
	e.Log.Info().Str("event", "speeds-inherited").Int("workers", len(r.Workers)).Msg("")
}

// inheritedSpeed returns the estimate that the previous planners recorded for a worker.
func (e *Engine) inheritedSpeed(id string) speed.Estimate {
	s, ok := e.inheritedSpeeds[id]
	if !ok || s.Variance <= 0 {
		return speed.Estimate{}
	}

	return speed.Estimate{Log: float64(s.Log) / speedScale, Variance: float64(s.Variance) / speedScale, At: e.SinceBoot()}
}

// addSpeedLimit tells how slow the workers of an uneven fleet may be for a unit to end within its
// objective.
func (e *Engine) addSpeedLimit(c *candidate) {
	st := &c.job.Steps[c.step]
	if !e.fleetSpeed.Uneven || st.LongRunning || st.BestEffort {
		return
	}
	in := e.rankInputs(c.job, c.occur, c.unit.Guaranteed)
	c.unit.MaxSlowdown = placement.MaxSlowdown(in, c.unit.Length)
	c.unit.SparesFast = st.Gang
}
