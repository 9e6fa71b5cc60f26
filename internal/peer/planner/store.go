package planner

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/peer/planner/plannerpb"
	"sesameyoke/internal/peer/store"
)

// Store calls that a VM makes on behalf of another. The partition follows the call, after a slash,
// unless it is 0. A VM of a version that knows no partitions refuses such a call as unknown, and
// doesn't make it in partition 0.
const (
	appendCall = "append"
	readCall   = "read"
	newestCall = "newest"
)

// Faults of a store call, as they are returned to the calling VM.
const (
	refusedFault   = "refused"
	invalidFault   = "invalid"
	unknownFault   = "unknown"
	fencedFault    = "fenced"
	conditionFault = "condition"
	sequenceFault  = "sequence"
	truncatedFault = "truncated"
)

// Store returns the platform's store as reached through the VM at the given address. If
// that VM does not answer, a call fails with store.ErrUnknown, because an append may
// have been executed.
func (c *Client) Store(to string) *store.Store {
	return &store.Store{
		Append: func(ctx context.Context, a store.Append) (int64, error) {
			r, err := c.storeCall(ctx, to, &plannerpb.StoreRequest{
				Call: callIn(appendCall, a.Part), Topic: a.Topic, Records: recordsToProto(a.Records), At: a.ExpectedEnd, Producer: a.Producer, Epoch: a.Epoch, Sequence: a.Sequence,
			})
			if err != nil {
				return 0, err
			}

			return r.End, nil
		},
		Read: func(ctx context.Context, topic string, from int64, wait time.Duration) (store.Range, error) {
			r, err := c.storeCall(ctx, to, &plannerpb.StoreRequest{Call: readCall, Topic: topic, From: from, Wait: wait.Milliseconds()})
			if err != nil {
				return store.Range{}, err
			}

			return store.Range{Records: recordsFromProto(r.Records), End: r.End, First: r.First}, nil
		},
		Newest: func(ctx context.Context, topic string, part int, after string) (store.Page, error) {
			r, err := c.storeCall(ctx, to, &plannerpb.StoreRequest{Call: callIn(newestCall, part), Topic: topic, After: after})
			if err != nil {
				return store.Page{}, err
			}

			return store.Page{Records: recordsFromProto(r.Records), More: r.More, End: r.End}, nil
		},
	}
}

// callIn returns the name of a call in a partition.
func callIn(call string, part int) string {
	if part == 0 {
		return call
	}

	return call + "/" + strconv.Itoa(part)
}

// parseCall returns the call and the partition that a name tells. A name that callIn doesn't return
// is no call.
func parseCall(name string) (call string, part int) {
	call, number, found := strings.Cut(name, "/")
	if !found {
		return name, 0
	}
	part, err := strconv.Atoi(number)
	if err != nil || part < 1 {
		return name, 0
	}

	return call, part
}

func (c *Client) storeCall(ctx context.Context, to string, q *plannerpb.StoreRequest) (*plannerpb.StoreReply, error) {
	r, err := c.peer(to).Store(ctx, q)
	if err != nil {
		return nil, errors.Wrapf(store.ErrUnknown, "%s through %s: %v", q.Call, to, err)
	}

	return r, errors.Wrapf(faultError(r), "through %s", to)
}

// faultError returns the store error for the fault in a reply, or nil if there is none.
func faultError(r *plannerpb.StoreReply) error {
	switch r.Fault {
	case "":
		return nil
	case refusedFault:
		return errors.Wrap(store.ErrRefused, r.Reason)
	case invalidFault:
		return errors.Wrap(store.ErrInvalid, r.Reason)
	case fencedFault:
		return store.ErrFenced
	case conditionFault:
		return &store.ConditionError{End: r.Number}
	case sequenceFault:
		return &store.SequenceError{Expected: r.Number}
	case truncatedFault:
		return &store.TruncatedError{First: r.Number}
	}

	return errors.Wrap(store.ErrUnknown, r.Reason)
}

// faultReply encodes a store error as a reply. An error of any other kind becomes the
// fault unknown.
func faultReply(err error) *plannerpb.StoreReply {
	var (
		condition *store.ConditionError
		sequence  *store.SequenceError
		truncated *store.TruncatedError
	)
	r := &plannerpb.StoreReply{Fault: unknownFault, Reason: err.Error()}
	switch {
	case errors.Is(err, store.ErrInvalid):
		r.Fault = invalidFault
	case errors.Is(err, store.ErrRefused):
		r.Fault = refusedFault
	case errors.Is(err, store.ErrFenced):
		r.Fault = fencedFault
	case errors.As(err, &condition):
		r.Fault, r.Number = conditionFault, condition.End
	case errors.As(err, &sequence):
		r.Fault, r.Number = sequenceFault, sequence.Expected
	case errors.As(err, &truncated):
		r.Fault, r.Number = truncatedFault, truncated.First
	}

	return r
}

// Store makes one call to the platform's store on behalf of another VM.
func (v service) Store(ctx context.Context, q *plannerpb.StoreRequest) (*plannerpb.StoreReply, error) {
	r, err := v.storeReply(ctx, q)
	if err != nil {
		return faultReply(err), nil
	}

	return r, nil
}

func (v service) storeReply(ctx context.Context, q *plannerpb.StoreRequest) (*plannerpb.StoreReply, error) {
	call, part := parseCall(q.Call)
	switch call {
	case appendCall:
		end, err := v.s.Store.Append(ctx, store.Append{
			Topic: q.Topic, Part: part, Records: recordsFromProto(q.Records), ExpectedEnd: q.At, Producer: q.Producer, Epoch: q.Epoch, Sequence: q.Sequence,
		})

		return &plannerpb.StoreReply{End: end}, err
	case readCall:
		if part != 0 {
			break
		}
		r, err := v.s.Store.Read(ctx, q.Topic, q.From, time.Duration(q.Wait)*time.Millisecond)

		return &plannerpb.StoreReply{Records: recordsToProto(r.Records), End: r.End, First: r.First}, err
	case newestCall:
		p, err := v.s.Store.Newest(ctx, q.Topic, part, q.After)

		return &plannerpb.StoreReply{Records: recordsToProto(p.Records), More: p.More, End: p.End}, err
	}

	return nil, errors.Wrapf(store.ErrRefused, "call %q is not known", q.Call)
}

func recordsToProto(rs []store.Record) []*plannerpb.StoreRecord {
	out := make([]*plannerpb.StoreRecord, 0, len(rs))
	for _, r := range rs {
		out = append(out, &plannerpb.StoreRecord{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}

	return out
}

func recordsFromProto(rs []*plannerpb.StoreRecord) []store.Record {
	in := make([]store.Record, 0, len(rs))
	for _, r := range rs {
		in = append(in, store.Record{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}

	return in
}
