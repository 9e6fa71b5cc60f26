// Package ledger folds the records of jobs, in the order of their log offsets,
// into what is accepted, claimed and answered. The fold is deterministic.
package ledger

import (
	"time"

	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/unit"
)

// Kinds of record.
const (
	KindOpen   Kind = "open"   // a job is accepted
	KindClaim  Kind = "claim"  // an attempt of a non-idempotent job may start
	KindBegin  Kind = "begin"  // an idempotent job may have begun
	KindVoid   Kind = "void"   // a claimed attempt has never started and never will
	KindSave   Kind = "save"   // a job has been checkpointed
	KindCancel Kind = "cancel" // the caller wants the job no more
	KindClose  Kind = "close"  // the job's answer
)

// Verdicts of Apply.
const (
	Won     Verdict = "won"     // the record took effect
	Lost    Verdict = "lost"    // an earlier record stands against it
	Skipped Verdict = "skipped" // no job, or unreadable
)

type (
	// Kind is what a record says.
	Kind string

	// Verdict says whether a record took effect.
	Verdict string

	// Member is one process of a gang and where it is reserved.
	Member struct {
		Worker string `json:"worker"`
		Life   string `json:"life"` // the worker's incarnation
		Token  string `json:"token"`
		First  int    `json:"first"` // first accelerator on the worker
		Width  int    `json:"width"`
	}

	// Claim is the right to start one attempt of a non-idempotent job.
	Claim struct {
		Attempt int      `json:"attempt"`
		Holder  string   `json:"holder"` // the VM that wrote the claim
		Members []Member `json:"members"`
	}

	// Save is a checkpoint from which a job can go on.
	Save struct {
		Attempt int           `json:"attempt"`
		Data    []string      `json:"data"` // one handle for each member
		Done    unit.Duration `json:"done"` // run time that is saved
	}

	// Record is one entry of the jobs stream.
	Record struct {
		ID     string      `json:"id"` // unique; a repeated append has no second effect
		Kind   Kind        `json:"kind"`
		Time   time.Time   `json:"time"`
		Key    job.Key     `json:"key"`
		Token  string      `json:"token,omitempty"` // of void: the first token of the claim
		Job    *job.Job    `json:"job,omitempty"`
		Claim  *Claim      `json:"claim,omitempty"`
		Save   *Save       `json:"save,omitempty"`
		Answer *job.Answer `json:"answer,omitempty"`
	}

	// Entry is what the log says about one job. An Entry is never changed.
	Entry struct {
		Job         job.Job     `json:"job"`
		Fingerprint string      `json:"fingerprint"`
		Offset      int64       `json:"offset"`          // of the open record
		Attempts    int         `json:"attempts"`        // claimed so far
		Claim       *Claim      `json:"claim,omitempty"` // of the attempt that may be running
		Save        *Save       `json:"save,omitempty"`  // the newest checkpoint
		Begun       bool        `json:"begun"`           // an idempotent job may have begun
		Cancelled   bool        `json:"cancelled"`
		Answer      *job.Answer `json:"answer,omitempty"` // nil while the job is open
	}
)
