package engine

import "time"

// coldFor returns how much longer the worker is slow after its start. Its entry tells that for the
// time when it was written. That was read at the latest when the planner received the entry, and is
// known more exactly from the worker's clock: the planner may have read the entry much later.
func (w *worker) coldFor(now time.Duration) time.Duration {
	left := w.coldUntil - now
	if left <= 0 || w.clock == 0 || w.Clock == 0 {
		return max(0, left)
	}
	since := time.Duration(w.estimateClock(now)-w.Clock) * time.Millisecond

	return max(0, min(left, w.ColdFor-since))
}
