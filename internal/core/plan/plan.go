// Package plan implements the scheduling policy: it decides which jobs run, on which
// accelerators, and which jobs are preempted for them. Decisions depend only on the events
// and times passed in: there is no clock, no I/O and no randomness. The daemon, the tests and
// the benchmark therefore run the same code.
package plan

import (
	"time"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/config"
	"sesameyoke/internal/core/contract"
	"sesameyoke/internal/core/job"
)

// Kinds of event, with the fields of Event that each of them uses.
const (
	Submit         EventKind = iota // a job was accepted: Job
	Adopt                           // a job was found to be running already: Job, Places
	Cancel                          // the caller cancelled the job: Key
	Finish                          // the job finished successfully: Key
	Fail                            // the job failed: Key, Worker that may have caused it
	StartRefused                    // the start was refused and nothing ran: Key, Worker that may have caused it, if any
	CheckpointDone                  // all members have written checkpoints and stopped: Key, CheckpointedRunTime
	StopDone                        // all members have stopped: Key
	Withdraw                        // the job is to be removed from the plan without an answer: Key
	Usage                           // a worker reported CPU usage of a job: Key, CPUUsage
	Down                            // a worker is lost or draining: Worker
	Up                              // a worker is available again: Worker
	Tick                            // periodic timer event
)

// Kinds of action.
const (
	Start    ActionKind = iota // start the job at Places
	Save                       // checkpoint and stop the job, then send CheckpointDone
	Stop                       // stop the job, then send StopDone
	Throttle                   // limit the job to its declared CPU share
	Conclude                   // answer the job with Code
)

type (
	// EventKind is the type of an event.
	EventKind int

	// ActionKind is the type of an action.
	ActionKind int

	// Job holds the attributes of a job that scheduling decisions use.
	Job struct {
		Key                 job.Key
		Kind                string
		Shape               job.Shape
		Declared            time.Duration // run time declared by the caller
		CheckpointedRunTime time.Duration // run time covered by the latest checkpoint
		Preemptible         bool          // idempotent: may be checkpointed, stopped and restarted
		Urgent              bool
		MayHaveStarted      bool          // an earlier planner may have started the job
		SubmittedAt         time.Duration // time of submission
		Deadline            time.Duration // latest start time; 0 means none
	}

	// Place is the position of one gang member: accelerators First to First+Width-1 of the
	// rack with index Rack in the fleet.
	Place struct {
		Rack  int
		First int
		Width int
	}

	// Event is one input to the scheduler. Fields not listed with its kind are zero.
	Event struct {
		Kind                EventKind
		Job                 Job
		Key                 job.Key
		Places              []Place
		CheckpointedRunTime time.Duration
		Worker              string
		CPUUsage            float64 // CPU usage divided by the declared CPU share
	}

	// Action is one decision to carry out.
	Action struct {
		Kind       ActionKind
		Key        job.Key
		Places     []Place
		Code       code.Code
		Reason     string
		RetryAfter time.Duration // suggested delay before a retry, for an overloaded workspace
	}

	// Config is the configuration of the scheduler.
	Config struct {
		Region    string // only racks of this region are used; empty means all
		Fleet     contract.Fleet
		Contracts contract.Book
		Policy    config.Policy
		Tune      func(config.Policy) Tuning // nil means Tune
	}
)
