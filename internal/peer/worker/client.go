package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	maxReply = 16 << 20 // maximum size of a reply, in bytes

	// connsPerWorker limits the connections of this VM to one worker. The 48 connections of
	// 8 entry VMs stay below a worker's limit of about 60 connections.
	connsPerWorker = 6
)

// Client calls workers over HTTP. It is safe for concurrent use.
type Client struct {
	HTTP    *http.Client
	Timeout time.Duration // of one call
}

// NewClient returns a client with the given timeout of a call. A call that times out
// closes its connection, and the next call dials a new one.
func NewClient(timeout time.Duration) *Client {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: connsPerWorker,
		MaxConnsPerHost:     connsPerWorker,
		IdleConnTimeout:     time.Minute,
	}

	return &Client{HTTP: &http.Client{Transport: t}, Timeout: timeout}
}

// Reserve reserves accelerators for a token.
func (c *Client) Reserve(ctx context.Context, addr string, r ReserveRequest) (Reply, error) {
	return post[Reply](ctx, c, addr, "reserve", r)
}

// Arm loads the work of a reserved token.
func (c *Client) Arm(ctx context.Context, addr string, r ArmRequest) (Reply, error) {
	return post[Reply](ctx, c, addr, "arm", r)
}

// Go starts an armed token. The reply of the first member's worker decides whether the
// gang starts.
func (c *Client) Go(ctx context.Context, addr string, r TokenRequest) (Reply, error) {
	return post[Reply](ctx, c, addr, "go", r)
}

// Release releases a token that has not started. It does not affect a running one.
func (c *Client) Release(ctx context.Context, addr string, r TokenRequest) (Reply, error) {
	return post[Reply](ctx, c, addr, "release", r)
}

// Save requests a checkpoint, after which the token's task stops.
func (c *Client) Save(ctx context.Context, addr string, r TokenRequest) (Reply, error) {
	return post[Reply](ctx, c, addr, "save", r)
}

// Stop stops a token's task immediately.
func (c *Client) Stop(ctx context.Context, addr string, r TokenRequest) (Reply, error) {
	return post[Reply](ctx, c, addr, "stop", r)
}

// Throttle limits a token's task to its declared CPU share.
func (c *Client) Throttle(ctx context.Context, addr string, r TokenRequest) (Reply, error) {
	return post[Reply](ctx, c, addr, "throttle", r)
}

// Renew extends the worker's lease and returns the tasks that have changed.
func (c *Client) Renew(ctx context.Context, addr string, r RenewRequest) (Report, error) {
	return post[Report](ctx, c, addr, "renew", r)
}

// post sends a request to a worker and decodes its reply.
func post[T any](ctx context.Context, c *Client, addr, verb string, in any) (T, error) {
	var out T
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()

	body, err := json.Marshal(in)
	if err != nil {
		return out, errors.Wrapf(err, "Client.%s", verb)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+verb, bytes.NewReader(body))
	if err != nil {
		return out, errors.Wrapf(err, "Client.%s", verb)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return out, errors.Wrapf(err, "Client.%s", verb)
	}
	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode != http.StatusOK {
		return out, errors.Errorf("Client.%s: worker %s answered %s", verb, addr, resp.Status)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(&out)

	return out, errors.Wrapf(err, "Client.%s", verb)
}
