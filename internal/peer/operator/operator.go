// Package operator implements the HTTP API for operators: contracts, configuration, VMs,
// racks and the audit trail, with JSON bodies and a bearer token.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/config"
	"sesameyoke/internal/core/contract"
	"sesameyoke/internal/core/plan"
	"sesameyoke/internal/peer/entry"
	"sesameyoke/internal/peer/limit"
)

const (
	// maxChange is the maximum size of a change, in bytes. A fleet of the largest intended
	// size takes 1.5 MB.
	maxChange = 4 << 20

	maxAudit = 1000 // maximum number of audit entries in one reply
)

type (
	// API serves operators. Its function fields connect it to the rest of the entry VM.
	API struct {
		Token   string
		State   func() *config.State
		Publish func(ctx context.Context, c config.Change) config.Entry
		Members func() []entry.Member
		Racks   func(ctx context.Context) []plan.Occupancy
		Leave   func()
	}

	// Config is the configuration in force at the VM that answers.
	Config struct {
		Offset    int64            `json:"offset"`
		Contracts contract.Book    `json:"contracts"`
		Fleet     contract.Fleet   `json:"fleet"`
		Policy    config.Policy    `json:"policy"`
		Versions  map[string]int64 `json:"versions"`
		Blocks    []contract.Block `json:"blocks"`
	}

	// statusReply is the reply to a refused request and to a leave request.
	statusReply struct {
		Code   code.Code `json:"code"`
		Name   string    `json:"name"`
		Reason string    `json:"reason"`
	}
)

// Routes adds the operators' routes.
func (a *API) Routes(r chi.Router) {
	r.Group(func(r chi.Router) {
		r.Use(a.authorize)
		r.Get("/v1/config", a.config)
		r.Post("/v1/changes", a.publish)
		r.Get("/v1/audit", a.audit)
		r.Get("/v1/vms", a.vms)
		r.Post("/v1/leave", a.leave)
		r.Get("/v1/racks", a.racks)
	})
}

// authorize refuses requests without the token, which it compares in constant time.
func (a *API) authorize(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(a.Token))

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
		if subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
			fail(w, code.Unauthorized, "the token is missing or wrong")

			return
		}
		next.ServeHTTP(w, r)
	})
}

func (a *API) config(w http.ResponseWriter, _ *http.Request) {
	s := a.State()
	write(w, http.StatusOK, Config{
		Offset: s.Offset, Contracts: s.Contracts, Fleet: s.Fleet, Policy: s.Policy,
		Versions: s.Versions, Blocks: s.Blocks(),
	})
}

func (a *API) publish(w http.ResponseWriter, r *http.Request) {
	var c config.Change
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChange))
	dec.DisallowUnknownFields()
	err := dec.Decode(&c)
	_ = r.Body.Close() // returns its share of the memory for bodies before the change is published
	if errors.Is(err, limit.ErrBusy) {
		fail(w, code.Overloaded, err.Error())

		return
	}
	if err != nil {
		fail(w, code.BadRequest, "the body is not a change: "+err.Error())

		return
	}
	e := a.Publish(r.Context(), c)
	write(w, e.Code.Info().Status, e)
}

func (a *API) audit(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var since time.Time
	if s := q.Get("since"); s != "" {
		d, err := time.ParseDuration(s)
		if err != nil {
			fail(w, code.BadRequest, "since is not a duration such as 2h")

			return
		}
		since = time.Now().Add(-d)
	}
	limit, err := strconv.Atoi(q.Get("max"))
	if err != nil || limit < 1 || limit > maxAudit {
		limit = maxAudit
	}
	write(w, http.StatusOK, a.State().Since(since, limit))
}

func (a *API) vms(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, a.Members())
}

func (a *API) leave(w http.ResponseWriter, _ *http.Request) {
	a.Leave()
	write(w, http.StatusAccepted, statusReply{Code: code.Accepted, Name: "accepted", Reason: "the VM is leaving"})
}

func (a *API) racks(w http.ResponseWriter, r *http.Request) {
	write(w, http.StatusOK, a.Racks(r.Context()))
}

func fail(w http.ResponseWriter, c code.Code, reason string) {
	i := c.Info()
	write(w, i.Status, statusReply{Code: c, Name: i.Name, Reason: reason})
}

func write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
