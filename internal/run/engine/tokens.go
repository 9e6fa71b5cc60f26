package engine

import (
	"github.com/pkg/errors"

	"sesameyoke/internal/peer/target"
)

// An order may be executed long after it was sent, and by a later incarnation of its worker. So orders carry a
// fencing token that consists of the planner's term, which is the token of its lease, and of a count for the
// worker within the term. A worker does nothing for a lower token than it has seen. The count rises when an order
// gets no answer, with each acknowledgement of ends, and when the worker has restarted. Once the worker has
// received a later order, in whichever incarnation, the earlier ones have no effect any more.

// tokensPerTerm is the number of tokens of one term for a worker. Tokens stay exact as floating-point numbers
// as long as terms are below 2^31.
const tokensPerTerm = 1 << 22

// errOvertaken means that the worker had received a later order of this planner, and did nothing.
var errOvertaken = errors.WithMessage(target.ErrRefused, "a later order has overtaken it")

// orderToken returns the fencing token of the next order to a worker. The caller holds mu.
func (e *Engine) orderToken(worker string) int64 {
	return e.Lease.Token*tokensPerTerm + e.tokenCounts[worker]
}

// raiseToken makes the next orders to a worker overtake all earlier ones. The caller holds mu.
func (e *Engine) raiseToken(worker string) {
	e.tokenCounts[worker]++
	if e.tokenCounts[worker] == tokensPerTerm {
		e.Log.Warn().Str("event", "tokens-used-up").Str("worker", worker).Int64("token", e.Lease.Token).Msg("")
		e.Lease.Invalidate()
	}
}

// orderError returns the error of an order with the given token. The worker refuses one that this planner's
// later orders have overtaken as it refuses those of a replaced planner. The caller holds mu.
func (e *Engine) orderError(worker string, token int64, err error) error {
	if errors.Is(err, target.ErrFenced) && token < e.orderToken(worker) {
		e.Count("orders_overtaken", 1)

		return errOvertaken
	}

	return err
}

// raiseIfUnanswered raises the token for a worker if an order got no answer: it may still be executed, until the worker
// has received a later one. The caller holds mu.
func (e *Engine) raiseIfUnanswered(worker string, err error) {
	if errors.Is(err, target.ErrUnknown) {
		e.raiseToken(worker)
	}
}
