// Package vms is a client of the platform's list of live and leaving VMs. The list is
// updated with a delay, so it only provides addresses and hints; heartbeats and the workers'
// replies decide which VMs are live.
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

	maxReply = 16 << 20 // maximum size of a reply, in bytes
)

type (
	// VM is an entry of the list.
	VM struct {
		Name    string `json:"name"`
		Role    string `json:"role"`
		Address string `json:"address"` // host:port; the host is an IP address
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

// List returns the VMs that the platform currently lists.
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
		return nil, errors.Errorf("Client.List: the VM list service answered %s", resp.Status)
	}
	var list []VM
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(&list)

	return list, errors.Wrap(err, "Client.List")
}
