// Command driver plays one case of the review: it starts entry VMs as processes, with the command
// of the deploy file, against a stand-in of the platform's store, workers and cloud, on loopback
// addresses. It exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	host     = "jobs.example"
	bootTime = 15 * time.Second
	ports    = 6 // of one VM: four for calls between VMs, readiness, callers
)

type (
	driver struct {
		trouble bool
		statusS int
		root    string
		dir     string
		store   *metaStore
		cloud   *cloud
		vms     []*vm
		workers []*worker
		began   time.Time
		broken  []string
		orders  atomic.Int64 // calls to workers

		mu     sync.Mutex
		record *os.File
		starts []*startEntry
	}

	// startEntry is a start that a worker has accepted.
	startEntry struct {
		task    string
		run     int64
		worker  string
		at      time.Time
		endedAt time.Time
		how     string
		ackedAt time.Time
	}

	vm struct {
		d        *driver
		index    int
		name     string
		frontend string
		ready    string
		settings string
		cmd      *exec.Cmd
		exited   chan struct{}
	}

	queue struct {
		name, prefix       string
		priority, attempts int
	}

	tenant struct{ name, key string }
)

var (
	queues  = []queue{{"q-urgent", "/urgent/", 0, 3}, {"q-usual", "/usual/", 1, 4}}
	tenants = []tenant{{"t-a", "key-of-tenant-a"}, {"t-b", "key-of-tenant-b"}}
)

func main() {
	name := flag.String("case", "", "case to play")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	limit := flag.Duration("limit", 118*time.Second, "longest time that the case may run")
	statusS := flag.Int("status", 120, "status_s in the settings")
	flag.Parse()
	cases := map[string]func(*driver){"again": again, "wide": wide, "wave": wave, "lease": lease, "gone": gone, "route": route, "terms": terms}
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	d := &driver{trouble: *trouble, statusS: *statusS, store: newStore(), began: time.Now()}
	var err error
	if d.record, err = os.Create(*record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if d.root, err = os.Getwd(); err != nil {
		d.fatal("%v", err)
	}
	if d.dir, err = os.MkdirTemp("", "review"); err != nil {
		d.fatal("%v", err)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(*limit):
		}
		d.fatal("stopped before the end")
	}()
	play(d)
	d.finish()
}

// finish ends all processes and reports the result.
func (d *driver) finish() {
	d.close()
	for _, b := range d.broken {
		d.note("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(d.broken) > 0 {
		os.Exit(1)
	}
	d.note("the rule held")
	fmt.Println("the rule held")
	os.Exit(0)
}

func (d *driver) close() {
	for _, v := range d.vms {
		v.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" && d.dir != "" {
		_ = os.RemoveAll(d.dir)
	}
}

func (d *driver) fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	d.note("could not run: "+format, args...)
	d.close()
	os.Exit(2)
}

func (d *driver) breaks(format string, args ...any) {
	d.broken = append(d.broken, fmt.Sprintf(format, args...))
}

// note writes a line to the record.
func (d *driver) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f s  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

func (d *driver) runStarted(w *worker, o orderBody) {
	d.mu.Lock()
	d.starts = append(d.starts, &startEntry{task: o.Task, run: o.RunID, worker: w.id, at: time.Now()})
	d.mu.Unlock()
	d.note("worker %s starts task %s run %d, fencing token %d", w.id, o.Task, o.RunID, o.FencingToken)
}

func (d *driver) find(w *worker, task string, run int64) *startEntry {
	for i := len(d.starts) - 1; i >= 0; i-- {
		if s := d.starts[i]; s.worker == w.id && s.task == task && s.run == run {
			return s
		}
	}

	return &startEntry{}
}

func (d *driver) runEnded(w *worker, r *taskRun, how string) {
	d.mu.Lock()
	s := d.find(w, r.task, r.run)
	s.endedAt, s.how = time.Now(), how
	d.mu.Unlock()
	d.note("worker %s: task %s run %d ends %s", w.id, r.task, r.run, how)
}

