// Package cloud defines the client interface of the platform's control plane for the
// workers' hosts, which lists the hosts and takes them down for the maintenance that the
// operator requests.
package cloud

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// States of a host. Only a host that is Up is ordered down for maintenance, and Maintained is the
// only state that counts towards a wave's MaxDown.
const (
	Up State = iota + 1
	Moving
	Maintained // down for maintenance
	Down
)

var (
	// ErrFenced means that an order with a higher fencing token has been given for the host.
	ErrFenced = errors.New("cloud refused the order: a higher fencing token has been used for the host")
	// ErrBusy means that the host is not up or is leaving.
	ErrBusy = errors.New("host is not up or is leaving")
	// ErrNoHost means that the host does not exist or is not part of the wave.
	ErrNoHost = errors.New("no such host in the wave")
	// ErrRefused means that the call was rejected for another reason and nothing was done.
	ErrRefused = errors.New("cloud refused the call")
	// ErrUnknown means that the order may have been executed, or may still be executed later.
	ErrUnknown = errors.New("outcome of the order is unknown")
)

type (
	// State of a host.
	State int

	// Host is a host on which a worker runs. After a restart, the host has a new worker.
	Host struct {
		Name   string
		Pool   string
		State  State
		Worker string // ID of the worker on the host
	}

	// Wave is a round of maintenance requested by the operator.
	Wave struct {
		Number    int
		Hosts     []string
		TimeLimit time.Duration // time from the request until all hosts must be done
		MaxDown   int           // maximum number of hosts down for the wave at the same time
	}

	// Order identifies the host to act on, the planner that orders it and its lease.
	Order struct {
		Host   string
		Holder string // the planner's VM, including its incarnation
		Token  int64  // fencing token
	}

	// Client is the planner's client of the control plane.
	Client struct {
		// Hosts lists all hosts.
		Hosts func(ctx context.Context) ([]Host, error)
		// Maintain takes a host down for a wave. It is idempotent: it succeeds without
		// effect for a host that has already been down for that wave.
		Maintain func(ctx context.Context, o Order, wave int) error
		// Waves returns the waves that the VM has read from the operator's records.
		Waves func() []Wave
		// Report reports to the operator whether all hosts of a wave are done.
		Report func(ctx context.Context, wave int, done bool) error
	}
)
