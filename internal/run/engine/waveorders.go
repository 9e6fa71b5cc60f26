package engine

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"sesameyoke/internal/core/work"
)

const (
	// Suffix of the key of the record of a wave's orders, after that of the wave.
	waveOrdersSuffix = "/orders"
	// Name that stands for each host of the wave, where the record of previous planners cannot be read.
	anyHost = ""
)

// recordOrders makes it durable that hosts of a wave may be ordered down, so that a later planner
// counts an order that this one leaves unanswered. It returns false if that fails: then none may be
// sent.
func (e *Engine) recordOrders(ctx context.Context, w *wave, names []string) bool {
	e.mu.Lock()
	var added []string
	for _, name := range names {
		if !w.ordered[name] {
			added = append(added, name)
			w.ordered[name] = true
		}
	}
	if len(added) == 0 {
		e.mu.Unlock()

		return true
	}
	done := make(chan error, 1)
	e.saveOrders(w, func(err error) { done <- err })
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	if err := await(ctx, done); err != nil {
		e.Log.Warn().Str("event", "orders-not-recorded").Int("wave", w.Number).Int("hosts", len(added)).Err(err).Msg("")
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, name := range added { // the others may have an order that is unanswered
			delete(w.ordered, name) // recorded again before the next attempt
		}

		return false
	}

	return true
}

// saveOrders writes the record of a wave's orders that may be unanswered; without any, it deletes
// the record. The callback is called like that of writer.put.
func (e *Engine) saveOrders(w *wave, f func(error)) {
	names := slices.Sorted(maps.Keys(w.ordered))
	var b []byte
	if len(names) > 0 {
		var err error
		if b, err = work.Encode(names); err != nil {
			e.Log.Error().Str("event", "record-not-encoded").Int("wave", w.Number).Err(err).Msg("")
			f(err)

			return
		}
	}
	e.writer.putRecord(work.WaveKey(w.Number)+waveOrdersSuffix, b, f)
}

// noteOrderAnswered notes that no order for a host is unanswered any more.
func (e *Engine) noteOrderAnswered(w *wave, name string) {
	delete(w.unconfirmed, name)
	delete(w.ordered, name)
	if len(w.ordered) == 0 {
		e.saveOrders(w, func(error) {})
	}
}

// restoreOrders applies the record of a wave's orders that previous planners have left. It returns
// false if the identifier of the record is not of that kind.
func (e *Engine) restoreOrders(id string, b []byte) bool {
	number, ok := strings.CutSuffix(id, waveOrdersSuffix)
	if !ok {
		return false
	}
	n, err := strconv.Atoi(number)
	if err != nil {
		return false
	}
	var names []string
	if err := cbor.Unmarshal(b, &names); err != nil {
		e.Log.Error().Str("event", "record-unreadable").Str("key", work.Key(work.WaveRecord, id)).Err(err).Msg("")
		names = []string{anyHost}
	}
	e.inheritedOrders[n] = names

	return true
}

// inheritOrders counts the hosts that previous planners may have ordered down as maybe down while
// such an order may still be executed.
func (e *Engine) inheritOrders(w *wave) {
	until := e.began + e.Timing.HostLease + e.Timing.LateOrderWindow
	inherited := e.inheritedOrders[w.Number]
	if slices.Contains(inherited, anyHost) {
		inherited = w.Hosts
	}
	for _, name := range inherited {
		if !w.done[name] {
			w.ordered[name], w.unconfirmed[name] = true, until
			e.Log.Info().Str("event", "order-inherited").Int("wave", w.Number).Str("host", name).Dur("for", until-e.SinceBoot()).Msg("")
		}
	}
	if len(inherited) > 0 && len(w.ordered) == 0 {
		e.saveOrders(w, func(error) {})
	}
}

// dropOrders deletes the record of a wave's orders when the wave is done.
func (e *Engine) dropOrders(w *wave) {
	if len(w.ordered) > 0 {
		clear(w.ordered)
		e.saveOrders(w, func(error) {})
	}
}
