// Package code defines the numbered result codes returned to callers and operators.
// docs/CODES.md contains the same table.
package code

import (
	"fmt"
	"net/http"
)

// Result codes. Numbers are never reused.
const (
	OK           Code = 0
	Pending      Code = 1
	Failed       Code = 2
	BadRequest   Code = 10
	Unauthorized Code = 11
	NoWorkspace  Code = 12
	NeverFits    Code = 13
	Overloaded   Code = 14
	Deadline     Code = 15
	Cancelled    Code = 16
	LogDown      Code = 17
	Conflict     Code = 18
	NotFound     Code = 19
	NotReady     Code = 20
	TooLarge     Code = 21
	Stopped      Code = 30
	Expired      Code = 31
	Broken       Code = 32
	Unknown      Code = 40
	Accepted     Code = 50
	StaleBase    Code = 51
	NoRoom       Code = 52
	Invalid      Code = 53
	Unsettled    Code = 54
)

// Values of Info.Ran.
const (
	RanYes     Ran = "yes"
	RanNo      Ran = "no"
	RanPartly  Ran = "partly" // started, but did not run to its end
	RanUnknown Ran = "unknown"
	RanOpen    Ran = "open" // not yet known: the job has no answer yet
	RanNone    Ran = "none" // not applicable: the result is not about the run of a job
)

type (
	// Code is the number of a result.
	Code int

	// Ran states whether the job has run.
	Ran string

	// Info describes a code.
	Info struct {
		Name   string
		Ran    Ran
		Status int // HTTP status
	}
)

var table = map[Code]Info{
	OK:           {"ok", RanYes, http.StatusOK},
	Pending:      {"pending", RanOpen, http.StatusAccepted},
	Failed:       {"failed", RanYes, http.StatusOK},
	BadRequest:   {"bad-request", RanNo, http.StatusBadRequest},
	Unauthorized: {"unauthorized", RanNo, http.StatusUnauthorized},
	NoWorkspace:  {"no-workspace", RanNo, http.StatusNotFound},
	NeverFits:    {"never-fits", RanNo, http.StatusUnprocessableEntity},
	Overloaded:   {"overloaded", RanNo, http.StatusTooManyRequests},
	Deadline:     {"deadline", RanNo, http.StatusOK},
	Cancelled:    {"cancelled", RanNo, http.StatusOK},
	LogDown:      {"log-down", RanNo, http.StatusServiceUnavailable},
	Conflict:     {"conflict", RanNone, http.StatusConflict},
	NotFound:     {"not-found", RanNone, http.StatusNotFound},
	NotReady:     {"not-ready", RanNo, http.StatusServiceUnavailable},
	TooLarge:     {"too-large", RanNo, http.StatusRequestEntityTooLarge},
	Stopped:      {"stopped", RanPartly, http.StatusOK},
	Expired:      {"expired", RanPartly, http.StatusOK},
	Broken:       {"broken", RanPartly, http.StatusOK},
	Unknown:      {"unknown", RanUnknown, http.StatusOK},
	Accepted:     {"accepted", RanNone, http.StatusOK},
	StaleBase:    {"stale-base", RanNone, http.StatusConflict},
	NoRoom:       {"no-room", RanNone, http.StatusConflict},
	Invalid:      {"invalid", RanNone, http.StatusUnprocessableEntity},
	Unsettled:    {"unsettled", RanNone, http.StatusServiceUnavailable},
}

// Info returns the description of c, or that of Unknown for an undefined code.
func (c Code) Info() Info {
	i, ok := table[c]
	if !ok {
		return table[Unknown]
	}

	return i
}

// String returns the number and name, such as "14 overloaded".
func (c Code) String() string {
	return fmt.Sprintf("%d %s", int(c), c.Info().Name)
}

// All returns a copy of the table of defined codes.
func All() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for c, i := range table {
		m[c] = i
	}

	return m
}
