package main

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReservePorts reserves ports several times, as soaks that run at once do. It guards against
// soaks that choose the same ports while their VMs are not running.
func TestReservePorts(t *testing.T) {
	used := map[int]bool{}
	all := make([]net.Listener, 0, 5)
	for range cap(all) {
		first, reserved, err := reservePorts(t.Context(), portsPerVM)
		require.NoError(t, err)
		all = append(all, reserved)
		for i := range portsPerVM {
			require.False(t, used[first+i], "port %d", first+i)
			used[first+i] = true
		}
	}
	for _, ln := range all {
		require.NoError(t, ln.Close())
	}
}
