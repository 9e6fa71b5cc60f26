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
	"sesameyoke/internal/core/policy"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/run/entry"
	"sesameyoke/internal/run/lead"
)

// TestHandinWithQueue submits a job while there is no planner. It guards against a hand-in without
// a record of its queue: the planner that reads the job may not know the queue any more.
func TestHandinWithQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var appends []store.Append
		st := &store.Store{Append: func(_ context.Context, a store.Append) (int64, error) {
			appends = append(appends, a)

			return 0, nil
		}}
		e := entry.New(entry.Config{
			Store: st, Elector: lead.New(lead.Config{Store: st}), SinceBoot: func() time.Duration { return time.Hour },
			Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		})
		g := entry.Grant{Queue: &policy.Queue{Name: "batch", Service: "s"}, Version: 7, Workspace: "w"}
		got, _ := e.Submit(t.Context(), g, work.Job{ID: "j", Queue: "batch", Workspace: "w", Steps: []work.Step{{Count: 1}}})
		require.Equal(t, code.OK, got)
		require.Len(t, appends, 1)
		require.Len(t, appends[0].Records, 2)
		require.Equal(t, work.Key(work.QueueRecord, "batch"), appends[0].Records[1].Key)
		require.Equal(t, work.Key(work.OpenRecord, "j"), appends[0].Records[0].Key)
	})
}

// TestRefusedHandin submits a job, without a planner, that the store refuses for good. It guards against
// a caller who waits for the deadline, although the job can't be accepted.
func TestRefusedHandin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		appends := 0
		st := &store.Store{Append: func(context.Context, store.Append) (int64, error) {
			appends++

			return 0, store.ErrInvalid
		}}
		e := entry.New(entry.Config{
			Store: st, Elector: lead.New(lead.Config{Store: st}), SinceBoot: func() time.Duration { return time.Hour },
			Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		})
		g := entry.Grant{Queue: &policy.Queue{Name: "batch", Service: "s"}, Version: 7, Workspace: "w"}
		got, _ := e.Submit(t.Context(), g, work.Job{ID: "j", Queue: "batch", Workspace: "w", Steps: []work.Step{{Count: 1}}})
		require.Equal(t, code.TooLarge, got)
		require.Equal(t, 1, appends)
	})
}
