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
	// sweepEvery is the number of offsets between removals of old answers.
	sweepEvery = 256

	// skew is how far the clocks of the VMs may be apart.
	skew = time.Minute
)

type (
	// Ledger holds all jobs of the log. One goroutine applies records; any number
	// read.
	Ledger struct {
		Keep func() time.Duration // how long an answer is kept after it was written

		jobs   sync.Map // job.Key to *slot
		open   atomic.Int64
		offset atomic.Int64
		newest time.Time
		marks  sync.Map // record ID to chan Verdict
	}

	// slot is a job's place in the map: the entry is replaced whole.
	slot struct {
		entry atomic.Pointer[Entry]
		done  chan struct{} // closed when the job has its answer
	}

	dump struct {
		Offset  int64     `json:"offset"`
		Newest  time.Time `json:"newest"`
		Entries []*Entry  `json:"entries"`
	}
)

// New returns an empty ledger that keeps answers for the time that keep returns.
func New(keep func() time.Duration) *Ledger {
	l := &Ledger{Keep: keep}
	l.offset.Store(-1)

	return l
}

// Offset returns the last applied offset, -1 before the first.
func (l *Ledger) Offset() int64 {
	return l.offset.Load()
}

// Open returns the number of jobs without an answer.
func (l *Ledger) Open() int {
	return int(l.open.Load())
}

// Get returns the entry of a job, or nil.
func (l *Ledger) Get(k job.Key) *Entry {
	v, ok := l.jobs.Load(k)
	if !ok {
		return nil
	}

	return v.(*slot).entry.Load()
}

// Done returns a channel that is closed when the job has its answer, or nil when
// the job is not known.
func (l *Ledger) Done(k job.Key) <-chan struct{} {
	v, ok := l.jobs.Load(k)
	if !ok {
		return nil
	}

	return v.(*slot).done
}

// Each calls f for every entry until it returns false. The order is undefined.
func (l *Ledger) Each(f func(*Entry) bool) {
	l.jobs.Range(func(_, v any) bool {
		return f(v.(*slot).entry.Load())
	})
}

// Watch returns a channel that receives the verdict of the record with the ID
// once it is applied. Forget ends the watch.
func (l *Ledger) Watch(id string) <-chan Verdict {
	ch := make(chan Verdict, 1)
	l.marks.Store(id, ch)

	return ch
}

// Forget ends a watch.
func (l *Ledger) Forget(id string) {
	l.marks.Delete(id)
}

// Skip notes an offset that holds no record of a job.
func (l *Ledger) Skip(offset int64) {
	l.offset.Store(offset)
}

// Apply folds the record at the offset and returns it with its verdict. The
// caller applies offsets in order.
func (l *Ledger) Apply(offset int64, raw []byte) (Record, Verdict) {
	var r Record
	v := Skipped
	if err := json.Unmarshal(raw, &r); err == nil {
		v = l.fold(offset, r)
	}
	l.offset.Store(offset)
	if offset%sweepEvery == 0 {
		l.sweep()
	}
	if ch, ok := l.marks.LoadAndDelete(r.ID); ok {
		ch.(chan Verdict) <- v
	}

	return r, v
}

