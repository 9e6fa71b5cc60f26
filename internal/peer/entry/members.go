// Package entry speaks to the other entry VMs, by twirp: heartbeats, records and
// snapshots of the streams, and jobs handed to the planner.
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
	// Member is an entry VM as its heartbeats show it.
	Member struct {
		Name    string    `json:"name"`
		Address string    `json:"address"`
		Region  string    `json:"region"`
		Domain  string    `json:"domain"`
		Life    string    `json:"life"`
		Leaving bool      `json:"leaving"`
		Ready   bool      `json:"ready"`
		Config  int64     `json:"config"` // applied offsets
		Jobs    int64     `json:"jobs"`
		Heard   time.Time `json:"heard"`
	}

	// Members is the table of live entry VMs. The VM list says whom to ask;
	// heartbeats decide who is alive.
	Members struct {
		Self    func() Member   // what this VM says of itself
		Seeds   func() []string // addresses of the VM list
		Suspect time.Duration
		Call    time.Duration
		Now     func() time.Time
		Shown   func(Member) // told of every heartbeat

		client *http.Client
		mu     sync.Mutex
		heard  map[string]Member // by name
		table  atomic.Pointer[[]Member]
	}
)

// NewClient returns the HTTP client for calls between entry VMs. Each call is bounded
// by its context; the connection of one that is not answered in time is closed, so
// that the next one dials anew.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}}
}

// Start prepares the table.
func (m *Members) Start(client *http.Client) {
	m.client = client
	m.heard = make(map[string]Member)
	m.table.Store(&[]Member{})
}

// Beat sends a heartbeat to every peer that is known and waits for the replies.
func (m *Members) Beat(ctx context.Context) {
	self := m.Self()
	var wait sync.WaitGroup
	for _, addr := range m.addresses(self.Address) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			m.beatOne(ctx, addr, self)
		}()
	}
	wait.Wait()
	m.publish()
}

func (m *Members) beatOne(ctx context.Context, addr string, self Member) {
	ctx, cancel := context.WithTimeout(ctx, m.Call)
	defer cancel()

	reply, err := m.Peer(addr).Beat(ctx, ToProto(self))
	if err == nil {
		m.Hear(reply)
	}
}

// Peer returns the client of an entry VM.
func (m *Members) Peer(addr string) entrypb.Entry {
	return entrypb.NewEntryProtobufClient("http://"+addr, m.client)
}

// Hear takes in a heartbeat or a reply to one.
func (m *Members) Hear(h *entrypb.Heartbeat) {
	if h.Name == "" || h.Name == m.Self().Name {
		return
	}
	peer := fromProto(h)
	peer.Heard = m.Now()
	m.mu.Lock()
	m.heard[peer.Name] = peer
	m.mu.Unlock()
	if m.Shown != nil {
		m.Shown(peer)
	}
}

func (m *Members) addresses(self string) []string {
	set := make(map[string]bool)
	for _, a := range m.Seeds() {
		set[a] = true
	}
	m.mu.Lock()
	for name, p := range m.heard {
		set[p.Address] = true
		if m.Now().Sub(p.Heard) > 10*m.Suspect {
			delete(m.heard, name)
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

// publish replaces the table that readers see.
func (m *Members) publish() {
	self := m.Self()
	self.Heard = m.Now()
	live := []Member{self}
	m.mu.Lock()
	for _, p := range m.heard {
		if m.Now().Sub(p.Heard) <= m.Suspect {
			live = append(live, p)
		}
	}
	m.mu.Unlock()
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	m.table.Store(&live)
}

// Live returns the live entry VMs, this one among them, by name. The slice must
// not be changed.
func (m *Members) Live() []Member {
	return *m.table.Load()
}

// Planner returns the live entry VM that plans a region, chosen by rendezvous
// hashing: when a VM comes or goes, only the regions it planned move. ok is false
// when no VM is live.
func (m *Members) Planner(region string) (Member, bool) {
	var best Member
	var top uint64
	found := false
	for local := range 2 {
		for _, p := range m.Live() {
			if p.Leaving || !p.Ready || local == 0 && p.Region != region {
				continue
			}
			h := xxhash.Sum64String(region + "/" + p.Name)
			if !found || h > top {
				best, top, found = p, h, true
			}
		}
		if found {
			break // a VM of the region goes before any other
		}
	}

	return best, found
}

// ToProto returns the heartbeat of a member.
func ToProto(m Member) *entrypb.Heartbeat {
	return &entrypb.Heartbeat{
		Name: m.Name, Address: m.Address, Region: m.Region, Domain: m.Domain, Life: m.Life,
		Leaving: m.Leaving, Ready: m.Ready, Config: m.Config, Jobs: m.Jobs,
	}
}

func fromProto(h *entrypb.Heartbeat) Member {
	return Member{
		Name: h.Name, Address: h.Address, Region: h.Region, Domain: h.Domain, Life: h.Life,
		Leaving: h.Leaving, Ready: h.Ready, Config: h.Config, Jobs: h.Jobs,
	}
}
