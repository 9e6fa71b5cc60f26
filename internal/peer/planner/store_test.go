package planner

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/peer/planner/plannerpb"
	"sesameyoke/internal/peer/store"
)

// TestRelayedPartition guards against a relayed call that is made in another partition than the caller's,
// also where the VM in between is of a version that doesn't know the call.
func TestRelayedPartition(t *testing.T) {
	parts := []int{}
	v := service{&Server{Store: &store.Store{
		Append: func(_ context.Context, a store.Append) (int64, error) {
			parts = append(parts, a.Part)

			return 7, nil
		},
		Newest: func(_ context.Context, _ string, part int, _ string) (store.Page, error) {
			parts = append(parts, part)

			return store.Page{End: 7}, nil
		},
		Read: func(context.Context, string, int64, time.Duration) (store.Range, error) {
			parts = append(parts, 0)

			return store.Range{End: 7}, nil
		},
	}}}
	for _, call := range []string{callIn(appendCall, 0), callIn(appendCall, 3), callIn(newestCall, 0), callIn(newestCall, 11), callIn(readCall, 0)} {
		r, err := v.Store(t.Context(), &plannerpb.StoreRequest{Call: call, Topic: "t"})
		require.NoError(t, err)
		require.NoError(t, faultError(r))
		require.EqualValues(t, 7, r.End)
	}
	require.Equal(t, []int{0, 3, 0, 11, 0}, parts)
	require.Equal(t, appendCall, callIn(appendCall, 0)) // as earlier versions send and know it
	for _, call := range []string{"append/", "append/0", "append/-1", "append/x", "append/1/2", "read/2", "other", "other/1"} {
		r, err := v.Store(t.Context(), &plannerpb.StoreRequest{Call: call, Topic: "t"})
		require.NoError(t, err)
		require.ErrorIs(t, faultError(r), store.ErrRefused, call)
		require.NotErrorIs(t, faultError(r), store.ErrInvalid, call)
	}
	require.Len(t, parts, 5)
}
