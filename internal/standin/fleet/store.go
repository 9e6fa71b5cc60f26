// Package fleet emulates the platform in one process: the store, the workers and
// their faults. All times come from package time, so that a test can run it on the
// fake clock of testing/synctest. The fleet records all runs on the workers and checks
// them against the invariants of the scheduler.
package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/peer/store"
)

const (
	callLatency = 4 * time.Millisecond // latency of one call to the store or to a worker
	dedupWindow = 5                    // newest appends of a producer that are recognized as duplicates when sent again
)

type (
	// Store emulates the platform's store.
	Store struct {
		Retention time.Duration  // how long records can be read; the newest of each key is kept without limit
		Random    func() float64 // returns a number in [0,1)
		PageSize  int            // records on a page of the newest records
		PageBytes int            // size of the records from which no further one is added to a page
		RecordMax int            // size of the largest record that the store accepts
		AppendMax int            // size of the largest append that the store accepts

		mu     sync.Mutex
		topics map[partition]*topic
		faults StoreFaults
		failed map[partition]StoreFaults // faults of single partitions: Down, Silent and LostShare
		cutOff map[string]bool           // callers whose calls fail
		links  map[string]*link
		Calls  int // calls received so far
	}

	// StoreFaults selects the faults of the store. The zero value means none.
	StoreFaults struct {
		Down          bool          // calls fail
		Silent        bool          // calls that fail get no reply, instead of an error
		LostShare     float64       // share of the appends that are executed but get no reply
		LateShare     float64       // share of the appends that get no reply and are executed later
		ExtraLatency  time.Duration // added to the latency of each call
		AppendLatency time.Duration // added to the latency of each append
	}

	// partition names a partition of a topic.
	partition struct {
		topic string
		part  int
	}

	// topic is the content of a partition.
	topic struct {
		records   []timedRecord
		first     int64 // offset of the first record
		newest    map[string]store.Record
		producers map[string]*producerState
		changed   chan struct{} // closed by the next append
	}

	timedRecord struct {
		store.Record
		at time.Time
	}

	producerState struct {
		epoch        int64
		nextSequence int64
		recentEnds   []int64 // end offsets of the producer's newest appends
	}
)

// NewStore returns an empty store that keeps records for 20 s and has small pages, so that
// tests cover several. random returns numbers in [0,1).
func NewStore(random func() float64) *Store {
	return &Store{
		Retention: 20 * time.Second, Random: random, PageSize: 50, PageBytes: 1 << 20, RecordMax: 256 << 10, AppendMax: store.DefaultRequestBytes,
		topics: map[partition]*topic{}, failed: map[partition]StoreFaults{}, cutOff: map[string]bool{}, links: map[string]*link{},
	}
}

// SetFaults replaces the faults of the store.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// FailPart replaces the faults of one partition of a topic, of which Down, Silent and LostShare count.
func (s *Store) FailPart(name string, part int, f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed[partition{name, part}] = f
}

// Cut makes all calls of a caller fail, or serves the caller again.
func (s *Store) Cut(caller string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutOff[caller] = cut
}

// Put writes a record, as the operator or a worker does. It ignores the faults.
func (s *Store) Put(topic, key string, value []byte) {
	// An append without conditions succeeds, unless the record is too large.
	_, _ = s.apply(store.Append{Topic: topic, ExpectedEnd: -1, Records: []store.Record{{Key: key, Value: value}}})
}

// Value returns the newest value of a key in partition 0 of a topic; nil if there is none.
func (s *Store) Value(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.topic(name, 0).newest[key].Value
}

// Keys returns the sorted keys of the newest records in partition 0 of a topic.
func (s *Store) Keys(name string) []string { return s.KeysIn(name, 0) }

// KeysIn returns the sorted keys of the newest records in a partition of a topic.
func (s *Store) KeysIn(name string, part int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.Sorted(maps.Keys(s.topic(name, part).newest))
}

