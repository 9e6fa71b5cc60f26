// Package policy holds the configuration that operators publish: queues, services,
// workspaces with their API keys and guarantees, and limits.
package policy

import (
	"slices"
	"strings"
	"time"
)

type (
	// Queue accepts jobs on a path prefix of a host.
	Queue struct {
		Name     string
		Host     string
		Prefix   string
		Service  string        // service whose workers run the tasks
		Priority int           // 0 is the highest and may preempt others
		Attempts int           // failed runs of a task after which its job fails; 0 for no limit
		Stretch  float64       // a job's objective is to end within Stretch times its run time plus Target
		Target   time.Duration // see Stretch
		Public   bool          // accepts requests without an API key
		Advised  bool          // a placement service decides which workers may run a step
	}

	// Service is a pool of workers.
	Service struct {
		Name             string
		EnforcesCapacity bool // its workers reject runs that exceed their capacity
		Spare            bool // its workers are switched off
	}

	// Workspace is a group of callers with a common guarantee.
	Workspace struct {
		Name       string
		Keys       []string // API keys of its callers
		Guaranteed int      // accelerators guaranteed to its jobs of priority 0
	}

	// Limits bounds the requests of callers.
	Limits struct {
		Header int64         // maximum size in bytes
		Body   int64         // maximum size in bytes
		Idle   time.Duration // idle timeout of connections
	}

	// Policy is one version of the configuration of the VMs that run "sesameyoke entry".
	// config.Policy is a part of the configuration of those that run "sesameyoke serve".
	Policy struct {
		Version    int64
		Queues     []Queue
		Services   []Service
		Workspaces []Workspace
		Limits     Limits

		byKey  map[string]string
		byName map[string]*Queue
		byHost map[string][]*Queue // longest prefix first
	}
)

// Index builds the lookup tables. Call it once before any lookup.
func (p *Policy) Index() {
	p.byKey = map[string]string{}
	for _, w := range p.Workspaces {
		for _, k := range w.Keys {
			p.byKey[k] = w.Name
		}
	}
	p.byName = map[string]*Queue{}
	p.byHost = map[string][]*Queue{}
	for i := range p.Queues {
		q := &p.Queues[i]
		p.byName[q.Name] = q
		p.byHost[q.Host] = append(p.byHost[q.Host], q)
	}
	for _, qs := range p.byHost {
		slices.SortStableFunc(qs, func(a, b *Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Route returns the queue of the host with the longest prefix of path, or nil.
func (p *Policy) Route(host, path string) *Queue {
	for _, q := range p.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) {
			return q
		}
	}

	return nil
}

// Queue returns the queue with the given name, or nil.
func (p *Policy) Queue(name string) *Queue { return p.byName[name] }

// KeyOwner returns the name of the workspace that an API key belongs to.
func (p *Policy) KeyOwner(key string) (string, bool) {
	w, ok := p.byKey[key]

	return w, ok
}

// Guaranteed returns the number of accelerators guaranteed to a workspace.
func (p *Policy) Guaranteed(workspace string) int {
	for i := range p.Workspaces {
		if p.Workspaces[i].Name == workspace {
			return p.Workspaces[i].Guaranteed
		}
	}

	return 0
}
