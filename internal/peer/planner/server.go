package planner

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/planner/plannerpb"
	"sesameyoke/internal/peer/store"
)

// Server handles the calls of other VMs.
type Server struct {
	Heartbeat func(from VM) Status
	Submit    func(ctx context.Context, record []byte, relayed bool) (c code.Code, retryAfter time.Duration)
	Cancel    func(ctx context.Context, id, workspace string, relayed bool) code.Code
	State     func(ctx context.Context, id, workspace string, relayed bool) (work.Phase, code.Code)
	Policy    func(have int64) (version int64, record []byte, age time.Duration)
	Store     *store.Store // the platform's store as this VM reaches it
	// HandleOffer takes over the lease of a planner that is leaving, if possible, and reports
	// whether it has done so.
	HandleOffer func(ctx context.Context, token, end int64) bool
}

var _ plannerpb.Planner = service{}

// service implements the generated interface. It is a separate type because the method
// names would collide with Server's fields.
type service struct{ s *Server }

// Handler returns the handler of the calls below /twirp/.
func (s *Server) Handler() http.Handler { return plannerpb.NewPlannerServer(service{s}) }

// Beat handles a heartbeat.
func (v service) Beat(_ context.Context, r *plannerpb.BeatRequest) (*plannerpb.BeatReply, error) {
	st := v.s.Heartbeat(VM{Name: r.Name, Address: r.Address, Cores: r.Cores, StartTime: r.Born, Leaving: r.Leaving})

	return &plannerpb.BeatReply{
		Plans: st.Plans, Token: st.Token, Age: st.Age.Milliseconds(), Peers: st.Peers, Pending: st.Pending, Counted: st.PendingKnown, Name: st.Name, Renewal: st.Renewal,
		Strongest: st.MaxSuccessorCores,
	}, nil
}

// Succeed takes over the lease that the planner offers.
func (v service) Succeed(ctx context.Context, r *plannerpb.OfferRequest) (*plannerpb.OfferReply, error) {
	return &plannerpb.OfferReply{Taken: v.s.HandleOffer(ctx, r.Token, r.End)}, nil
}

// Submit accepts a job.
func (v service) Submit(ctx context.Context, r *plannerpb.SubmitRequest) (*plannerpb.Outcome, error) {
	c, retryAfter := v.s.Submit(ctx, r.Record, r.Relayed)
	if err := setRetryAfter(ctx, retryAfter); err != nil {
		return nil, errors.Wrap(err, "set header")
	}

	return &plannerpb.Outcome{Code: int32(c)}, nil
}

// Cancel cancels a job.
func (v service) Cancel(ctx context.Context, r *plannerpb.JobRequest) (*plannerpb.Outcome, error) {
	return &plannerpb.Outcome{Code: int32(v.s.Cancel(ctx, r.Id, r.Workspace, r.Relayed))}, nil
}

// State returns a job's phase.
func (v service) State(ctx context.Context, r *plannerpb.JobRequest) (*plannerpb.Outcome, error) {
	p, c := v.s.State(ctx, r.Id, r.Workspace, r.Relayed)

	return &plannerpb.Outcome{Code: int32(c), Phase: int32(p)}, nil
}

// Policy returns the newest configuration that this VM knows.
func (v service) Policy(_ context.Context, r *plannerpb.PolicyRequest) (*plannerpb.PolicyReply, error) {
	version, record, age := v.s.Policy(r.Version)

	return &plannerpb.PolicyReply{Version: version, Record: record, Age: age.Milliseconds()}, nil
}
