package engine

import (
	"maps"
	"time"

	"sesameyoke/internal/core/crash"
	"sesameyoke/internal/core/placement"
	"sesameyoke/internal/core/work"
)

const (
	// A suspect prefers idle workers for this long after a crash.
	preferIdlePeriod = time.Second
	// A suspect is kept away from others for this long after a crash.
	isolationPeriod = 10 * time.Second
	// Largest share of the workers that suspects have for themselves.
	maxExclusiveShare = 0.3
)

// Suspects are tasks that may have crashed their worker, as core/crash counts it. They are
// started apart from each other and from other jobs, so that the next crash tells which of them
// is to blame and costs no other work.

// isSuspect reports whether a task of the job may have crashed its worker.
func (j *job) isSuspect(t work.Task) bool { return j.crashes[t].Blamed > 0 }

// trustedFirst returns those of a step's waiting tasks that may be placed now: suspects follow
// once all others are placed.
func (j *job) trustedFirst(occur, step int, tasks []int) []int {
	if len(j.crashes) == 0 || j.Steps[step].Gang {
		return tasks
	}
	var trusted []int
	for _, i := range tasks {
		if !j.isSuspect(work.Task{Job: j.ID, Occur: occur, Step: step, Index: i}) {
			trusted = append(trusted, i)
		}
	}
	if len(trusted) == 0 {
		return tasks
	}

	return trusted
}

// hasSuspect reports whether a candidate contains a suspect.
func (c *candidate) hasSuspect() bool {
	if len(c.job.crashes) == 0 {
		return false
	}
	for _, i := range c.unit.Tasks {
		if c.job.isSuspect(work.Task{Job: c.job.ID, Occur: c.occur, Step: c.step, Index: i}) {
			return true
		}
	}

	return false
}

// startedAt returns when a run was sent to its worker, or first seen there; 0 before.
func (m *member) startedAt() time.Duration {
	if m.sentAt == 0 {
		return m.began
	}

	return m.sentAt
}

// suspectJobs returns the jobs with a suspect on the worker that has not run for the given
// time yet.
func (w *worker) suspectJobs(now, period time.Duration) map[*job]bool {
	var jobs map[*job]bool
	for _, m := range w.members() {
		j := m.unit.job
		if m.unit.orphan || !j.isSuspect(m.task()) || (m.startedAt() != 0 && now-m.startedAt() >= period) {
			continue
		}
		if jobs == nil {
			jobs = map[*job]bool{}
		}
		jobs[j] = true
	}

	return jobs
}

// keepApart excludes workers from the placement of a candidate that has, or would be beside, a
// suspect of another job. Only for a short time: a few idle workers are not worth a long wait.
func (e *Engine) keepApart(c *candidate, f *fleetSnapshot) {
	if !f.crashes {
		return
	}
	now := e.SinceBoot()
	suspect := c.hasSuspect()
	if suspect && now >= c.job.crashedAt+isolationPeriod {
		return
	}
	period := crash.Fresh
	if suspect {
		period = crash.Probation
	}
	taken, busy := map[int]bool{}, map[int]bool{}
	for i, name := range f.names {
		w := e.workers[name]
		for j := range w.suspectJobs(now, period) {
			if j != c.job {
				taken[i] = true
			}
		}
		if len(w.runs) > 0 {
			busy[i] = true
		}
	}
	if suspect && now < c.job.crashedAt+preferIdlePeriod && e.avoidIfPossible(c, f, busy) {
		return
	}
	if suspect || float64(len(taken)) <= maxExclusiveShare*float64(len(f.names)) {
		c.unit.Avoid = union(c.unit.Avoid, taken)
	}
}

// avoidIfPossible excludes workers from the placement of a candidate if the others can hold it.
func (e *Engine) avoidIfPossible(c *candidate, f *fleetSnapshot, workers map[int]bool) bool {
	before := c.unit.Avoid
	c.unit.Avoid = union(before, workers)
	if f.couldHold(&c.unit) {
		return true
	}
	c.unit.Avoid = before

	return false
}

// union returns the union of two sets.
func union(a, b map[int]bool) map[int]bool {
	if len(b) == 0 {
		return a
	}
	all := maps.Clone(b)
	maps.Copy(all, a)

	return all
}

// separate drops placements that would start a suspect and a task of another job on one worker
// at the same moment. The next pass places them elsewhere, or after the suspect.
func separate(cands []candidate, ps []placement.Placement) []placement.Placement {
	owner := map[int]*job{} // job that has a suspect on a worker, by worker
	for _, p := range ps {
		if c := &cands[p.Unit]; owner[p.Worker] == nil && c.hasSuspect() {
			owner[p.Worker] = c.job
		}
	}
	if len(owner) == 0 {
		return ps
	}
	conflicts := func(p placement.Placement) bool {
		o := owner[p.Worker]

		return o != nil && o != cands[p.Unit].job
	}
	dropped := map[int]bool{} // gangs
	for _, p := range ps {
		if cands[p.Unit].unit.Gang && conflicts(p) {
			dropped[p.Unit] = true
		}
	}
	var kept []placement.Placement
	for _, p := range ps {
		if !dropped[p.Unit] && !conflicts(p) {
			kept = append(kept, p)
		}
	}

	return kept
}
