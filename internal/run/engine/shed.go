package engine

import (
	"context"
	"fmt"
	"time"

	"sesameyoke/internal/core/placement"
	"sesameyoke/internal/core/work"
)

// A job is accepted if it takes longer than this to find out whether it is stored already.
const shedReadTimeout = 300 * time.Millisecond

// OverloadError tells that a job would certainly end too late for its result to have value. The
// call had no effect.
type OverloadError struct {
	RetryAfter time.Duration // expected wait of such a job

	wait      time.Duration
	objective time.Duration
}

// Error implements error.
func (o *OverloadError) Error() string {
	return fmt.Sprintf("the job would end too late; retry in %s", o.RetryAfter)
}

// turnAway returns an OverloadError if a job that is not stored would certainly end too late. Each
// submission is judged anew, also of an ID that was rejected before.
func (e *Engine) turnAway(ctx context.Context, def work.Job) error {
	e.mu.Lock()
	overload, offset := e.shed(def), e.handinOffset
	e.mu.Unlock()
	if overload == nil || e.handedIn(ctx, def.ID, offset) {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.unknownJob(def.ID) { // it has come another way meanwhile
		return nil
	}
	e.Log.Warn().Str("event", "job-turned-away").Str("id", def.ID).Str("queue", def.Queue).Dur("wait", overload.wait).
		Dur("objective", overload.objective).Dur("retry", overload.RetryAfter).Msg("")
	e.Count("jobs_turned_away", 1)

	return overload
}

// handedIn reports whether HandinTopic may hold a job at or after an offset. An entry VM may have
// written it there in an earlier attempt, which this planner has not read yet.
func (e *Engine) handedIn(ctx context.Context, id string, offset int64) bool {
	ctx, cancel := context.WithTimeout(ctx, shedReadTimeout)
	defer cancel()
	for {
		r, err := e.Store.Read(ctx, HandinTopic, offset, 0)
		if err != nil {
			return true
		}
		if len(r.Records) == 0 {
			return false
		}
		for _, rec := range r.Records {
			if rec.Key == work.Key(work.OpenRecord, id) {
				return true
			}
		}
		offset = r.End
	}
}

// unknownJob reports whether the planner accepts calls and knows no job with the ID.
func (e *Engine) unknownJob(id string) bool {
	_, progress := e.unmatchedProgress[id]
	ready := e.ctx != nil && e.ctx.Err() == nil && e.ready

	return ready && e.jobs[id] == nil && !e.unreadableJobs[id] && !progress && e.handinsCurrent()
}

// shed returns an OverloadError if an unknown job is to be rejected, else nil.
func (e *Engine) shed(def work.Job) *OverloadError {
	if !e.unknownJob(def.ID) || !e.knowsQueue(def.Queue) {
		return nil
	}
	q := e.queuePolicy(def.Queue)
	s := e.shortages[q.Service]
	if s == nil || !s.on || !e.mayShed(def) {
		return nil
	}
	u := e.costOfNew(&job{Job: def})
	b := placement.Backlog{Accelerators: s.accel, Used: s.used, Waiting: s.waiting, Running: e.runningWork(q.Service, q.Priority)}
	wait, shed := placement.Shed(&b, u)
	if !shed {
		return nil
	}

	return &OverloadError{RetryAfter: max(time.Second, wait), wait: wait, objective: u.Objective}
}

// mayShed reports whether an unknown job may be rejected at all.
func (e *Engine) mayShed(def work.Job) bool {
	if def.Times > 0 || def.First > 0 || e.coveredByGuarantee(def) {
		return false
	}
	for i := range def.Steps {
		if def.Steps[i].LongRunning || def.Steps[i].BestEffort {
			return false
		}
	}

	return true
}

// coveredByGuarantee reports whether the workspace's guarantee covers a new job.
func (e *Engine) coveredByGuarantee(def work.Job) bool {
	p := e.Policy()
	if p == nil {
		return true // not known
	}
	g := p.Guaranteed(def.Workspace)
	if g == 0 || e.queuePolicy(def.Queue).Priority != 0 {
		return false
	}
	used := (&job{Job: def}).maxAccelerators()
	for _, j := range e.active {
		if j.Workspace == def.Workspace && !j.Phase.Final() && e.queuePolicy(j.Queue).Priority == 0 {
			used += j.maxAccelerators()
		}
	}

	return used <= g
}

// costOfNew returns the cost of the step of a new job that needs most accelerators, or the zero
// value if none needs any. Its run time is the longer of the declared and the expected one.
func (e *Engine) costOfNew(j *job) placement.CostInput {
	q := e.queuePolicy(j.Queue)
	longest := max(j.Span(), e.criticalPath(j, nil))
	r := placement.RankInput{Priority: q.Priority, Remaining: longest}
	if q.Stretch > 0 {
		r.Objective = time.Duration(q.Stretch*float64(longest)) + q.Target
	}
	most := placement.CostInput{}
	for i := range j.Steps {
		st := &j.Steps[i]
		if c := e.costInput(j, i, st.Count, r); st.Need.Accelerators > 0 && c.Need > most.Need {
			most = c
		}
	}

	return most
}

// runningWork returns the accelerator-seconds until the runs of a service end that a job of the
// given priority cannot evict.
func (e *Engine) runningWork(service string, priority int) float64 {
	now, sum := e.SinceBoot(), 0.0
	for _, u := range e.units {
		q := e.queuePolicy(u.job.Queue)
		if q.Service != service || u.job.Steps[u.step].LongRunning || (priority == 0 && q.Priority > 0) {
			continue
		}
		for _, m := range u.members {
			if m.phase != released {
				sum += float64(m.demand().Accelerators) * e.expectedRemaining(m, now).Seconds()
			}
		}
	}

	return sum
}
