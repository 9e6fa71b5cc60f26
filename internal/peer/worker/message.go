// Package worker implements the protocol between the planner of "sesameyoke serve" (packages
// run/planner and gang) and the workers, which own the accelerators. Only a worker decides what
// its accelerators are used for: it reserves them for a token, which identifies one gang member
// of one attempt of a job, and runs the token's task only under a lease. The client interface of
// package target, which the planner of "sesameyoke entry" uses, is a different one.
package worker

import (
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/unit"
)

// States of a token at its worker.
const (
	Reserved State = "reserved" // accelerators are reserved, no work is loaded
	Armed    State = "armed"    // the work is loaded and ready to start
	Running  State = "running"
	Saving   State = "saving"   // a checkpoint is being written
	Saved    State = "saved"    // stopped after a checkpoint
	Done     State = "done"     // finished; the report contains the result
	Failed   State = "failed"   // started and failed
	Stopped  State = "stopped"  // started and stopped on request
	Expired  State = "expired"  // started and stopped because its lease expired
	Released State = "released" // never started and never will
	Missing  State = "missing"  // the worker does not know the token
	Busy     State = "busy"     // refused: the accelerators are in use
)

type (
	// State is the state of a token at its worker.
	State string

	// ReserveRequest reserves accelerators. The reservation expires after TTL.
	ReserveRequest struct {
		Token   string        `json:"token"`
		Key     job.Key       `json:"key"`
		Attempt int           `json:"attempt"`
		Member  int           `json:"member"`
		Members int           `json:"members"`
		First   int           `json:"first"` // index of the first accelerator on the worker
		Width   int           `json:"width"` // number of accelerators
		TTL     unit.Duration `json:"ttl"`
	}

	// ArmRequest loads the work of a reserved token.
	ArmRequest struct {
		Token       string        `json:"token"`
		Incarnation string        `json:"life"`
		Kind        string        `json:"kind"`
		Run         unit.Duration `json:"run"`
		Payload     string        `json:"payload"`
		Checkpoint  string        `json:"save,omitempty"` // handle of the checkpoint to resume from
		TTL         unit.Duration `json:"ttl"`            // extends the reservation
	}

	// TokenRequest is the request of go, release, save, stop and throttle. The incarnation
	// prevents a request from reaching a token of a restarted worker.
	TokenRequest struct {
		Token       string        `json:"token"`
		Incarnation string        `json:"life"`
		TTL         unit.Duration `json:"ttl"` // go: lease until the first renewal
	}

	// RenewRequest renews the worker's lease, which covers all confirmed tasks.
	RenewRequest struct {
		TTL     unit.Duration `json:"ttl"`
		Confirm []string      `json:"confirm,omitempty"` // tokens of gangs whose members all run
		// Discard holds the tokens whose results the worker may discard, because they are
		// stored elsewhere or not needed.
		Discard      []string `json:"forget,omitempty"`
		SinceVersion int64    `json:"since"` // report only changes after this version
		Incarnation  string   `json:"life"`  // incarnation that SinceVersion refers to
	}

	// Task is a worker's report about one token.
	Task struct {
		Token      string        `json:"token"`
		Key        job.Key       `json:"key"`
		Attempt    int           `json:"attempt"`
		Member     int           `json:"member"`
		Members    int           `json:"members"`
		First      int           `json:"first"`
		Width      int           `json:"width"`
		State      State         `json:"state"`
		RunTime    unit.Duration `json:"done"`           // run time so far, including that covered by the checkpoint it resumed from
		Checkpoint string        `json:"save,omitempty"` // handle of the checkpoint, in state saved
		Data       string        `json:"data,omitempty"` // result, in state done
		CPUUsage   float64       `json:"share"`          // CPU use relative to the declared share; a delayed measurement
	}

	// Reply is the reply to every call except renew.
	Reply struct {
		State       State  `json:"state"`
		Incarnation string `json:"life"`             // the worker's incarnation
		Leaving     bool   `json:"leaving"`          // the worker accepts no new work
		Reason      string `json:"reason,omitempty"` // why the call was refused
	}

	// Report is the reply to a renewal.
	Report struct {
		Incarnation string `json:"life"`
		Leaving     bool   `json:"leaving"`
		Version     int64  `json:"version"`
		Full        bool   `json:"full"` // Tasks contains all tasks, not only changed ones
		Tasks       []Task `json:"tasks"`
	}
)

// HoldsAccelerators reports whether a token in this state holds accelerators.
func (s State) HoldsAccelerators() bool {
	switch s {
	case Reserved, Armed, Running, Saving:
		return true
	}

	return false
}

// HasStarted reports whether the task of a token in this state has started, even if it has
// ended since.
func (s State) HasStarted() bool {
	switch s {
	case Running, Saving, Saved, Done, Failed, Stopped, Expired:
		return true
	}

	return false
}
