package lead

import (
	"context"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// TestMoveOn offers a lease to a stronger VM. It gives orders again only if that VM
// has refused it, and not if a successor was seen meanwhile.
func TestMoveOn(t *testing.T) {
	for _, c := range []struct {
		name  string
		taken bool
		err   error
		lost  bool // a successor is seen while the offer is open
		moved bool
		valid bool
	}{
		{name: "taken", taken: true, moved: true},
		{name: "refused", valid: true},
		{name: "unknown", err: errors.New("no answer")},
		{name: "refused, and lost", lost: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &Lease{Token: 3, boot: func() time.Duration { return time.Hour }}
			_, l.cancel = context.WithCancel(t.Context())
			l.extend(time.Hour, time.Minute, 1)
			e := New(Config{
				Call: time.Second, Boot: l.boot, Log: &log.Logger{Level: log.PanicLevel},
				Stronger: func() (string, bool) { return "b", true },
				Offer: func(context.Context, string, int64, int64) (bool, error) {
					require.False(t, l.Valid())
					if c.lost {
						l.Lose()
					}

					return c.taken, c.err
				},
			})
			require.Equal(t, c.moved, e.moveOn(t.Context(), l))
			require.Equal(t, c.valid, l.Valid())
		})
	}
}
