package entry

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/twitchtv/twirp"

	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/plan"
	"sesameyoke/internal/peer/entry/entrypb"
	"sesameyoke/internal/peer/log"
)

const maxRecords = 2000 // maximum number of records in one reply

// Server handles the calls of other entry VMs.
type Server struct {
	Members   *Members
	Tail      func(stream string) *log.Tail              // nil for an unknown stream
	Offer     func(j job.Job) *job.Answer                // accepts a job; nil while it has no answer
	IsPlanner func(region string) bool                   // whether this VM is the planner of a region
	Racks     func(ctx context.Context) []plan.Occupancy // occupancy of the regions that this VM plans
}

var _ entrypb.Entry = (*service)(nil)

// service implements the generated interface. It is a separate type because the method
// names would collide with Server's fields.
type service struct{ *Server }

// Handler returns the handler of the calls below /twirp/.
func (s *Server) Handler() http.Handler {
	return entrypb.NewEntryServer(service{s})
}

// Beat records a heartbeat and replies with this VM's own.
func (s service) Beat(_ context.Context, h *entrypb.Heartbeat) (*entrypb.Heartbeat, error) {
	s.Members.HandleHeartbeat(h)

	return ToProto(s.Members.Self()), nil
}

// Records returns records of a stream that are still in memory.
func (s service) Records(_ context.Context, r *entrypb.RecordsRequest) (*entrypb.RecordsReply, error) {
	t := s.Tail(r.Stream)
	if t == nil {
		return nil, twirp.NotFoundError("stream " + r.Stream)
	}
	records, ok := t.Recent(r.From, min(int(r.Max), maxRecords))

	return &entrypb.RecordsReply{First: r.From, Records: records, Missing: !ok}, nil
}

// Snapshot returns a snapshot of the state of a stream.
func (s service) Snapshot(_ context.Context, r *entrypb.SnapshotRequest) (*entrypb.SnapshotReply, error) {
	t := s.Tail(r.Stream)
	if t == nil {
		return nil, twirp.NotFoundError("stream " + r.Stream)
	}
	upto, state, err := t.Snapshot()
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}

	return &entrypb.SnapshotReply{Upto: upto, State: state}, nil
}

// Offer hands an idempotent job to this VM's planner while the log is down. It does not wait
// for the job's answer: the reply has none while the job is open, and the caller polls. If
// this VM is not the planner of the job's region, the job is not accepted.
func (s service) Offer(_ context.Context, r *entrypb.OfferRequest) (*entrypb.OfferReply, error) {
	var j job.Job
	if err := json.Unmarshal(r.Job, &j); err != nil {
		return nil, twirp.InvalidArgumentError("job", err.Error())
	}
	if !s.IsPlanner(j.Region) {
		return &entrypb.OfferReply{}, nil
	}
	a := s.Server.Offer(j)
	if a == nil {
		return &entrypb.OfferReply{Planner: true}, nil
	}
	b, err := json.Marshal(a)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}

	return &entrypb.OfferReply{Planner: true, Answer: b}, nil
}

// Racks returns the occupancy of all regions that this VM plans, if it is the planner of the
// requested one.
func (s service) Racks(ctx context.Context, r *entrypb.RacksRequest) (*entrypb.RacksReply, error) {
	if !s.IsPlanner(r.Region) {
		return &entrypb.RacksReply{}, nil
	}
	b, err := json.Marshal(s.Server.Racks(ctx))
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}

	return &entrypb.RacksReply{Planner: true, Racks: b}, nil
}
