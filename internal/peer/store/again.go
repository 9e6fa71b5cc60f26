package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// AppendAgain makes an append whose repetition does no harm, because it has a
// condition or a sequence number, and sends it again each time that no answer has
// come within every, most times in all. It returns the first answer. A copy of a
// conditional append fails with a ConditionError once another copy has succeeded.
func (s *Store) AppendAgain(ctx context.Context, a Append, every time.Duration, most int) (int64, error) {
	type answer struct {
		end int64
		err error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, most)
	send := func() {
		end, err := s.Append(ctx, a)
		answers <- answer{end, err}
	}
	go send()
	sent, failed := 1, 0
	again := time.NewTicker(every)
	defer again.Stop()
	var err error
	for {
		select {
		case r := <-answers:
			if !errors.Is(r.err, ErrRefused) && !errors.Is(r.err, ErrUnknown) {
				return r.end, r.err
			}
			failed++
			if err == nil || errors.Is(r.err, ErrUnknown) {
				err = r.err
			}
			if failed == most {
				return 0, err
			}
		case <-again.C:
			if sent < most {
				sent++
				go send()
			}
		case <-ctx.Done():
			if failed == sent {
				return 0, err
			}

			return 0, errors.Wrapf(ErrUnknown, "append to topic %q: %v", a.Topic, ctx.Err())
		}
	}
}
