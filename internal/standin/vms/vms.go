// Package vms is a small stand-in for the platform's list of VMs, which lags.
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
	// VM is one line of the list.
	VM struct {
		Name    string `json:"name"`
		Role    string `json:"role"` // entry or worker
		Address string `json:"address"`
		Region  string `json:"region"`
		Domain  string `json:"domain"`
		Leaving bool   `json:"leaving"`
	}

	// Service holds the list. What is put shows up after Lag.
	Service struct {
		Lag time.Duration
		Now func() time.Time

		mu    sync.Mutex
		shown map[string]VM
		due   []change
	}

	change struct {
		at   time.Time
		name string
		vm   *VM // nil removes
	}
)

// New returns an empty list.
func New(lag time.Duration) *Service {
	return &Service{Lag: lag, Now: time.Now, shown: map[string]VM{}}
}

// Put adds or replaces a VM.
func (s *Service) Put(vm VM) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.due = append(s.due, change{at: s.Now().Add(s.Lag), name: vm.Name, vm: &vm})
}

// Remove takes a VM off the list.
func (s *Service) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.due = append(s.due, change{at: s.Now().Add(s.Lag), name: name})
}

// List returns the VMs as the lagging list shows them, by name.
func (s *Service) List() []VM {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := s.Now()
	for len(s.due) > 0 && !s.due[0].at.After(now) {
		c := s.due[0]
		s.due = s.due[1:]
		if c.vm == nil {
			delete(s.shown, c.name)

			continue
		}
		s.shown[c.name] = *c.vm
	}
	list := make([]VM, 0, len(s.shown))
	for _, vm := range s.shown {
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
