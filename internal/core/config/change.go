// Package config folds the operators' changes, in the order of their log offsets,
// into contracts, fleet and policy. The fold is deterministic: every VM that has
// applied the same offset holds the same state and the same verdicts.
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

// Values of Policy.Weigh.
const (
	WeighCompletion    Weigh = "completion"
	WeighFragmentation Weigh = "fragmentation"
)

type (
	// Kind is what a change replaces.
	Kind string

	// Weigh is the measure that placement favours.
	Weigh string

	// Policy holds the settings of placement that are in force everywhere.
	Policy struct {
		Weigh  Weigh         `json:"weigh" yaml:"weigh"`
		Keep   unit.Duration `json:"keep" yaml:"keep"`     // how long an answer can be fetched
		Budget float64       `json:"budget" yaml:"budget"` // share of accelerator time that checkpoints may cost
	}

	// Change is one operator's request to replace a contract, the fleet or the
	// policy. Base is the offset of the version that the operator has seen, 0 when
	// there was none; a change with an older base is refused.
	Change struct {
		ID        string             `json:"id"`
		Kind      Kind               `json:"kind"`
		Base      int64              `json:"base"`
		Author    string             `json:"author"`
		Time      time.Time          `json:"time"`
		Note      string             `json:"note,omitempty"`
		Workspace string             `json:"workspace,omitempty"` // of a removed contract
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

// Defaults fills in the fields that an operator may leave out.
func (p *Policy) Defaults() {
	if p.Weigh == "" {
		p.Weigh = WeighCompletion
	}
	if p.Keep.Duration == 0 {
		p.Keep = unit.Duration{Duration: 24 * time.Hour}
	}
	if p.Budget == 0 {
		p.Budget = 0.02
	}
}

// Validate returns all invalid fields of the policy, as unit.Faults.
func (p Policy) Validate() error {
	var f unit.Faults
	if p.Weigh != WeighCompletion && p.Weigh != WeighFragmentation {
		f.Add("weigh", "%q is neither %q nor %q", p.Weigh, WeighCompletion, WeighFragmentation)
	}
	if p.Keep.Duration < time.Minute {
		f.Add("keep", "%v is less than 1m", p.Keep)
	}
	if p.Budget < 0 || p.Budget > 0.5 {
		f.Add("budget", "%v is not between 0 and 0.5", p.Budget)
	}

	return f.Err()
}

// Subject names what the change replaces, such as "contract/host".
func (c Change) Subject() string {
	switch {
	case c.Kind == KindContract && c.Contract != nil:
		return "contract/" + c.Contract.Workspace
	case c.Kind == KindRemove:
		return "contract/" + c.Workspace
	}

	return string(c.Kind)
}

// Sign sets the ID to a digest of author, base and content, so that publishing
// the same change again is recognised as the same change.
func (c *Change) Sign() {
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

// Validate returns all invalid fields of the change, as unit.Faults.
func (c Change) Validate() error {
	var f unit.Faults
	if !unit.ValidName(c.Author) {
		f.Add("author", "%q is not a name", c.Author)
	}
	if c.Base < 0 {
		f.Add("base", "%d is negative", c.Base)
	}
	field, err := c.content()
	if err != nil {
		underError(&f, field, err)
	}

	return f.Err()
}

// content returns the field that holds the change's content and its fault.
func (c Change) content() (string, error) {
	missing := unit.Faults{{Field: "content", Reason: "is missing"}}
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

	return "kind", unit.Faults{{Field: field, Reason: "is not a kind of change"}}
}

func underError(f *unit.Faults, field string, err error) {
	if sub, ok := err.(unit.Faults); ok {
		f.Under(field, sub)

		return
	}
	f.Add(field, "%v", err)
}
