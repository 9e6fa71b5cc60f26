package engine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/run/lead"
)

// partitionStore is a store with one partition and one producer epoch. It takes an append with an
// earlier sequence number for a copy.
type partitionStore struct {
	next   int64
	newest map[string][]byte
}

func (s *partitionStore) append(_ context.Context, a store.Append) (int64, error) {
	switch {
	case len(a.Records) == 0 || a.Sequence < s.next:
		return 0, nil
	case a.Sequence > s.next:
		return 0, &store.SequenceError{Expected: s.next}
	}
	s.next++
	for _, r := range a.Records {
		if s.newest[r.Key] = r.Value; len(r.Value) == 0 {
			delete(s.newest, r.Key)
		}
	}

	return 0, nil
}

func (s *partitionStore) page(context.Context, string, int, string) (store.Page, error) {
	var p store.Page
	for key, value := range s.newest {
		p.Records = append(p.Records, store.Record{Key: key, Value: value})
	}

	return p, nil
}

// TestUnresolvedAppend leaves a partition with an append that got no answer and is executed late: before
// or after the partition is opened again. It guards against records of an earlier journal that return
// after the partition was found clean, and against an append that the store takes for a copy of it.
func TestUnresolvedAppend(t *testing.T) {
	for name, early := range map[string]bool{"before": true, "after": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runUnresolvedAppend(t, early) })
		})
	}
}

func runUnresolvedAppend(t *testing.T, early bool) {
	st := &partitionStore{newest: map[string][]byte{}}
	var late []store.Append
	lose := true
	e := partsEngine(work.DefaultRecordBytes, store.DefaultRequestBytes)
	e.SinceBoot = func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	e.Lease = &lead.Lease{Token: 1}
	e.Store = &store.Store{Newest: st.page, Append: func(ctx context.Context, a store.Append) (int64, error) {
		if lose && len(a.Records) > 0 {
			late = append(late, a)

			return 0, errors.Wrap(store.ErrUnknown, "no answer")
		}

		return st.append(ctx, a)
	}}
	execute := func() {
		for _, a := range late {
			_, _ = st.append(t.Context(), a) // may be refused as a copy
		}
	}
	j := &e.journal
	p := j.partition(2)
	require.NoError(t, j.send(t.Context(), p, nil, partTimeout))
	require.Error(t, j.appendTo(t.Context(), p, []store.Record{{Key: "o/x", Value: []byte("x")}}))
	require.Len(t, p.unresolved, 1)
	lose = false
	if early {
		execute()
	}
	page, err := j.open(t.Context(), p)
	require.NoError(t, err)
	require.Len(t, page.Records, 1)
	require.NoError(t, j.appendTo(t.Context(), p, []store.Record{{Key: "o/x"}}))
	execute()
	require.Empty(t, st.newest)
	require.NoError(t, j.appendTo(t.Context(), p, []store.Record{{Key: "o/y", Value: []byte("y")}}))
	execute()
	require.Equal(t, map[string][]byte{"o/y": []byte("y")}, st.newest)
}
