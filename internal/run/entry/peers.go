package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/planner"
	"sesameyoke/internal/run/lead"
)

const (
	peerLife  = 10 * time.Second        // a VM that has not been heard of for so long is forgotten
	heirHeard = 1200 * time.Millisecond // a VM that has not asked for so long is not offered the lease
	heirCores = 0.75                    // of the strongest VM's cores that a planner should have
	moveCores = 1.5                     // a VM with so many times this one's cores plans in its place
)

// peer is another VM.
type peer struct {
	planner.VM
	heard time.Duration // its address was heard of at
	asked time.Duration // it asked this VM at
}

// Ask asks the planner for its standing and takes over what it tells.
func (e *Entry) Ask(ctx context.Context, h lead.Holder) (lead.Sign, error) {
	st, err := e.Peers.Beat(ctx, h.Address, planner.VM{
		Name: e.Name, Address: e.Address, Cores: e.Cores, Born: e.Born, Leaving: e.Leaving(),
	})
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return lead.Sign{}, errors.Wrap(lead.ErrNoProcess, err.Error())
	case err != nil:
		return lead.Sign{}, err
	case st.Name != "" && st.Name != h.Name:
		return lead.Sign{}, errors.Wrapf(lead.ErrReplaced, "VM %q has become %q", h.Name, st.Name)
	case !st.Plans || st.Token != h.Token:
		return lead.Sign{}, errors.Errorf("VM %q does not plan under token %d", h.Name, h.Token)
	}
	e.strongest.Store(math.Float64bits(st.Strongest))
	now := e.Boot()
	if st.Counted {
		e.pending.Store(&pendingCount{byQueue: st.Pending, at: now})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range st.Peers {
		v := e.peers[p]
		v.heard = now
		e.peers[p] = v
	}

	return lead.Sign{Age: st.Age, Renewal: st.Renewal}, nil
}

// Server answers the other VMs.
func (e *Entry) Server() *planner.Server {
	return &planner.Server{
		Beat: e.beat, Submit: e.submitFor, Cancel: e.cancelFor, State: e.stateFor, Policy: e.Follower.Tell, Store: e.Direct,
		Succeed: e.Elector.Offered,
	}
}

func (e *Entry) beat(from planner.VM) planner.Standing {
	g, l := e.engine.Load(), e.Elector.Lease()
	now := e.Boot()
	var peers []string
	e.mu.Lock()
	if from.Address != "" {
		e.peers[from.Address] = peer{VM: from, heard: now, asked: now}
	}
	for p, v := range e.peers {
		if now-v.heard > peerLife {
			delete(e.peers, p)
		} else {
			peers = append(peers, p)
		}
	}
	e.mu.Unlock()
	if g == nil || l == nil {
		return planner.Standing{Name: e.Name, Peers: peers}
	}
	n, ok := g.Pending()
	age, renewal := l.Renewed()
	_, strongest := e.heir()

	return planner.Standing{
		Strongest: strongest, Name: e.Name, Plans: true, Token: l.Token, Age: age, Renewal: renewal, Peers: append(peers, e.Address), Pending: n, Counted: ok,
	}
}

// submitFor takes a job from another VM; it relays it at most once.
func (e *Entry) submitFor(ctx context.Context, record []byte, relayed bool) code.Code {
	if e.engine.Load() == nil && !relayed {
		return code.NotReady
	}

	return e.plannerSubmit(ctx, record, false)
}

func (e *Entry) cancelFor(ctx context.Context, id, workspace string, relayed bool) code.Code {
	if e.engine.Load() == nil && !relayed {
		return code.NotReady
	}

	return e.plannerCancel(ctx, id, workspace, false)
}

func (e *Entry) stateFor(ctx context.Context, id, workspace string, relayed bool) (work.Phase, code.Code) {
	if e.engine.Load() == nil && !relayed {
		return 0, code.NotReady
	}

	return e.plannerState(ctx, id, workspace, false)
}

// AskPolicy asks another VM for the configuration.
func (e *Entry) AskPolicy(ctx context.Context, have int64) ([]byte, time.Duration, error) {
	to, ok := e.anyPeer()
	if !ok {
		if to, ok = e.planner(); !ok {
			return nil, -1, errors.New("no other VM is known")
		}
	}

	return e.Peers.Policy(ctx, to, have)
}

// Deadline returns a context for a caller that waits so long.
func Deadline(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, max(wait-answerSlack, wait/2))
}

// Strength compares this VM with the strongest one that the planner knows of.
func (e *Entry) Strength() lead.Strength {
	strongest := math.Float64frombits(e.strongest.Load())
	switch {
	case strongest == 0:
		return lead.Unknown
	case e.Cores < heirCores*strongest:
		return lead.Weak
	}

	return lead.Strong
}

// Heir returns the VM that may best plan next: a strong one that asks for this
// VM's standing, and that has begun last, since restarts in turn come to it last.
func (e *Entry) Heir() (string, bool) {
	to, _ := e.heir()

	return to, to != ""
}

// Stronger returns the heir if it is so much stronger than this VM that it should
// plan at once.
func (e *Entry) Stronger() (string, bool) {
	to, cores := e.heir()

	return to, to != "" && cores >= moveCores*e.Cores
}

// heir returns the VM that may best plan next, with its cores.
func (e *Entry) heir() (address string, cores float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Boot()
	strong := 0.0
	for a, v := range e.peers {
		if v.fit(now) && a != e.Address {
			strong = max(strong, v.Cores)
		}
	}
	born := int64(0)
	for a, v := range e.peers {
		if v.fit(now) && a != e.Address && v.Cores >= heirCores*strong && v.Born > born {
			address, cores, born = a, v.Cores, v.Born
		}
	}

	return address, cores
}

// fit reports whether a VM may plan next.
func (p peer) fit(now time.Duration) bool {
	return !p.Leaving && now-p.asked < heirHeard && p.asked != 0
}

// Others returns the addresses of the other VMs that are known, in any order.
func (e *Entry) Others() []string {
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
