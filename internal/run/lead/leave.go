package lead

import "context"

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
	if e.handOver(ctx, h, end) {
		return
	}
	h.Released = true
	if _, err := e.append(ctx, h, end); err != nil {
		e.Log.Warn().Str("event", "lease-release-failed").Err(err).Int64("token", h.Token).Msg("")
	}
}

// handOver reports whether another VM has taken the lease over.
func (e *Elector) handOver(ctx context.Context, h Holder, end int64) bool {
	to, ok := e.Heir()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, e.Call)
	defer cancel()
	taken, err := e.Offer(ctx, to, h.Token, end)
	e.Log.Info().Str("event", "lease-offered").Str("peer", to).Bool("taken", taken).Err(err).Int64("token", h.Token).Msg("")

	return taken
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
