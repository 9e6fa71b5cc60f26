package engine

import (
	"context"
	"slices"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/work"
)

// Outcomes of an append.
const (
	appended outcome = iota
	refused          // for good: the records are not stored
	stopped          // the planner has stopped: it is not known whether the records are stored
)

type outcome int

// writeApart appends the two halves of a group's batches apart, because the store has refused them
// together for good. What it refuses alone holds up nothing else. It returns the changes that were
// refused alone, and false if the planner has stopped. The caller holds mu, which is released during
// the appends.
func (w *writer) writeApart(ctx context.Context, batches []batch) ([]change, bool) {
	if len(batches) == 1 {
		w.e.refuse(batches[0])

		return []change{batches[0].change}, true
	}
	var refusals []change
	for _, half := range [][]batch{batches[:len(batches)/2], batches[len(batches)/2:]} {
		w.e.mu.Unlock()
		outcome := w.append(ctx, recordsIn(half))
		w.e.mu.Lock()
		switch outcome {
		case stopped:
			return nil, false
		case appended:
			noteDurable(half)
		case refused:
			changes, ok := w.writeApart(ctx, half)
			if !ok {
				return nil, false
			}
			refusals = append(refusals, changes...)
		}
	}

	return refusals, true
}

// settleApart calls the callbacks of a group that was refused as a whole. Those of what was not
// refused wait until the ends of the jobs that have failed are durable.
func (w *writer) settleApart(callbacks []callback, refusals []change) {
	var others []callback
	for _, c := range callbacks {
		switch {
		case w.stopped:
			c.f(ErrStopped)
		case c.change != (change{}) && slices.Contains(refusals, c.change):
			c.f(ErrTooLarge)
		default:
			others = append(others, c)
		}
	}
	w.callbacks = append(others, w.callbacks...)
	w.wakeWriter()
}

// refuse applies that the store has refused a batch for good. A job that is stored fails. One that is
// not has never been accepted.
func (e *Engine) refuse(b batch) {
	j := b.job
	switch {
	case j == nil:
		e.Log.Error().Str("event", "record-refused").Str("key", b.records[0].Key).Int("code", int(code.TooLarge)).Msg("")
	case !j.durable && !j.handin.open:
		e.Log.Error().Str("event", "job-refused").Str("id", j.ID).Int("code", int(code.TooLarge)).Msg("")
		j.Phase, j.durablePhase, j.dropped = work.Failed, work.Failed, true
		e.forget(j)
		e.abortUnits(j, "job refused") // placed since the append began; none has been started
	case j.oversize:
		e.Log.Error().Str("event", "record-refused").Str("id", j.ID).Int("code", int(code.TooLarge)).Msg("")
		j.durablePhase = j.Phase
	default:
		e.Log.Error().Str("event", "job-failed").Str("id", j.ID).Int("code", int(code.TooLarge)).Str("why", "refused by the store").Msg("")
		j.oversize = true
		if !j.Phase.Final() {
			e.endJob(j, work.Failed)
		}
		e.writer.put(j, nil)
	}
}
