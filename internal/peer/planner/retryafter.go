package planner

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"
)

// A rejected submission carries how long the caller should wait in the HTTP header of the reply:
// VMs of earlier versions ignore it, and the messages stay the same.
const retryAfterHeader = "Retry-After" // whole seconds

type (
	retryAfterKey struct{}

	// headerReader makes calls and stores the header Retry-After of their replies where the
	// context of a call asks for it.
	headerReader struct{ client *http.Client }
)

// WholeSeconds returns a duration in whole seconds, rounded up and at least 1.
func WholeSeconds(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}

// setRetryAfter sets the header of the reply to the call with the given context; not for 0.
func setRetryAfter(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}

	return twirp.SetHTTPResponseHeader(ctx, retryAfterHeader, WholeSeconds(d))
}

// withRetryAfter returns a context of a call that stores the header of its reply in d.
func withRetryAfter(ctx context.Context, d *time.Duration) context.Context {
	return context.WithValue(ctx, retryAfterKey{}, d)
}

// Do implements plannerpb.HTTPClient.
func (h headerReader) Do(r *http.Request) (*http.Response, error) {
	reply, err := h.client.Do(r)
	if err != nil {
		return nil, err
	}
	if d, ok := r.Context().Value(retryAfterKey{}).(*time.Duration); ok {
		if n, err := strconv.Atoi(reply.Header.Get(retryAfterHeader)); err == nil && n > 0 {
			*d = time.Duration(n) * time.Second
		}
	}

	return reply, nil
}
