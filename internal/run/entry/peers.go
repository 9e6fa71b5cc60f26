package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/planner"
	"sesameyoke/internal/run/lead"
)

const (
	peerTTL               = 10 * time.Second        // a VM is dropped from the list of peers if nobody reported it for this long
	successorMaxSilence   = 1200 * time.Millisecond // a VM that has sent no heartbeat for this long is not offered the lease
	successorMinCoreShare = 0.75                    // share of the strongest VM's cores that a successor must have
	transferCoreRatio     = 1.5                     // a VM with this many times the planner's cores replaces it
)

// peer is another VM that this one knows.
type peer struct {
	planner.VM
	lastSeen      time.Duration // boot time at which its address was last reported
	lastHeartbeat time.Duration // boot time of its last heartbeat to this VM; 0 if none
}

// Heartbeat sends a heartbeat to the planner and returns the state of its lease. It stores
// what the answer says about the other VMs and the pending jobs.
func (e *Entry) Heartbeat(ctx context.Context, h lead.Holder) (lead.LeaseStatus, error) {
	st, err := e.PeerClient.Heartbeat(ctx, h.Address, planner.VM{
		Name: e.Name, Address: e.Address, Cores: e.Cores, StartTime: e.StartTime, Leaving: e.Leaving(),
	})
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return lead.LeaseStatus{}, errors.Wrap(lead.ErrNoProcess, err.Error())
	case err != nil:
		return lead.LeaseStatus{}, err
	case st.Name != "" && st.Name != h.Name:
		return lead.LeaseStatus{}, errors.Wrapf(lead.ErrReplaced, "address of VM %q is now used by %q", h.Name, st.Name)
	case !st.Plans || st.Token != h.Token:
		return lead.LeaseStatus{}, errors.Errorf("VM %q is not the planner under token %d", h.Name, h.Token)
	}
	e.successorCores.Store(math.Float64bits(st.MaxSuccessorCores))
	now := e.SinceBoot()
	if st.PendingKnown {
		e.pending.Store(&pendingCount{byQueue: st.Pending, at: now})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range st.Peers {
		v := e.peers[p]
		v.lastSeen = now
		e.peers[p] = v
	}

	return lead.LeaseStatus{Age: st.Age, Renewal: st.Renewal}, nil
}

// Server returns the handlers of the calls from other VMs.
func (e *Entry) Server() *planner.Server {
	return &planner.Server{
		Heartbeat: e.handleHeartbeat, Submit: e.handleSubmit, Cancel: e.handleCancel, State: e.handleState, Policy: e.Watcher.ServePeer, Store: e.Direct,
		HandleOffer: e.Elector.HandleOffer,
	}
}

// handleHeartbeat records the sender of a heartbeat as a peer and returns the peers and,
// if this VM is the planner, the state of its lease and the pending jobs.
func (e *Entry) handleHeartbeat(from planner.VM) planner.Status {
	g, l := e.engine.Load(), e.Elector.Lease()
	now := e.SinceBoot()
	var peers []string
	e.mu.Lock()
	if from.Address != "" {
		e.peers[from.Address] = peer{VM: from, lastSeen: now, lastHeartbeat: now}
	}
	for p, v := range e.peers {
		if now-v.lastSeen > peerTTL {
			delete(e.peers, p)
		} else {
			peers = append(peers, p)
		}
	}
	e.mu.Unlock()
	if g == nil || l == nil {
		return planner.Status{Name: e.Name, Peers: peers}
	}
	n, ok := g.Pending()
	age, renewal := l.Renewed()
	_, cores := e.successor()

	return planner.Status{
		MaxSuccessorCores: cores, Name: e.Name, Plans: true, Token: l.Token, Age: age, Renewal: renewal, Peers: append(peers, e.Address), Pending: n, PendingKnown: ok,
	}
}

// handleSubmit handles a job submitted through this VM by another one. A VM that is not
// the planner passes the job on only if relayed is set, and without setting it again, so
// that a job is relayed at most once.
func (e *Entry) handleSubmit(ctx context.Context, record []byte, relayed bool) code.Code {
	if e.engine.Load() == nil && !relayed {
		return code.NotReady
	}

	return e.plannerSubmit(ctx, record, false)
}

