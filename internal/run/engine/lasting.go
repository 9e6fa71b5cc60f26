package engine

import (
	"slices"

	"sesameyoke/internal/core/placement"
	"sesameyoke/internal/core/policy"
)

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

// limitedTask returns what the tasks of a long-running step have in common that can't be stopped at will: those of a step
// that limits how many may be unavailable, and those that a guarantee covers. It returns nil for other tasks.
func (e *Engine) limitedTask(j *job, occur, step int, guaranteed bool) *placement.LimitedTask {
	st := &j.Steps[step]
	if !st.LongRunning || (st.MaxUnavailable == 0 && !guaranteed) {
		return nil
	}
	t := &placement.LimitedTask{Step: stepName(j, occur, step), Workspace: j.Workspace, Tasks: 1, Count: st.Count, MayMiss: st.MaxUnavailable, Accelerators: st.Need.Accelerators}
	if st.Gang {
		t.Tasks = st.Count
	}
	if guaranteed {
		t.MayMiss = 0
	}

	return t
}

// toLimitedTask returns a run as a limited task; nil if it can be stopped at will, or is being stopped already.
func (e *Engine) toLimitedTask(m *member, guaranteed bool) *placement.LimitedTask {
	u := m.unit
	if u.aborted || u.orphan {
		return nil
	}
	t := e.limitedTask(u.job, u.occur, u.step, guaranteed)
	if t != nil {
		t.Group = u.name
	}

	return t
}

// guaranteesOf returns the guarantees that the workers of a service must be able to honour: all, if it has a queue of
// priority 0.
func (e *Engine) guaranteesOf(service string) []placement.Guarantee {
	p := e.Policy()
	if p == nil || !slices.ContainsFunc(p.Queues, func(q policy.Queue) bool { return q.Service == service && q.Priority == 0 }) {
		return nil
	}
	var all []placement.Guarantee
	for _, w := range p.Workspaces {
		if w.Guaranteed > 0 {
			all = append(all, placement.Guarantee{Workspace: w.Name, Accelerators: w.Guaranteed})
		}
	}

	return all
}
