// Package cloud is the port to the platform's control of the workers' hosts:
// which there are, and the maintenance that the operator asks for.
package cloud

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// States of a host.
const (
	Up State = iota + 1
	Moving
	Maintained // is down for maintenance
	Down
)

var (
	// ErrFenced means that a higher token has been used for the host.
	ErrFenced = errors.New("cloud refused the token")
	// ErrBusy means that the host is not up, or leaves.
	ErrBusy = errors.New("host is busy")
	// ErrNoHost means that there is no such host, or that the wave does not name it.
	ErrNoHost = errors.New("no such host in the wave")
	// ErrRefused means that nothing was done for another reason.
	ErrRefused = errors.New("cloud refused the call")
	// ErrUnknown means that the order may have been executed, or may be later.
	ErrUnknown = errors.New("outcome of the order is unknown")
)

type (
	// State of a host.
	State int

	// Host is what a worker runs on; a restart makes a new worker on the same host.
	Host struct {
		Name   string
		Pool   string
		State  State
		Worker string // ID of the worker that runs there
	}

	// Wave is a round of maintenance that the operator asks for.
	Wave struct {
		Number int
		Hosts  []string
		Within time.Duration // from when it was asked for until all are done
		Most   int           // hosts that may be down for it at once
	}

	// Order names who orders, and under which lease.
	Order struct {
		Host  string
		By    string // the planner's VM, with its incarnation
		Token int64
	}

	// Client is how the planner reaches the cloud.
	Client struct {
		// Hosts lists all hosts.
		Hosts func(ctx context.Context) ([]Host, error)
		// Maintain takes a host down for a wave. It succeeds again for one that has
		// been down for that wave.
		Maintain func(ctx context.Context, o Order, wave int) error
		// Waves returns the waves that are known to the VM.
		Waves func() []Wave
		// Report tells the operator whether all hosts of a wave are done.
		Report func(ctx context.Context, wave int, done bool) error
	}
)