func (e *Entry) handleCancel(ctx context.Context, id, workspace string, relayed bool) code.Code {
	if e.engine.Load() == nil && !relayed {
		return code.NotReady
	}

	return e.plannerCancel(ctx, id, workspace, false)
}

func (e *Entry) handleState(ctx context.Context, id, workspace string, relayed bool) (work.Phase, code.Code) {
	if e.engine.Load() == nil && !relayed {
		return 0, code.NotReady
	}

	return e.plannerState(ctx, id, workspace, false)
}

// FetchPolicy requests the configuration from another VM, preferably not the planner.
func (e *Entry) FetchPolicy(ctx context.Context, have int64) ([]byte, time.Duration, error) {
	to, ok := e.randomPeer()
	if !ok {
		if to, ok = e.planner(); !ok {
			return nil, -1, errors.New("no other VM to ask for the configuration is known")
		}
	}

	return e.PeerClient.Policy(ctx, to, have)
}

// ResponseContext returns a context that ends shortly before a caller stops waiting for the
// answer.
func ResponseContext(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, max(wait-responseMargin, wait/2))
}

// Strength ranks this VM by the cores of the successor that the planner has reported.
func (e *Entry) Strength() lead.Strength {
	reported := math.Float64frombits(e.successorCores.Load())
	switch {
	case reported == 0:
		return lead.Unknown
	case e.Cores < successorMinCoreShare*reported:
		return lead.Weak
	}

	return lead.Strong
}

// Successor returns the preferred successor of this VM as planner: of the VMs with enough
// cores that send this VM heartbeats, the one that started last, because a rolling
// restart reaches it last.
func (e *Entry) Successor() (string, bool) {
	to, _ := e.successor()

	return to, to != ""
}

// Stronger returns the preferred successor if it has at least transferCoreRatio times the
// cores of this VM and should therefore become the planner at once.
func (e *Entry) Stronger() (string, bool) {
	to, cores := e.successor()

	return to, to != "" && cores >= transferCoreRatio*e.Cores
}

// successor returns the address and cores of the preferred successor: of the eligible VMs
// with at least successorMinCoreShare of the strongest one's cores, the one that started
// last. The address is empty if there is none.
func (e *Entry) successor() (address string, cores float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.SinceBoot()
	strongest := 0.0
	for a, v := range e.peers {
		if v.eligible(now) && a != e.Address {
			strongest = max(strongest, v.Cores)
		}
	}
	newest := int64(0)
	for a, v := range e.peers {
		if v.eligible(now) && a != e.Address && v.Cores >= successorMinCoreShare*strongest && v.StartTime > newest {
			address, cores, newest = a, v.Cores, v.StartTime
		}
	}

	return address, cores
}

// eligible reports whether a VM may become the planner: it is not leaving and has sent a
// heartbeat recently.
func (p peer) eligible(now time.Duration) bool {
	return !p.Leaving && now-p.lastHeartbeat < successorMaxSilence && p.lastHeartbeat != 0
}

// PeerAddresses returns the addresses of the other known VMs in random order.
func (e *Entry) PeerAddresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]string, 0, len(e.peers))
	for a := range e.peers {
		if a != e.Address {
			all = append(all, a)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })

	return all
}

// AllReadCompact reports whether all VMs that this one knows of have told that they read compact progress
// records. A VM whose heartbeat has not arrived yet may be one of a version that doesn't.
func (e *Entry) AllReadCompact() bool { return e.allMarked(lead.CompactMark + lead.GrantMark) }

// AllReadMoved reports whether all VMs that this one knows of have told that they read a journal in any
// partition. A VM whose heartbeat has not arrived yet may be one of a version that doesn't.
func (e *Entry) AllReadMoved() bool {
	return e.allMarked(lead.JournalMark + lead.CompactMark + lead.GrantMark)
}

// allMarked reports whether the names of all other VMs that were seen recently end with a mark.
func (e *Entry) allMarked(mark string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.SinceBoot()
	for a, v := range e.peers {
		if a != e.Address && now-v.lastSeen <= peerTTL && !strings.HasSuffix(v.Name, mark) {
			return false
		}
	}

	return true
}
