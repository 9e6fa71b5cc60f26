package fleet

import "sesameyoke/internal/peer/target"

// CarryOutStart carries a start out on the worker's newest incarnation, even if the worker is
// cut off: the order had been received before.
func (f *Fleet) CarryOutStart(id string, s target.Start) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	if w := f.current(id); w.up {
		_, _ = f.start(w, s) // nobody waits for the answer
	}
}

// CarryOutRenewal carries a lease renewal out like CarryOutStart.
func (f *Fleet) CarryOutRenewal(id string, l target.LeaseRenewal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	if w := f.current(id); w.up && l.Token >= w.token {
		w.token = l.Token
		w.ack(l.Acked, &f.Journal)
		w.extendLease(l.Deadline)
	}
}
