// Package worker speaks to the workers that hold accelerators. A worker is the
// only authority on its accelerators: it holds a reservation for a token and runs
// a task only under a lease.
package worker

import (
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/unit"
)

// States of a token at its worker.
const (
	Reserved State = "reserved" // accelerators are held, nothing is loaded
	Armed    State = "armed"    // loaded, ready to start
	Running  State = "running"
	Saving   State = "saving"   // a checkpoint is being written
	Saved    State = "saved"    // stopped after a checkpoint
	Done     State = "done"     // finished; the result can be fetched
	Failed   State = "failed"   // started and failed
	Stopped  State = "stopped"  // started and stopped on request
	Expired  State = "expired"  // started and stopped because its lease lapsed
	Released State = "released" // never started and never will
	Missing  State = "missing"  // the worker does not know the token
	Busy     State = "busy"     // refused: accelerators are held already
)

type (
	// State is what a worker says of a token.
	State string

	// ReserveRequest asks for accelerators. The reservation lapses by itself.
	ReserveRequest struct {
		Token   string        `json:"token"`
		Key     job.Key       `json:"key"`
		Attempt int           `json:"attempt"`
		Member  int           `json:"member"`
		Members int           `json:"members"`
		First   int           `json:"first"`
		Width   int           `json:"width"`
		TTL     unit.Duration `json:"ttl"`
	}

	// ArmRequest loads the work of a reserved token.
	ArmRequest struct {
		Token   string        `json:"token"`
		Life    string        `json:"life"`
		Kind    string        `json:"kind"`
		Run     unit.Duration `json:"run"`
		Payload string        `json:"payload"`
		Save    string        `json:"save,omitempty"` // handle of a checkpoint
		TTL     unit.Duration `json:"ttl"`            // new life of the reservation
	}

	// TokenRequest names a token, for go, release, save and stop.
	TokenRequest struct {
		Token string        `json:"token"`
		Life  string        `json:"life"`
		TTL   unit.Duration `json:"ttl"` // go: lease until the first renewal
	}

	// RenewRequest extends the worker's lease, which covers all confirmed tasks.
	RenewRequest struct {
		TTL     unit.Duration `json:"ttl"`
		Confirm []string      `json:"confirm,omitempty"` // gangs that run whole
		Forget  []string      `json:"forget,omitempty"`  // results that are kept elsewhere now
		Since   int64         `json:"since"`             // report only what changed after this version
		Life    string        `json:"life"`              // incarnation that Since belongs to
	}

	// Task is what a worker reports of a token.
	Task struct {
		Token   string        `json:"token"`
		Key     job.Key       `json:"key"`
		Attempt int           `json:"attempt"`
		Member  int           `json:"member"`
		Members int           `json:"members"`
		First   int           `json:"first"`
		Width   int           `json:"width"`
		State   State         `json:"state"`
		Done    unit.Duration `json:"done"`           // run time so far, with what a checkpoint brought
		Save    string        `json:"save,omitempty"` // handle of the checkpoint, when saved
		Data    string        `json:"data,omitempty"` // result, when done
		Share   float64       `json:"share"`          // processor use over the declared share, lagging
	}

	// Reply answers every call.
	Reply struct {
		State   State  `json:"state"`
		Life    string `json:"life"`    // the worker's incarnation
		Leaving bool   `json:"leaving"` // the worker takes no new work
		Reason  string `json:"reason,omitempty"`
	}

	// Report answers a renewal.
	Report struct {
		Life    string `json:"life"`
		Leaving bool   `json:"leaving"`
		Version int64  `json:"version"`
		Full    bool   `json:"full"` // Tasks holds everything, not only changes
		Tasks   []Task `json:"tasks"`
	}
)

// Holds reports whether a token in this state holds accelerators.
func (s State) Holds() bool {
	switch s {
	case Reserved, Armed, Running, Saving:
		return true
	}

	return false
}

// Began reports whether a token in this state has started its work at some time.
func (s State) Began() bool {
	switch s {
	case Running, Saving, Saved, Done, Failed, Stopped, Expired:
		return true
	}

	return false
}
