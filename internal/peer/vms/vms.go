// Package vms speaks to the platform's list of live and leaving VMs. The list
// lags: it says where to look, heartbeats and workers' replies decide.
package vms

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// RoleEntry marks the VMs that sesameyoke runs on.
	RoleEntry = "entry"

	// RoleWorker marks the VMs that hold accelerators.
	RoleWorker = "worker"

	maxList = 16 << 20 // bytes of one reply
)

type (
	// VM is one line of the list.
	VM struct {
		Name    string `json:"name"`
		Role    string `json:"role"`
		Address string `json:"address"` // host:port by IP number
		Region  string `json:"region"`
		Domain  string `json:"domain"` // failure domain
		Leaving bool   `json:"leaving"`
	}

	// Client reads the list over HTTP.
	Client struct {
		Base    string // URL of the service
		HTTP    *http.Client
		Timeout time.Duration
	}
)

// List returns the VMs that the platform shows now.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()

	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Base+"/vms", nil)
	if err != nil {
		return nil, errors.Wrap(err, "Client.List")
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "Client.List")
	}
	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("Client.List: the list answered %s", resp.Status)
	}
	var list []VM
	err = json.NewDecoder(io.LimitReader(resp.Body, maxList)).Decode(&list)

	return list, errors.Wrap(err, "Client.List")
}
