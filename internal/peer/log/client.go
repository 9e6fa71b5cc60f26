// Package log speaks to the platform's append-only log service.
package log

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// MaxRecord is the largest record that the log takes, in bytes.
	MaxRecord = 1 << 20

	// maxReply bounds one reply of the log, in bytes.
	maxReply = 64 << 20
)

var (
	// ErrDown says that the log cannot be reached and the append had no effect.
	ErrDown = errors.New("the log service cannot be reached")

	// ErrUnsettled says that an append may or may not have taken effect.
	ErrUnsettled = errors.New("the log service did not answer: the append may have taken effect")
)

type (
	// Client reads and appends records over HTTP. Its methods may be called from
	// any goroutine.
	Client struct {
		Base    string        // URL of the service
		HTTP    *http.Client  // one connection pool
		Timeout time.Duration // of one append
	}

	// Batch is a run of records that follow each other.
	Batch struct {
		First   int64    `json:"first"`   // offset of Records[0]
		Records [][]byte `json:"records"` // base64 in JSON
		Start   int64    `json:"start"`   // oldest offset still kept
		End     int64    `json:"end"`     // offset of the next append
	}

	appendRequest struct {
		Records [][]byte `json:"records"`
	}

	appendReply struct {
		First int64 `json:"first"`
	}
)

// Append adds the records behind each other and returns the offset of the first.
// Errors are ErrDown, when nothing was appended, or ErrUnsettled.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()

	body, err := json.Marshal(appendRequest{Records: records})
	if err != nil {
		return 0, errors.Wrap(err, "Client.Append")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "Client.Append")
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, classify(err)
	}
	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode == http.StatusServiceUnavailable {
		return 0, ErrDown
	}
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Errorf("Client.Append: the log answered %s", resp.Status)
	}
	var r appendReply
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		return 0, ErrUnsettled
	}

	return r.First, nil
}

// Read returns up to max records from an offset on, waiting up to wait for the
// first. A reply that takes patience longer is given up with its connection, which
// may have gone silent. A batch whose First is above from says that older records
// have expired.
func (c *Client) Read(ctx context.Context, stream string, from int64, max int, wait, patience time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+patience)
	defer cancel()

	q := url.Values{}
	q.Set("from", strconv.FormatInt(from, 10))
	q.Set("max", strconv.Itoa(max))
	q.Set("wait", wait.String())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream)+"?"+q.Encode(), nil)
	if err != nil {
		return Batch{}, errors.Wrap(err, "Client.Read")
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Batch{}, ErrDown
	}
	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode != http.StatusOK {
		return Batch{}, ErrDown
	}
	var b Batch
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(&b); err != nil {
		return Batch{}, ErrDown
	}

	return b, nil
}

// classify tells a connection that was never made from a lost reply.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrDown
	}

	return ErrUnsettled
}

func (c *Client) url(stream string) string {
	return fmt.Sprintf("%s/streams/%s", c.Base, stream)
}
