package lead

import (
	"context"
	"testing"
	"time"

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
