package log

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

const (
	maxBatch      = 512           // maximum number of records in one append
	maxBatchBytes = MaxRecord / 2 // size of an append at which no further record is added
	queueLength   = 4096          // number of queued records at which callers of Commit block
	minBackoff    = 50 * time.Millisecond
	maxBackoff    = time.Second
	resendAfter   = 2 * time.Second // time until a record is appended again if the outcome is unknown
	noResend      = 24 * time.Hour  // after a successful append: longer than any caller waits
)

type (
	// Writer appends the records of many goroutines to one stream. It combines all
	// waiting records, up to a limit, into one append.
	Writer struct {
		Stream string
		Append func(ctx context.Context, stream string, records [][]byte) (int64, error)

		queue chan *pendingRecord
	}

	pendingRecord struct {
		raw  []byte
		done chan error // receives the result; buffered
	}
)

// NewWriter returns a writer. The caller starts Run.
func NewWriter(stream string, c *Client) *Writer {
	return &Writer{Stream: stream, Append: c.Append, queue: make(chan *pendingRecord, queueLength)}
}

// Run appends queued records until the context ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		batch := w.nextBatch(ctx)
		if batch == nil {
			return
		}
		raws := make([][]byte, 0, len(batch))
		for _, p := range batch {
			raws = append(raws, p.raw)
		}
		_, err := w.Append(ctx, w.Stream, raws)
		for _, p := range batch {
			p.done <- err
		}
	}
}

// nextBatch waits for a record and returns it with the records queued behind it, up to
// the limits of a batch. It returns nil if the context ends.
func (w *Writer) nextBatch(ctx context.Context) []*pendingRecord {
	var batch []*pendingRecord
	size := 0
	select {
	case <-ctx.Done():
		return nil
	case p := <-w.queue:
		batch = append(batch, p)
		size = len(p.raw)
	}
	for len(batch) < maxBatch && size < maxBatchBytes {
		select {
		case p := <-w.queue:
			batch = append(batch, p)
			size += len(p.raw)
		default:
			return batch
		}
	}

	return batch
}

// appendOnce queues a record and waits for the result of its append.
func (w *Writer) appendOnce(ctx context.Context, raw []byte) error {
	if len(raw) > MaxRecord {
		return errors.Errorf("Writer.appendOnce: a record of %d bytes is larger than %d", len(raw), MaxRecord)
	}
	p := &pendingRecord{raw: raw, done: make(chan error, 1)}
	select {
	case w.queue <- p:
	case <-ctx.Done():
		return ErrDown
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return ErrOutcomeUnknown
	}
}

// Commit appends a record and waits until it has been read back, which is signalled on
// seen. If the reply to the append is lost, the record may still be read back; it is
// appended again only if it has not been read back within resendAfter. A duplicate does
// no harm, because repeated records are ignored when they are applied. When the context
// ends, Commit returns ErrDown if no attempt can have appended the record, and
// ErrOutcomeUnknown otherwise.
func Commit[V any](ctx context.Context, w *Writer, raw []byte, seen <-chan V) (V, error) {
	var none V
	failure := ErrDown
	backoff := minBackoff
	for {
		err := w.appendOnce(ctx, raw)
		wait := backoff + rand.N(backoff)
		if err != ErrDown {
			failure = ErrOutcomeUnknown
			wait = resendAfter
		}
		if err == nil {
			wait = noResend
		}
		timer := time.NewTimer(wait)
		select {
		case v := <-seen:
			timer.Stop()

			return v, nil
		case <-ctx.Done():
			timer.Stop()

			return none, failure
		case <-timer.C:
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
