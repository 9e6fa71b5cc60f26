package engine

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/cloud"
	"sesameyoke/internal/peer/store"
)

// ordersRecord returns the hosts in the record of a wave's orders that the next append holds.
func ordersRecord(t *testing.T, e *Engine, number int) []string {
	var names []string
	for _, r := range e.writer.nextGroup().records {
		if r.Key == work.WaveKey(number)+waveOrdersSuffix && len(r.Value) > 0 {
			require.NoError(t, cbor.Unmarshal(r.Value, &names))
		}
	}

	return names
}

// TestOrdersNotRecorded lets the write of two orders fail, one of which has been sent before and is
// unanswered. It guards against a record without that one: a later planner would take too many hosts
// down.
func TestOrdersNotRecorded(t *testing.T) {
	e := partsEngine(work.DefaultRecordBytes, store.DefaultRequestBytes)
	w := &wave{Wave: cloud.Wave{Number: 1}, ordered: map[string]bool{"h0": true}, unconfirmed: map[string]time.Duration{"h0": time.Hour}}
	stopped, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, e.recordOrders(stopped, w, []string{"h0", "h1"}))
	require.Equal(t, map[string]bool{"h0": true}, w.ordered)
	require.False(t, e.recordOrders(stopped, w, []string{"h2"}))
	require.Contains(t, ordersRecord(t, e, 1), "h0")
}