func (d *driver) endAcked(w *worker, e taskEnd) {
	d.mu.Lock()
	d.find(w, e.task, e.run).ackedAt = time.Now()
	d.mu.Unlock()
	d.note("worker %s: end %d (task %s run %d %s) is taken note of", w.id, e.number, e.task, e.run, e.how)
}

// startsOf returns the starts of a job's tasks so far.
func (d *driver) startsOf(id string) []startEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []startEntry
	for _, s := range d.starts {
		if strings.HasPrefix(s.task, id+".") {
			out = append(out, *s)
		}
	}

	return out
}

// publishConfig writes the configuration, as the operator does.
func (d *driver) publishConfig(version int) {
	var routes, ts []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": host, "pathPrefix": q.prefix, "routeType": "non_idempotent", "timeoutMs": 3000, "targetRuntimeMs": 1000,
			"priority": q.priority, "service": serviceName, "attempts": q.attempts, "stretch": 3.0, "public": false,
		})
	}
	for _, t := range tenants {
		ts = append(ts, map[string]any{"name": t.name, "apiKeys": []string{t.key}, "guaranteed": map[string]int{"gpu": 8}})
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": serviceName, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "spare": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  ts,
	})
	d.store.put(names["operator"], "config", b)
	d.note("operator writes configuration %d", version)
}

// boot starts the workers with the given labels and the VMs, and waits until all VMs are ready.
func (d *driver) boot(vms int, labels [][]string) {
	d.publishConfig(1)
	for i, l := range labels {
		w := newWorker(d, i, l)
		w.start()
		d.workers = append(d.workers, w)
	}
	d.cloud = newCloud(d)
	for i := range vms {
		v := d.newVM(i)
		d.vms = append(d.vms, v)
		v.start()
	}
	until := time.Now().Add(bootTime)
	for _, v := range d.vms {
		for !v.isReady() {
			if time.Now().After(until) {
				d.fatal("%s is not ready", v.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	d.note("%d VMs are ready", vms)
	time.Sleep(2 * time.Second)
}

func listen(d *driver, h http.Handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.fatal("listen: %v", err)
	}
	go func() { _ = http.Serve(ln, h) }()

	return ln.Addr().String()
}

// freePorts returns the first of n consecutive free ports, below those that the kernel gives to
// outgoing connections.
func freePorts(d *driver, n int) int {
	for range 500 {
		first, free := 12000+rand.IntN(20000), true
		for i := 0; i < n && free; i++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+i))
			if err != nil {
				free = false

				break
			}
			_ = l.Close()
		}
		if free {
			return first
		}
	}
	d.fatal("no free ports")

	return 0
}

func (d *driver) newVM(i int) *vm {
	first := freePorts(d, ports)
	v := &vm{
		d: d, index: i, name: fmt.Sprintf("edge-z%d-1", i+1),
		frontend: fmt.Sprintf("127.0.0.1:%d", first+ports-1), ready: fmt.Sprintf("127.0.0.1:%d", first+ports-2),
	}
	v.settings = filepath.Join(d.dir, v.name+".yaml")
	text := fmt.Sprintf(`nodeName: %q
role: "entry"
machineClass: "edge"
serves: ["edge"]
ip: "127.0.0.1"
zone: "z%d"
region: "r"
zones: {z1: "r", z2: "r", z3: "r", z4: "r"}
listenAddrs: {frontend: %q, readiness: %q}
internalPorts: [%d, %d]
bootstrap: true
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
discovery: "platform"
entry: "vip"
heartbeatMs: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "tenants", "platform", "advice", "upkeep", "sharing"]
bounds: {seedLagS: 3, addrReuseS: 2, stabilityMs: 3000, ackMs: 4000, syncS: 4, drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, strictRevoke: true, revokeMs: 5000, recoveryS: 12, maxHoldMs: 10000, killGraceMs: 400, gangTimeoutMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: %d, remoteFactor: 3, checkpointS: 1, restoreMs: 600, noticeMs: 4500, migrateS: 1.5, maintenanceS: 2, enforceFencing: true, leaseTtlMs: 3000, thawMs: 300, paceMs: 100, interferenceMs: 4000, reclaimMs: 2900}
orders: "call"
platform: {address: %q, form: "log", writesPerS: 600, readsPerS: 2000, parts: 12, appendMs: 2.0, partMbS: 20.0, readMbS: 80.0, recordBytes: 262144, requestBytes: 2097152, keep_s: 300, partitionMb: 200, minTtlMs: 1000}
cloudApi: {address: %q, ratePerS: 60.0, duties: [], dutyPerS: 60.0}
`, v.name, i+1, v.frontend, v.ready, first, first+ports-3, d.statusS, listen(d, d.store.handler(i)), d.cloud.address)
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		d.fatal("%v", err)
	}

	return v
}

