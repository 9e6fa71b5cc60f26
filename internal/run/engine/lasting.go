package engine

import "sesameyoke/internal/core/placement"

// stoppableTasks returns, by step, how many long-running tasks may be stopped without exceeding the
// number of tasks of the step that may be unavailable at once. A step that states no such number is not
// protected from a guarantee: all its tasks may be stopped. It returns nil if no guarantee covers
// a job, because only guaranteed jobs may stop such tasks.
func (e *Engine) stoppableTasks(guaranteed map[*job]bool) map[stepKey]int {
	covered := false
	for _, yes := range guaranteed {
		covered = covered || yes
	}
	if !covered {
		return nil
	}
	n := map[stepKey]int{}
	for _, u := range e.units {
		st := &u.job.Steps[u.step]
		if u.orphan || !st.LongRunning {
			continue
		}
		if st.MaxUnavailable == 0 {
			n[u.stepKey()] = st.Count

			continue
		}
		if _, ok := n[u.stepKey()]; !ok {
			n[u.stepKey()] = st.MaxUnavailable - st.Count
		}
		if u.aborted {
			continue
		}
		for _, m := range u.members {
			if m.isReady() {
				n[u.stepKey()]++
			}
		}
	}

	return n
}

// toLastingRun returns the run of a long-running task as input of a placement decision. The
// argument mayStop is the number of running tasks of its step that may be stopped now.
func (e *Engine) toLastingRun(m *member, guaranteed bool, mayStop int) placement.LastingRun {
	u, priority := m.unit, e.queuePolicy(m.unit.job.Queue).Priority

	return placement.LastingRun{
		Run:     placement.Run{Group: u.name, Need: m.demand(), Priority: priority, Borrowed: priority == 0 && !guaranteed, LostWork: placement.LastingCost},
		Step:    stepName(u.job, u.occur, u.step),
		Tasks:   u.unreleased,
		MayStop: mayStop,
	}
}
