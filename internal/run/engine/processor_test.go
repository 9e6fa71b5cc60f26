package engine_test

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/peer/target"
)

// callCost is the CPU time of one call to a worker on a full core.
const callCost = 500 * time.Microsecond

// processor emulates the CPU of a weak VM: calls wait in a queue for CPU time and may time
// out meanwhile.
type processor struct {
	callTime time.Duration // CPU time of a call, half of it for the answer

	mu        sync.Mutex
	busyUntil time.Time // end of the queued work
}

// takeTurn queues for half of a call's CPU time and returns when that has been used.
func (p *processor) takeTurn() {
	p.mu.Lock()
	from := time.Now()
	if p.busyUntil.After(from) {
		from = p.busyUntil
	}
	p.busyUntil = from.Add(p.callTime / 2)
	until := p.busyUntil
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

// queueDelay returns the current waiting time for the CPU.
func (p *processor) queueDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	return max(0, time.Until(p.busyUntil))
}

// client wraps a client of the workers so that its calls use the processor.
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
		RenewLease: func(ctx context.Context, a target.Address, l target.LeaseRenewal) (target.Report, error) {
			return onProcessor(ctx, p, func() (target.Report, error) { return c.RenewLease(ctx, a, l) })
		},
	}
}

// onProcessor makes a call. Its answer is lost if the context ends before it is read.
func onProcessor[T any](ctx context.Context, p *processor, call func() (T, error)) (T, error) {
	p.takeTurn()
	if ctx.Err() != nil {
		var none T

		return none, errors.Wrap(target.ErrUnknown, ctx.Err().Error())
	}
	answer, err := call()
	p.takeTurn()
	if ctx.Err() != nil {
		var none T

		return none, errors.Wrap(target.ErrUnknown, ctx.Err().Error())
	}

	return answer, err
}
