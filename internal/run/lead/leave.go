package lead

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	moveRest  = 2 * time.Second // between two offers of a lease to stronger VMs
	suspended = -1              // end of a lease that is being offered: no order is given
)

// offer is the lease of a planner that leaves.
type offer struct {
	token, end int64
	taken      chan bool
}

// Leave gives the lease back, if this VM has it, and takes no other.
func (e *Elector) Leave(ctx context.Context) {
	e.mu.Lock()
	e.leaving = true
	l, h, end := e.lease, e.holder, e.end
	e.mu.Unlock()
	if l == nil {
		return
	}
	l.Lose()
	if to, ok := e.Heir(); ok && e.handOver(ctx, to, h, end) == nil {
		return
	}
	h.Released = true
	if _, err := e.append(ctx, h, end, 1); err != nil {
		e.Log.Warn().Str("event", "lease-release-failed").Err(err).Int64("token", h.Token).Msg("")
	}
}

// errNotTaken means that another VM has refused the lease.
var errNotTaken = errors.New("lease was not taken")

// handOver has another VM take the lease over. It returns errNotTaken if that VM did
// not, and another error if that is not known.
func (e *Elector) handOver(ctx context.Context, to string, h Holder, end int64) error {
	ctx, cancel := context.WithTimeout(ctx, e.Call)
	defer cancel()
	taken, err := e.Offer(ctx, to, h.Token, end)
	e.Log.Info().Str("event", "lease-offered").Str("peer", to).Bool("taken", taken).Err(err).Int64("token", h.Token).Msg("")
	if err == nil && !taken {
		return errNotTaken
	}

	return err
}

// moveOn reports whether a stronger VM has taken the lease over. No order is given
// while that is not known.
func (e *Elector) moveOn(ctx context.Context, l *Lease) bool {
	if e.Stronger == nil || e.Boot() < e.moved+moveRest {
		return false
	}
	to, ok := e.Stronger()
	if !ok {
		return false
	}
	e.moved = e.Boot()
	e.mu.Lock()
	h, end := e.holder, e.end
	e.mu.Unlock()
	until := l.until.Swap(suspended)
	err := e.handOver(ctx, to, h, end)
	if errors.Is(err, errNotTaken) {
		l.until.CompareAndSwap(suspended, until) // not if it was lost meanwhile
	}

	return err == nil
}

// offered reports whether a lease waits to be accepted.
func (e *Elector) offered() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.offer != nil
}

// Offered takes the lease of a planner that leaves, and reports whether it did.
func (e *Elector) Offered(ctx context.Context, token, end int64) bool {
	o := &offer{token: token, end: end, taken: make(chan bool, 1)}
	e.mu.Lock()
	refused := e.leaving || e.lease != nil || e.holder.Token > token
	if !refused {
		e.offer = o
	}
	e.mu.Unlock()
	if refused {
		return false
	}
	e.Hear()
	select {
	case taken := <-o.taken:
		return taken
	case <-ctx.Done():
		return false
	}
}

// accept takes a lease that was offered.
func (e *Elector) accept(ctx context.Context) *Lease {
	e.mu.Lock()
	o := e.offer
	e.offer = nil
	if o == nil || o.token < e.holder.Token {
		e.mu.Unlock()

		return nil
	}
	e.holder.Token, e.holder.Released = o.token, true
	e.known, e.end = true, o.end
	e.mu.Unlock()
	l := e.tryTake(ctx)
	o.taken <- l != nil

	return l
}
