// Package vms emulates the platform's list of VMs, in which changes become visible with
// a delay.
package vms

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

type (
	// VM is an entry of the list.
	VM struct {
		Name    string `json:"name"`
		Role    string `json:"role"` // entry or worker
		Address string `json:"address"`
		Region  string `json:"region"`
		Domain  string `json:"domain"`
		Leaving bool   `json:"leaving"`
	}

	// Service holds the list. A change becomes visible after Lag.
	Service struct {
		Lag time.Duration
		Now func() time.Time

		mu      sync.Mutex
		visible map[string]VM
		pending []change
	}

	change struct {
		at   time.Time
		name string
		vm   *VM // nil removes the VM
	}
)

// New returns an empty list.
func New(lag time.Duration) *Service {
	return &Service{Lag: lag, Now: time.Now, visible: map[string]VM{}}
}

// Put adds or replaces a VM.
func (s *Service) Put(vm VM) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.pending = append(s.pending, change{at: s.Now().Add(s.Lag), name: vm.Name, vm: &vm})
}

// Remove removes a VM from the list.
func (s *Service) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.pending = append(s.pending, change{at: s.Now().Add(s.Lag), name: name})
}

// List returns the VMs that are visible now, sorted by name.
func (s *Service) List() []VM {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := s.Now()
	for len(s.pending) > 0 && !s.pending[0].at.After(now) {
		c := s.pending[0]
		s.pending = s.pending[1:]
		if c.vm == nil {
			delete(s.visible, c.name)

			continue
		}
		s.visible[c.name] = *c.vm
	}
	list := make([]VM, 0, len(s.visible))
	for _, vm := range s.visible {
		list = append(list, vm)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })

	return list
}

// Handler serves GET /vms, PUT /vms and DELETE /vms/{name}.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/vms", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.List())
	})
	r.Put("/vms", func(w http.ResponseWriter, r *http.Request) {
		var vm VM
		if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)

			return
		}
		s.Put(vm)
	})
	r.Delete("/vms/{name}", func(_ http.ResponseWriter, r *http.Request) {
		s.Remove(chi.URLParam(r, "name"))
	})

	return r
}
