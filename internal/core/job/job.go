// Package job defines jobs, the shape of accelerators they request, and their answers.
package job

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/unit"
)

// Limits on a caller's request.
const (
	MaxMembers = 64
	MaxWidth   = 64
	MaxPayload = 64 << 10 // bytes; leaves room for the rest of the job's record within one log record
	MaxRun     = 30 * 24 * time.Hour
)

type (
	// Shape is the set of accelerators that a job needs.
	Shape struct {
		Members  int  `json:"members"`  // number of processes in the gang
		Width    int  `json:"width"`    // accelerators per member, all on one worker
		Adjacent bool `json:"adjacent"` // all members must be contiguous in one rack
	}

	// Job is a caller's request.
	Job struct {
		Workspace  string        `json:"workspace"`
		ID         string        `json:"id"` // request ID chosen by the caller, unique in the workspace
		Kind       string        `json:"kind,omitempty"`
		Shape      Shape         `json:"shape"`
		Run        unit.Duration `json:"run"`      // declared run time
		Deadline   time.Time     `json:"deadline"` // latest start time; zero means none
		Idempotent bool          `json:"idempotent"`
		Urgent     bool          `json:"urgent,omitempty"`
		Payload    string        `json:"payload,omitempty"`
		Region     string        `json:"region,omitempty"` // region whose planner schedules the job; set by the entry VM
		Config     int64         `json:"config,omitempty"` // offset of the configuration under which the job was accepted
		Submitted  time.Time     `json:"submitted"`        // set by the entry VM that accepts the job
	}

	// Key identifies a job across the deployment.
	Key struct {
		Workspace string `json:"workspace"`
		ID        string `json:"id"`
	}

	// Part is the output of one gang member.
	Part struct {
		Member int    `json:"member"`
		Data   string `json:"data"`
	}

	// Answer is the final result of a job.
	Answer struct {
		Key        Key           `json:"key"`
		Code       code.Code     `json:"code"`
		Name       string        `json:"name"`
		Ran        code.Ran      `json:"ran"`
		Attempt    int           `json:"attempt,omitempty"`
		Parts      []Part        `json:"parts,omitempty"`
		Length     int           `json:"length"`           // total size of all parts in bytes
		Digest     string        `json:"digest,omitempty"` // hex SHA-256 of all parts in member order
		Reason     string        `json:"reason,omitempty"`
		RetryAfter unit.Duration `json:"retry"` // suggested delay before a retry; zero means no suggestion
		Finished   time.Time     `json:"finished"`
	}
)

// Size returns the total number of accelerators.
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

// Defaults sets optional fields that the caller omitted.
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

// Validate reports all invalid fields of the job as unit.FieldErrors.
func (j Job) Validate() error {
	var f unit.FieldErrors
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

// Fingerprint returns a digest of the fields set by the caller. Two requests with the
// same ID but different fingerprints are different jobs.
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

// NewAnswer returns an answer without output, with the name and ran value of the code.
func NewAnswer(k Key, c code.Code, reason string) Answer {
	i := c.Info()

	return Answer{Key: k, Code: c, Name: i.Name, Ran: i.Ran, Reason: reason}
}

// NewCompletedAnswer returns the answer of a job that has run successfully, with the
// length and digest of its parts. The parts must be in member order.
func NewCompletedAnswer(k Key, attempt int, parts []Part) Answer {
	a := NewAnswer(k, code.OK, "")
	a.Attempt = attempt
	a.Parts = parts
	a.Length, a.Digest = Sum(parts)

	return a
}

// Sum returns the total size of all parts in bytes and their SHA-256 in hex.
func Sum(parts []Part) (int, string) {
	h := sha256.New()
	n := 0
	for _, p := range parts {
		h.Write([]byte(p.Data))
		n += len(p.Data)
	}

	return n, hex.EncodeToString(h.Sum(nil))
}

// Intact reports whether the parts match the answer's length and digest.
func (a Answer) Intact() bool {
	n, d := Sum(a.Parts)

	return n == a.Length && d == a.Digest
}
