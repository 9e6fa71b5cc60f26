package entry_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/run/entry"
	"sesameyoke/internal/run/lead"
)

// TestCancelHandin cancels a job while there is no planner, for a caller with a workspace and for one without, on a
// public queue. It guards against a cancellation that is acknowledged and stored as a deletion of its key.
func TestCancelHandin(t *testing.T) {
	for _, workspace := range []string{"", "w", "\x00"} {
		synctest.Test(t, func(t *testing.T) {
			var appended []store.Record
			st := &store.Store{Append: func(_ context.Context, a store.Append) (int64, error) {
				appended = append(appended, a.Records...)

				return 0, nil
			}}
			e := entry.New(entry.Config{
				Store: st, Elector: lead.New(lead.Config{Store: st}), SinceBoot: func() time.Duration { return time.Hour },
				Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
			})
			require.Equal(t, code.OK, e.Cancel(t.Context(), "j", workspace))
			require.Len(t, appended, 1)
			require.Equal(t, work.Key(work.CancelRecord, "j"), appended[0].Key)
			require.False(t, appended[0].IsDeletion())
			require.Equal(t, workspace, work.DecodeCancel(appended[0].Value))
		})
	}
}