func (v *vm) start() {
	log, err := os.OpenFile(filepath.Join(v.d.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		v.d.fatal("%v", err)
	}
	v.cmd = exec.Command(filepath.Join(v.d.root, "target/sesameyoke"), "entry")
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["settings"] + "=" + v.settings}
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		v.d.fatal("start %s: %v", v.name, err)
	}
	v.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}(v.cmd, v.exited)
	v.d.note("%s starts, process %d", v.name, v.cmd.Process.Pid)
}

func (v *vm) signal(s syscall.Signal) {
	_ = v.cmd.Process.Signal(s)
	v.d.note("%s gets signal %v", v.name, s)
}

func (v *vm) kill() {
	if v.cmd == nil || v.cmd.Process == nil {
		return
	}
	_ = v.cmd.Process.Kill()
	<-v.exited
}

// stop stops the process as the platform does: SIGTERM, then SIGKILL after graceS.
func (v *vm) stop() {
	v.signal(syscall.SIGTERM)
	select {
	case <-v.exited:
	case <-time.After(6 * time.Second):
		v.kill()
	}
	v.d.note("%s has ended", v.name)
}

func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + v.ready + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()

	return r.StatusCode == http.StatusOK
}

// rollingRestart stops and starts all VMs in turn, from the given one on.
func (d *driver) rollingRestart(first int) {
	for i := range d.vms {
		v := d.vms[(first+i)%len(d.vms)]
		v.stop()
		v.start()
		for range 100 {
			if v.isReady() {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(1300 * time.Millisecond)
	}
}

// call makes one call of a client and returns its status (0 without an answer) and body.
func (d *driver) call(v *vm, t tenant, method, path string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+v.frontend+path, bytes.NewReader(body))
	if err != nil {
		d.fatal("%v", err)
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+t.key)
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		d.note("%s: %s %s %s: no answer (%v)", t.name, v.name, method, path, err)

		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	d.note("%s: %s %s %s: %d %s", t.name, v.name, method, path, resp.StatusCode, strings.TrimSpace(string(b)))

	return resp.StatusCode, string(b)
}

// submit hands a job in, with up to four retries at other VMs, and reports whether it was accepted.
func (d *driver) submit(first int, t tenant, q queue, id string, job map[string]any) bool {
	b, _ := json.Marshal(job)
	for i := range 5 {
		if status, _ := d.call(d.vms[(first+i)%len(d.vms)], t, "POST", q.prefix+id, b); status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}

	return false
}

// state asks for a job's state at one VM after the other, and returns the status and the state.
func (d *driver) state(t tenant, q queue, id string) (int, string) {
	var status int
	for _, v := range d.vms {
		var body string
		status, body = d.call(v, t, "GET", q.prefix+id, nil)
		var got struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(body), &got) == nil {
			return status, got.State
		}
	}

	return status, ""
}

// awaitState waits until a job is shown in one of the given states, and returns its last state.
func (d *driver) awaitState(t tenant, q queue, id string, limit time.Duration, states ...string) string {
	last := ""
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		if _, s := d.state(t, q, id); s != "" {
			last = s
		}
		for _, s := range states {
			if s == last {
				return last
			}
		}
	}

	return last
}

// job returns the body of a job of one step.
func job(ms, count int, step map[string]any) map[string]any {
	s := map[string]any{"count": count, "cpu": 1000, names["memory"]: 1000, "gpu": 1, "estimateMs": ms}
	for k, v := range step {
		s[k] = v
	}

	return map[string]any{"spec": fmt.Sprint(ms), "steps": []any{s}}
}
