// Package planner carries the calls between entry VMs and the one that plans.
package planner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/planner/plannerpb"
)

type (
	// Client calls other VMs by their address.
	Client struct {
		HTTP *http.Client

		mu    sync.Mutex
		peers map[string]plannerpb.Planner
	}

	// VM is what a VM tells of itself.
	VM struct {
		Name    string // with its incarnation
		Address string
		Cores   float64 // that it may use
		Born    int64   // start of its process, Unix milliseconds
		Leaving bool    // it does not take the lease
	}

	// Standing is what the planner tells of itself.
	Standing struct {
		Name    string // of the VM asked, with its incarnation
		Plans   bool
		Token   int64
		Age     time.Duration // since its lease was renewed
		Renewal int64         // number of that renewal
		Peers   []string
		Pending map[string]int32
		Counted bool // Pending is known
		// Strongest is the most cores of a VM that may plan next; 0 if none is known.
		Strongest float64
	}
)

func (c *Client) peer(address string) plannerpb.Planner {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[address]; p != nil {
		return p
	}
	if c.peers == nil {
		c.peers = map[string]plannerpb.Planner{}
	}
	p := plannerpb.NewPlannerProtobufClient("http://"+address, c.HTTP)
	c.peers[address] = p

	return p
}

// Beat asks a VM whether it plans, and tells it who asks.
func (c *Client) Beat(ctx context.Context, to string, self VM) (Standing, error) {
	r, err := c.peer(to).Beat(ctx, &plannerpb.BeatRequest{
		Name: self.Name, Address: self.Address, Cores: self.Cores, Born: self.Born, Leaving: self.Leaving,
	})
	if err != nil {
		return Standing{}, errors.Wrapf(err, "beat to %s", to)
	}

	return Standing{
		Name: r.Name, Plans: r.Plans, Token: r.Token, Age: time.Duration(r.Age) * time.Millisecond, Renewal: r.Renewal,
		Peers: r.Peers, Pending: r.Pending, Counted: r.Counted, Strongest: r.Strongest,
	}, nil
}

// Succeed offers a planner's lease to a VM and reports whether it has taken it.
func (c *Client) Succeed(ctx context.Context, to string, token, end int64) (bool, error) {
	r, err := c.peer(to).Succeed(ctx, &plannerpb.OfferRequest{Token: token, End: end})
	if err != nil {
		return false, errors.Wrapf(err, "offer the lease to %s", to)
	}

	return r.Taken, nil
}

// Submit hands a job's record to a VM; any error leaves the outcome open.
func (c *Client) Submit(ctx context.Context, to string, record []byte, relayed bool) (code.Code, error) {
	o, err := c.peer(to).Submit(ctx, &plannerpb.SubmitRequest{Record: record, Relayed: relayed})
	if err != nil {
		return code.Unknown, errors.Wrapf(err, "submit to %s", to)
	}

	return code.Code(o.Code), nil
}

// Cancel asks a VM to cancel a job.
func (c *Client) Cancel(ctx context.Context, to, id, workspace string, relayed bool) (code.Code, error) {
	o, err := c.peer(to).Cancel(ctx, &plannerpb.JobRequest{Id: id, Workspace: workspace, Relayed: relayed})
	if err != nil {
		return code.Unknown, errors.Wrapf(err, "cancel at %s", to)
	}

	return code.Code(o.Code), nil
}

// State asks a VM for a job's phase.
func (c *Client) State(ctx context.Context, to, id, workspace string, relayed bool) (work.Phase, code.Code, error) {
	o, err := c.peer(to).State(ctx, &plannerpb.JobRequest{Id: id, Workspace: workspace, Relayed: relayed})
	if err != nil {
		return 0, code.Unknown, errors.Wrapf(err, "state at %s", to)
	}

	return work.Phase(o.Phase), code.Code(o.Code), nil
}

// Policy asks a VM for a configuration newer than the given version. The age of
// its proof is negative if it has none.
func (c *Client) Policy(ctx context.Context, to string, version int64) ([]byte, time.Duration, error) {
	r, err := c.peer(to).Policy(ctx, &plannerpb.PolicyRequest{Version: version})
	if err != nil {
		return nil, -1, errors.Wrapf(err, "configuration of %s", to)
	}
	if r.Version < version {
		return nil, -1, nil
	}

	return r.Record, time.Duration(r.Age) * time.Millisecond, nil
}
