// Package store defines the client interface of the platform's store: an append-only log
// with conditional and fenced appends, whose topics retain the newest record of each key.
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

const (
	// MaxKeyBytes is the length of the longest key of a record.
	MaxKeyBytes = 255
	// DefaultRequestBytes is the size of the largest append of a store that states none.
	DefaultRequestBytes = 2 << 20

	lengthBytes = 4 // length prefix of each record in an append
)

var (
	// ErrRefused means that the store did not execute the call.
	ErrRefused = errors.New("store refused the call")
	// ErrInvalid means that the store did not execute the call and never will, whoever makes it. It
	// wraps ErrRefused.
	ErrInvalid = errors.WithMessage(ErrRefused, "for good")
	// ErrUnknown means that the call may have been executed, or may still be executed later.
	ErrUnknown = errors.New("outcome of the store call is unknown")
	// ErrFenced means that the store has seen a higher epoch of the producer.
	ErrFenced = errors.New("producer epoch is fenced")
)

type (
	// Record is a keyed record. An empty value deletes the key.
	Record struct {
		Key    string
		Value  []byte
		Offset int64
	}

	// Append is a request to add records to a topic atomically.
	Append struct {
		Topic       string
		Part        int // partition of the topic
		Records     []Record
		ExpectedEnd int64  // condition: offset at which the topic must end; negative for none
		Producer    string // name by which the append is fenced; empty if it is not fenced
		Epoch       int64  // fencing epoch of the producer
		Sequence    int64  // sequence number within the epoch, by which the store detects duplicates
	}

	// Range is the result of a read.
	Range struct {
		Records []Record
		End     int64 // offset after the newest record
		First   int64 // oldest offset retained
	}

	// Page is one page of the newest records of a topic, ordered by key.
	Page struct {
		Records []Record
		More    bool  // there are further pages
		End     int64 // offset after the newest record
	}

	// ConditionError means that the condition of an append failed: the topic ended at
	// offset End.
	ConditionError struct{ End int64 }

	// SequenceError means that the sequence number of an append was not the expected one.
	SequenceError struct{ Expected int64 }

	// TruncatedError means that a read started before First, the oldest offset retained.
	TruncatedError struct{ First int64 }

	// Store is a client of the store.
	Store struct {
		// Append returns the end of the topic after the append. Its errors wrap those of
		// this package.
		Append func(ctx context.Context, a Append) (int64, error)
		// Read returns the records starting at offset from. If there are none, it waits up to
		// wait for one.
		Read func(ctx context.Context, topic string, from int64, wait time.Duration) (Range, error)
		// Newest returns a page with the newest record of each key in a partition, in the order
		// of the keys and starting after the given key.
		Newest func(ctx context.Context, topic string, part int, after string) (Page, error)
	}
)

// IsDeletion reports whether the record deletes its key.
func (r Record) IsDeletion() bool { return len(r.Value) == 0 }

// Size returns the size of a record in the store, in bytes.
func (r Record) Size() int { return 1 + len(r.Key) + len(r.Value) } // one byte holds the length of the key

// Size returns the size of records in an append, in bytes.
func Size(records ...Record) int {
	n := 0
	for _, r := range records {
		n += lengthBytes + r.Size()
	}

	return n
}

func (e *ConditionError) Error() string { return fmt.Sprintf("topic ends at offset %d", e.End) }
func (e *SequenceError) Error() string  { return fmt.Sprintf("sequence number %d expected", e.Expected) }
func (e *TruncatedError) Error() string { return fmt.Sprintf("records before %d are gone", e.First) }
