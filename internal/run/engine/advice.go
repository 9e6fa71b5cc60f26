package engine

import (
	"context"
	"fmt"
	"slices"
	"time"

	"sesameyoke/internal/core/work"
)

const (
	// Number of workers named in a request for a step with few tasks. A larger step names one for
	// each task, up to maxAdviseWorkers. Each named worker costs the service time.
	minAdviseWorkers = 30
	// Maximum number of workers named in a request.
	maxAdviseWorkers = 100
	// Pause between requests for a step.
	advisePause = 300 * time.Millisecond
	// Timeout of a request.
	adviseTimeout = 5 * time.Second
	// Tickets are used until this long before they expire.
	ticketMargin = 500 * time.Millisecond
)

// advice holds the placement service's answers for one step.
type advice struct {
	tickets       map[string]ticket // by worker
	asked         map[string]bool   // workers named in requests so far
	nextRequestAt time.Duration     // earliest time of the next request
}

// ticket is the permission to run a step on a worker, valid for one incarnation of it.
type ticket struct {
	value      string
	worker     *worker
	life       int           // worker.life when the request was sent
	validUntil time.Duration // boot time
}

// stepName returns the name of a step of an occurrence of a job.
func stepName(j *job, occur, step int) string { return fmt.Sprintf("%s.%d.%d", j.ID, occur, step) }

// tickets returns the tickets for a step by worker, or nil if there are none. If these workers
// have no room for a task, or for all tasks of a gang, it requests advice on other workers.
func (e *Engine) tickets(j *job, occur, step int) map[string]string {
	name := stepName(j, occur, step)
	a := e.adviceByStep[name]
	if a == nil {
		a = &advice{tickets: map[string]ticket{}, asked: map[string]bool{}}
		e.adviceByStep[name] = a
	}
	valid := e.validTickets(a)
	if e.adviceStep == "" && e.SinceBoot() >= a.nextRequestAt && e.lacksRoom(a, j, step) {
		if names := e.workersToAsk(a, j, step); len(names) > 0 {
			e.adviceStep = name
			e.requestAdvice(a, work.Task{Job: j.ID, Occur: occur, Step: step}, names)
		}
	}
	if len(valid) == 0 {
		return nil
	}

	return valid
}

// validTickets drops the tickets that have expired or were issued for an earlier incarnation, and returns the
// others by worker. Workers whose tickets are dropped are named in requests again.
func (e *Engine) validTickets(a *advice) map[string]string {
	now, valid := e.SinceBoot(), make(map[string]string, len(a.tickets))
	for id, t := range a.tickets {
		if now >= t.validUntil || e.workers[id] != t.worker || t.worker.life != t.life {
			a.drop(id)

			continue
		}
		valid[id] = t.value
	}

	return valid
}

// drop forgets a worker's ticket, and that the worker was named in a request.
func (a *advice) drop(id string) {
	delete(a.tickets, id)
	delete(a.asked, id)
}

// lacksRoom reports whether the workers with tickets have no room for a task, or for all tasks
// of a gang.
func (e *Engine) lacksRoom(a *advice, j *job, step int) bool {
	st, now := &j.Steps[step], e.SinceBoot()
	needed := 1
	if st.Gang {
		needed = st.Count
	}
	for id := range a.tickets {
		if w := e.workers[id]; w != nil && w.schedulable(now) {
			needed -= w.slots(st, needed)
		}
		if needed <= 0 {
			return false
		}
	}

	return true
}

// slots returns how many tasks of a step the worker has room for, at most the given number.
func (w *worker) slots(st *work.Step, most int) int {
	if st.MaxPerWorker > 0 {
		most = min(most, st.MaxPerWorker)
	}
	n := 0
	for free := w.free; n < most && demand(st).Fits(free); n++ {
		free = free.Minus(demand(st))
	}

	return n
}

// workersToAsk selects workers that could run the step and have not been named in a
// request yet. Once all have been, it starts over.
func (e *Engine) workersToAsk(a *advice, j *job, step int) []string {
	st := &j.Steps[step]
	q, now := e.queuePolicy(j.Queue), e.SinceBoot()
	var fresh, asked []string
	for id, w := range e.workers {
		if !w.schedulable(now) || w.Service != q.Service || !demand(st).Fits(w.Capacity) || (st.Label != "" && !slices.Contains(w.Labels, st.Label)) {
			continue
		}
		if a.asked[id] {
			asked = append(asked, id)
		} else {
			fresh = append(fresh, id)
		}
	}
	if len(fresh) == 0 {
		clear(a.asked)
		fresh = asked
	}
	slices.SortFunc(fresh, func(x, y string) int {
		return e.workers[y].free.Accelerators - e.workers[x].free.Accelerators
	})

	return fresh[:min(len(fresh), max(minAdviseWorkers, min(maxAdviseWorkers, st.Count)))]
}

// requestAdvice sends a request in the background. The caller sets adviceStep, because the
// service accepts only one request at a time from a VM.
func (e *Engine) requestAdvice(a *advice, step work.Task, names []string) {
	sent, tickets := e.SinceBoot(), map[string]ticket{}
	for _, n := range names {
		tickets[n] = ticket{worker: e.workers[n], life: e.workers[n].life}
	}
	e.background.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, adviseTimeout)
		defer cancel()
		allowed, valid, err := e.Advise(ctx, step, names)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.adviceStep = ""
		a.nextRequestAt = e.SinceBoot() + advisePause
		e.Log.Info().Str("event", "advice").Str("id", step.Job).Int("step", step.Step).Int("asked", len(names)).
			Int("allowed", len(allowed)).Dur("took", e.SinceBoot()-sent).Err(err).Msg("")
		if err == nil {
			for _, n := range names {
				a.asked[n] = true
			}
			for id, value := range allowed {
				t := tickets[id]
				t.value, t.validUntil = value, sent+valid-ticketMargin
				a.tickets[id] = t
			}
		}
		e.requestPass()
	})
}

// dropAdvice deletes the advice for an ended job.
func (e *Engine) dropAdvice(j *job) {
	for occur := range j.Occurrences() {
		for step := range j.Steps {
			delete(e.adviceByStep, stepName(j, occur, step))
		}
	}
}
