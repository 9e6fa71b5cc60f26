package engine

import (
	"time"

	"sesameyoke/internal/core/placement"
	"sesameyoke/internal/core/work"
)

const (
	runTimeWeight  = 0.1 // least weight of the newest run time in the moving average
	minLearnedRuns = 5   // number of runs from which the measured mean corrects the declared time
)

// runTime is the moving average of a queue's run times.
type runTime struct {
	runs int
	mean float64 // seconds
}

// recordRunTime adds a completed unit's run time to its queue's average.
func (e *Engine) recordRunTime(u *unit) {
	for _, m := range u.members {
		took := m.usualLength(e.SinceBoot()).Seconds()
		if took == 0 {
			continue
		}
		e.Observe("run_seconds", e.SinceBoot()-m.began)
		l := e.runTimes[u.job.Queue]
		if l == nil {
			l = &runTime{mean: took}
			e.runTimes[u.job.Queue] = l
		}
		l.runs++
		l.mean += max(runTimeWeight, 1/float64(l.runs)) * (took - l.mean)

		return
	}
}

// usualLength returns how long a completed run would have taken on a worker of usual
// speed, or 0 if that is not known.
func (m *member) usualLength(boot time.Duration) time.Duration {
	took := m.track.Length()
	if took == 0 && m.began != 0 && m.resumedFrom == "" && !m.inherited && !m.unit.job.Steps[m.unit.step].Gang {
		took = boot - m.began
	}

	return time.Duration(float64(took) / m.worker.baseSlowdown)
}

// expectedRunTime returns the expected run time of a step's task.
func (e *Engine) expectedRunTime(s *job, step int) time.Duration {
	declared := time.Duration(s.Steps[step].Estimate) * time.Millisecond
	l := e.runTimes[s.Queue]
	if l == nil || l.runs < minLearnedRuns {
		return declared
	}

	return placement.ExpectedRunTime(declared, time.Duration(l.mean*float64(time.Second)))
}

// criticalPath returns the expected duration of the longest chain of steps that are not
// done in an occurrence, or of all steps if o is nil.
func (e *Engine) criticalPath(s *job, o *work.Occurrence) time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	longest := time.Duration(0)
	for i, st := range s.Steps {
		for _, a := range st.After {
			ends[i] = max(ends[i], ends[a])
		}
		if o == nil || !o.StepDone(i) {
			ends[i] += e.expectedRunTime(s, i)
		}
		longest = max(longest, ends[i])
	}

	return longest
}

// rankInputs returns the inputs from which the rank of a waiting step is computed.
func (e *Engine) rankInputs(s *job, occur int, reserved bool) placement.RankInput {
	q := e.queuePolicy(s.Queue)

	return placement.RankInput{
		Priority:   q.Priority,
		Waited:     e.SinceBoot() - s.waitingSince(occur, e.Now(), e.SinceBoot()),
		Remaining:  e.criticalPath(s, &s.Occurs[occur]),
		Objective:  time.Duration(q.Stretch*float64(e.criticalPath(s, nil))) + q.Target,
		Guaranteed: reserved,
	}
}

// waitingSince returns the boot time from which the waiting time of an occurrence counts.
func (s *job) waitingSince(occur int, now time.Time, boot time.Duration) time.Duration {
	due := s.Due(occur)
	if due == 0 {
		return s.acceptedAt
	}

	return boot - now.Sub(time.UnixMilli(due))
}
