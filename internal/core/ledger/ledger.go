package ledger

import (
	"encoding/json"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/job"
)

const (
	// sweepInterval is the number of offsets between two removals of expired answers.
	sweepInterval = 256

	// maxClockSkew is the maximum clock difference between VMs that is tolerated.
	maxClockSkew = time.Minute
)

type (
	// Ledger holds the state of all jobs in the log. A single goroutine applies records;
	// any number of goroutines may read concurrently.
	Ledger struct {
		Retention func() time.Duration // returns how long an answer is retained after it was written

		jobs       sync.Map // job.Key to *slot
		open       atomic.Int64
		openBytes  atomic.Int64 // of the payloads of open jobs
		offset     atomic.Int64
		newestTime time.Time // latest timestamp of all applied records
		watches    sync.Map  // record ID to chan Verdict
	}

	// slot is the map value of a job. Changes replace the entry as a whole, so that
	// readers always see a consistent one.
	slot struct {
		entry atomic.Pointer[Entry]
		done  chan struct{} // closed when the answer is available
	}

	dump struct {
		Offset  int64     `json:"offset"`
		Newest  time.Time `json:"newest"`
		Entries []*Entry  `json:"entries"`
	}
)

// New returns an empty ledger that retains answers for the duration returned by
// retention.
func New(retention func() time.Duration) *Ledger {
	l := &Ledger{Retention: retention}
	l.offset.Store(-1)

	return l
}

// Offset returns the last applied offset, or -1 if there is none.
func (l *Ledger) Offset() int64 {
	return l.offset.Load()
}

// OpenCount returns the number of unanswered jobs.
func (l *Ledger) OpenCount() int {
	return int(l.open.Load())
}

// OpenBytes returns the size of the payloads of unanswered jobs.
func (l *Ledger) OpenBytes() int64 {
	return l.openBytes.Load()
}

// Get returns the entry of a job, or nil if the job is unknown.
func (l *Ledger) Get(k job.Key) *Entry {
	v, ok := l.jobs.Load(k)
	if !ok {
		return nil
	}

	return v.(*slot).entry.Load()
}

// Done returns a channel that is closed when the job's answer is available, or nil if the
// job is unknown.
func (l *Ledger) Done(k job.Key) <-chan struct{} {
	v, ok := l.jobs.Load(k)
	if !ok {
		return nil
	}

	return v.(*slot).done
}

// Each calls f for every entry, in unspecified order, until f returns false.
func (l *Ledger) Each(f func(*Entry) bool) {
	l.jobs.Range(func(_, v any) bool {
		return f(v.(*slot).entry.Load())
	})
}

// Watch returns a channel that receives the verdict on the record with the ID when the
// record is applied. CancelWatch ends the watch.
func (l *Ledger) Watch(id string) <-chan Verdict {
	ch := make(chan Verdict, 1)
	l.watches.Store(id, ch)

	return ch
}

// CancelWatch cancels the watch for the record ID.
func (l *Ledger) CancelWatch(id string) {
	l.watches.Delete(id)
}

// Skip advances past an offset that does not hold a record of a job.
func (l *Ledger) Skip(offset int64) {
	l.offset.Store(offset)
}

// Apply applies the record at the offset and returns it with its verdict. Offsets must be
// applied in order.
func (l *Ledger) Apply(offset int64, raw []byte) (Record, Verdict) {
	var r Record
	v := Skipped
	if err := json.Unmarshal(raw, &r); err == nil {
		v = l.applyRecord(offset, r)
	}
	l.offset.Store(offset)
	if offset%sweepInterval == 0 {
		l.sweep()
	}
	if ch, ok := l.watches.LoadAndDelete(r.ID); ok {
		ch.(chan Verdict) <- v
	}

	return r, v
}

func (l *Ledger) applyRecord(offset int64, r Record) Verdict {
	if r.Time.After(l.newestTime) {
		l.newestTime = r.Time
	}
	if r.Kind == KindOpen {
		return l.openJob(offset, r)
	}
	v, ok := l.jobs.Load(r.Key)
	if !ok {
		return Skipped
	}
	s := v.(*slot)
	e := s.entry.Load()
	if e.Answer != nil {
		return Lost
	}
	changed := *e
	if !changed.apply(r) {
		return Lost
	}
	s.entry.Store(&changed)
	if changed.Answer != nil {
		l.open.Add(-1)
		l.openBytes.Add(-int64(len(e.Job.Payload)))
		close(s.done)
	}

	return Won
}

// openJob accepts a job. An open record older than the retention period of answers, less the
// tolerated clock skew, is rejected: it may repeat a job that was already answered and
// whose answer has been removed.
func (l *Ledger) openJob(offset int64, r Record) Verdict {
	if r.Job == nil || r.Job.Key() != r.Key {
		return Skipped
	}
	if r.Time.Before(l.newestTime.Add(maxClockSkew - l.Retention())) {
		return Lost
	}
	s := &slot{done: make(chan struct{})}
	s.entry.Store(&Entry{Job: *r.Job, Fingerprint: r.Job.Fingerprint(), Offset: offset})
	if _, exists := l.jobs.LoadOrStore(r.Key, s); exists {
		return Lost
	}
	l.open.Add(1)
	l.openBytes.Add(int64(len(r.Job.Payload)))

	return Won
}

