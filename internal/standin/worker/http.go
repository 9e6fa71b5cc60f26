package worker

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// Handler serves the calls of the planner, POST /faults and GET /journal.
func (w *Worker) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(w.blockIfSilent)
		r.Post("/reserve", handle(w.Reserve))
		r.Post("/arm", handle(w.Arm))
		r.Post("/go", handle(w.Go))
		r.Post("/release", handle(w.Release))
		r.Post("/save", handle(w.Save))
		r.Post("/stop", handle(w.Stop))
		r.Post("/throttle", handle(w.Throttle))
		r.Post("/renew", handle(w.Renew))
	})
	r.Post("/faults", handle(func(f Faults) Faults {
		w.SetFaults(f)

		return f
	}))
	r.Get("/journal", func(rw http.ResponseWriter, _ *http.Request) {
		write(rw, w.Journal())
	})

	return r
}

// blockIfSilent leaves requests unanswered while the fault Silent is set.
func (w *Worker) blockIfSilent(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		silent := w.faults.Silent
		w.mu.Unlock()

		if silent {
			_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after the body has been read
			<-r.Context().Done()

			return
		}
		next.ServeHTTP(rw, r)
	})
}

func handle[In, Out any](f func(In) Out) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var in In
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)

			return
		}
		write(rw, f(in))
	}
}

func write(rw http.ResponseWriter, v any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(v)
}
