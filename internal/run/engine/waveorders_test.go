package engine

import (
	"context"
	"fmt"
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
	g := e.writer.nextGroup()
	for _, r := range recordsIn(g.batches) {
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

// TestLargeWave takes 20,000 hosts down. It guards against a record of the wave that isn't written
// because it is larger than a record: the wave would never be reported as done, and a later planner
// would take all hosts down again.
func TestLargeWave(t *testing.T) {
	const hosts = 20000
	e := partsEngine(work.DefaultRecordBytes, store.DefaultRequestBytes)
	w := &wave{done: map[string]bool{}}
	w.Number = 7
	for i := range hosts {
		w.Hosts = append(w.Hosts, fmt.Sprintf("%032d", i))
	}
	for i, name := range append(w.Hosts, "not requested any more") {
		e.markHostDone(w, name)
		if i%5000 == 0 {
			e.writer.nextGroup() // as if it took long to be answered
		}
	}
	require.True(t, w.dropUnrequested(w.Hosts))
	e.saveWave(w, w.Number)
	g := e.writer.nextGroup()
	require.LessOrEqual(t, store.Size(recordsIn(g.batches)...), e.RequestBytes)
	callAll(g.callbacks, nil)
	require.True(t, w.allDone())

	next := partsEngine(work.DefaultRecordBytes, store.DefaultRequestBytes)
	records, _ := joinParts(recordsIn(g.batches))
	require.Len(t, records, 1)
	next.restoreWave(w.Number, records[0].Value)
	require.Equal(t, w.done, next.waves[w.Number].done)
}
