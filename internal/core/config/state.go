package config

import (
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/contract"
)

const (
	// maxAudit is the maximum number of audit entries in memory. It holds one day of
	// changes at the target rate.
	maxAudit = 46000

	// trimAudit is the number of entries removed when the limit is reached. Removing many
	// at once lets most changes append without copying the slice.
	trimAudit = 4600
)

type (
	// State is the configuration at one offset. A State is immutable; Apply returns a new
	// one.
	State struct {
		Offset    int64            `json:"offset"` // last applied offset; -1 means none
		Fleet     contract.Fleet   `json:"fleet"`
		Contracts contract.Book    `json:"contracts"`
		Policy    Policy           `json:"policy"`
		Versions  map[string]int64 `json:"versions"` // by subject: offset of the last accepted change, plus one
		Audit     []Entry          `json:"audit"`

		blocks  []contract.Block
		ids     *sync.Map // maps change IDs to the index in Audit plus trimmed; shared by all states
		trimmed int       // number of entries removed from the start of Audit
	}
)

// New returns the initial state, without any change applied.
func New() *State {
	s := &State{Offset: -1, Contracts: contract.Book{}, Versions: map[string]int64{}, ids: &sync.Map{}}
	s.Policy.Defaults()

	return s
}

// Load restores a state serialized by Dump.
func Load(b []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(b, s); err != nil {
		return nil, errors.Wrap(err, "Load")
	}
	for i, e := range s.Audit {
		s.ids.Store(e.ID, i)
	}
	s.blocks, _ = contract.Apportion(s.Contracts, s.Fleet, nil)

	return s, nil
}

// Dump serializes the state for Load.
func (s *State) Dump() ([]byte, error) {
	b, err := json.Marshal(s)

	return b, errors.Wrap(err, "State.Dump")
}

// Blocks returns the positions of all promised blocks.
func (s *State) Blocks() []contract.Block {
	return s.blocks
}

// Version returns the version of the subject: the offset of its last accepted change plus
// one, or 0 if there is none. Adding one keeps 0 distinct from the change at offset 0.
func (s *State) Version(subject string) int64 {
	return s.Versions[subject]
}

// Verdict returns the audit entry of the change with the ID. It reports false if there is
// none, or if the entry has been removed from the audit trail.
func (s *State) Verdict(id string) (Entry, bool) {
	v, ok := s.ids.Load(id)
	if !ok {
		return Entry{}, false
	}
	i := v.(int) - s.trimmed
	if i < 0 || i >= len(s.Audit) {
		return Entry{}, false
	}

	return s.Audit[i], true
}

// Workspaces returns the sorted names of the workspaces that have a contract.
func (s *State) Workspaces() []string {
	names := make([]string, 0, len(s.Contracts))
	for n := range s.Contracts {
		names = append(names, n)
	}
	sort.Strings(names)

	return names
}

// Skip returns the state advanced to a later offset that does not hold a change.
func (s *State) Skip(offset int64) *State {
	n := *s
	n.Offset = offset

	return &n
}

// Apply returns the state after the record at the offset. A record that is not a valid
// change is rejected and recorded in the audit trail. Repeating an accepted change has no
// effect; repeating a rejected one evaluates it again. Offsets must be applied in order.
func (s *State) Apply(offset int64, raw []byte) *State {
	var c Change
	if err := json.Unmarshal(raw, &c); err != nil {
		c = Change{Kind: "unreadable", Author: "unknown"}
	}
	if e, seen := s.Verdict(c.ID); seen && e.Code == code.Accepted {
		return s.Skip(offset)
	}
	n := s.Skip(offset)
	e := Entry{
		Offset: offset, ID: c.ID, Kind: c.Kind, Subject: c.Subject(), Author: c.Author,
		Time: c.Time, Base: c.Base, Note: c.Note, Code: code.Accepted,
	}
	if verdict, reason := n.evaluate(c); verdict != code.Accepted {
		e.Code, e.Reason = verdict, reason
	} else {
		n.accept(c, offset)
	}
	n.record(e)

	return n
}

// evaluate returns code.Accepted, or the code and the reason of a rejection.
func (s *State) evaluate(c Change) (code.Code, string) {
	if err := c.Validate(); err != nil {
		return code.Invalid, err.Error()
	}
	if current := s.Version(c.Subject()); current != c.Base {
		return code.StaleBase, errors.Errorf("base %d of %s is not the version in force, %d", c.Base, c.Subject(), current).Error()
	}
	book, fleet := s.resultOf(c)
	if err := contract.CheckFits(book, fleet); err != nil {
		return code.NoRoom, err.Error()
	}

	return code.Accepted, ""
}

// resultOf returns the contracts and the fleet that result from the change.
func (s *State) resultOf(c Change) (contract.Book, contract.Fleet) {
	switch c.Kind {
	case KindContract:
		return s.Contracts.With(*c.Contract), s.Fleet
	case KindRemove:
		return s.Contracts.Without(c.Workspace), s.Fleet
	case KindFleet:
		return s.Contracts, *c.Fleet
	}

	return s.Contracts, s.Fleet
}

func (s *State) accept(c Change, offset int64) {
	s.Contracts, s.Fleet = s.resultOf(c)
	if c.Kind == KindPolicy {
		s.Policy = *c.Policy
	}
	s.blocks, _ = contract.Apportion(s.Contracts, s.Fleet, nil)
	v := make(map[string]int64, len(s.Versions)+1)
	for k, at := range s.Versions {
		v[k] = at
	}
	v[c.Subject()] = offset + 1
	s.Versions = v
}

// record appends to the audit trail. Older states share the backing array of the slice,
// which is safe because they only read up to their own length.
func (s *State) record(e Entry) {
	if len(s.Audit) >= maxAudit {
		for _, old := range s.Audit[:trimAudit] {
			s.ids.Delete(old.ID)
		}
		s.trimmed += trimAudit
		s.Audit = append([]Entry(nil), s.Audit[trimAudit:]...)
	}
	s.ids.Store(e.ID, s.trimmed+len(s.Audit))
	s.Audit = append(s.Audit, e)
}

// Since returns the audit entries at or after a time, newest first and at most max of them.
func (s *State) Since(t time.Time, max int) []Entry {
	var out []Entry
	for i := len(s.Audit) - 1; i >= 0 && len(out) < max; i-- {
		if s.Audit[i].Time.Before(t) {
			continue
		}
		out = append(out, s.Audit[i])
	}

	return out
}
