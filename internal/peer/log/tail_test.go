package log_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/peer/log"
)

// TestRecentBytes feeds large records. It guards against records that take memory without a bound, and
// against a reply that leaves records out without saying so.
func TestRecentBytes(t *testing.T) {
	const records, size = 200, 64 << 10
	tail := &log.Tail{Apply: func(int64, []byte) {}, Skip: func(int64) {}}
	tail.Init()
	for i := range int64(records) {
		tail.Feed(i, [][]byte{bytes.Repeat([]byte{'a'}, size)})
	}
	kept, ok := tail.Recent(records-64, records)
	require.True(t, ok)
	require.Len(t, kept, 64) // 4 MB
	_, ok = tail.Recent(records-65, records)
	require.False(t, ok)
	tail.Feed(records, [][]byte{make([]byte, 8<<20)})
	kept, ok = tail.Recent(records, records)
	require.True(t, ok)
	require.Len(t, kept, 1)
}
