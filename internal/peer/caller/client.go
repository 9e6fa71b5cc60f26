package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/job"
)

const maxReply = 64 << 20 // maximum size of a reply, in bytes

// Client is a client of the API for callers.
type Client struct {
	Base string // URL of an entry VM or of the load balancer
	HTTP *http.Client
}

// Submit submits a job and waits up to the given time for its answer.
func (c *Client) Submit(ctx context.Context, j job.Job, wait time.Duration) (job.Answer, error) {
	body, err := json.Marshal(j)
	if err != nil {
		return job.Answer{}, errors.Wrap(err, "Client.Submit")
	}
	var a job.Answer
	err = c.do(ctx, http.MethodPost, "/v1/jobs?wait="+wait.String(), body, &a)

	return a, errors.Wrap(err, "Client.Submit")
}

// Wait waits up to the given time for the answer of a job.
func (c *Client) Wait(ctx context.Context, k job.Key, wait time.Duration) (job.Answer, error) {
	var a job.Answer
	err := c.do(ctx, http.MethodGet, path(k)+"?wait="+wait.String(), nil, &a)

	return a, errors.Wrap(err, "Client.Wait")
}

// Cancel cancels a job. A job that has not started is not started any more; a running one is
// stopped.
func (c *Client) Cancel(ctx context.Context, k job.Key) (job.Answer, error) {
	var a job.Answer
	err := c.do(ctx, http.MethodDelete, path(k), nil, &a)

	return a, errors.Wrap(err, "Client.Cancel")
}

// List returns the jobs of a workspace, or of all workspaces if it is empty.
func (c *Client) List(ctx context.Context, workspace string) ([]JobSummary, error) {
	var jobs []JobSummary
	err := c.do(ctx, http.MethodGet, "/v1/jobs?workspace="+url.QueryEscape(workspace), nil, &jobs)

	return jobs, errors.Wrap(err, "Client.List")
}

func path(k job.Key) string {
	return "/v1/jobs/" + url.PathEscape(k.Workspace) + "/" + url.PathEscape(k.ID)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()

	return json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(out)
}
