package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// AppendWithRetry sends an append, and sends another copy at each interval without an
// answer, up to maxCopies in total. The append must have a condition or a sequence number,
// which keeps it from being executed twice. AppendWithRetry returns the first answer of the
// store; copies that fail with ErrRefused or ErrUnknown got none. If no copy is answered, the
// error is ErrRefused if all copies sent were refused, and ErrUnknown otherwise. A copy of a
// conditional append fails with a ConditionError if another copy has succeeded before.
func (s *Store) AppendWithRetry(ctx context.Context, a Append, interval time.Duration, maxCopies int) (int64, error) {
	type answer struct {
		end int64
		err error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, maxCopies)
	send := func() {
		end, err := s.Append(ctx, a)
		answers <- answer{end, err}
	}
	go send()
	sent, failed := 1, 0
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
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
			if failed == maxCopies {
				return 0, err
			}
		case <-ticker.C:
			if sent < maxCopies {
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
