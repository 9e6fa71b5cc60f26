package serve_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	plog "github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/config"
	"sesameyoke/internal/core/contract"
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/unit"
	"sesameyoke/internal/peer/caller"
	"sesameyoke/internal/peer/operator"
	"sesameyoke/internal/run/gang"
	"sesameyoke/internal/run/serve"
	"sesameyoke/internal/run/settings"
	standinlog "sesameyoke/internal/standin/log"
	"sesameyoke/internal/standin/vms"
	"sesameyoke/internal/standin/worker"
)

type standinFaults = standinlog.Faults

const (
	token  = "a-token-for-tests"
	lease  = 1500 * time.Millisecond
	first  = 600 * time.Millisecond
	saving = 100 * time.Millisecond
)

// rig is a small deployment: stand-ins of the platform and real entry VMs, all in
// this process, over TCP on 127.0.0.1.
type rig struct {
	t       testing.TB
	log     *standinlog.Service
	logURL  string
	list    *vms.Service
	listURL string
	workers map[string]*host
	fleet   contract.Fleet
	mu      sync.Mutex
	vms     map[string]*serve.VM
}

// host is a worker that can be restarted: its journal outlives it.
type host struct {
	now  atomic.Pointer[worker.Worker]
	mu   sync.Mutex
	past []*worker.Worker
}

func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.now.Load().Handler().ServeHTTP(w, r)
}

// restart puts a new incarnation in the worker's place; what ran there is gone.
func (h *host) restart(ctx context.Context) {
	w := worker.New(8, saving)
	go w.Run(ctx, 5*time.Millisecond)
	if old := h.now.Swap(w); old != nil {
		old.Halt()
		h.mu.Lock()
		h.past = append(h.past, old)
		h.mu.Unlock()
	}
}

func (h *host) journal() []worker.Begun {
	h.mu.Lock()
	defer h.mu.Unlock()

	out := h.now.Load().Journal()
	for _, w := range h.past {
		out = append(out, w.Journal()...)
	}

	return out
}

// newRig starts the stand-ins with workers of eight accelerators, six to a rack, and
// one contract for each name.
func newRig(t testing.TB, workers int, contracts ...contract.Contract) *rig {
	r := &rig{
		t: t, log: standinlog.New(), list: vms.New(0), workers: map[string]*host{}, vms: map[string]*serve.VM{},
	}
	r.logURL = r.host(r.log.Handler())
	r.listURL = r.host(r.list.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range workers {
		name := fmt.Sprint("w", i)
		w := &host{}
		w.restart(ctx)
		r.workers[name] = w
		r.list.Put(vms.VM{Name: name, Role: "worker", Address: r.host(w)[len("http://"):]})
		if i%6 == 0 {
			r.fleet.Racks = append(r.fleet.Racks, contract.Rack{Name: fmt.Sprint("r", i/6), Region: "x", Domain: "d"})
		}
		k := &r.fleet.Racks[len(r.fleet.Racks)-1]
		k.Workers = append(k.Workers, contract.Worker{Name: name, Accelerators: 8})
	}
	r.seed(contracts)

	return r
}

// seed writes fleet and contracts to the log, as if published long ago.
func (r *rig) seed(contracts []contract.Contract) {
	s := r.start("seed", nil)
	cl := r.operator(s)
	e, err := cl.Publish(context.Background(), config.Change{Kind: config.KindFleet, Author: "op", Fleet: &r.fleet})
	require.NoError(r.t, err)
	require.Equal(r.t, code.Accepted, e.Code, e.Reason)
	for _, c := range contracts {
		e, err := cl.Publish(context.Background(), config.Change{Kind: config.KindContract, Author: "op", Contract: &c})
		require.NoError(r.t, err)
		require.Equal(r.t, code.Accepted, e.Code, e.Reason)
	}
	r.kill(s)
}

func (r *rig) host(h http.Handler) string {
	s := httptest.NewServer(h)
	r.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})

	return s.URL
}

func (r *rig) settings(name string) settings.Settings {
	s := settings.Settings{
		Name: name, Region: "x", Domain: "d-" + name, Listen: "127.0.0.1:0", Log: r.logURL, VMs: r.listURL, Token: token,
	}
	ms := func(n int) unit.Duration { return unit.Duration{Duration: time.Duration(n) * time.Millisecond} }
	s.Timing = settings.Timing{
		Beat: ms(50), Suspect: ms(400), Renew: ms(50), Lease: unit.Duration{Duration: lease},
		First: unit.Duration{Duration: first}, Reserve: ms(800), Call: ms(250), Append: ms(400), Accept: ms(2000), List: ms(50),
	}
	s.Limits.Snapshot = 100
	s.Defaults()

	return s
}

