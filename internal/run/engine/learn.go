package engine

import (
	"time"

	"sesameyoke/internal/core/assign"
	"sesameyoke/internal/core/work"
)

const (
	learnShare = 0.1 // weight of the newest run time
	learnFrom  = 5   // runs after which the learnt time goes before the declared one
)

// runTime is what the runs of a queue have taken.
type runTime struct {
	runs int
	mean float64 // seconds
}

// learn takes in how long a unit took.
func (e *Engine) learn(u *unit) {
	for _, m := range u.members {
		took := m.took(e.Boot()).Seconds()
		if took == 0 {
			continue
		}
		e.Observe("run_seconds", e.Boot()-m.began)
		l := e.learnt[u.job.Queue]
		if l == nil {
			l = &runTime{mean: took}
			e.learnt[u.job.Queue] = l
		}
		l.runs++
		l.mean += max(learnShare, 1/float64(l.runs)) * (took - l.mean)

		return
	}
}

// took returns how long a run that is done would have taken on a usual worker; 0 if
// that is not known.
func (m *member) took(boot time.Duration) time.Duration {
	took := m.track.Length()
	if took == 0 && m.began != 0 && m.from == "" && !m.byOther && !m.unit.job.Steps[m.unit.step].Gang {
		took = boot - m.began
	}

	return time.Duration(float64(took) / m.worker.slow)
}

// runOf returns the expected run time of a step's task.
func (e *Engine) runOf(s *job, step int) time.Duration {
	declared := time.Duration(s.Steps[step].Estimate) * time.Millisecond
	l := e.learnt[s.Queue]
	if l == nil || l.runs < learnFrom {
		return declared
	}

	return assign.Expected(declared, time.Duration(l.mean*float64(time.Second)))
}

// chain returns the expected time of the longest chain of the steps that are
// not done; of all steps without an occurrence.
func (e *Engine) chain(s *job, o *work.Occurrence) time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	longest := time.Duration(0)
	for i, st := range s.Steps {
		for _, a := range st.After {
			ends[i] = max(ends[i], ends[a])
		}
		if o == nil || !o.StepDone(i) {
			ends[i] += e.runOf(s, i)
		}
		longest = max(longest, ends[i])
	}

	return longest
}

// standing returns what the order of a waiting step depends on.
func (e *Engine) standing(s *job, occur int, reserved bool) assign.Standing {
	q := e.rules(s.Queue)

	return assign.Standing{
		Priority:  q.Priority,
		Waited:    e.Boot() - s.since(occur, e.Now(), e.Boot()),
		Left:      e.chain(s, &s.Occurs[occur]),
		Objective: time.Duration(q.Stretch*float64(e.chain(s, nil))) + q.Target,
		Reserved:  reserved,
	}
}

// since returns the boot time from which an occurrence's wait counts.
func (s *job) since(occur int, now time.Time, boot time.Duration) time.Duration {
	due := s.Due(occur)
	if due == 0 {
		return s.accepted
	}

	return boot - now.Sub(time.UnixMilli(due))
}
