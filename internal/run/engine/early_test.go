package engine_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/run/engine"
	"sesameyoke/internal/run/lead"
)

// TestCallsWhileStarting calls an engine while Run begins, as an entry VM does that becomes the
// planner. It guards against a data race, which the race detector shows.
func TestCallsWhileStarting(t *testing.T) {
	e := engine.New(engine.Config{
		Store: silentStore(), Lease: &lead.Lease{Token: 1}, SinceBoot: func() time.Duration { return time.Hour }, Now: time.Now,
		Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		Discover: func(ctx context.Context) (engine.Listing, error) {
			<-ctx.Done()

			return engine.Listing{}, ctx.Err()
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(ctx)
	}()
	for range 100 {
		require.ErrorIs(t, e.Submit(ctx, work.Job{ID: "j", Steps: []work.Step{{Count: 1}}}), engine.ErrNotPlanning)
		require.ErrorIs(t, e.Cancel(ctx, "j", "w"), engine.ErrNotPlanning)
		_, err := e.State("j", "w")
		require.ErrorIs(t, err, engine.ErrNotPlanning)
	}
	cancel()
	<-done
}
