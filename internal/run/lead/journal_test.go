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

// earlierHolder is the lease record of the versions before lead.HolderMark.
type earlierHolder struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Address  string
	Token    int64
	Renewal  int64
	Released bool
}

// TestJournalInLease lets a holder name another partition, and a successor take over. It guards against
// a lease record that loses the partition, that an earlier version takes for one without it, or that
// differs from that of earlier versions although the journal is where they look for it, and against an
// offer, which doesn't tell the partition.
func TestJournalInLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fleet.NewStore(func() float64 { return 1 })
		record := func() error { return cbor.Unmarshal(st.Value(leaseTopic, leaseKey), &earlierHolder{}) }
		ctx, cancel := context.WithCancel(t.Context())
		leases, offers := make(chan *lead.Lease, 9), 0
		a := journalElector(st, "a", leases, &offers)
		go a.Run(ctx)
		l := <-leases
		require.True(t, l.Journal().Home())
		require.NoError(t, record())
		moved := lead.Journal{Part: 2, Unclean: []int{0, 1}}
		require.NoError(t, l.ChangeJournal(ctx, moved))
		require.Error(t, record())
		require.Equal(t, moved, l.Journal())
		time.Sleep(3 * time.Second) // renewals
		require.Equal(t, moved, l.Journal())
		a.Leave(ctx)
		cancel()
		require.Error(t, record())
		require.Zero(t, offers)

		ctx, cancel = context.WithCancel(t.Context())
		defer cancel()
		b := journalElector(st, "b", leases, &offers)
		go b.Run(ctx)
		l = <-leases
		require.Equal(t, moved, l.Journal())
		require.EqualValues(t, 2, l.Token)
		require.NoError(t, l.ChangeJournal(ctx, lead.Journal{}))
		require.NoError(t, record())
		b.Leave(ctx)
		require.Equal(t, 1, offers)
	})
}

// TestChangeOfEndedLease takes the lease from a holder that cannot reach the store, and then lets it name
// another partition. It guards against a change that is taken for recorded.
func TestChangeOfEndedLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fleet.NewStore(func() float64 { return 1 })
		leases, offers := make(chan *lead.Lease, 9), 0
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go journalElector(st, "a", leases, &offers).Run(ctx)
		before := <-leases
		st.Cut("a", true)
		go journalElector(st, "b", leases, &offers).Run(ctx)
		after := <-leases
		st.Cut("a", false)
		require.Error(t, before.ChangeJournal(ctx, lead.Journal{Part: 1}))
		time.Sleep(3 * time.Second)
		require.True(t, after.Journal().Home())
		require.NoError(t, cbor.Unmarshal(st.Value(leaseTopic, leaseKey), &earlierHolder{}))
	})
}

func journalElector(st *fleet.Store, name string, leases chan *lead.Lease, offers *int) *lead.Elector {
	boot := time.Now().Add(-time.Hour)

	return lead.New(lead.Config{
		Store: st.For(name, func() {}), Name: name + "/1" + lead.GrantMark, Address: name,
		LeaseTimeout: 1200 * time.Millisecond, DeadHolderTimeout: 800 * time.Millisecond, RenewInterval: 400 * time.Millisecond, LeaseValidity: 6 * time.Second,
		CallTimeout: 700 * time.Millisecond, HeartbeatInterval: 400 * time.Millisecond, WeakHeartbeatInterval: time.Second,
		SinceBoot: func() time.Duration { return time.Since(boot) }, Log: &log.Logger{Level: log.PanicLevel},
		Heartbeat: func(context.Context, lead.Holder) (lead.LeaseStatus, error) {
			return lead.LeaseStatus{}, errors.New("no answer")
		},
		AllReadFields: func() bool { return false },
		Successor:     func() (string, bool) { return "c", true },
		Offer: func(context.Context, string, int64, int64) (bool, error) {
			*offers++

			return false, nil
		},
		Plan: func(ctx context.Context, l *lead.Lease) {
			leases <- l
			<-ctx.Done()
		},
	})
}