// For returns a store client for one caller. The client calls gate before and after each
// call; a gate that blocks suspends the caller.
func (s *Store) For(caller string, gate func()) *store.Store {
	return &store.Store{
		Append: func(ctx context.Context, a store.Append) (int64, error) {
			gate()
			defer gate()

			return s.append(ctx, caller, a)
		},
		Read: func(ctx context.Context, t string, from int64, wait time.Duration) (store.Range, error) {
			gate()
			defer gate()

			got, err := s.read(ctx, caller, t, from, wait)
			if err != nil {
				return got, err
			}

			return got, s.transfer(ctx, caller, got.Records)
		},
		Newest: func(ctx context.Context, t string, part int, after string) (store.Page, error) {
			gate()
			defer gate()

			p, err := s.newest(ctx, caller, t, part, after)
			if err != nil {
				return p, err
			}

			return p, s.transfer(ctx, caller, p.Records)
		},
	}
}

func (s *Store) topic(name string, part int) *topic {
	t := s.topics[partition{name, part}]
	if t == nil {
		t = &topic{newest: map[string]store.Record{}, producers: map[string]*producerState{}, changed: make(chan struct{})}
		s.topics[partition{name, part}] = t
	}

	return t
}

// simulateCall waits for the latency of a call, and returns an error if the store or the
// partition is down or the caller is cut off.
func (s *Store) simulateCall(ctx context.Context, caller, name string, part int) error {
	s.mu.Lock()
	f, cut, of := s.faults, s.cutOff[caller], s.failed[partition{name, part}]
	f.Down, f.Silent = f.Down || of.Down, f.Silent || of.Silent
	s.Calls++
	s.mu.Unlock()
	if (f.Down || cut) && f.Silent {
		<-ctx.Done()

		return errors.Wrap(store.ErrUnknown, "no reply")
	}
	if err := sleep(ctx, callLatency+f.ExtraLatency); err != nil {
		return errors.Wrap(store.ErrUnknown, "no reply in time")
	}
	if f.Down || cut {
		return errors.Wrap(store.ErrRefused, "store is down or the caller is cut off")
	}

	return nil
}

// sleep waits for d, or returns the context's error if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

func (s *Store) append(ctx context.Context, caller string, a store.Append) (int64, error) {
	if err := s.simulateCall(ctx, caller, a.Topic, a.Part); err != nil {
		return 0, err
	}
	if err := s.upload(ctx, caller, a.Records); err != nil {
		return 0, err
	}
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if err := sleep(ctx, f.AppendLatency); err != nil {
		return 0, errors.Wrap(store.ErrUnknown, "no reply in time")
	}
	s.mu.Lock()
	late := f.LateShare > 0 && s.Random() < f.LateShare
	lost := max(f.LostShare, s.failed[partition{a.Topic, a.Part}].LostShare)
	lose := lost > 0 && s.Random() < lost
	s.mu.Unlock()
	if late {
		after := time.Second + time.Duration(s.Random()*float64(5*time.Second))
		go func() {
			time.Sleep(after)
			_, _ = s.apply(a) // the caller has given up waiting
		}()
		<-ctx.Done()

		return 0, errors.Wrap(store.ErrUnknown, "no reply")
	}
	end, err := s.apply(a)
	if lose {
		<-ctx.Done()

		return 0, errors.Wrap(store.ErrUnknown, "reply lost")
	}

	return end, err
}

