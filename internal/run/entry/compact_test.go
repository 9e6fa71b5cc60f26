package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/peer/planner"
	"sesameyoke/internal/run/lead"
)

// TestAllReadLease guards against a move of the journal while a VM is known that would take over from the
// partition before.
func TestAllReadLease(t *testing.T) {
	now := time.Hour
	e := New(Config{Address: "self", SinceBoot: func() time.Duration { return now }})
	require.True(t, e.AllReadLease())
	for name, moved := range map[string]bool{
		"b/1": false, "b/1" + lead.GrantMark: false, "b/1" + lead.CompactMark + lead.GrantMark: false,
		"b/1" + lead.HolderMark + lead.CompactMark + lead.GrantMark: true,
	} {
		e.peers["b"] = peer{VM: planner.VM{Address: "b", Name: name}, lastSeen: now, lastHeartbeat: now}
		require.Equal(t, moved, e.AllReadLease(), name)
	}
	e.peers["b"] = peer{VM: planner.VM{Address: "b", Name: "b/1" + lead.HolderMark + lead.CompactMark + lead.GrantMark}, lastSeen: now}
	require.True(t, e.AllReadCompact())
}

// TestAllReadCompact guards against records that a VM of an earlier version can't read, while one may
// still become the planner: it would run the job again.
func TestAllReadCompact(t *testing.T) {
	now := time.Hour
	e := New(Config{Address: "self", SinceBoot: func() time.Duration { return now }})
	require.True(t, e.AllReadCompact())
	heartbeat := func(address, name string) {
		e.peers[address] = peer{VM: planner.VM{Address: address, Name: name}, lastSeen: now, lastHeartbeat: now}
	}
	heartbeat("b", "b/1"+lead.CompactMark+lead.GrantMark)
	require.True(t, e.AllReadCompact())
	for _, name := range []string{"c/1" + lead.GrantMark, "c/1"} {
		heartbeat("c", name)
		require.False(t, e.AllReadCompact())
	}
	heartbeat("c", "c/2"+lead.CompactMark+lead.GrantMark)
	require.True(t, e.AllReadCompact())
	e.peers["d"] = peer{lastSeen: now} // another VM has told its address
	require.False(t, e.AllReadCompact())
	now += 2 * peerTTL
	require.True(t, e.AllReadCompact())
}
