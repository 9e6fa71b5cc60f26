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

// TestAppendAgain reads testdata/again: what each copy of an append meets, the time
// that the caller has, and what it is told.
func TestAppendAgain(t *testing.T) {
	datadriven.RunTest(t, "testdata/again", func(t *testing.T, d *datadriven.TestData) string {
		var out string
		synctest.Test(t, func(t *testing.T) { out = appendAgain(t, strings.Fields(d.Input), d.CmdArgs[0].Key) })

		return out
	})
}

func appendAgain(t *testing.T, copies []string, within string) string {
	limit, err := time.ParseDuration(within)
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
	began := time.Now()
	end, err := s.AppendAgain(ctx, store.Append{Topic: "t", At: 4}, 100*time.Millisecond, len(copies))
	out := time.Since(began).String() + ": "
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
