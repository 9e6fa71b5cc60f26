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
	standin "sesameyoke/internal/standin/worker"
)

type logFaults = standinlog.Faults

const (
	token          = "a-token-for-tests"
	lease          = 1500 * time.Millisecond
	firstLease     = 600 * time.Millisecond
	checkpointTime = 100 * time.Millisecond
)

// testCluster is a small deployment in one process: stand-ins for the platform and real
// entry VMs, connected over TCP on 127.0.0.1.
type testCluster struct {
	t       testing.TB
	log     *standinlog.Service
	logURL  string
	list    *vms.Service
	listURL string
	workers map[string]*restartableWorker
	fleet   contract.Fleet
	mu      sync.Mutex
	vms     map[string]*serve.VM
}

// restartableWorker is a worker that can be restarted. Its journal includes that of the
// previous incarnations.
type restartableWorker struct {
	current  atomic.Pointer[standin.Worker]
	mu       sync.Mutex
	previous []*standin.Worker
}

func (h *restartableWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.current.Load().Handler().ServeHTTP(w, r)
}

// restart replaces the worker by a new incarnation. The tasks that ran on it are lost.
func (h *restartableWorker) restart(ctx context.Context) {
	w := standin.New(8, checkpointTime)
	go w.Run(ctx, 5*time.Millisecond)
	if old := h.current.Swap(w); old != nil {
		old.Crash()
		h.mu.Lock()
		h.previous = append(h.previous, old)
		h.mu.Unlock()
	}
}

func (h *restartableWorker) journal() []standin.JournalEntry {
	h.mu.Lock()
	defer h.mu.Unlock()

	out := h.current.Load().Journal()
	for _, w := range h.previous {
		out = append(out, w.Journal()...)
	}

	return out
}

// newTestCluster starts the stand-ins, with workers of eight accelerators and six
// workers per rack, and publishes the fleet and the contracts.
func newTestCluster(t testing.TB, workers int, contracts ...contract.Contract) *testCluster {
	r := &testCluster{
		t: t, log: standinlog.New(), list: vms.New(0), workers: map[string]*restartableWorker{}, vms: map[string]*serve.VM{},
	}
	r.logURL = r.serveHandler(r.log.Handler())
	r.listURL = r.serveHandler(r.list.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range workers {
		name := fmt.Sprint("w", i)
		w := &restartableWorker{}
		w.restart(ctx)
		r.workers[name] = w
		r.list.Put(vms.VM{Name: name, Role: "worker", Address: r.serveHandler(w)[len("http://"):]})
		if i%6 == 0 {
			r.fleet.Racks = append(r.fleet.Racks, contract.Rack{Name: fmt.Sprint("r", i/6), Region: "x", Domain: "d"})
		}
		k := &r.fleet.Racks[len(r.fleet.Racks)-1]
		k.Workers = append(k.Workers, contract.Worker{Name: name, Accelerators: 8})
	}
	r.seed(contracts)

	return r
}

// seed publishes the fleet and the contracts through a VM that it stops afterwards.
func (r *testCluster) seed(contracts []contract.Contract) {
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

func (r *testCluster) serveHandler(h http.Handler) string {
	s := httptest.NewServer(h)
	r.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})

	return s.URL
}

func (r *testCluster) settings(name string) settings.Settings {
	s := settings.Settings{
		Name: name, Region: "x", Domain: "d-" + name, Listen: "127.0.0.1:0", Log: r.logURL, VMs: r.listURL, Token: token,
	}
	ms := func(n int) unit.Duration { return unit.Duration{Duration: time.Duration(n) * time.Millisecond} }
	s.Timing = settings.Timing{
		HeartbeatInterval: ms(50), SuspectTimeout: ms(400), RenewInterval: ms(50), WorkerLease: unit.Duration{Duration: lease},
		InitialLeaseTTL: unit.Duration{Duration: firstLease}, ReservationTTL: ms(800),
		CallTimeout: ms(250), AppendTimeout: ms(400), AcceptTimeout: ms(2000), ListInterval: ms(50),
	}
	s.Limits.SnapshotInterval = 100
	s.Defaults()

	return s
}

// start starts an entry VM, with its planners' calls wrapped by ports, and waits until
// it is ready.
func (r *testCluster) start(name string, ports func(gang.Ports) gang.Ports) *serve.VM {
	vm := r.launch(r.settings(name), ports)
	r.ready(vm)

	return vm
}

// launch starts an entry VM without waiting until it is ready.
func (r *testCluster) launch(s settings.Settings, ports func(gang.Ports) gang.Ports) *serve.VM {
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

// ready waits until a VM is ready.
func (r *testCluster) ready(vm *serve.VM) {
	require.Eventually(r.t, func() bool {
		resp, err := http.Get("http://" + vm.Address() + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()

		return resp.StatusCode == http.StatusOK
	}, 10*time.Second, 10*time.Millisecond, "%s is not ready", vm.Settings.Name)
}

// kill stops a VM at once, as a crash would, unless it has already been killed.
func (r *testCluster) kill(vm *serve.VM) {
	r.mu.Lock()
	name := vm.Settings.Name
	running := r.vms[name] == vm
	if running {
		delete(r.vms, name)
	}
	r.mu.Unlock()
	if running {
		r.list.Remove(name)
		vm.Kill()
	}
}

func (r *testCluster) operator(vm *serve.VM) *operator.Client {
	return &operator.Client{Base: "http://" + vm.Address(), Token: token, HTTP: &http.Client{Timeout: 10 * time.Second}}
}

func (r *testCluster) caller(vm *serve.VM) *caller.Client {
	return &caller.Client{Base: "http://" + vm.Address(), HTTP: &http.Client{Timeout: 40 * time.Second}}
}

// startedTasks returns the tasks that have started according to the workers' journals,
// by job.
func (r *testCluster) startedTasks() map[job.Key][]standin.JournalEntry {
	out := map[job.Key][]standin.JournalEntry{}
	for _, w := range r.workers {
		for _, b := range w.journal() {
			out[b.Key] = append(out[b.Key], b)
		}
	}

	return out
}

func basicContract(workspace string, promises ...contract.Promise) contract.Contract {
	c := contract.Contract{Workspace: workspace, Promises: promises, Checkpoint: unit.Seconds(2)}
	c.Defaults()

	return c
}

// jobOf returns an idempotent job that runs for the given time.
func jobOf(workspace, id string, members, width int, work time.Duration) job.Job {
	return job.Job{
		Workspace: workspace, ID: id, Shape: job.Shape{Members: members, Width: width, Adjacent: members > 1},
		Run: unit.Duration{Duration: work}, Idempotent: true, Payload: fmt.Sprintf(`{"work":"%v"}`, work),
	}
}

// nonIdempotent returns the job as a non-idempotent one with a deadline.
func nonIdempotent(j job.Job) job.Job {
	j.Idempotent = false
	j.Deadline = time.Now().Add(20 * time.Second).UTC().Truncate(time.Second)

	return j
}

// awaitAnswer submits the job repeatedly, through any live VM, until it has its answer.
// At the timeout it returns the last answer received.
func (r *testCluster) awaitAnswer(j job.Job, timeout time.Duration) job.Answer {
	deadline := time.Now().Add(timeout)
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
