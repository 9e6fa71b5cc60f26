// Command stand3 runs the script cases of the third review: entry VMs as processes against stand-ins of the
// platform, its store, the workers and the callers, all on loopback addresses.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/standin/fleet"
	"sesameyoke/platform"
	"sesameyoke/platform/standin"
)

const (
	portsPerVM   = 8
	firstPort    = 10000 // below the ports that the system gives to outgoing connections
	lastPort     = 19900
	readyTimeout = 15 * time.Second
	clientWait   = 3 * time.Second // the clients' deadline
)

// settings are those of a small deployment; the bounds are those of emrc-cotiza.
const settings = `nodeName: %q
role: "entry"
machineClass: "edge"
serves: ["edge"]
ip: "127.0.0.1"
zone: "z1"
region: "r"
zones: {z1: "r"}
listenAddrs: {frontend: %q, readiness: %q}
internalPorts: [%d, %d]
seeds: []
bootstrap: true
faultCounted: false
limits: {cpuShare: 0.4, cores: 1, memoryMb: %d, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "tenants", "platform"]
faultTolerance: {machines: 2, zones: 0, regions: 0}
bounds: {seedLagS: 3, addrReuseS: 2, stabilityMs: 3000, ackMs: 4000, syncS: 4, drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, strictRevoke: true, revokeMs: 5000, recoveryS: 12, maxHoldMs: 10000, killGraceMs: 400, gangTimeoutMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, remoteFactor: 3, checkpointS: 1, restoreMs: 600, enforceFencing: true, leaseTtlMs: 3000, reclaimMs: 2900}
orders: "call"
platform: {address: %q, form: "log", writesPerS: 600, readsPerS: 2000, parts: 12, appendMs: 2.0, partMbS: 20.0, readMbS: 80.0, recordBytes: 262144, requestBytes: 2097152, keep_s: 300, partitionMb: 200, minTtlMs: 1000}
`

type (
	// route is a queue of the configuration.
	route struct {
		Name       string  `json:"name"`
		Host       string  `json:"host"`
		PathPrefix string  `json:"pathPrefix"`
		RouteType  string  `json:"routeType"`
		TimeoutMs  int     `json:"timeoutMs"`
		Target     int     `json:"targetRuntimeMs"`
		Priority   int     `json:"priority"`
		Service    string  `json:"service"`
		Attempts   int     `json:"attempts"`
		Stretch    float64 `json:"stretch"`
		Public     bool    `json:"public"`
	}

	// deployment is a running deployment with its stand-ins.
	deployment struct {
		ctx      context.Context
		stop     context.CancelFunc
		dir      string
		binary   string
		memoryMB int
		platform standin.Platform
		vms      []*vm
		version  int64
		writer   atomic.Int32 // number of the VM that last wrote to the store under a condition

		mu     sync.Mutex
		record *os.File
		began  time.Time
	}

	// vm is an entry VM.
	vm struct {
		d         *deployment
		number    int
		name      string
		frontend  string
		readiness string
		first     int
		settings  string
		reserved  net.Listener
		cmd       *exec.Cmd
		exited    chan struct{}
		ended     atomic.Pointer[string] // how the process ended
		// store is called for each call to the platform; it returns true if it has answered itself.
		gate atomic.Pointer[func(w http.ResponseWriter, r *http.Request) bool]
	}
)

func newDeployment(ctx context.Context, record string, vms, workers, memoryMB int) (*deployment, error) {
	d := &deployment{binary: binary(), memoryMB: memoryMB, began: time.Now()}
	d.ctx, d.stop = context.WithCancel(ctx)
	d.writer.Store(-1)
	var err error
	if d.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if d.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	half := func() float64 { return 0.5 }
	d.platform = standin.Platform{Store: fleet.NewStore(half), Fleet: fleet.NewFleet(half)}
	for i := range workers {
		d.platform.Fleet.Add(fmt.Sprintf("w%d", i), "s", fmt.Sprintf("r%d", i/4), work.Shape{CPU: 32000, Memory: 65536, Accelerators: 8})
	}
	for i := range vms {
		v, err := d.newVM(i)
		if err != nil {
			return nil, err
		}
		d.vms = append(d.vms, v)
	}

	return d, nil
}

func binary() string {
	if b := os.Getenv("SESAMEYOKE"); b != "" {
		return b
	}

	return "target/sesameyoke"
}

