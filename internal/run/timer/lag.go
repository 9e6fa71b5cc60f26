package timer

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	lagEvery = 20 * time.Millisecond  // between looks at the clock
	lagSpan  = 500 * time.Millisecond // the newest and the current span of this length count
)

// Lag measures how late this process runs: by how much a short wait of its own takes
// longer than asked for.
type Lag struct {
	Now func() time.Duration // on a steady clock

	current, newest atomic.Int64
}

// Run measures until the context ends.
func (l *Lag) Run(ctx context.Context) {
	t := time.NewTicker(lagEvery)
	defer t.Stop()
	last, span := l.Now(), l.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := l.Now()
		if late := now - last - lagEvery; int64(late) > l.current.Load() {
			l.current.Store(int64(late))
		}
		if now-span >= lagSpan {
			l.newest.Store(l.current.Swap(0))
			span = now
		}
		last = now
	}
}

// Late returns the worst delay of the last half second to second.
func (l *Lag) Late() time.Duration {
	return time.Duration(max(l.current.Load(), l.newest.Load()))
}
