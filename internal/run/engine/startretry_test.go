package engine_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/engine"
)

// lateAfter is how long after it was sent a start without an answer is executed.
const lateAfter = 3 * time.Second

// startLoss leaves the first attempts at each start unanswered. They are executed later.
type startLoss struct {
	mu       sync.Mutex
	lost     int           // number of these attempts
	after    time.Duration // how long after they were sent
	mute     bool          // workers answer no queries for their runs either
	attempts map[target.Run]int
	last     map[target.Run]time.Time // when the newest attempt was made
	first    map[target.Run]time.Time
}

// TestResentStarts runs the scripts in testdata/resend. They guard against gangs that fail because
// one start got no answer, and against copies of a start that are sent when they must not be, or run a
// task twice.
func TestResentStarts(t *testing.T) {
	datadriven.Walk(t, "testdata/resend", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			r := newEvacuationRig(t)
			defer r.stop()
			s := &startLoss{after: lateAfter, attempts: map[target.Run]int{}, first: map[target.Run]time.Time{}, last: map[target.Run]time.Time{}}
			configure := r.mutation.config
			r.mutation.config = func(c *engine.Config) {
				configure(c)
				c.Workers = s.client(c.Workers)
				c.Timing.DiscoverInterval = 20 * time.Millisecond // an announcement is known before the next attempt
			}
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				switch d.Cmd {
				case "lose":
					s.mu.Lock()
					defer s.mu.Unlock()
					d.MaybeScanArgs(t, "attempts", &s.lost)
					s.mute = d.HasArg("mute")
					if d.HasArg("late") {
						s.after = 8 * time.Second
					}

					return ""
				case "attempts":
					return s.summary()
				}

				return r.runCommand(t, d)
			})
			time.Sleep(lateAfter)
			require.Empty(t, r.fleet.Violations())
		})
	})
}

// client returns a client that loses starts.
func (s *startLoss) client(c *target.Client) *target.Client {
	lossy := *c
	lossy.Start = func(ctx context.Context, a target.Address, order target.Start) (int64, error) {
		if !s.loses(order) {
			return c.Start(ctx, a, order)
		}
		time.AfterFunc(s.after, func() {
			late, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, _ = c.Start(late, a, order) // nobody waits for the answer
		})
		<-ctx.Done()

		return 0, errors.Wrap(target.ErrUnknown, "no answer")
	}
	lossy.RenewLease = func(ctx context.Context, a target.Address, l target.LeaseRenewal) (target.Report, error) {
		s.mu.Lock()
		mute := s.mute && l.Deadline == 0 && l.Wait == 0
		s.mu.Unlock()
		if !mute {
			return c.RenewLease(ctx, a, l)
		}
		<-ctx.Done()

		return target.Report{}, errors.Wrap(target.ErrUnknown, "no answer")
	}

	return &lossy
}

// loses counts an attempt at a start, and reports whether it gets no answer.
func (s *startLoss) loses(order target.Start) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := target.Run{Task: order.Task, Run: order.Run}
	s.attempts[key]++
	if s.attempts[key] == 1 {
		s.first[key] = time.Now()
	}
	s.last[key] = time.Now()

	return s.attempts[key] <= s.lost
}

// summary counts the starts by the number of attempts at them.
func (s *startLoss) summary() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, late := map[int]int{}, 0
	for key, attempts := range s.attempts {
		n[attempts]++
		if s.last[key].Sub(s.first[key]) > time.Second {
			late++
		}
	}
	clear(s.attempts)

	return fmt.Sprintf("starts by attempts: %v, %d after more than a second", n, late)
}