// start starts an entry VM with changed calls and waits until it is ready.
func (r *rig) start(name string, ports func(gang.Ports) gang.Ports) *serve.VM {
	vm := r.launch(r.settings(name), ports)
	r.ready(vm)

	return vm
}

func (r *rig) launch(s settings.Settings, ports func(gang.Ports) gang.Ports) *serve.VM {
	vm := serve.New(s, &plog.Logger{Level: plog.PanicLevel, Writer: plog.IOWriter{Writer: io.Discard}})
	vm.Ports = ports
	require.NoError(r.t, vm.Start())
	r.mu.Lock()
	r.vms[s.Name] = vm
	r.mu.Unlock()
	r.list.Put(vms.VM{Name: s.Name, Role: "entry", Address: vm.Address(), Region: "x"})
	r.t.Cleanup(func() { r.kill(vm) })

	return vm
}

func (r *rig) ready(vm *serve.VM) {
	require.Eventually(r.t, func() bool {
		resp, err := http.Get("http://" + vm.Address() + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()

		return resp.StatusCode == http.StatusOK
	}, 10*time.Second, 10*time.Millisecond, "%s is not ready", vm.Settings.Name)
}

// kill ends a VM as a crash would.
func (r *rig) kill(vm *serve.VM) {
	r.mu.Lock()
	name := vm.Settings.Name
	mine := r.vms[name] == vm
	if mine {
		delete(r.vms, name)
	}
	r.mu.Unlock()
	if mine {
		r.list.Remove(name)
		vm.Kill()
	}
}

func (r *rig) operator(vm *serve.VM) *operator.Client {
	return &operator.Client{Base: "http://" + vm.Address(), Token: token, HTTP: &http.Client{Timeout: 10 * time.Second}}
}

func (r *rig) caller(vm *serve.VM) *caller.Client {
	return &caller.Client{Base: "http://" + vm.Address(), HTTP: &http.Client{Timeout: 40 * time.Second}}
}

// begun returns what has really begun, by job.
func (r *rig) begun() map[job.Key][]worker.Begun {
	out := map[job.Key][]worker.Begun{}
	for _, w := range r.workers {
		for _, b := range w.journal() {
			out[b.Key] = append(out[b.Key], b)
		}
	}

	return out
}

func plain(workspace string, promises ...contract.Promise) contract.Contract {
	c := contract.Contract{Workspace: workspace, Promises: promises, Checkpoint: unit.Seconds(2)}
	c.Defaults()

	return c
}

// jobOf returns a job that works for the time given.
func jobOf(workspace, id string, members, width int, work time.Duration) job.Job {
	return job.Job{
		Workspace: workspace, ID: id, Shape: job.Shape{Members: members, Width: width, Adjacent: members > 1},
		Run: unit.Duration{Duration: work}, Idempotent: true, Payload: fmt.Sprintf(`{"work":"%v"}`, work),
	}
}

// once makes a job non-idempotent.
func once(j job.Job) job.Job {
	j.Idempotent = false
	j.Deadline = time.Now().Add(20 * time.Second).UTC().Truncate(time.Second)

	return j
}

// settle asks again and again, through any live VM, until the job has its answer.
func (r *rig) settle(j job.Job, patience time.Duration) job.Answer {
	deadline := time.Now().Add(patience)
	var last job.Answer
	for time.Now().Before(deadline) {
		r.mu.Lock()
		var vm *serve.VM
		for _, v := range r.vms {
			vm = v
		}
		r.mu.Unlock()
		if vm == nil {
			time.Sleep(50 * time.Millisecond)

			continue
		}
		a, err := r.caller(vm).Submit(context.Background(), j, time.Second)
		if err == nil && a.Key == j.Key() {
			last = a
			switch a.Code {
			case code.Pending, code.LogDown, code.NotReady, code.Overloaded, code.NoWorkspace:
			default:
				if a.Code != code.Unknown || !a.Finished.IsZero() {
					return a
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}

	return last
}
