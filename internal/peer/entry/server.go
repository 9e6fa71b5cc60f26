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

const maxRecords = 2000

// Server answers the other entry VMs.
type Server struct {
	Members *Members
	Tail    func(stream string) *log.Tail // nil for an unknown stream
	Offer   func(j job.Job) *job.Answer
	Plans   func(region string) bool
	Racks   func(ctx context.Context) []plan.Occupancy
}

var _ entrypb.Entry = (*service)(nil)

// service keeps the generated interface off Server's fields.
type service struct{ *Server }

// Handler serves the calls below /twirp/.
func (s *Server) Handler() http.Handler {
	return entrypb.NewEntryServer(service{s})
}

// Beat takes in a heartbeat and answers with this VM's own.
func (s service) Beat(_ context.Context, h *entrypb.Heartbeat) (*entrypb.Heartbeat, error) {
	s.Members.Hear(h)

	return ToProto(s.Members.Self()), nil
}

// Records returns records that are still in memory.
func (s service) Records(_ context.Context, r *entrypb.RecordsRequest) (*entrypb.RecordsReply, error) {
	t := s.Tail(r.Stream)
	if t == nil {
		return nil, twirp.NotFoundError("stream " + r.Stream)
	}
	records, ok := t.Recent(r.From, min(int(r.Max), maxRecords))

	return &entrypb.RecordsReply{First: r.From, Records: records, Missing: !ok}, nil
}

// Snapshot returns the folded state of a stream.
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

// Offer takes an idempotent job while the log is down.
func (s service) Offer(_ context.Context, r *entrypb.OfferRequest) (*entrypb.OfferReply, error) {
	var j job.Job
	if err := json.Unmarshal(r.Job, &j); err != nil {
		return nil, twirp.InvalidArgumentError("job", err.Error())
	}
	if !s.Plans(j.Region) {
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

// Racks returns the occupancy that this VM has planned.
func (s service) Racks(ctx context.Context, r *entrypb.RacksRequest) (*entrypb.RacksReply, error) {
	if !s.Plans(r.Region) {
		return &entrypb.RacksReply{}, nil
	}
	b, err := json.Marshal(s.Server.Racks(ctx))
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}

	return &entrypb.RacksReply{Planner: true, Racks: b}, nil
}
