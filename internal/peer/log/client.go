// Package log is a client of the platform's append-only log service. It writes and
// follows the log's streams and restores them from snapshots.
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
	// MaxRecord is the maximum size of a record in the log, in bytes.
	MaxRecord = 1 << 20

	// maxReply is the maximum size of a reply of the log, in bytes.
	maxReply = 64 << 20
)

var (
	// ErrDown means that the log is unavailable. An append had no effect.
	ErrDown = errors.New("the log service cannot be reached")

	// ErrOutcomeUnknown means that it is unknown whether an append has taken effect.
	ErrOutcomeUnknown = errors.New("the log service did not answer: the append may have taken effect")
)

type (
	// Client reads and appends records over HTTP. It is safe for concurrent use.
	Client struct {
		Base    string        // URL of the service
		HTTP    *http.Client  // its connection pool is shared by all calls
		Timeout time.Duration // timeout of an append
	}

	// Batch is a sequence of records with consecutive offsets.
	Batch struct {
		First   int64    `json:"first"`   // offset of Records[0]
		Records [][]byte `json:"records"` // base64 in JSON
		Start   int64    `json:"start"`   // oldest offset that the log retains
		End     int64    `json:"end"`     // offset of the next append
	}

	appendRequest struct {
		Records [][]byte `json:"records"`
	}

	appendReply struct {
		First int64 `json:"first"`
	}
)

// Append appends the records at consecutive offsets and returns the offset of the
// first. It returns ErrDown if nothing was appended, ErrOutcomeUnknown if the outcome is
// unknown, and another error if the log answers with an unexpected status.
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
		return 0, appendError(err)
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
		return 0, ErrOutcomeUnknown
	}

	return r.First, nil
}

// Read returns up to max records starting at an offset. The log waits up to wait for
// the first one (long polling). If no reply arrives within wait+timeout, the call fails
// and its connection is closed, because the connection may be dead. If First of the
// batch is greater than from, the log no longer retains the records before First.
func (c *Client) Read(ctx context.Context, stream string, from int64, max int, wait, timeout time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+timeout)
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

// appendError returns ErrDown if the connection could not be established and
// ErrOutcomeUnknown otherwise, because the request may have been executed.
func appendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrDown
	}

	return ErrOutcomeUnknown
}

func (c *Client) url(stream string) string {
	return fmt.Sprintf("%s/streams/%s", c.Base, stream)
}
