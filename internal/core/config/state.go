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
	// maxAudit bounds the audit trail in memory: a day of changes at the target.
	maxAudit = 46000

	// trimAudit is dropped at once, so that most changes append without a copy.
	trimAudit = 4600
)

type (
	// State is the configuration at one offset. A State is never changed; Apply
	// returns a new one.
	State struct {
		Offset    int64            `json:"offset"` // of the last applied change; -1 is none
		Fleet     contract.Fleet   `json:"fleet"`
		Contracts contract.Book    `json:"contracts"`
		Policy    Policy           `json:"policy"`
		Versions  map[string]int64 `json:"versions"` // offset of each subject's last accepted change
		Audit     []Entry          `json:"audit"`

		blocks []contract.Block
		ids    *sync.Map // change ID to index in Audit plus drop, shared by all versions
		drop   int       // entries dropped from the start of Audit
	}
)

// New returns the state before the first change.
func New() *State {
	s := &State{Offset: -1, Contracts: contract.Book{}, Versions: map[string]int64{}, ids: &sync.Map{}}
	s.Policy.Defaults()

	return s
}

// Load restores a state from Dump's bytes.
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

// Dump returns the state as bytes for Load.
func (s *State) Dump() ([]byte, error) {
	b, err := json.Marshal(s)

	return b, errors.Wrap(err, "State.Dump")
}

// Blocks returns the places of all promised blocks.
func (s *State) Blocks() []contract.Block {
	return s.blocks
}

// Version returns the offset of the subject's last accepted change, 0 when there
// is none. Offsets are shown plus one, so that 0 never names a change.
func (s *State) Version(subject string) int64 {
	return s.Versions[subject]
}

// Verdict returns the audit entry of the change with the ID.
func (s *State) Verdict(id string) (Entry, bool) {
	v, ok := s.ids.Load(id)
	if !ok {
		return Entry{}, false
	}
	i := v.(int) - s.drop
	if i < 0 || i >= len(s.Audit) {
		return Entry{}, false
	}

	return s.Audit[i], true
}

// Workspaces returns the names of the workspaces with a contract, sorted.
func (s *State) Workspaces() []string {
	names := make([]string, 0, len(s.Contracts))
	for n := range s.Contracts {
		names = append(names, n)
	}
	sort.Strings(names)

	return names
}

// Skip returns the state at a later offset that held no change.
func (s *State) Skip(offset int64) *State {
	n := *s
	n.Offset = offset

	return &n
}

// Apply returns the state after the record at the offset. A record that is no
// valid change is refused and kept in the audit trail. A change that has been
// accepted has no second effect; one that was refused is judged anew. The caller
// applies offsets in order.
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
	if refused, reason := n.judge(c); refused != code.Accepted {
		e.Code, e.Reason = refused, reason
	} else {
		n.accept(c, offset)
	}
	n.record(e)

	return n
}

// judge decides whether the change is accepted.
func (s *State) judge(c Change) (code.Code, string) {
	if err := c.Validate(); err != nil {
		return code.Invalid, err.Error()
	}
	if have := s.Version(c.Subject()); have != c.Base {
		return code.StaleBase, errors.Errorf("base %d of %s is not the version in force, %d", c.Base, c.Subject(), have).Error()
	}
	book, fleet := s.after(c)
	if err := contract.Fits(book, fleet); err != nil {
		return code.NoRoom, err.Error()
	}

	return code.Accepted, ""
}

// after returns the contracts and fleet as the change would leave them.
func (s *State) after(c Change) (contract.Book, contract.Fleet) {
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
	s.Contracts, s.Fleet = s.after(c)
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

// record appends to the audit trail. Older states share the slice's start; they
// do not look past their own length.
func (s *State) record(e Entry) {
	if len(s.Audit) >= maxAudit {
		for _, old := range s.Audit[:trimAudit] {
			s.ids.Delete(old.ID)
		}
		s.drop += trimAudit
		s.Audit = append([]Entry(nil), s.Audit[trimAudit:]...)
	}
	s.ids.Store(e.ID, s.drop+len(s.Audit))
	s.Audit = append(s.Audit, e)
}

// Since returns the audit entries at or after a time, at most max of the newest.
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
