package store

import (
	"context"
	"net/http/httptrace"

	"github.com/pkg/errors"
)

// Scan reads the newest record of each key of a topic's partition, page by page. A page that could not
// be read is requested again by the next call of Read, without those before it.
type Scan struct {
	Topic   string
	Part    int
	Records []Record // of the pages read so far
	End     int64    // offset from which to continue reading; valid once Begun
	Begun   bool     // the first page has been read
	Done    bool     // the last page has been read

	after string // last key of the newest page
}

// All returns the newest record of each key in partition 0 and the offset from which to continue reading.
func (s *Store) All(ctx context.Context, topic string) ([]Record, int64, error) {
	scan := Scan{Topic: topic}
	for !scan.Done {
		if err := scan.Read(ctx, s); err != nil {
			return nil, 0, err
		}
	}

	return scan.Records, scan.End, nil
}

// Read reads the next page.
func (c *Scan) Read(ctx context.Context, s *Store) error {
	p, err := s.Newest(ctx, c.Topic, c.Part, c.after)
	if err != nil {
		return errors.Wrapf(err, "newest records of topic %q after %q", c.Topic, c.after)
	}
	if !c.Begun {
		c.Begun, c.End = true, p.End
	}
	c.Records = append(c.Records, p.Records...)
	c.Done = !p.More || len(p.Records) == 0
	if len(p.Records) > 0 {
		c.after = p.Records[len(p.Records)-1].Key
	}

	return nil
}

// OnReply returns a context with which a call reports when its reply begins to arrive.
// f may be called from another goroutine.
func OnReply(ctx context.Context, f func()) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: f})
}
