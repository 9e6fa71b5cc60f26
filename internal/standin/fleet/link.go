package fleet

import (
	"context"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/peer/store"
)

const (
	linkChunk      = 16 << 10 // bytes of one transfer after which the others on the link have their turn
	recordOverhead = 48       // bytes of a record in a reply beside its key and value
)

// link is the network link of one caller. Its transfers share the rate.
type link struct {
	bytesPerSecond int
	turn           chan struct{} // holds a value while a chunk is being transferred
}

// Limit sets the rate at which a caller receives the pages of the newest records, and sends appends.
func (s *Store) Limit(caller string, bytesPerSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links[caller] = &link{bytesPerSecond: bytesPerSecond, turn: make(chan struct{}, 1)}
}

// Via returns the client of a caller that reaches the store through another VM. Pages pass
// both links.
func (s *Store) Via(caller, through string) *store.Store {
	c := s.For(through, func() {})
	newest := c.Newest // its reply reaches the peer, not yet the caller
	c.Newest = func(ctx context.Context, t string, part int, after string) (store.Page, error) {
		p, err := newest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{}), t, part, after)
		if err != nil {
			return p, err
		}

		return p, s.transfer(ctx, caller, p.Records)
	}

	appendVia := c.Append
	c.Append = func(ctx context.Context, a store.Append) (int64, error) {
		if err := s.upload(ctx, caller, a.Records); err != nil {
			return 0, err
		}

		return appendVia(ctx, a)
	}

	return c
}

// upload waits until a caller has sent the records of an append.
func (s *Store) upload(ctx context.Context, caller string, records []store.Record) error {
	s.mu.Lock()
	l := s.links[caller]
	s.mu.Unlock()
	if l == nil {
		return nil
	}
	for left := store.Size(records...); left > 0; left -= linkChunk {
		if err := l.send(ctx, min(left, linkChunk)); err != nil {
			return errors.Wrap(store.ErrUnknown, "append not sent in time")
		}
	}

	return nil
}

// transfer waits until a caller has received a page.
func (s *Store) transfer(ctx context.Context, caller string, records []store.Record) error {
	s.mu.Lock()
	l := s.links[caller]
	s.mu.Unlock()
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotFirstResponseByte != nil {
		trace.GotFirstResponseByte()
	}
	if l == nil {
		return nil
	}
	for left := encodedSize(records); left > 0; left -= linkChunk {
		if err := l.send(ctx, min(left, linkChunk)); err != nil {
			return errors.Wrap(store.ErrUnknown, "no complete reply in time")
		}
	}

	return nil
}

// encodedSize returns the size of a page whose values are encoded in base64.
func encodedSize(records []store.Record) int {
	size := 0
	for _, r := range records {
		size += recordOverhead + len(r.Key) + (len(r.Value)+2)/3*4
	}

	return size
}

// send transfers n bytes.
func (l *link) send(ctx context.Context, n int) error {
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-l.turn }()

	return sleep(ctx, time.Duration(n)*time.Second/time.Duration(l.bytesPerSecond))
}
