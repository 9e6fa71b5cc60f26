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
	maxReport = 16 << 20 // bytes of one reply

	// idlePerWorker keeps the connections of 8 entry VMs under a target's budget
	// of about 60.
	idlePerWorker = 6
)

// Client speaks to workers over HTTP. Its methods may be called from any
// goroutine.
type Client struct {
	HTTP    *http.Client
	Timeout time.Duration // of one call
}

// NewClient returns a client. A call that is not answered in time fails, and its
// connection is closed, so that the next call dials anew.
func NewClient(timeout time.Duration) *Client {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: idlePerWorker,
		MaxConnsPerHost:     idlePerWorker,
		IdleConnTimeout:     time.Minute,
	}

	return &Client{HTTP: &http.Client{Transport: t}, Timeout: timeout}
}

// Reserve asks for accelerators.
func (c *Client) Reserve(ctx context.Context, addr string, r ReserveRequest) (Reply, error) {
	return call[Reply](ctx, c, addr, "reserve", r)
}

// Arm loads the work of a token.
func (c *Client) Arm(ctx context.Context, addr string, r ArmRequest) (Reply, error) {
	return call[Reply](ctx, c, addr, "arm", r)
}

// Go starts an armed token. The reply of the gang's first worker decides the gang.
func (c *Client) Go(ctx context.Context, addr string, r TokenRequest) (Reply, error) {
	return call[Reply](ctx, c, addr, "go", r)
}

// Release gives up a token that has not started. A running one is left alone.
func (c *Client) Release(ctx context.Context, addr string, r TokenRequest) (Reply, error) {
	return call[Reply](ctx, c, addr, "release", r)
}

// Save asks for a checkpoint, after which the task stops.
func (c *Client) Save(ctx context.Context, addr string, r TokenRequest) (Reply, error) {
	return call[Reply](ctx, c, addr, "save", r)
}

// Stop ends a token at once.
func (c *Client) Stop(ctx context.Context, addr string, r TokenRequest) (Reply, error) {
	return call[Reply](ctx, c, addr, "stop", r)
}

// Throttle holds a task to its declared share of processors.
func (c *Client) Throttle(ctx context.Context, addr string, r TokenRequest) (Reply, error) {
	return call[Reply](ctx, c, addr, "throttle", r)
}

// Renew extends the worker's lease and returns what has changed there.
func (c *Client) Renew(ctx context.Context, addr string, r RenewRequest) (Report, error) {
	return call[Report](ctx, c, addr, "renew", r)
}

func call[T any](ctx context.Context, c *Client, addr, verb string, in any) (T, error) {
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
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(&out)

	return out, errors.Wrapf(err, "Client.%s", verb)
}
