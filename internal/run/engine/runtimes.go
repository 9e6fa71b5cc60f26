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

// runTime is the moving average of a queue's run times, on a worker of usual speed.
type runTime struct {
	runs int
	mean float64 // seconds
}

// recordRunTime adds a completed unit's run time to its queue's average.
func (e *Engine) recordRunTime(u *unit) {
	for _, m := range u.members {
		took := m.normalizedRunTime(e.SinceBoot()).Seconds()
		if took == 0 {
			continue
		}
		e.Observe("run_seconds", e.SinceBoot()-m.began)
		measured := e.runTimes[u.job.Queue]
		if measured == nil {
			measured = &runTime{mean: took}
			e.runTimes[u.job.Queue] = measured
		}
		measured.runs++
		measured.mean += max(runTimeWeight, 1/float64(measured.runs)) * (took - measured.mean)

		return
	}
}

// normalizedRunTime returns the time that a completed run would have taken on a worker of
// usual speed, or 0 if that is not known.
func (m *member) normalizedRunTime(boot time.Duration) time.Duration {
	took := m.track.Length()
	if took == 0 && m.began != 0 && m.resumedFrom == "" && !m.inherited && !m.unit.job.Steps[m.unit.step].Gang {
		took = boot - m.began
	}

	return time.Duration(float64(took) / m.worker.factor())
}

// expectedRunTime returns the expected run time of a step's task.
func (e *Engine) expectedRunTime(j *job, step int) time.Duration {
	declared := time.Duration(j.Steps[step].Estimate) * time.Millisecond
	measured := e.runTimes[j.Queue]
	if measured == nil || measured.runs < minLearnedRuns {
		return declared
	}

	return placement.ExpectedRunTime(declared, time.Duration(measured.mean*float64(time.Second)))
}

// criticalPath returns the expected duration of the longest chain of steps that are not
// done in an occurrence, or of all steps if o is nil.
func (e *Engine) criticalPath(j *job, o *work.Occurrence) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, st := range j.Steps {
		for _, a := range st.After {
			ends[i] = max(ends[i], ends[a])
		}
		if o == nil || !o.StepDone(i) {
			ends[i] += e.expectedRunTime(j, i)
		}
		longest = max(longest, ends[i])
	}

	return longest
}

// rankInputs returns the inputs from which the rank of a waiting step is computed.
func (e *Engine) rankInputs(j *job, occur int, guaranteed bool) placement.RankInput {
	q := e.queuePolicy(j.Queue)

	return placement.RankInput{
		Priority:   q.Priority,
		Waited:     e.SinceBoot() - j.waitingSince(occur, e.Now(), e.SinceBoot()),
		Remaining:  e.criticalPath(j, &j.Occurs[occur]),
		Objective:  time.Duration(q.Stretch*float64(e.criticalPath(j, nil))) + q.Target,
		Guaranteed: guaranteed,
	}
}

// waitingSince returns the boot time from which the waiting time of an occurrence counts.
func (j *job) waitingSince(occur int, now time.Time, boot time.Duration) time.Duration {
	due := j.Due(occur)
	if due == 0 {
		return j.acceptedAt
	}

	return boot - now.Sub(time.UnixMilli(due))
}
