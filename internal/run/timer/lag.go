package timer

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	lagInterval = 20 * time.Millisecond  // interval between measurements
	lagWindow   = 500 * time.Millisecond // length of a measurement window
)

// Lag measures the scheduling delay of this process: how much later than due a periodic
// timer fires.
type Lag struct {
	Now func() time.Duration // monotonic clock

	currentMax, previousMax atomic.Int64
}

// Run measures until the context ends.
func (l *Lag) Run(ctx context.Context) {
	t := time.NewTicker(lagInterval)
	defer t.Stop()
	last, windowStart := l.Now(), l.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := l.Now()
		if delay := now - last - lagInterval; int64(delay) > l.currentMax.Load() {
			l.currentMax.Store(int64(delay))
		}
		if now-windowStart >= lagWindow {
			l.previousMax.Store(l.currentMax.Swap(0))
			windowStart = now
		}
		last = now
	}
}

// Max returns the longest delay measured in the current and the previous window. Together
// they cover the last 0.5 to 1 s.
func (l *Lag) Max() time.Duration {
	return time.Duration(max(l.currentMax.Load(), l.previousMax.Load()))
}
