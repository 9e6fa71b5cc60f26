// Package entry implements the calls between the VMs that run "sesameyoke serve" over Twirp:
// heartbeats, records and snapshots of the streams, and jobs offered to the planner. Package
// peer/planner implements those between the VMs that run "sesameyoke entry".
package entry

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sesameyoke/internal/peer/entry/entrypb"
)

type (
	// Member is the state of an entry VM according to its last heartbeat.
	Member struct {
		Name          string    `json:"name"`
		Address       string    `json:"address"`
		Region        string    `json:"region"`
		Domain        string    `json:"domain"`
		Incarnation   string    `json:"life"`
		Leaving       bool      `json:"leaving"`
		Ready         bool      `json:"ready"`
		ConfigOffset  int64     `json:"config"` // applied offset of the config stream
		JobsOffset    int64     `json:"jobs"`   // applied offset of the jobs stream
		LastHeartbeat time.Time `json:"heard"`
	}

	// Members is the table of live entry VMs. The VM list gives the addresses to
	// send heartbeats to; the heartbeats decide which VMs are live.
	Members struct {
		Self           func() Member   // this VM's own state
		Seeds          func() []string // addresses of the entry VMs in the VM list
		SuspectTimeout time.Duration   // a peer without a heartbeat for longer than this is not live
		CallTimeout    time.Duration   // timeout of one heartbeat
		Now            func() time.Time
		OnHeartbeat    func(Member) // called for every heartbeat received; may be nil

		client *http.Client
		mu     sync.Mutex
		peers  map[string]Member // by name
		live   atomic.Pointer[[]Member]
	}
)

// NewClient returns the HTTP client for calls between entry VMs. Each call is bounded
// by its context. If a call times out, its connection is closed, so that the next call
// uses a new one.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}}
}

// Init initializes the table. It must be called before any other method.
func (m *Members) Init(client *http.Client) {
	m.client = client
	m.peers = make(map[string]Member)
	m.live.Store(&[]Member{})
}

// SendHeartbeats sends a heartbeat to every known peer, waits for the replies, and
// updates the table of live VMs.
func (m *Members) SendHeartbeats(ctx context.Context) {
	self := m.Self()
	var wait sync.WaitGroup
	for _, addr := range m.addresses(self.Address) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			m.sendHeartbeat(ctx, addr, self)
		}()
	}
	wait.Wait()
	m.updateLive()
}

func (m *Members) sendHeartbeat(ctx context.Context, addr string, self Member) {
	ctx, cancel := context.WithTimeout(ctx, m.CallTimeout)
	defer cancel()

	reply, err := m.Peer(addr).Beat(ctx, ToProto(self))
	if err == nil {
		m.HandleHeartbeat(reply)
	}
}

// Peer returns a client for the entry VM at an address.
func (m *Members) Peer(addr string) entrypb.Entry {
	return entrypb.NewEntryProtobufClient("http://"+addr, m.client)
}

// HandleHeartbeat records a heartbeat or the reply to one. It ignores those of this VM and
// those without a name.
func (m *Members) HandleHeartbeat(h *entrypb.Heartbeat) {
	if h.Name == "" || h.Name == m.Self().Name {
		return
	}
	peer := fromProto(h)
	peer.LastHeartbeat = m.Now()
	m.mu.Lock()
	m.peers[peer.Name] = peer
	m.mu.Unlock()
	if m.OnHeartbeat != nil {
		m.OnHeartbeat(peer)
	}
}

// addresses returns the sorted addresses of the peers from the VM list and from
// heartbeats. It also removes peers whose last heartbeat is older than ten times the
// suspect timeout.
func (m *Members) addresses(self string) []string {
	set := make(map[string]bool)
	for _, a := range m.Seeds() {
		set[a] = true
	}
	m.mu.Lock()
	for name, p := range m.peers {
		set[p.Address] = true
		if m.Now().Sub(p.LastHeartbeat) > 10*m.SuspectTimeout {
			delete(m.peers, name)
		}
	}
	m.mu.Unlock()
	delete(set, self)
	delete(set, "")
	list := make([]string, 0, len(set))
	for a := range set {
		list = append(list, a)
	}
	sort.Strings(list)

	return list
}

// updateLive replaces the table that Live returns.
func (m *Members) updateLive() {
	self := m.Self()
	self.LastHeartbeat = m.Now()
	live := []Member{self}
	m.mu.Lock()
	for _, p := range m.peers {
		if m.Now().Sub(p.LastHeartbeat) <= m.SuspectTimeout {
			live = append(live, p)
		}
	}
	m.mu.Unlock()
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	m.live.Store(&live)
}

// Live returns the live entry VMs, including this one, sorted by name. The slice must
// not be modified.
func (m *Members) Live() []Member {
	return *m.live.Load()
}

// Planner returns the live entry VM that is the planner of a region. It is chosen by
// rendezvous hashing among the VMs that are ready and not leaving, so that only the
// regions of a VM that joins or leaves get another planner. The VMs in the region take
// precedence over all others. The result is false if there is no such VM.
func (m *Members) Planner(region string) (Member, bool) {
	var best Member
	var bestHash uint64
	found := false
	for pass := range 2 {
		for _, p := range m.Live() {
			if p.Leaving || !p.Ready || pass == 0 && p.Region != region {
				continue
			}
			h := xxhash.Sum64String(region + "/" + p.Name)
			if !found || h > bestHash {
				best, bestHash, found = p, h, true
			}
		}
		if found {
			break // VMs in the region take precedence
		}
	}

	return best, found
}

// ToProto converts a member to a heartbeat message.
func ToProto(m Member) *entrypb.Heartbeat {
	return &entrypb.Heartbeat{
		Name: m.Name, Address: m.Address, Region: m.Region, Domain: m.Domain, Life: m.Incarnation,
		Leaving: m.Leaving, Ready: m.Ready, Config: m.ConfigOffset, Jobs: m.JobsOffset,
	}
}

func fromProto(h *entrypb.Heartbeat) Member {
	return Member{
		Name: h.Name, Address: h.Address, Region: h.Region, Domain: h.Domain, Incarnation: h.Life,
		Leaving: h.Leaving, Ready: h.Ready, ConfigOffset: h.Config, JobsOffset: h.Jobs,
	}
}
