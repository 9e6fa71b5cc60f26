// Package config derives the configuration (contracts, fleet and policy) from the operators'
// changes. Changes are applied in log order, and the result is deterministic: all VMs that
// have applied the same offset hold the same state and the same verdicts.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/contract"
	"sesameyoke/internal/core/unit"
)

// Kinds of change.
const (
	KindContract Kind = "contract"
	KindRemove   Kind = "remove"
	KindFleet    Kind = "fleet"
	KindPolicy   Kind = "policy"
)

// Objectives of placement.
const (
	WeighCompletion    Weigh = "completion"
	WeighFragmentation Weigh = "fragmentation"
)

type (
	// Kind is the type of a change.
	Kind string

	// Weigh is the objective that placement optimizes.
	Weigh string

	// Policy holds the settings that apply to the whole deployment. It is a part of the
	// configuration of the VMs that run "sesameyoke serve"; policy.Policy is the configuration
	// of those that run "sesameyoke entry".
	Policy struct {
		Weigh           Weigh         `json:"weigh" yaml:"weigh"`
		AnswerRetention unit.Duration `json:"keep" yaml:"keep"`     // retention period of answers
		Budget          float64       `json:"budget" yaml:"budget"` // fraction of accelerator time that checkpoints may consume
	}

	// Change is an operator's request to replace or remove a contract, or to replace the
	// fleet or the policy. Base is the version on which the operator based the change, 0 if
	// there was none. A change whose base is not the current version is rejected, to
	// prevent lost updates.
	Change struct {
		ID        string             `json:"id"`
		Kind      Kind               `json:"kind"`
		Base      int64              `json:"base"`
		Author    string             `json:"author"`
		Time      time.Time          `json:"time"`
		Note      string             `json:"note,omitempty"`
		Workspace string             `json:"workspace,omitempty"` // for remove: workspace of the contract
		Contract  *contract.Contract `json:"contract,omitempty"`
		Fleet     *contract.Fleet    `json:"fleet,omitempty"`
		Policy    *Policy            `json:"policy,omitempty"`
	}

	// Entry is one line of the audit trail.
	Entry struct {
		Offset  int64     `json:"offset"`
		ID      string    `json:"id"`
		Kind    Kind      `json:"kind"`
		Subject string    `json:"subject"`
		Author  string    `json:"author"`
		Time    time.Time `json:"time"`
		Base    int64     `json:"base"`
		Note    string    `json:"note,omitempty"`
		Code    code.Code `json:"code"`
		Reason  string    `json:"reason,omitempty"`
	}
)

// Defaults sets optional fields that the operator omitted.
func (p *Policy) Defaults() {
	if p.Weigh == "" {
		p.Weigh = WeighCompletion
	}
	if p.AnswerRetention.Duration == 0 {
		p.AnswerRetention = unit.Duration{Duration: 24 * time.Hour}
	}
	if p.Budget == 0 {
		p.Budget = 0.02
	}
}

// Validate reports all invalid fields of the policy as unit.FieldErrors.
func (p Policy) Validate() error {
	var f unit.FieldErrors
	if p.Weigh != WeighCompletion && p.Weigh != WeighFragmentation {
		f.Add("weigh", "%q is neither %q nor %q", p.Weigh, WeighCompletion, WeighFragmentation)
	}
	if p.AnswerRetention.Duration < time.Minute {
		f.Add("keep", "%v is less than 1m", p.AnswerRetention)
	}
	if p.Budget < 0 || p.Budget > 0.5 {
		f.Add("budget", "%v is not between 0 and 0.5", p.Budget)
	}

	return f.Err()
}

// Subject identifies the object that the change replaces, such as "contract/host".
func (c Change) Subject() string {
	switch {
	case c.Kind == KindContract && c.Contract != nil:
		return "contract/" + c.Contract.Workspace
	case c.Kind == KindRemove:
		return "contract/" + c.Workspace
	}

	return string(c.Kind)
}

// SetID sets the ID to a digest of all fields except ID and Time, such as author, base and
// content, so that a change that is published again is recognised as the same one.
func (c *Change) SetID() {
	d := *c
	d.ID = ""
	d.Time = time.Time{}
	b, err := json.Marshal(d)
	if err != nil {
		return
	}
	sum := sha256.Sum256(b)
	c.ID = hex.EncodeToString(sum[:12])
}

// Validate reports all invalid fields of the change as unit.FieldErrors.
func (c Change) Validate() error {
	var f unit.FieldErrors
	if !unit.ValidName(c.Author) {
		f.Add("author", "%q is not a name", c.Author)
	}
	if c.Base < 0 {
		f.Add("base", "%d is negative", c.Base)
	}
	field, err := c.content()
	if err != nil {
		addNestedError(&f, field, err)
	}

	return f.Err()
}

// content returns the name of the field that holds the content of the change, and its
// validation error.
func (c Change) content() (string, error) {
	missing := unit.FieldErrors{{Field: "content", Reason: "is missing"}}
	field := string(c.Kind)
	switch c.Kind {
	case KindContract:
		if c.Contract == nil {
			return field, missing
		}

		return field, c.Contract.Validate()
	case KindRemove:
		if !unit.ValidName(c.Workspace) {
			return "workspace", missing
		}

		return field, nil
	case KindFleet:
		if c.Fleet == nil {
			return field, missing
		}

		return field, c.Fleet.Validate()
	case KindPolicy:
		if c.Policy == nil {
			return field, missing
		}

		return field, c.Policy.Validate()
	}

	return "kind", unit.FieldErrors{{Field: field, Reason: "is not a kind of change"}}
}

func addNestedError(f *unit.FieldErrors, field string, err error) {
	if sub, ok := err.(unit.FieldErrors); ok {
		f.AddNested(field, sub)

		return
	}
	f.Add(field, "%v", err)
}