// apply executes an append: it checks the conditions and adds the records.
func (s *Store) apply(a store.Append) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(a.Topic, a.Part)
	for _, r := range a.Records {
		if len(r.Key) > store.MaxKeyBytes {
			return 0, errors.Wrapf(store.ErrInvalid, "key %q has %d bytes, more than %d", r.Key, len(r.Key), store.MaxKeyBytes)
		}
		if n := r.Size(); n > s.RecordMax {
			return 0, errors.Wrapf(store.ErrInvalid, "record %q has %d bytes, more than %d", r.Key, n, s.RecordMax)
		}
	}
	if n := store.Size(a.Records...); n > s.AppendMax {
		return 0, errors.Wrapf(store.ErrInvalid, "append of %d bytes, more than %d", n, s.AppendMax)
	}
	if a.ExpectedEnd >= 0 && t.end() != a.ExpectedEnd {
		return 0, &store.ConditionError{End: t.end()}
	}
	if a.Producer != "" {
		if end, done, err := t.admit(a); done || err != nil {
			return end, err
		}
	}
	for _, r := range a.Records {
		r.Offset = t.end()
		t.records = append(t.records, timedRecord{Record: r, at: time.Now()})
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
		} else {
			t.newest[r.Key] = r
		}
	}
	if a.Producer != "" && len(a.Records) > 0 {
		p := t.producers[a.Producer]
		p.nextSequence++
		p.recentEnds = append(p.recentEnds, t.end())
	}
	close(t.changed)
	t.changed = make(chan struct{})

	return t.end(), nil
}

// admit checks the producer epoch and the sequence number of an append. done reports that
// the append is a duplicate and that end is its result.
func (t *topic) admit(a store.Append) (end int64, done bool, err error) {
	p := t.producers[a.Producer]
	if p == nil {
		p = &producerState{epoch: a.Epoch, nextSequence: a.Sequence}
		t.producers[a.Producer] = p
	}
	switch {
	case a.Epoch < p.epoch:
		return 0, false, store.ErrFenced
	case a.Epoch > p.epoch:
		*p = producerState{epoch: a.Epoch, nextSequence: a.Sequence}
	case a.Sequence == p.nextSequence || len(a.Records) == 0:
	case a.Sequence < p.nextSequence && p.nextSequence-a.Sequence <= dedupWindow && int(p.nextSequence-a.Sequence) <= len(p.recentEnds):
		return p.recentEnds[len(p.recentEnds)-int(p.nextSequence-a.Sequence)], true, nil
	default:
		return 0, false, &store.SequenceError{Expected: p.nextSequence}
	}

	return 0, false, nil
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// expire drops records that are older than the retention time.
func (t *topic) expire(retention time.Duration) {
	n := 0
	for n < len(t.records) && time.Since(t.records[n].at) > retention {
		n++
	}
	t.records = t.records[n:]
	t.first += int64(n)
}

func (s *Store) read(ctx context.Context, caller, name string, from int64, wait time.Duration) (store.Range, error) {
	if err := s.simulateCall(ctx, caller, name, 0); err != nil {
		return store.Range{}, err
	}
	until := time.Now().Add(wait)
	for {
		s.mu.Lock()
		t := s.topic(name, 0)
		t.expire(s.Retention)
		if first := t.first; from < first {
			s.mu.Unlock()

			return store.Range{}, &store.TruncatedError{First: first}
		}
		r := store.Range{First: t.first, End: t.end()}
		size := 0
		for _, x := range t.records[from-t.first:] {
			if size >= s.PageBytes {
				r.End = x.Offset

				break
			}
			r.Records = append(r.Records, x.Record)
			size += len(x.Key) + len(x.Value)
		}
		changed := t.changed
		s.mu.Unlock()
		left := time.Until(until)
		if len(r.Records) > 0 || left <= 0 {
			return r, nil
		}
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
			timer.Stop()

			return store.Range{}, errors.Wrap(store.ErrUnknown, "no reply in time")
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (s *Store) newest(ctx context.Context, caller, name string, part int, after string) (store.Page, error) {
	if err := s.simulateCall(ctx, caller, name, part); err != nil {
		return store.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name, part)
	keys := make([]string, 0, len(t.newest))
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	p := store.Page{End: t.end()}
	size := 0
	for i, k := range keys {
		if i == s.PageSize || size >= s.PageBytes {
			p.More = true

			break
		}
		p.Records = append(p.Records, t.newest[k])
		size += len(k) + len(t.newest[k].Value)
	}

	return p, nil
}
