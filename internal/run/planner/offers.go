package planner

import (
	"sync"
	"time"

	"sesameyoke/internal/core/job"
)

// offerTTL is how long an offered job is kept after its VM has last offered it.
const offerTTL = 15 * time.Second

type (
	// offers holds the idempotent jobs that entry VMs have offered directly to the
	// planner while the log is down. A job's answer is returned when the VM offers the
	// job again.
	offers struct {
		mu   sync.Mutex
		jobs map[job.Key]*offer
	}

	offer struct {
		job         job.Job
		answer      *job.Answer
		lastOffered time.Time
	}
)

// Offer accepts a job that has no record in the log, and returns its answer once there is
// one. The caller polls by repeating the call, which also restarts the job's offerTTL.
func (p *Planner) Offer(j job.Job) *job.Answer {
	o := &p.offers
	o.mu.Lock()
	defer o.mu.Unlock()

	now := p.Timer.Now()
	if o.jobs == nil {
		o.jobs = make(map[job.Key]*offer)
	}
	for k, f := range o.jobs {
		if now.Sub(f.lastOffered) > offerTTL {
			delete(o.jobs, k)
		}
	}
	f, ok := o.jobs[j.Key()]
	if !ok {
		f = &offer{job: j}
		o.jobs[j.Key()] = f
	}
	f.lastOffered = now

	return f.answer
}

// job returns an offered job.
func (o *offers) job(k job.Key) (job.Job, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()

	f, ok := o.jobs[k]
	if !ok {
		return job.Job{}, false
	}

	return f.job, true
}

// open returns the offered jobs that have no answer yet.
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

// answer stores the answer of a job and reports whether the job has been offered.
func (o *offers) answer(a job.Answer) bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	f, ok := o.jobs[a.Key]
	if ok {
		f.answer = &a
	}

	return ok
}
