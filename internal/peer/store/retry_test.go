package store_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/peer/store"
)

// TestAppendWithRetry runs testdata/retry. Each case gives the caller's timeout and, in the
// input, what happens to each copy of an append: done, lost (no answer), refused, or ended
// (the condition fails). The test checks the result and the time it took. It guards against
// reporting an append as refused while one of its copies may have been executed.
func TestAppendWithRetry(t *testing.T) {
	datadriven.RunTest(t, "testdata/retry", func(t *testing.T, d *datadriven.TestData) string {
		var out string
		synctest.Test(t, func(t *testing.T) { out = appendWithRetry(t, strings.Fields(d.Input), d.CmdArgs[0].Key) })

		return out
	})
}

func appendWithRetry(t *testing.T, copies []string, timeout string) string {
	limit, err := time.ParseDuration(timeout)
	require.NoError(t, err)
	var sent atomic.Int64
	s := &store.Store{Append: func(ctx context.Context, _ store.Append) (int64, error) {
		switch copies[sent.Add(1)-1] {
		case "lost":
			<-ctx.Done()

			return 0, errors.Wrap(store.ErrUnknown, "no answer")
		case "refused":
			return 0, store.ErrRefused
		case "ended":
			return 0, &store.ConditionError{End: 9}
		}

		return 5, nil
	}}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	start := time.Now()
	end, err := s.AppendWithRetry(ctx, store.Append{Topic: "t", ExpectedEnd: 4}, 100*time.Millisecond, len(copies))
	out := time.Since(start).String() + ": "
	switch {
	case err == nil:
		require.EqualValues(t, 5, end)

		return out + "done"
	case errors.Is(err, store.ErrUnknown):
		return out + "unknown"
	case errors.Is(err, store.ErrRefused):
		return out + "refused"
	}

	return out + err.Error()
}
