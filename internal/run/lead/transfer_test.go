package lead

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// TestTransferToStronger offers the lease to a stronger VM. The lease must not be valid
// while the outcome is unknown, and must become valid again only if the other VM refused
// it and no other holder was seen in the meantime: otherwise two planners could act at once.
func TestTransferToStronger(t *testing.T) {
	for _, c := range []struct {
		name         string
		acquired     bool
		err          error
		invalidated  bool // another holder is seen while the offer is pending
		wantTransfer bool
		wantValid    bool
	}{
		{name: "taken", acquired: true, wantTransfer: true},
		{name: "refused", wantValid: true},
		{name: "unknown", err: errors.New("no answer")},
		{name: "refused, and invalidated", invalidated: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &Lease{Token: 3, sinceBoot: func() time.Duration { return time.Hour }}
			_, l.cancel = context.WithCancel(t.Context())
			l.extend(time.Hour, time.Minute, 1)
			e := New(Config{
				CallTimeout: time.Second, SinceBoot: l.sinceBoot, Log: &log.Logger{Level: log.PanicLevel},
				Stronger: func() (string, bool) { return "b", true },
				Offer: func(context.Context, string, int64, int64) (bool, error) {
					require.False(t, l.Valid())
					if c.invalidated {
						l.Invalidate()
					}

					return c.acquired, c.err
				},
			})
			require.Equal(t, c.wantTransfer, e.transferToStronger(t.Context(), l))
			require.Equal(t, c.wantValid, l.Valid())
		})
	}
}

// TestWithdrawnOffer ends the call that offers the lease before the offer is accepted. It
// guards against a VM that acquires the lease after its holder was told that it was refused.
func TestWithdrawnOffer(t *testing.T) {
	e := New(Config{SinceBoot: func() time.Duration { return time.Hour }, Log: &log.Logger{Level: log.PanicLevel}})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, e.HandleOffer(ctx, 3, 10))
	require.False(t, e.hasOffer())
	require.Nil(t, e.acceptOffer(t.Context()))
}

// TestReplacedOffer makes a second offer before the first one is accepted. It guards against
// a call that waits for ever for the outcome of the first.
func TestReplacedOffer(t *testing.T) {
	e := New(Config{SinceBoot: func() time.Duration { return time.Hour }, Log: &log.Logger{Level: log.PanicLevel}})
	first := make(chan bool, 1)
	go func() { first <- e.HandleOffer(t.Context(), 3, 10) }()
	require.Eventually(t, e.hasOffer, time.Second, time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, e.HandleOffer(ctx, 4, 12))
	require.False(t, <-first)
}

// TestActiveUntil guards against a wait for a worker's lease that is shorter than the time
// for which an earlier holder may have renewed it.
func TestActiveUntil(t *testing.T) {
	sightings := []sighting{{token: 2, at: 10 * time.Second}, {token: 4, at: 20 * time.Second}, {token: 5, at: 30 * time.Second}}
	for _, c := range []struct {
		token int64
		ended bool
		want  time.Duration
	}{
		{token: 4, want: 35 * time.Second},
		{token: 4, ended: true, want: 30 * time.Second}, // token 3 was superseded at 20 s at the latest
		{token: 3, ended: true, want: 25 * time.Second},
		{token: 1, ended: true, want: 15 * time.Second},
		{token: 0, want: 0},
	} {
		l := &Lease{Token: 5, sightings: sightings, predecessorEnded: c.ended}
		require.Equal(t, c.want, l.ActiveUntil(c.token, 5*time.Second), "token %d", c.token)
	}
}

// TestAllMarked guards against a successor that takes a planner of an earlier version, or one
// that it has not seen, for one that records its grants.
func TestAllMarked(t *testing.T) {
	l := &Lease{Token: 5, sightings: []sighting{{token: 1}, {token: 3, marked: true}, {token: 4, marked: true}, {token: 5, marked: true}}}
	require.True(t, l.AllMarked(4))
	require.True(t, l.AllMarked(2))
	require.False(t, l.AllMarked(1))
	require.False(t, l.AllMarked(0))
}

// TestMarkedSince guards against a VM that is back and has not seen the holders before it: it took one
// of them for a planner of an earlier version, and waited for leases that none of them had granted. The
// record of the holder before it tells, but not of holders that were not marked.
func TestMarkedSince(t *testing.T) {
	for _, c := range []struct {
		name      string
		sightings []sighting
		oldest    int64 // of holders before token 16 that are known to be marked
	}{
		{name: "none seen", oldest: 16},
		{name: "one seen, which tells of the others", sightings: []sighting{{token: 15, marked: true, since: 3}}, oldest: 3},
		{name: "own record too", sightings: []sighting{{token: 15, marked: true, since: 3}, {token: 16, marked: true, since: 3}}, oldest: 3},
		{name: "one seen, of a version that does not tell", sightings: []sighting{{token: 15, marked: true}}, oldest: 15},
		{name: "newest one not marked", sightings: []sighting{{token: 14, marked: true, since: 3}, {token: 15}}, oldest: 16},
		{name: "newest one not seen", sightings: []sighting{{token: 14, marked: true, since: 3}}, oldest: 16},
		{name: "two seen", sightings: []sighting{{token: 9, marked: true, since: 2}, {token: 15, marked: true, since: 10}}, oldest: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.oldest, oldestMarked(c.sightings, 16))
			l := &Lease{Token: 16, sightings: c.sightings}
			require.True(t, l.AllMarked(c.oldest-1))
			require.False(t, l.AllMarked(c.oldest-2))
		})
	}
}

// TestHolderRecord guards against lease records that VMs of another version cannot read.
func TestHolderRecord(t *testing.T) {
	h := Holder{Name: "a/1", Address: "a", Token: 4, Renewal: 7, Released: true, MarkedSince: 2}
	b, err := encodeHolder(h, true)
	require.NoError(t, err)
	got, err := decodeHolder(b)
	require.NoError(t, err)
	require.Equal(t, h, got)

	b, err = encodeHolder(h, false)
	require.NoError(t, err)
	var first firstHolder
	require.NoError(t, cbor.Unmarshal(b, &first))
	got, err = decodeHolder(b)
	require.NoError(t, err)
	h.MarkedSince = 0
	require.Equal(t, h, got)
	_, err = decodeHolder([]byte{0xff})
	require.Error(t, err)
}
