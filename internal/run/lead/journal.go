package lead

import (
	"context"
	"slices"

	"github.com/pkg/errors"
)

// errLeaseEnded means that the lease ended before the change of the journal was recorded. It may be
// recorded all the same.
var errLeaseEnded = errors.New("lease ended before the journal's partition was recorded")

type (
	// Journal tells which partition of the topic of jobs holds the planner's state. The zero value
	// is that of a lease record which names none.
	Journal struct {
		Part    int
		Unclean []int // other partitions that may hold records of an earlier journal
	}
)

// Home reports whether the lease record has the form that all versions read.
func (j Journal) Home() bool { return j.Part == 0 && len(j.Unclean) == 0 }

func (j Journal) equal(o Journal) bool { return j.Part == o.Part && slices.Equal(j.Unclean, o.Unclean) }

// Journal returns the journal that the newest lease record of this holder names.
func (l *Lease) Journal() Journal {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.journal
}

// ChangeJournal names another journal in the lease record and returns once that is certain. A
// change that was begun cannot be withdrawn: it may be recorded after an error, which occurs only
// when the lease has ended. The caller makes one change at a time.
func (l *Lease) ChangeJournal(ctx context.Context, j Journal) error {
	recorded := make(chan struct{})
	l.mu.Lock()
	l.proposed, l.recorded = &j, recorded
	l.mu.Unlock()
	l.wake()
	select {
	case <-recorded:
		return nil
	case <-ctx.Done():
	case <-l.ctx.Done():
	}

	return errLeaseEnded
}

// nextJournal returns the journal that the next renewal names.
func (l *Lease) nextJournal() Journal {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.proposed != nil {
		return *l.proposed
	}

	return l.journal
}

// noteJournal notes the journal that a stored renewal names.
func (l *Lease) noteJournal(j Journal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.journal = j
	if l.proposed != nil && l.proposed.equal(j) {
		close(l.recorded)
		l.proposed, l.recorded = nil, nil
	}
}

// offerable reports whether the lease can be handed over by an offer, which does not name the
// journal.
func (l *Lease) offerable() bool { return l.nextJournal().Home() && l.Journal().Home() }