func (l *Ledger) fold(offset int64, r Record) Verdict {
	if r.Time.After(l.newest) {
		l.newest = r.Time
	}
	if r.Kind == KindOpen {
		return l.begin(offset, r)
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
	n := *e
	if !n.change(r) {
		return Lost
	}
	s.entry.Store(&n)
	if n.Answer != nil {
		l.open.Add(-1)
		close(s.done)
	}

	return Won
}

// begin accepts a job. A record that comes later than answers are kept may belong
// to a job that has been answered and forgotten, so it is dropped.
func (l *Ledger) begin(offset int64, r Record) Verdict {
	if r.Job == nil || r.Job.Key() != r.Key {
		return Skipped
	}
	if r.Time.Before(l.newest.Add(skew - l.Keep())) {
		return Lost
	}
	s := &slot{done: make(chan struct{})}
	s.entry.Store(&Entry{Job: *r.Job, Fingerprint: r.Job.Fingerprint(), Offset: offset})
	if _, there := l.jobs.LoadOrStore(r.Key, s); there {
		return Lost
	}
	l.open.Add(1)

	return Won
}

// change applies a record to an open job and reports whether it took effect.
func (e *Entry) change(r Record) bool {
	switch r.Kind {
	case KindClaim:
		return e.claim(r.Claim)
	case KindVoid:
		return e.void(r.Token)
	case KindBegin:
		return set(&e.Begun)
	case KindCancel:
		return set(&e.Cancelled)
	case KindSave:
		return e.save(r.Save)
	case KindClose:
		return e.close(r.Answer)
	}

	return false
}

// claim gives one attempt the right to start: the first claim of the next attempt.
func (e *Entry) claim(c *Claim) bool {
	if c == nil || e.Claim != nil || e.Cancelled || c.Attempt != e.Attempts+1 || len(c.Members) == 0 {
		return false
	}
	e.Claim, e.Attempts = c, c.Attempt

	return true
}

// void ends a claim whose gang has never started. It names the claim by its first
// token: two planners may have made the same attempt, and only one holds the claim.
func (e *Entry) void(token string) bool {
	if e.Claim == nil || e.Claim.Members[0].Token != token {
		return false
	}
	e.Claim = nil

	return true
}

func (e *Entry) save(s *Save) bool {
	if s == nil || e.Save != nil && e.Save.Done.Duration >= s.Done.Duration {
		return false
	}
	e.Save = s

	return true
}

func (e *Entry) close(a *job.Answer) bool {
	if a == nil || !e.admits(*a) {
		return false
	}
	e.Answer = a

	return true
}

// set raises a flag and reports whether it was down.
func set(flag *bool) bool {
	was := *flag
	*flag = true

	return !was
}

// admits reports whether an answer agrees with what is known. "Not run" needs that
// an idempotent job has not begun and that no claim of another stands; any other
// answer of a non-idempotent job needs the attempt that holds the claim.
func (e *Entry) admits(a job.Answer) bool {
	if e.Job.Idempotent {
		return a.Ran != code.RanNo || !e.Begun
	}
	if a.Ran == code.RanNo {
		return e.Claim == nil
	}

	return e.Claim != nil && e.Claim.Attempt == a.Attempt
}

// sweep removes answers that are older than they have to be kept.
func (l *Ledger) sweep() {
	old := l.newest.Add(-l.Keep())
	l.jobs.Range(func(k, v any) bool {
		a := v.(*slot).entry.Load().Answer
		if a != nil && a.Finished.Before(old) {
			l.jobs.Delete(k)
		}

		return true
	})
}

// Dump returns the ledger's state as bytes for Load. It must not run at the same
// time as Apply.
func (l *Ledger) Dump() ([]byte, error) {
	d := dump{Offset: l.Offset(), Newest: l.newest}
	l.Each(func(e *Entry) bool {
		d.Entries = append(d.Entries, e)

		return true
	})
	sort.Slice(d.Entries, func(i, j int) bool { return d.Entries[i].Offset < d.Entries[j].Offset })
	b, err := json.Marshal(d)

	return b, errors.Wrap(err, "Ledger.Dump")
}

// Load merges Dump's bytes of a later offset into the ledger. It must not run at
// the same time as Apply.
func (l *Ledger) Load(b []byte) error {
	var d dump
	if err := json.Unmarshal(b, &d); err != nil {
		return errors.Wrap(err, "Ledger.Load")
	}
	for _, e := range d.Entries {
		l.restore(e)
	}
	l.newest = d.Newest
	l.offset.Store(d.Offset)

	return nil
}

func (l *Ledger) restore(e *Entry) {
	fresh := &slot{done: make(chan struct{})}
	fresh.entry.Store(e)
	v, there := l.jobs.LoadOrStore(e.Job.Key(), fresh)
	s := v.(*slot)
	was := s.entry.Swap(e)
	wasOpen := there && was.Answer == nil
	isOpen := e.Answer == nil
	switch {
	case isOpen && !wasOpen:
		l.open.Add(1)
	case !isOpen && wasOpen:
		l.open.Add(-1)
		close(s.done)
	case !isOpen && !there:
		close(s.done)
	}
}
