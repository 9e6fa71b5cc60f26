package planner

import (
	"sync"
	"time"

	"sesameyoke/internal/core/job"
)

// offerLife is how long an offered job is kept without its VM asking again.
const offerLife = 15 * time.Second

type (
	// offers holds idempotent jobs that entry VMs have handed over while the log
	// is down. They are answered by the reply to a later offer.
	offers struct {
		mu   sync.Mutex
		jobs map[job.Key]*offer
	}

	offer struct {
		job    job.Job
		answer *job.Answer
		asked  time.Time
	}
)

// Offer takes a job without a record in the log, or returns its answer once it has
// one. It may be called again and again.
func (p *Planner) Offer(j job.Job) *job.Answer {
	o := &p.offers
	o.mu.Lock()
	defer o.mu.Unlock()

	now := p.Timer.Now()
	if o.jobs == nil {
		o.jobs = make(map[job.Key]*offer)
	}
	for k, f := range o.jobs {
		if now.Sub(f.asked) > offerLife {
			delete(o.jobs, k)
		}
	}
	f, ok := o.jobs[j.Key()]
	if !ok {
		f = &offer{job: j}
		o.jobs[j.Key()] = f
	}
	f.asked = now

	return f.answer
}

func (o *offers) job(k job.Key) (job.Job, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()

	f, ok := o.jobs[k]
	if !ok {
		return job.Job{}, false
	}

	return f.job, true
}

// open returns the offered jobs without an answer.
func (o *offers) open() []job.Job {
	o.mu.Lock()
	defer o.mu.Unlock()

	var out []job.Job
	for _, f := range o.jobs {
		if f.answer == nil {
			out = append(out, f.job)
		}
	}

	return out
}

// answer notes the answer of an offered job and reports whether there is one.
func (o *offers) answer(a job.Answer) bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	f, ok := o.jobs[a.Key]
	if ok {
		f.answer = &a
	}

	return ok
}
