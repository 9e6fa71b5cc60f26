package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/work"
	"sesameyoke/platform/standin"
)

const (
	callTimeout          = 3 * time.Second
	submitAttempts       = 4 // for one job, each at another VM
	maxConcurrentQueries = 8
	visibilityDelay      = 3 * time.Second // after this time every VM must know an accepted job
)

// final reports whether a job in this state has ended.
func final(state string) bool { return state == "completed" || state == "failed" }

// submitAll submits random jobs until the context ends.
func (s *soak) submitAll(ctx context.Context) {
	var wait sync.WaitGroup
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	for i := 0; ctx.Err() == nil; i++ {
		j := randomJob(rng, s.Seed, i)
		if s.Work == restartedWork {
			adapt(&j)
		}
		first := rng.IntN(len(s.vms))
		wait.Go(func() {
			s.submit(j, func(attempt int, body []byte) (int, error) {
				status, _, err := s.call(s.ctx, http.MethodPost, s.vms[(first+attempt)%len(s.vms)], j.ID, body)

				return status, err
			})
		})
		time.Sleep(pollInterval)
	}
	wait.Wait()
}

func randomJob(rng *rand.Rand, seed uint64, i int) work.Job {
	st := work.Step{
		Count: 1 + rng.IntN(4), Need: work.Shape{CPU: 4000, Memory: 4000, Accelerators: 1 << rng.IntN(4)}, Estimate: 2000,
		Gang: rng.IntN(2) == 0, Checkpoints: rng.IntN(2) == 0,
	}
	j := work.Job{ID: fmt.Sprintf("%08x%08x", seed, i), Spec: fmt.Sprint(i), Steps: []work.Step{st}}
	if rng.IntN(4) == 0 {
		j.Steps = append(j.Steps, work.Step{Count: 2, Need: work.Shape{CPU: 1000, Accelerators: 1}, After: []int{0}})
	}

	return j
}

// submit submits a job with one call of send after the other until a VM accepts it. If every
// attempt is definitely refused, the job must never run.
func (s *soak) submit(j work.Job, send func(attempt int, body []byte) (status int, err error)) {
	s.platform.Fleet.RecordSubmission(j)
	body, uncertain := standin.JobBody(j), false
	s.mu.Lock()
	s.submitted++
	s.mu.Unlock()
	for i := range submitAttempts {
		status, err := send(i, body)
		switch {
		case err == nil && status == http.StatusOK:
			s.mu.Lock()
			s.accepted[j.ID] = ""
			s.mu.Unlock()
			go s.checkVisible(j.ID)

			return
		case errors.Is(err, errNoVM): // nothing was sent
		case err != nil, status == http.StatusGatewayTimeout:
			uncertain = true
		case status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests:
			s.failf("submit job %s: unexpected status %d", j.ID, status)
		}
	}
	if !uncertain {
		s.platform.Fleet.RecordRefusal(j.ID)
		s.mu.Lock()
		s.refused++
		s.mu.Unlock()
	}
}

// checkVisible checks that every VM knows an accepted job after visibilityDelay.
func (s *soak) checkVisible(id string) {
	time.Sleep(visibilityDelay)
	checked := s.vms
	if s.isPlanned() { // there are many VMs and jobs
		checked = []*process{s.vms[rand.IntN(len(s.vms))]}
	}
	for _, p := range checked {
		if status, _, err := s.call(s.ctx, http.MethodGet, p, id, nil); err == nil && status == http.StatusGone {
			s.failf("accepted job %s is unknown to %s after %v", id, p.name, visibilityDelay)
		}
	}
}

// pollStates queries the states of the unfinished jobs until the context ends.
func (s *soak) pollStates(ctx context.Context) {
	for ctx.Err() == nil {
		s.queryAll(ctx)
		time.Sleep(pollInterval)
	}
}

func (s *soak) queryAll(ctx context.Context) {
	slots := make(chan bool, maxConcurrentQueries)
	var wait sync.WaitGroup
	for id := range s.unfinished() {
		slots <- true
		wait.Go(func() {
			s.query(ctx, id)
			<-slots
		})
	}
	wait.Wait()
}

// query records the state of a job and checks that a final state never changes.
func (s *soak) query(ctx context.Context, id string) {
	status, body, err := s.call(ctx, http.MethodGet, s.vms[rand.IntN(len(s.vms))], id, nil)
	if err == nil {
		s.recordState(id, status, body)
	}
}

// recordState records the answer to a query.
func (s *soak) recordState(id string, status int, body []byte) {
	if status != http.StatusOK {
		return
	}
	var got struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(body, &got); err != nil {
		s.failf("decode state of job %s: %v", id, err)

		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.accepted[id]; final(old) && old != got.State {
		s.failures = append(s.failures, fmt.Sprintf("job %s changed from the final state %s to %s", id, old, got.State))
	}
	s.accepted[id] = got.State
}

// call sends a request about a job to one VM, as a caller does, and returns the status
// and the body of the response.
func (s *soak) call(ctx context.Context, method string, p *process, id string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := newRequest(ctx, method, p, id, body)
	if err != nil {
		return 0, nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)

	return resp.StatusCode, b, err
}

// state returns the newest known state of a job.
func (s *soak) state(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.accepted[id]
}
