package serve

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/config"
	"sesameyoke/internal/peer/log"
)

// configStore holds the configuration in force. Readers load one pointer; the tail
// of the config stream replaces it.
type configStore struct {
	state   atomic.Pointer[config.State]
	mu      sync.Mutex
	changed chan struct{} // closed and replaced whenever state is
}

func newConfigStore() *configStore {
	s := &configStore{changed: make(chan struct{})}
	s.state.Store(config.New())

	return s
}

func (s *configStore) get() *config.State {
	return s.state.Load()
}

func (s *configStore) set(n *config.State) {
	s.state.Store(n)
	s.mu.Lock()
	defer s.mu.Unlock()

	close(s.changed)
	s.changed = make(chan struct{})
}

// nextChange returns a channel that is closed when the state is replaced.
func (s *configStore) nextChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.changed
}

// watchVerdict returns a channel that receives the verdict of a change once the
// configuration includes it. A refusal at or before the current offset belongs to an
// earlier attempt and is ignored.
func (s *configStore) watchVerdict(ctx context.Context, id string) <-chan config.Entry {
	seen := make(chan config.Entry, 1)
	from := s.get().Offset
	go func() {
		for {
			next := s.nextChange()
			if e, ok := s.get().Verdict(id); ok && (e.Offset > from || e.Code == code.Accepted) {
				seen <- e

				return
			}
			select {
			case <-next:
			case <-ctx.Done():
				return
			}
		}
	}()

	return seen
}

// publish appends a change to the log and returns its verdict. Only a change that
// cannot be encoded is refused without an append; all others are accepted or refused
// when they are applied, at their own offset.
func (v *VM) publish(ctx context.Context, c config.Change) config.Entry {
	c.Time = v.timer.Now()
	if c.Contract != nil {
		c.Contract.Defaults()
	}
	if c.Policy != nil {
		c.Policy.Defaults()
	}
	c.SetID()
	e := config.Entry{ID: c.ID, Kind: c.Kind, Subject: c.Subject(), Author: c.Author, Time: c.Time, Base: c.Base, Offset: -1}
	raw, err := json.Marshal(c)
	if err != nil {
		e.Code, e.Reason = code.Invalid, err.Error()

		return e
	}
	ctx, cancel := context.WithTimeout(ctx, v.Settings.Timing.AcceptTimeout.Duration)
	defer cancel()

	found, err := log.Commit(ctx, v.writers[streamConfig], raw, v.config.watchVerdict(ctx, c.ID))
	switch err {
	case nil:
		return found
	case log.ErrDown:
		e.Code, e.Reason = code.LogDown, "the log service is down; the change was not appended"
	default:
		e.Code, e.Reason = code.Unsettled, "the log service did not answer; publish the same change again to learn its verdict"
	}

	return e
}