// notef writes a line to the record.
func (d *deployment) notef(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f ", time.Since(d.began).Seconds())
	fmt.Fprintf(d.record, format+"\n", args...)
}

func (d *deployment) newVM(i int) (*vm, error) {
	v := &vm{d: d, number: i, name: fmt.Sprintf("vm%d", i)}
	ln, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := d.platform.Handler()
	s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == names["append"] && r.URL.Query().Has("at") {
			d.writer.Store(int32(i))
		}
		if g := v.gate.Load(); g != nil && (*g)(w, r) {
			return
		}
		h.ServeHTTP(w, r)
	})}
	go func() { _ = s.Serve(ln) }()
	context.AfterFunc(d.ctx, func() { _ = s.Close() })
	if v.first, v.reserved, err = reservePorts(d.ctx); err != nil {
		return nil, err
	}
	v.frontend, v.readiness = v.address(portsPerVM-1), v.address(portsPerVM-2)
	v.settings = filepath.Join(d.dir, v.name+".yaml")
	file := fmt.Sprintf(settings, v.name, v.frontend, v.readiness, v.first, v.first+portsPerVM-3, d.memoryMB, ln.Addr().String())

	return v, os.WriteFile(v.settings, []byte(file), 0o600)
}

func (v *vm) address(n int) string { return fmt.Sprintf("127.0.0.1:%d", v.first+n) }

// reservePorts returns the first of portsPerVM free ports. The listener on the port before them keeps other
// runs from using them.
func reservePorts(ctx context.Context) (int, net.Listener, error) {
	listen := func(port int) (net.Listener, error) {
		return (&net.ListenConfig{}).Listen(ctx, "tcp", fmt.Sprintf("127.0.0.1:%d", port))
	}
next:
	for port := firstPort; port+portsPerVM < lastPort; port += portsPerVM + 1 {
		reserved, err := listen(port)
		if err != nil {
			continue
		}
		for i := 1; i <= portsPerVM; i++ {
			ln, err := listen(port + i)
			if err != nil {
				_ = reserved.Close()

				continue next
			}
			_ = ln.Close()
		}

		return port + 1, reserved, nil
	}

	return 0, nil, fmt.Errorf("no free ports")
}

// publish writes a configuration with the given routes.
func (d *deployment) publish(routes ...route) {
	d.version += 3
	b, err := json.Marshal(map[string]any{
		"version": d.version, "routes": routes,
		"services": []any{map[string]any{"name": "s", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "spare": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			map[string]any{"name": "t1", "apiKeys": []string{"key-of-t1"}, "priority": 1, "guaranteed": map[string]any{"gpu": 16}},
			map[string]any{"name": "t2", "apiKeys": []string{"key-of-t2"}, "priority": 1, "guaranteed": map[string]any{"gpu": 8}},
		},
	})
	if err != nil {
		panic(err)
	}
	d.platform.Store.Put(platform.OperatorTopic, platform.ConfigKey, b)
	d.notef("operator: configuration %s", b)
}

func batch(public bool) route {
	return route{Name: "batch", Host: "jobs.example", PathPrefix: "/batch/", RouteType: "non_idempotent", TimeoutMs: 3000, Target: 1000, Priority: 1, Service: "s", Attempts: 3, Stretch: 3, Public: public}
}

// start starts the platform and all VMs, and waits until these are ready.
func (d *deployment) start() error {
	go d.platform.Fleet.Run(d.ctx)
	ln, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: d.platform.Handler()}
	go func() { _ = s.Serve(ln) }()
	context.AfterFunc(d.ctx, func() { _ = s.Close() })
	go d.platform.PublishWorkers(d.ctx, ln.Addr().String())
	for _, v := range d.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	until := time.Now().Add(readyTimeout)
	for time.Now().Before(until) {
		ready := 0
		for _, v := range d.vms {
			if v.ready() {
				ready++
			}
		}
		if ready == len(d.vms) && d.writer.Load() >= 0 {
			d.notef("all %d VMs are ready", ready)

			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}

	return fmt.Errorf("not all VMs are ready in %v", readyTimeout)
}

func (v *vm) start() error {
	out, err := os.OpenFile(filepath.Join(v.d.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words := strings.Fields(v.d.binary + " entry")
	v.cmd = exec.Command(words[0], words[1:]...)
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + v.settings}
	v.cmd.Stdout, v.cmd.Stderr = out, out
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	processes.Lock()
	defer processes.Unlock()
	if processes.ended {
		return fmt.Errorf("the case is being ended")
	}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	processes.all = append(processes.all, v.cmd.Process)
	v.ended.Store(nil)
	v.exited = make(chan struct{})
	v.d.notef("%s: started", v.name)
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		how := cmd.ProcessState.String()
		v.ended.Store(&how)
		v.d.notef("%s: process ended: %s", v.name, how)
		_ = out.Close()
		close(exited)
	}(v.cmd, v.exited)

	return nil
}

func (v *vm) signal(s syscall.Signal) {
	v.d.notef("%s: signal %v", v.name, s)
	_ = v.cmd.Process.Signal(s)
}

func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	<-v.exited
}

