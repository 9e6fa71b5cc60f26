package lead_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/run/lead"
	"sesameyoke/internal/standin/fleet"
)

const (
	leaseTopic = "keyed.lead"
	leaseKey   = "planner"
)

// TestUnreadableLease lets a VM find a lease record that it can't read, as that of a later version. It
// guards against a VM that takes it for none: it would take the lease from a planner that renews it,
// and with a token that workers and store reject. Once the record isn't renewed, the VM plans with a
// token above all others.
func TestUnreadableLease(t *testing.T) {
	for name, before := range map[string]*earlierHolder{
		"first read": nil, "after another": {Name: "b/1" + lead.GrantMark, Token: 41}, "after a released one": {Name: "b/1" + lead.GrantMark, Token: 41, Released: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runUnreadableLease(t, before) })
		})
	}
}

func runUnreadableLease(t *testing.T, before *earlierHolder) {
	st := fleet.NewStore(func() float64 { return 1 })
	boot := time.Now().Add(-time.Hour)
	planned := make(chan int64, 10)
	e := lead.New(lead.Config{
		Store: st.For("a", func() {}), Name: "a/1" + lead.GrantMark, Address: "a",
		LeaseTimeout: 1200 * time.Millisecond, DeadHolderTimeout: 800 * time.Millisecond, RenewInterval: 400 * time.Millisecond, LeaseValidity: 6 * time.Second,
		CallTimeout: 700 * time.Millisecond, HeartbeatInterval: 400 * time.Millisecond, WeakHeartbeatInterval: time.Second,
		SinceBoot: func() time.Duration { return time.Since(boot) }, Log: &log.Logger{Level: log.PanicLevel},
		Heartbeat: func(context.Context, lead.Holder) (lead.LeaseStatus, error) {
			return lead.LeaseStatus{}, errors.New("no answer")
		},
		Plan: func(ctx context.Context, l *lead.Lease) {
			planned <- l.Token
			<-ctx.Done()
		},
	})
	if before != nil {
		b, err := cbor.Marshal(before)
		require.NoError(t, err)
		st.Put(leaseTopic, leaseKey, b)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for i := range 50 { // renewals
		st.Put(leaseTopic, leaseKey, []byte{0xff, byte(i)})
		if i == 0 {
			go e.Run(ctx)
		}
		time.Sleep(400 * time.Millisecond)
		require.Empty(t, planned)
	}
	time.Sleep(3 * time.Second)
	require.Len(t, planned, 1)
	require.Greater(t, <-planned, int64(1<<20))
}
