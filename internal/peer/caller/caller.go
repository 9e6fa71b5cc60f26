// Package caller implements the HTTP API for callers, with JSON bodies. It is documented
// in docs/API.md.
package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/peer/limit"
)

const maxListedJobs = 1000 // maximum number of jobs in a list

type (
	// API serves callers. Its function fields connect it to the rest of the entry VM.
	API struct {
		MaxBody int64                            // maximum size of a request body, in bytes
		MaxWait time.Duration                    // longest time that one request waits for an answer
		Acquire func() (release func(), ok bool) // admits a request unless too many are in flight
		Leaving func() bool
		Submit  func(ctx context.Context, j job.Job, wait time.Duration) job.Answer
		Wait    func(ctx context.Context, k job.Key, wait time.Duration) job.Answer
		Cancel  func(ctx context.Context, k job.Key) job.Answer
		List    func(workspace string, max int) []JobSummary
	}

	// JobSummary is an entry of a list of jobs.
	JobSummary struct {
		Key       job.Key   `json:"key"`
		Code      code.Code `json:"code"`
		Name      string    `json:"name"`
		Shape     job.Shape `json:"shape"`
		Submitted time.Time `json:"submitted"`
	}
)

// Routes adds the callers' routes.
func (a *API) Routes(r chi.Router) {
	r.Group(func(r chi.Router) {
		r.Use(a.admit)
		r.Post("/v1/jobs", a.submit)
		r.Get("/v1/jobs", a.list)
		r.Get("/v1/jobs/{workspace}/{id}", a.wait)
		r.Delete("/v1/jobs/{workspace}/{id}", a.cancel)
	})
}

// admit limits the number of requests in flight and the size of their bodies, and asks
// callers to reconnect while this VM is leaving.
func (a *API) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.Leaving() {
			w.Header().Set("Connection", "close")
		}
		release, ok := a.Acquire()
		if !ok {
			Write(w, job.NewAnswer(job.Key{}, code.Overloaded, "too many requests are in flight at this VM"))

			return
		}
		defer release()
		r.Body = http.MaxBytesReader(w, r.Body, a.MaxBody)
		next.ServeHTTP(w, r)
	})
}

func (a *API) submit(w http.ResponseWriter, r *http.Request) {
	wait, err := a.parseWait(r)
	if err != nil {
		Write(w, job.NewAnswer(job.Key{}, code.BadRequest, err.Error()))

		return
	}
	var j job.Job
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	err = dec.Decode(&j)
	_ = r.Body.Close() // returns its share of the memory for bodies before the job is submitted
	if errors.Is(err, limit.ErrBusy) {
		Write(w, job.NewAnswer(job.Key{}, code.Overloaded, err.Error()))

		return
	}
	if err != nil {
		Write(w, job.NewAnswer(job.Key{}, code.BadRequest, "the body is not a job: "+err.Error()))

		return
	}
	j.Defaults()
	if err := j.Validate(); err != nil {
		Write(w, job.NewAnswer(j.Key(), code.BadRequest, err.Error()))

		return
	}
	a.answer(w, a.Submit(r.Context(), j, wait))
}

func (a *API) wait(w http.ResponseWriter, r *http.Request) {
	wait, err := a.parseWait(r)
	if err != nil {
		Write(w, job.NewAnswer(jobKey(r), code.BadRequest, err.Error()))

		return
	}
	a.answer(w, a.Wait(r.Context(), jobKey(r), wait))
}

func (a *API) cancel(w http.ResponseWriter, r *http.Request) {
	a.answer(w, a.Cancel(r.Context(), jobKey(r)))
}

func (a *API) list(w http.ResponseWriter, r *http.Request) {
	jobs := a.List(r.URL.Query().Get("workspace"), maxListedJobs)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(jobs)
}

// parseWait returns the wait that the request asks for, but at most MaxWait.
func (a *API) parseWait(r *http.Request) (time.Duration, error) {
	s := r.URL.Query().Get("wait")
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		return 0, errors.Errorf("wait %q is not a duration such as 10s", s)
	}

	return min(d, a.MaxWait), nil
}

// answer writes an answer. It asks the caller to reconnect if the VM has started to
// leave while the request was waiting.
func (a *API) answer(w http.ResponseWriter, ans job.Answer) {
	if a.Leaving() {
		w.Header().Set("Connection", "close")
	}
	Write(w, ans)
}

// Write writes an answer with the HTTP status of its result code.
func Write(w http.ResponseWriter, ans job.Answer) {
	w.Header().Set("Content-Type", "application/json")
	if ans.RetryAfter.Duration > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(ans.RetryAfter.Seconds()+1)))
	}
	w.WriteHeader(ans.Code.Info().Status)
	_ = json.NewEncoder(w).Encode(ans)
}

func jobKey(r *http.Request) job.Key {
	return job.Key{Workspace: chi.URLParam(r, "workspace"), ID: chi.URLParam(r, "id")}
}
