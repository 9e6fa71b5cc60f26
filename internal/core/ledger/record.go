// Package ledger derives the state of all jobs from the records of the jobs stream: which
// jobs are accepted, claimed and answered. Records are applied in log order, and the
// result is deterministic.
package ledger

import (
	"time"

	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/unit"
)

// Kinds of record.
const (
	KindOpen   Kind = "open"   // accepts a job
	KindClaim  Kind = "claim"  // grants one attempt of a non-idempotent job the right to start
	KindBegin  Kind = "begin"  // states that an idempotent job may have started
	KindVoid   Kind = "void"   // withdraws the claim of an attempt that has not started and cannot start later
	KindSave   Kind = "save"   // stores a checkpoint
	KindCancel Kind = "cancel" // requests cancellation on behalf of the caller
	KindClose  Kind = "close"  // stores the job's answer
)

// Verdicts of Apply.
const (
	Won     Verdict = "won"     // the record took effect
	Lost    Verdict = "lost"    // the record is inconsistent with earlier records or arrived too late
	Skipped Verdict = "skipped" // the record is unreadable, has no valid job or refers to an unknown one
)

type (
	// Kind is the type of a record.
	Kind string

	// Verdict states whether a record took effect.
	Verdict string

	// Member is one process of a gang and the accelerators reserved for it.
	Member struct {
		Worker      string `json:"worker"`
		Incarnation string `json:"life"` // identifies one run of the worker process
		Token       string `json:"token"`
		First       int    `json:"first"` // index of the first accelerator on the worker
		Width       int    `json:"width"`
	}

	// Claim is the right to start one attempt of a non-idempotent job.
	Claim struct {
		Attempt int      `json:"attempt"`
		Holder  string   `json:"holder"` // the VM that wrote the claim
		Members []Member `json:"members"`
	}

	// Checkpoint is a checkpoint from which a job can be restored.
	Checkpoint struct {
		Attempt int           `json:"attempt"`
		Data    []string      `json:"data"` // one checkpoint handle per member
		RunTime unit.Duration `json:"done"` // run time covered by the checkpoint
	}

	// Record is one record of the jobs stream.
	Record struct {
		ID         string      `json:"id"` // unique; appending the same record again has no further effect
		Kind       Kind        `json:"kind"`
		Time       time.Time   `json:"time"`
		Key        job.Key     `json:"key"`
		Token      string      `json:"token,omitempty"` // for void: token of the claim's first member
		Job        *job.Job    `json:"job,omitempty"`
		Claim      *Claim      `json:"claim,omitempty"`
		Checkpoint *Checkpoint `json:"save,omitempty"`
		Answer     *job.Answer `json:"answer,omitempty"`
	}

	// Entry is the state of one job according to the log. An Entry is immutable.
	Entry struct {
		Job            job.Job     `json:"job"`
		Fingerprint    string      `json:"fingerprint"`
		Offset         int64       `json:"offset"`          // offset of the open record
		Attempts       int         `json:"attempts"`        // number of the last claimed attempt
		Claim          *Claim      `json:"claim,omitempty"` // claim of the attempt that may be running
		Checkpoint     *Checkpoint `json:"save,omitempty"`  // latest checkpoint
		MayHaveStarted bool        `json:"begun"`           // an idempotent job may have started
		Cancelled      bool        `json:"cancelled"`
		Answer         *job.Answer `json:"answer,omitempty"` // nil while the job is open
	}
)
