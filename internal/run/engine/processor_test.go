package engine_test

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/peer/target"
)

// callCost is the processor time of one call to a worker on a full core.
const callCost = 500 * time.Microsecond

// processor is that of a weak VM: calls take turns on it, and time out meanwhile.
type processor struct {
	call time.Duration // processor time of a call, half of it for the answer

	mu   sync.Mutex
	busy time.Time // until then
}

// use waits for a turn and takes it.
func (p *processor) use() {
	p.mu.Lock()
	from := time.Now()
	if p.busy.After(from) {
		from = p.busy
	}
	p.busy = from.Add(p.call / 2)
	until := p.busy
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

// late returns how long a turn is waited for.
func (p *processor) late() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	return max(0, time.Until(p.busy))
}

// client returns the workers as a weak VM reaches them.
func (p *processor) client(c *target.Client) *target.Client {
	return &target.Client{
		Start: func(ctx context.Context, a target.Address, s target.Start) (int64, error) {
			return onProcessor(ctx, p, func() (int64, error) { return c.Start(ctx, a, s) })
		},
		Stop: func(ctx context.Context, a target.Address, s target.Stop) (int64, error) {
			return onProcessor(ctx, p, func() (int64, error) { return c.Stop(ctx, a, s) })
		},
		Pace: func(ctx context.Context, a target.Address, o target.Pace) (int64, error) {
			return onProcessor(ctx, p, func() (int64, error) { return c.Pace(ctx, a, o) })
		},
		Hold: func(ctx context.Context, a target.Address, h target.Hold) (target.Report, error) {
			return onProcessor(ctx, p, func() (target.Report, error) { return c.Hold(ctx, a, h) })
		},
	}
}

// onProcessor makes a call; its answer is lost if it is read too late.
func onProcessor[T any](ctx context.Context, p *processor, call func() (T, error)) (T, error) {
	p.use()
	if ctx.Err() != nil {
		var none T

		return none, errors.Wrap(target.ErrUnknown, ctx.Err().Error())
	}
	answer, err := call()
	p.use()
	if ctx.Err() != nil {
		var none T

		return none, errors.Wrap(target.ErrUnknown, ctx.Err().Error())
	}

	return answer, err
}
