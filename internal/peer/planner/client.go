// Package planner implements the RPCs between the VMs that run "sesameyoke entry", one of which
// is the planner. The argument relayed marks a call that the called VM passes on to the planner
// if it is not the planner itself; the call that it makes in turn is not relayed again.
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
	// Client calls other VMs, given their addresses.
	Client struct {
		HTTP *http.Client

		mu    sync.Mutex
		peers map[string]plannerpb.Planner
	}

	// VM describes the VM that sends a heartbeat.
	VM struct {
		Name      string // name with its incarnation
		Address   string
		Cores     float64 // CPU cores available to it
		StartTime int64   // start time of its process, in Unix milliseconds
		Leaving   bool    // it is leaving and does not take the planner's lease
	}

	// Status is the reply to a heartbeat: the state of the called VM.
	Status struct {
		Name         string           // name of the called VM, with its incarnation
		Plans        bool             // whether it is the planner
		Token        int64            // fencing token of its lease
		Age          time.Duration    // time since its lease was last renewed
		Renewal      int64            // sequence number of that renewal
		Peers        []string         // addresses of the VMs that it knows
		Pending      map[string]int32 // number of jobs by queue that have not started
		PendingKnown bool             // whether Pending is known
		// MaxSuccessorCores is the number of CPU cores of the largest VM that may succeed it as
		// planner; 0 if none is known.
		MaxSuccessorCores float64
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
	p := plannerpb.NewPlannerProtobufClient("http://"+address, headerReader{c.HTTP})
	c.peers[address] = p

	return p
}

// Heartbeat sends a heartbeat to a VM and returns that VM's state.
func (c *Client) Heartbeat(ctx context.Context, to string, self VM) (Status, error) {
	r, err := c.peer(to).Beat(ctx, &plannerpb.BeatRequest{
		Name: self.Name, Address: self.Address, Cores: self.Cores, Born: self.StartTime, Leaving: self.Leaving,
	})
	if err != nil {
		return Status{}, errors.Wrapf(err, "heartbeat to %s", to)
	}

	return Status{
		Name: r.Name, Plans: r.Plans, Token: r.Token, Age: time.Duration(r.Age) * time.Millisecond, Renewal: r.Renewal,
		Peers: r.Peers, Pending: r.Pending, PendingKnown: r.Counted, MaxSuccessorCores: r.Strongest,
	}, nil
}

// OfferLease offers the planner's lease to a VM and reports whether that VM has taken it.
func (c *Client) OfferLease(ctx context.Context, to string, token, end int64) (bool, error) {
	r, err := c.peer(to).Succeed(ctx, &plannerpb.OfferRequest{Token: token, End: end})
	if err != nil {
		return false, errors.Wrapf(err, "offer planner's lease to %s", to)
	}

	return r.Taken, nil
}

// Submit submits a job's record to a VM. After an error the outcome is unknown. The duration is
// how long a rejected caller should wait before it retries; 0 if the VM did not say.
func (c *Client) Submit(ctx context.Context, to string, record []byte, relayed bool) (code.Code, time.Duration, error) {
	var retryAfter time.Duration
	o, err := c.peer(to).Submit(withRetryAfter(ctx, &retryAfter), &plannerpb.SubmitRequest{Record: record, Relayed: relayed})
	if err != nil {
		return code.Unknown, 0, errors.Wrapf(err, "submit job to %s", to)
	}

	return code.Code(o.Code), retryAfter, nil
}

// Cancel asks a VM to cancel a job.
func (c *Client) Cancel(ctx context.Context, to, id, workspace string, relayed bool) (code.Code, error) {
	o, err := c.peer(to).Cancel(ctx, &plannerpb.JobRequest{Id: id, Workspace: workspace, Relayed: relayed})
	if err != nil {
		return code.Unknown, errors.Wrapf(err, "cancel job at %s", to)
	}

	return code.Code(o.Code), nil
}

// State asks a VM for a job's phase.
func (c *Client) State(ctx context.Context, to, id, workspace string, relayed bool) (work.Phase, code.Code, error) {
	o, err := c.peer(to).State(ctx, &plannerpb.JobRequest{Id: id, Workspace: workspace, Relayed: relayed})
	if err != nil {
		return 0, code.Unknown, errors.Wrapf(err, "state of job at %s", to)
	}

	return work.Phase(o.Phase), code.Code(o.Code), nil
}

// Policy asks a VM for a configuration newer than the given version. The record is
// empty if that VM has none. The duration is the time since that VM's version was last
// confirmed to be the newest; it is negative if it never was, or if it is older than the
// given one.
func (c *Client) Policy(ctx context.Context, to string, version int64) ([]byte, time.Duration, error) {
	r, err := c.peer(to).Policy(ctx, &plannerpb.PolicyRequest{Version: version})
	if err != nil {
		return nil, -1, errors.Wrapf(err, "request configuration from %s", to)
	}
	if r.Version < version {
		return nil, -1, nil
	}

	return r.Record, time.Duration(r.Age) * time.Millisecond, nil
}
