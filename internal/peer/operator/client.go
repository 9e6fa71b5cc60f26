package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/config"
	"sesameyoke/internal/core/plan"
	"sesameyoke/internal/peer/entry"
)

const maxReply = 64 << 20 // maximum size of a reply, in bytes

// Client is a client of the API for operators.
type Client struct {
	Base  string // URL of an entry VM
	Token string
	HTTP  *http.Client
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (Config, error) {
	var out Config
	err := c.do(ctx, http.MethodGet, "/v1/config", nil, &out)

	return out, errors.Wrap(err, "Client.Config")
}

// Publish publishes a change and returns its audit entry, whose code tells whether the
// change was accepted or refused, or is code.Unsettled if that is not known. Publish is
// idempotent: the same change may be published again.
func (c *Client) Publish(ctx context.Context, ch config.Change) (config.Entry, error) {
	var e config.Entry
	body, err := json.Marshal(ch)
	if err != nil {
		return e, errors.Wrap(err, "Client.Publish")
	}
	err = c.do(ctx, http.MethodPost, "/v1/changes", body, &e)

	return e, errors.Wrap(err, "Client.Publish")
}

// Audit returns the newest entries of the audit trail, at most max of them and none
// older than since. A since of 0 means no age limit.
func (c *Client) Audit(ctx context.Context, since time.Duration, max int) ([]config.Entry, error) {
	path := fmt.Sprintf("/v1/audit?max=%d", max)
	if since > 0 {
		path += "&since=" + since.String()
	}
	var out []config.Entry
	err := c.do(ctx, http.MethodGet, path, nil, &out)

	return out, errors.Wrap(err, "Client.Audit")
}

// VMs returns the live entry VMs.
func (c *Client) VMs(ctx context.Context) ([]entry.Member, error) {
	var out []entry.Member
	err := c.do(ctx, http.MethodGet, "/v1/vms", nil, &out)

	return out, errors.Wrap(err, "Client.VMs")
}

// Racks returns the occupancy of all racks.
func (c *Client) Racks(ctx context.Context) ([]plan.Occupancy, error) {
	var out []plan.Occupancy
	err := c.do(ctx, http.MethodGet, "/v1/racks", nil, &out)

	return out, errors.Wrap(err, "Client.Racks")
}

// Leave asks the VM at Base to shut down gracefully.
func (c *Client) Leave(ctx context.Context) error {
	return errors.Wrap(c.do(ctx, http.MethodPost, "/v1/leave", nil, nil), "Client.Leave")
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()

	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return err
	}
	var f statusReply
	if json.Unmarshal(raw, &f) == nil && (f.Code == code.Unauthorized || f.Code == code.BadRequest) {
		return errors.Errorf("code %s: %s", f.Code, f.Reason)
	}
	if out == nil {
		return nil
	}

	return json.Unmarshal(raw, out)
}