func (v *vm) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + v.readiness + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()

	return r.StatusCode == http.StatusOK
}

// processes are all processes that have been started.
var processes struct {
	sync.Mutex

	all   []*os.Process
	ended bool
}

// killAll ends all processes, and lets no further ones start.
func killAll() {
	processes.Lock()
	defer processes.Unlock()
	processes.ended = true
	for _, p := range processes.all {
		_ = p.Kill() // fails if it has ended already
	}
}

// close ends all processes. The directory with the logs stays if KEEP is set.
func (d *deployment) close() {
	for _, r := range d.platform.Fleet.Runs() {
		d.notef("run %s.%d.%d.%d number %d on %s: %.3f to %.3f %s", r.Task.Job, r.Task.Occur, r.Task.Step, r.Task.Index, r.Run, r.Worker,
			r.From.Sub(d.began).Seconds(), r.To.Sub(d.began).Seconds(), r.How)
	}
	for _, v := range d.vms {
		if v.cmd != nil && v.ended.Load() == nil {
			_ = v.cmd.Process.Signal(syscall.SIGCONT)
			_ = v.cmd.Process.Kill()
			<-v.exited
		}
		_ = v.reserved.Close()
	}
	d.stop()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", d.dir)
	} else {
		_ = os.RemoveAll(d.dir)
	}
	_ = d.record.Close()
}

// call makes a client's request. The status is 0 without an answer.
func (d *deployment) call(v *vm, method, path, key string, body []byte) (int, string) {
	req, err := http.NewRequestWithContext(d.ctx, method, "http://"+v.frontend+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "jobs.example"
	req.Header.Set("Deadline-Ms", fmt.Sprint(clientWait.Milliseconds()))
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	c := http.Client{Timeout: clientWait, Transport: &http.Transport{DisableKeepAlives: true}}
	sent := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		d.notef("client: %s %s at %s: no answer after %v: %v", method, path, v.name, time.Since(sent).Round(time.Millisecond), err)

		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		d.notef("client: %s %s at %s: incomplete answer: %v", method, path, v.name, err)

		return 0, err.Error()
	}
	d.notef("client: %s %s at %s: %d %s (%v)", method, path, v.name, resp.StatusCode, bytes.TrimSpace(b), time.Since(sent).Round(time.Millisecond))

	return resp.StatusCode, string(b)
}

// submit hands a job in, and tells the workers what to expect.
func (d *deployment) submit(v *vm, prefix, key string, j work.Job) (int, string) {
	d.platform.Fleet.RecordSubmission(j)

	return d.call(v, http.MethodPost, prefix+j.ID, key, standin.JobBody(j))
}

// planner returns the VM that last wrote to the store under a condition.
func (d *deployment) planner() *vm { return d.vms[d.writer.Load()] }

// others returns the VMs but one.
func (d *deployment) others(not *vm) []*vm {
	var all []*vm
	for _, v := range d.vms {
		if v != not {
			all = append(all, v)
		}
	}

	return all
}

// runsOf returns the runs of a job.
func (d *deployment) runsOf(id string) []fleet.RunRecord {
	var all []fleet.RunRecord
	for _, r := range d.platform.Fleet.Runs() {
		if r.Task.Job == id {
			all = append(all, r)
		}
	}

	return all
}

// lengths lets all runs take the given time and succeed.
func (d *deployment) lengths(length time.Duration) {
	d.platform.Fleet.SetOutcome(func(work.Task, int64, string) (time.Duration, target.How) { return length, target.Done })
}
