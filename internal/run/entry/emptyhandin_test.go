package entry

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/run/lead"
)

// TestEmptyHandin hands in a record without a value. It guards against a hand-in that counts as stored, although the
// store takes it for a deletion.
func TestEmptyHandin(t *testing.T) {
	appends := 0
	st := &store.Store{Append: func(context.Context, store.Append) (int64, error) {
		appends++

		return 0, nil
	}}
	e := New(Config{
		Store: st, Elector: lead.New(lead.Config{Store: st}), SinceBoot: func() time.Duration { return time.Hour },
		Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	require.Equal(t, code.BadRequest, e.appendHandin(t.Context(), store.Record{Key: "o/j", Value: []byte("x")}, store.Record{Key: "q/batch"}))
	require.Zero(t, appends)
	require.Equal(t, code.OK, e.appendHandin(t.Context(), store.Record{Key: "o/j", Value: []byte("x")}))
	require.Equal(t, 1, appends)
}