// apply applies a record to an unanswered job and reports whether it took effect.
func (e *Entry) apply(r Record) bool {
	switch r.Kind {
	case KindClaim:
		return e.claim(r.Claim)
	case KindVoid:
		return e.void(r.Token)
	case KindBegin:
		return setFlag(&e.MayHaveStarted)
	case KindCancel:
		return setFlag(&e.Cancelled)
	case KindSave:
		return e.save(r.Checkpoint)
	case KindClose:
		return e.close(r.Answer)
	}

	return false
}

// claim grants one attempt the right to start. The first claim with the next attempt
// number wins; a claim is rejected while another is held or after cancellation.
func (e *Entry) claim(c *Claim) bool {
	if c == nil || e.Claim != nil || e.Cancelled || c.Attempt != e.Attempts+1 || len(c.Members) == 0 {
		return false
	}
	e.Claim, e.Attempts = c, c.Attempt

	return true
}

// void withdraws a claim whose gang has not started and cannot start later. The claim is
// identified by the token of its first member because two planners may have tried the same
// attempt number, and only one of them holds the claim.
func (e *Entry) void(token string) bool {
	if e.Claim == nil || e.Claim.Members[0].Token != token {
		return false
	}
	e.Claim = nil

	return true
}

func (e *Entry) save(c *Checkpoint) bool {
	if c == nil || e.Checkpoint != nil && e.Checkpoint.RunTime.Duration >= c.RunTime.Duration {
		return false
	}
	e.Checkpoint = c

	return true
}

func (e *Entry) close(a *job.Answer) bool {
	if a == nil || !e.consistentWith(*a) {
		return false
	}
	e.Answer = a
	e.Job.Payload = "" // it is not needed again: Fingerprint tells other jobs with the same key

	return true
}

// setFlag sets a flag and reports whether it was unset before.
func setFlag(flag *bool) bool {
	before := *flag
	*flag = true

	return !before
}

// consistentWith reports whether an answer is consistent with the entry. An idempotent job
// can be answered as not run only if it cannot have started. A non-idempotent job can be
// answered as not run only while no attempt holds a claim; any other answer must come from
// the attempt that holds the claim.
func (e *Entry) consistentWith(a job.Answer) bool {
	if e.Job.Idempotent {
		return a.Ran != code.RanNo || !e.MayHaveStarted
	}
	if a.Ran == code.RanNo {
		return e.Claim == nil
	}

	return e.Claim != nil && e.Claim.Attempt == a.Attempt
}

// sweep removes jobs whose answers are older than the retention period.
func (l *Ledger) sweep() {
	cutoff := l.newestTime.Add(-l.Retention())
	l.jobs.Range(func(k, v any) bool {
		a := v.(*slot).entry.Load().Answer
		if a != nil && a.Finished.Before(cutoff) {
			l.jobs.Delete(k)
		}

		return true
	})
}

// Dump returns the serialized state of the ledger. It must not run concurrently with
// Apply.
func (l *Ledger) Dump() ([]byte, error) {
	d := dump{Offset: l.Offset(), Newest: l.newestTime}
	l.Each(func(e *Entry) bool {
		d.Entries = append(d.Entries, e)

		return true
	})
	sort.Slice(d.Entries, func(i, j int) bool { return d.Entries[i].Offset < d.Entries[j].Offset })
	b, err := json.Marshal(d)

	return b, errors.Wrap(err, "Ledger.Dump")
}

// Load merges a state of a later offset, as returned by Dump, into the ledger. It must not
// run concurrently with Apply.
func (l *Ledger) Load(b []byte) error {
	var d dump
	if err := json.Unmarshal(b, &d); err != nil {
		return errors.Wrap(err, "Ledger.Load")
	}
	for _, e := range d.Entries {
		l.restore(e)
	}
	l.newestTime = d.Newest
	l.offset.Store(d.Offset)

	return nil
}

// restore stores an entry of a dump, updates the number of open jobs and, if the entry has
// an answer, closes the job's done channel.
func (l *Ledger) restore(e *Entry) {
	fresh := &slot{done: make(chan struct{})}
	fresh.entry.Store(e)
	v, existed := l.jobs.LoadOrStore(e.Job.Key(), fresh)
	s := v.(*slot)
	previous := s.entry.Swap(e)
	wasOpen := existed && previous.Answer == nil
	isOpen := e.Answer == nil
	switch {
	case isOpen && !wasOpen:
		l.open.Add(1)
		l.openBytes.Add(int64(len(e.Job.Payload)))
	case !isOpen && wasOpen:
		l.open.Add(-1)
		l.openBytes.Add(-int64(len(previous.Job.Payload)))
		close(s.done)
	case !isOpen && !existed:
		close(s.done)
	}
}
