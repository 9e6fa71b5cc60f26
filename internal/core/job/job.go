// Package job defines a job, its shape and its answer as callers state them.
package job

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/unit"
)

// Bounds on what a caller may ask for.
const (
	MaxMembers = 64
	MaxWidth   = 64
	MaxPayload = 64 << 10 // bytes; a job's record has to fit a log record with room to spare
	MaxRun     = 30 * 24 * time.Hour
)

type (
	// Shape is the set of accelerators that a job needs.
	Shape struct {
		Members  int  `json:"members"`  // processes of the gang
		Width    int  `json:"width"`    // accelerators of one member, all on one worker
		Adjacent bool `json:"adjacent"` // all members next to each other in one rack
	}

	// Job is a caller's request.
	Job struct {
		Workspace  string        `json:"workspace"`
		ID         string        `json:"id"` // the caller's request ID, unique in the workspace
		Kind       string        `json:"kind,omitempty"`
		Shape      Shape         `json:"shape"`
		Run        unit.Duration `json:"run"`      // declared run time
		Deadline   time.Time     `json:"deadline"` // the job is not started after it; zero is none
		Idempotent bool          `json:"idempotent"`
		Urgent     bool          `json:"urgent,omitempty"`
		Payload    string        `json:"payload,omitempty"`
		Region     string        `json:"region,omitempty"` // where it is planned; set by the entry VM
		Config     int64         `json:"config,omitempty"` // offset of the configuration it was accepted under
		Submitted  time.Time     `json:"submitted"`        // set by the entry VM that accepts the job
	}

	// Key identifies a job in the whole deployment.
	Key struct {
		Workspace string `json:"workspace"`
		ID        string `json:"id"`
	}

	// Part is one member's share of an answer.
	Part struct {
		Member int    `json:"member"`
		Data   string `json:"data"`
	}

	// Answer is the complete outcome of one job.
	Answer struct {
		Key      Key           `json:"key"`
		Code     code.Code     `json:"code"`
		Name     string        `json:"name"`
		Ran      code.Ran      `json:"ran"`
		Attempt  int           `json:"attempt,omitempty"`
		Parts    []Part        `json:"parts,omitempty"`
		Length   int           `json:"length"`           // bytes of all parts
		Digest   string        `json:"digest,omitempty"` // SHA-256 of all parts in member order, in hex
		Reason   string        `json:"reason,omitempty"`
		Retry    unit.Duration `json:"retry"` // when to come back; zero is no advice
		Finished time.Time     `json:"finished"`
	}
)

// Size returns the accelerators of the whole shape.
func (s Shape) Size() int {
	return s.Members * s.Width
}

// Key returns the job's identity.
func (j Job) Key() Key {
	return Key{Workspace: j.Workspace, ID: j.ID}
}

// String returns the key as "workspace/id".
func (k Key) String() string {
	return k.Workspace + "/" + k.ID
}

// Defaults fills in the fields that a caller may leave out.
func (j *Job) Defaults() {
	if j.Shape.Members == 0 {
		j.Shape.Members = 1
	}
	if j.Shape.Width == 0 {
		j.Shape.Width = 1
	}
	if j.Kind == "" {
		j.Kind = "default"
	}
	if j.Run.Duration == 0 {
		j.Run = unit.Seconds(60)
	}
}

// Validate returns all invalid fields of the job, as unit.Faults.
func (j Job) Validate() error {
	var f unit.Faults
	if !unit.ValidName(j.Workspace) {
		f.Add("workspace", "%q is not a name of 1 to 64 letters, digits, '-', '_' or '.'", j.Workspace)
	}
	if !unit.ValidName(j.ID) {
		f.Add("id", "%q is not a name of 1 to 64 letters, digits, '-', '_' or '.'", j.ID)
	}
	if !unit.ValidName(j.Kind) {
		f.Add("kind", "%q is not a name of 1 to 64 letters, digits, '-', '_' or '.'", j.Kind)
	}
	if j.Shape.Members < 1 || j.Shape.Members > MaxMembers {
		f.Add("shape.members", "%d is not between 1 and %d", j.Shape.Members, MaxMembers)
	}
	if j.Shape.Width < 1 || j.Shape.Width > MaxWidth {
		f.Add("shape.width", "%d is not between 1 and %d", j.Shape.Width, MaxWidth)
	}
	if j.Run.Duration <= 0 || j.Run.Duration > MaxRun {
		f.Add("run", "%v is not between 0s and %v", j.Run, MaxRun)
	}
	if len(j.Payload) > MaxPayload {
		f.Add("payload", "%d bytes are more than %d", len(j.Payload), MaxPayload)
	}

	return f.Err()
}

// Fingerprint returns a digest of everything that the caller stated. Two requests
// with one ID and different fingerprints are different jobs.
func (j Job) Fingerprint() string {
	j.Submitted = time.Time{}
	j.Region = ""
	j.Config = 0
	b, err := json.Marshal(j)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(b)

	return hex.EncodeToString(sum[:8])
}

// Conclude returns an answer without output.
func Conclude(k Key, c code.Code, reason string) Answer {
	i := c.Info()

	return Answer{Key: k, Code: c, Name: i.Name, Ran: i.Ran, Reason: reason}
}

// Complete returns the answer of a job that has run, with length and digest of
// its parts. The parts have to be in member order.
func Complete(k Key, attempt int, parts []Part) Answer {
	a := Conclude(k, code.OK, "")
	a.Attempt = attempt
	a.Parts = parts
	a.Length, a.Digest = Sum(parts)

	return a
}

// Sum returns the bytes of all parts and their SHA-256 in hex.
func Sum(parts []Part) (int, string) {
	h := sha256.New()
	n := 0
	for _, p := range parts {
		h.Write([]byte(p.Data))
		n += len(p.Data)
	}

	return n, hex.EncodeToString(h.Sum(nil))
}

// Whole reports whether the parts match the stated length and digest.
func (a Answer) Whole() bool {
	n, d := Sum(a.Parts)

	return n == a.Length && d == a.Digest
}
