// Package plan decides what runs where. It is a pure function of the events it is
// given: it has no clock, no I/O and no randomness. The daemon, the differential
// tests and the benchmark run the same code.
package plan

import (
	"time"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/config"
	"sesameyoke/internal/core/contract"
	"sesameyoke/internal/core/job"
)

// Kinds of event.
const (
	Submit   EventKind = iota // a job is accepted: Job
	Adopt                     // a job is found running: Job, Places
	Cancel                    // the caller wants the job no more: Key
	Finish                    // the job ended by itself: Key
	Fail                      // the job failed: Key, Worker when one is to suspect
	Refused                   // the start was refused, nothing ran: Key, Worker when one is to suspect
	SavedAll                  // a checkpoint is complete: Key, Done
	Halted                    // a stop is complete: Key
	Withdraw                  // the job is not to be planned for now: Key
	Usage                     // a worker reports processor use: Key, Share
	Down                      // a worker is gone or leaving: Worker
	Up                        // a worker is back: Worker
	Tick                      // time has passed
)

// Kinds of action.
const (
	Start    ActionKind = iota // start the job at Places
	Save                       // checkpoint the job, then tell SavedAll
	Stop                       // stop the job, then tell Halted
	Throttle                   // hold the job to its declared share of processors
	Conclude                   // answer the job with Code
)

type (
	// EventKind is what has happened.
	EventKind int

	// ActionKind is what has to be done.
	ActionKind int

	// Job is what the decisions need to know of a job.
	Job struct {
		Key      job.Key
		Kind     string
		Shape    job.Shape
		Declared time.Duration // run time that the caller states
		Done     time.Duration // run time that a checkpoint holds
		Movable  bool          // idempotent: may be checkpointed, stopped and started again
		Urgent   bool
		Begun    bool          // an earlier planner may have started it
		Since    time.Duration // when it was submitted
		Deadline time.Duration // not started after it; 0 is none
	}

	// Place is where one member runs: accelerators First to First+Width-1 of a
	// rack, by index in the fleet.
	Place struct {
		Rack  int
		First int
		Width int
	}

	// Event is one thing that has happened. Fields not named at its kind are zero.
	Event struct {
		Kind   EventKind
		Job    Job
		Key    job.Key
		Places []Place
		Done   time.Duration
		Worker string
		Share  float64 // processor use over the declared share
	}

	// Action is one thing to do.
	Action struct {
		Kind   ActionKind
		Key    job.Key
		Places []Place
		Code   code.Code
		Reason string
		Retry  time.Duration // when an overloaded workspace should come back
	}

	// Rules is the configuration that decisions follow.
	Rules struct {
		Region    string // only racks of this region are used; empty is all
		Fleet     contract.Fleet
		Contracts contract.Book
		Policy    config.Policy
		Tune      func(config.Policy) Tuning // nil is Tune
	}
)
