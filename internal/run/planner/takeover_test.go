package planner

import (
	"context"
	"io"
	"runtime"
	"testing"
	"time"

	plog "github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/ledger"
	"sesameyoke/internal/peer/worker"
)

// TestReapStopsReportedIncarnation guards against a stop request that names the wrong
// incarnation: reap sends the request from a goroutine, and if the worker's restart is
// recorded before that goroutine runs, the request must still name the incarnation
// that reported the orphan.
func TestReapStopsReportedIncarnation(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // the goroutine that sends the request runs after the change
	stopped := make(chan worker.TokenRequest, 1)
	p := &Planner{}
	p.Ledger = ledger.New(func() time.Duration { return time.Hour })
	p.Log = &plog.Logger{Writer: &plog.IOWriter{Writer: io.Discard}}
	p.calls.Stop = func(_ context.Context, _ string, r worker.TokenRequest) (worker.Reply, error) {
		stopped <- r

		return worker.Reply{}, nil
	}
	w := &workerStatus{name: "w", incarnation: "before"}
	s := &session{p: p, ctx: context.Background(), workers: map[string]*workerStatus{"w": w}}
	s.reap("w", worker.Task{Token: "t", State: worker.Running})
	w.incarnation = "after"
	require.Equal(t, "before", (<-stopped).Incarnation)
}
