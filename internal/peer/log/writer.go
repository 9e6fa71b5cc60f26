package log

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

const (
	maxGroup      = 512 // records of one append
	maxGroupBytes = MaxRecord / 2
	queueLength   = 4096
	firstPause    = 50 * time.Millisecond
	maxPause      = time.Second
	settleTime    = 2 * time.Second
	forever       = 24 * time.Hour
)

type (
	// Writer appends the records of many goroutines to one stream, as many as are
	// waiting in one append.
	Writer struct {
		Stream string
		Append func(ctx context.Context, stream string, records [][]byte) (int64, error)

		queue chan *pending
	}

	pending struct {
		raw  []byte
		done chan error // buffered
	}
)

// NewWriter returns a writer; Run has to be started.
func NewWriter(stream string, c *Client) *Writer {
	return &Writer{Stream: stream, Append: c.Append, queue: make(chan *pending, queueLength)}
}

// Run appends until the context ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		group := w.gather(ctx)
		if group == nil {
			return
		}
		raws := make([][]byte, 0, len(group))
		for _, p := range group {
			raws = append(raws, p.raw)
		}
		_, err := w.Append(ctx, w.Stream, raws)
		for _, p := range group {
			p.done <- err
		}
	}
}

// gather waits for a record and takes all that are waiting behind it.
func (w *Writer) gather(ctx context.Context) []*pending {
	var group []*pending
	size := 0
	select {
	case <-ctx.Done():
		return nil
	case p := <-w.queue:
		group = append(group, p)
		size = len(p.raw)
	}
	for len(group) < maxGroup && size < maxGroupBytes {
		select {
		case p := <-w.queue:
			group = append(group, p)
			size += len(p.raw)
		default:
			return group
		}
	}

	return group
}

func (w *Writer) once(ctx context.Context, raw []byte) error {
	if len(raw) > MaxRecord {
		return errors.Errorf("Writer.once: a record of %d bytes is larger than %d", len(raw), MaxRecord)
	}
	p := &pending{raw: raw, done: make(chan error, 1)}
	select {
	case w.queue <- p:
	case <-ctx.Done():
		return ErrDown
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return ErrUnsettled
	}
}

// Commit appends a record and waits until it has been read back, which seen
// tells. A reply that is lost is settled by reading; the record is appended again
// only when it has not turned up in settleTime, and the fold ignores a repeated
// record. Errors are ErrDown, when nothing was appended before the context ended,
// or ErrUnsettled.
func Commit[V any](ctx context.Context, w *Writer, raw []byte, seen <-chan V) (V, error) {
	var none V
	failure := ErrDown
	pause := firstPause
	for {
		err := w.once(ctx, raw)
		wait := pause + rand.N(pause)
		if err != ErrDown {
			failure = ErrUnsettled
			wait = settleTime
		}
		if err == nil {
			wait = forever
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
		pause = min(2*pause, maxPause)
	}
}
