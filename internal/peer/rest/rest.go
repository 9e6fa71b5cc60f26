// Package rest makes short HTTP calls to a few peers.
package rest

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
	dialTimeout      = 400 * time.Millisecond // many times the round-trip time between failure domains
	idleConnsPerHost = 4                      // idle connections kept open per peer
	idleTimeout      = 45 * time.Second       // idle connections are closed after this time, before the VMs' servers close them
	maxReplyBytes    = 8 << 20                // longer replies are truncated
)

// NewTransport returns an HTTP transport for many short calls to a few peers.
func NewTransport() *http.Transport {
	d := net.Dialer{Timeout: dialTimeout}

	return &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: idleConnsPerHost, IdleConnTimeout: idleTimeout, DisableCompression: true}
}

// Do sends a request and reads the reply. sent is false if the request cannot have
// reached the peer, because the connection was not established.
func Do(c *http.Client, req *http.Request) (status int, body []byte, sent bool, err error) {
	resp, err := c.Do(req)
	if err != nil {
		var op *net.OpError

		return 0, nil, !errors.As(err, &op) || op.Op != "dial", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))

	return resp.StatusCode, body, true, err
}

// Post sends a body as JSON. sent is false if the request cannot have reached the peer.
func Post(ctx context.Context, c *http.Client, endpoint string, headers map[string]string, body any) (status int, reply []byte, sent bool, err error) {
	b, err := json.Marshal(body)
	if err != nil {
		return 0, nil, false, errors.Wrap(err, "encode body")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint, bytes.NewReader(b))
	if err != nil {
		return 0, nil, false, errors.Wrap(err, "build call")
	}
	req.Header.Set("Content-Type", "application/json")
	for name, v := range headers {
		req.Header.Set(name, v)
	}

	return Do(c, req)
}
