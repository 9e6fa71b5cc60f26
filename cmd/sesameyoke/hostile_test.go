package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/config"
	"sesameyoke/internal/core/contract"
	"sesameyoke/internal/peer/operator"
	"sesameyoke/internal/standin/fleet"
	standinlog "sesameyoke/internal/standin/log"
	"sesameyoke/internal/standin/vms"
	"sesameyoke/platform"
	"sesameyoke/platform/standin"
)

// The crowd and the bounds of the tests with hostile clients. They are not adapted to the code.
const (
	hostileClients   = 256
	hostileMemoryMB  = 64   // resident memory and bytes that the process has not read yet
	hostileFDs       = 400  // limit in the settings of TestHostileClients: 50 connections
	hostileManyFDs   = 1200 // limit in the settings of the other tests: 245 connections
	hostileFileFDs   = 200  // of these, descriptors that connections must leave for files
	hostileSendTime  = 2 * time.Second
	hostileSample    = 20 * time.Millisecond
	hostileFirstPort = 32100           // above the ports of soaks and below those of outgoing connections
	hostileJobHold   = 3 * time.Second // for which the store answers no appends in TestHostileJobs
	hostileToken     = "token-of-test"
	hostileKeptJobs  = 16      // of each client in TestHostileKept
	hostileKeptBytes = 60_000  // about the size of these jobs
	hostileJobBytes  = 250_000 // about the size of the jobs in TestHostileJobs
)

type (
	// attack is what each hostile client sends.
	attack struct {
		name, head, piece string
		pieces, clients   int
	}

	// target is the process under attack.
	target struct {
		pid     int
		address string // of the listener for ordinary callers
		victim  string // address of the listener under attack
		call    string // request line and headers of a request to the victim
		exited  chan error
		path    func(n int) string // path of the n-th submission
		headers string
		body    string
		status  int   // of the answer to a submission
		sent    int   // submissions so far
		fds     int   // limit in its settings
		ports   []int // of its listeners
	}

	// usage is what a process needed at most.
	usage struct {
		memoryKB, fds int
	}
)

// entryListeners are the listeners of entry that are not for callers, with a request to each.
var entryListeners = []struct {
	name, request string
	port          int // relative to the port of callers
}{
	{"peers", "POST /twirp/sesameyoke.planner.Planner/Submit", -2},
	{"metrics", "POST /metrics", -1},
	{"readiness", "GET /ready", 1},
}

var repeated = regexp.MustCompile(`(.)\*(\d+)`)

// TestHostileClients attacks real processes, with limits of memory and of descriptors in their settings.
// It guards against a process that hostile clients end by using up its memory or its descriptors, or
// that gives ordinary callers no answer while they stay connected or after they have left.
func TestHostileClients(t *testing.T) {
	binary := buildBinary(t)
	for _, a := range readAttacks(t, "testdata/hostile") {
		t.Run("entry/"+a.name, func(t *testing.T) { a.run(t, startEntry(t, binary, hostileFDs, answerAtOnce)) })
		t.Run("serve/"+a.name, func(t *testing.T) { a.run(t, startServe(t, binary, hostileFDs)) })
	}
}

// TestHostileCalls attacks the listeners that are not for callers, and the calls between VMs on the
// listener of serve. It guards against a process that ends because these bodies have no limit.
func TestHostileCalls(t *testing.T) {
	binary := buildBinary(t)
	for _, a := range readAttacks(t, "testdata/hostile-calls") {
		for _, l := range entryListeners {
			t.Run("entry/"+l.name+"/"+a.name, func(t *testing.T) {
				to := startEntry(t, binary, hostileManyFDs, answerAtOnce)
				to.victim, to.call = portAfter(t, to.address, l.port), callTo(l.request)
				a.run(t, to)
			})
		}
		t.Run("serve/"+a.name, func(t *testing.T) {
			to := startServe(t, binary, hostileManyFDs)
			to.call = callTo("POST /twirp/sesameyoke.entry.Entry/Offer")
			a.run(t, to)
		})
	}
}

// TestHostileMix attacks all listeners of entry at once, each with all attacks. It guards against limits
// that hold for each listener, but not for the process.
func TestHostileMix(t *testing.T) {
	to := startEntry(t, buildBinary(t), hostileManyFDs, answerAtOnce)
	var senders []func(sent func(), leave <-chan struct{})
	add := func(victim, call string, attacks []attack) {
		on := *to
		on.victim, on.call = victim, call
		for i := range hostileClients {
			a := attacks[i%len(attacks)]
			senders = append(senders, func(sent func(), leave <-chan struct{}) { a.attend(&on, i, sent, leave) })
		}
	}
	add(to.address, "", readAttacks(t, "testdata/hostile"))
	for _, l := range entryListeners {
		add(portAfter(t, to.address, l.port), callTo(l.request), readAttacks(t, "testdata/hostile-calls"))
	}
	to.await(t, "before the attack", "")
	most := to.attackDuring(t, senders, func() { to.await(t, "during the attack", "") })
	to.await(t, "after the attack", strings.Repeat(" ", 200_000))
	most.check(t, to.fds)
}

// TestHostileJobs submits large jobs while the store answers no appends. It guards against a process
// that ends because no limit counts the decoded jobs that wait for the store.
func TestHostileJobs(t *testing.T) {
	binary := buildBinary(t)
	for name, body := range map[string]string{
		"dependencies": `{"steps":[{"count":1},{"count":1,"dependsOn":[0` + strings.Repeat(",0", hostileJobBytes/2) + `]}]}`,
		"image":        `{"steps":[{"count":1,"image":"` + strings.Repeat("a", hostileJobBytes) + `"}]}`,
		"small":        `{"steps":[{"count":1},{"count":1,"dependsOn":[0` + strings.Repeat(",0", 8000) + `]}]}`,
	} {
		head := fmt.Sprintf("$JOBDeadline-Ms: 20000\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		t.Run(name, func(t *testing.T) { attack{name: name, head: head, clients: hostileClients}.runWithoutStore(t, binary) })
	}
}

// TestHostileKept submits many jobs of legal size to entry while nobody plans. It guards against a process
// that ends because nothing bounds the jobs that it has accepted.
func TestHostileKept(t *testing.T) {
	to := startEntry(t, buildBinary(t), hostileManyFDs, answerAtOnce)
	to.await(t, "before the attack", "") // the VM does not plan yet
	a := submissions(standin.QueuePrefix+"$ID", to.headers, `{"steps":[{"count":1,"gpu":1,"image":"$TEXT"}]}`)
	a.runToFill(t, to, standin.QueuePrefix)
}

// TestHostileKeptServe is TestHostileKept for serve.
func TestHostileKeptServe(t *testing.T) {
	to := startServe(t, buildBinary(t), hostileManyFDs)
	publishContract(t, to.address)
	a := submissions("/v1/jobs", to.headers, `{"workspace":"w","id":"$ID","payload":"$TEXT","run":"1s","idempotent":true}`)
	a.runToFill(t, to, "/v1/jobs/w/unknown")
}

// submissions is an attack with many jobs on each connection. $ID stands for an ID of each job, and $TEXT
// for what makes it large.
func submissions(path, headers, body string) attack {
	body = strings.ReplaceAll(body, "$TEXT", strings.Repeat("a", hostileKeptBytes))
	length := len(strings.ReplaceAll(body, "$ID", strings.Repeat("0", 16)))
	piece := fmt.Sprintf("POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", path, headers, length, body)

	return attack{name: "jobs", piece: piece, pieces: hostileKeptJobs, clients: hostileClients}
}

// runToFill is run with an ordinary call that is no submission, because the crowd may fill the process.
func (a attack) runToFill(t *testing.T, to *target, path string) {
	call := func() string { return to.send("GET", path, "") }
	most := to.attackDuring(t, a.crowd(to), func() { to.awaitStatus(t, "during the attack", call) })
	to.awaitStatus(t, "after the attack", call)
	most.check(t, to.fds)
}

// publishContract puts a contract for workspace w in force.
func publishContract(t *testing.T, address string) {
	c := operator.Client{Base: "http://" + address, Token: hostileToken, HTTP: http.DefaultClient}
	publish := func() bool {
		e, err := c.Publish(t.Context(), config.Change{Kind: config.KindContract, Author: "op", Contract: &contract.Contract{Workspace: "w", Quota: 1}})

		return err == nil && e.Code == code.Accepted
	}
	require.Eventually(t, publish, awaitLimit, awaitInterval)
}

// runWithoutStore is run with a store that answers no appends until the crowd has sent its requests and
// hostileJobHold has passed. What the crowd submits may fill the planner, so that the ordinary call
// afterwards is not a submission.
func (a attack) runWithoutStore(t *testing.T, binary string) {
	var stopped atomic.Bool
	answer := make(chan struct{})
	to := startEntry(t, binary, hostileManyFDs, func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if stopped.Load() && strings.HasSuffix(r.URL.Path, "-append") {
				select {
				case <-answer:
				case <-r.Context().Done():
				}
			}
			h.ServeHTTP(w, r)
		})
	})
	to.await(t, "before the attack", "")
	stopped.Store(true)
	most := to.attackDuring(t, a.crowd(to), func() {
		time.Sleep(hostileJobHold)
		close(answer)
		to.awaitStatus(t, "during the attack", func() string { return to.send("GET", standin.QueuePrefix, "") })
	})
	to.awaitStatus(t, "after the attack", func() string { return to.send("GET", standin.QueuePrefix, "") })
	most.check(t, to.fds)
}

func buildBinary(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "sesameyoke")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, ".").CombinedOutput()
	require.NoError(t, err, string(out))

	return binary
}

func answerAtOnce(h http.Handler) http.Handler { return h }

func callTo(request string) string {
	return request + " HTTP/1.1\r\nHost: a\r\nContent-Type: application/protobuf\r\n"
}

// portAfter returns the address with a port that is higher by n.
func portAfter(t *testing.T, address string, n int) string {
	a, err := netip.ParseAddrPort(address)
	require.NoError(t, err)

	return netip.AddrPortFrom(a.Addr(), uint16(int(a.Port())+n)).String()
}

// check fails the test if a bound is exceeded.
func (u usage) check(t *testing.T, fds int) {
	t.Logf("attack=%s memoryKB=%d fds=%d", t.Name(), u.memoryKB, u.fds)
	require.Empty(t, u.excess(fds))
}

// excess lists the bounds that are exceeded, given the limit of descriptors.
func (u usage) excess(fds int) []string {
	var list []string
	if u.memoryKB >= hostileMemoryMB<<10 {
		list = append(list, fmt.Sprintf("memory %d KB of %d", u.memoryKB, hostileMemoryMB<<10))
	}
	if u.fds > fds-hostileFileFDs {
		list = append(list, fmt.Sprintf("descriptors %d of %d", u.fds, fds-hostileFileFDs))
	}

	return list
}

// readAttacks reads a file of attacks. A line that doesn't tell the number of clients is for hostileClients.
func readAttacks(t *testing.T, path string) []attack {
	b, err := os.ReadFile(path)
	require.NoError(t, err)
	var all []attack
	for line := range strings.Lines(string(b)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		f := strings.Split(strings.TrimSpace(line), "|")
		if len(f) == 4 {
			f = append(f, strconv.Itoa(hostileClients))
		}
		require.Len(t, f, 5, line)
		pieces, err := strconv.Atoi(strings.TrimSpace(f[3]))
		require.NoError(t, err)
		clients, err := strconv.Atoi(strings.TrimSpace(f[4]))
		require.NoError(t, err)
		all = append(all, attack{strings.TrimSpace(f[0]), expand(f[1]), expand(f[2]), pieces, clients})
	}

	return all
}

func expand(s string) string {
	s = strings.ReplaceAll(strings.TrimSpace(s), `\r\n`, "\r\n")

	return repeated.ReplaceAllStringFunc(s, func(m string) string {
		n, _ := strconv.Atoi(m[2:]) // the pattern has digits only
		return strings.Repeat(m[:1], n)
	})
}

// run attacks the target, submits a job during and after the attack, and checks what the target needed.
func (a attack) run(t *testing.T, to *target) {
	to.await(t, "before the attack", "")
	most := to.attackDuring(t, a.crowd(to), func() { to.await(t, "during the attack", "") })
	to.await(t, "after the attack", strings.Repeat(" ", 200_000))
	most.check(t, to.fds)
}

// crowd returns the clients of the attack.
func (a attack) crowd(to *target) []func(sent func(), leave <-chan struct{}) {
	senders := make([]func(sent func(), leave <-chan struct{}), 0, a.clients)
	for i := range a.clients {
		senders = append(senders, func(sent func(), leave <-chan struct{}) { a.attend(to, i, sent, leave) })
	}

	return senders
}

// attackDuring runs f when the crowd has sent its requests and is still connected, and returns what the
// target needed.
func (to *target) attackDuring(t *testing.T, senders []func(sent func(), leave <-chan struct{}), f func()) (most usage) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var watch, crowd, sending sync.WaitGroup
	watch.Go(func() { most = to.watch(ctx) })
	leave := make(chan struct{})
	sending.Add(len(senders))
	for _, send := range senders {
		crowd.Go(func() { send(sending.Done, leave) })
	}
	sending.Wait()
	f()
	close(leave)
	crowd.Wait()
	cancel()
	watch.Wait()

	return most
}

// attend is one hostile client. Its errors don't matter: the target may close the connection.
func (a attack) attend(to *target, i int, sent func(), leave <-chan struct{}) {
	conn, err := net.Dial("tcp", to.victim)
	if err != nil {
		sent()

		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(hostileSendTime))
	job := fmt.Sprintf("POST %s HTTP/1.1\r\n%s", to.path(1000+i), to.headers)
	w := bufio.NewWriterSize(conn, 16<<10)
	_, err = w.WriteString(strings.NewReplacer("$JOB", job, "$CALL", to.call).Replace(a.head))
	for n := range a.pieces {
		if err != nil {
			break
		}
		_, err = w.WriteString(strings.ReplaceAll(a.piece, "$ID", fmt.Sprintf("%016x", (i+1)<<20+n)))
	}
	_ = w.Flush()
	sent()
	<-leave
}

// await submits a job until it is answered. The padding precedes the body.
func (to *target) await(t *testing.T, when, padding string) {
	to.awaitStatus(t, when, func() string { return to.submit(padding) })
}

// awaitStatus makes a call until it has the status of an answer.
func (to *target) awaitStatus(t *testing.T, when string, call func() string) {
	last := ""
	for until := time.Now().Add(awaitLimit); time.Now().Before(until); time.Sleep(5 * awaitInterval) {
		select {
		case err := <-to.exited:
			require.FailNow(t, "process ended", "%s: %v", when, err)
		default:
		}
		if last = call(); last == strconv.Itoa(to.status) {
			return
		}
	}
	require.FailNow(t, "no answer", "%s: last outcome: %s", when, last)
}

// submit submits a job, and returns the status or the error.
func (to *target) submit(padding string) string {
	to.sent++

	return to.send("POST", to.path(to.sent), padding+to.body)
}

// send sends a request on a connection of its own, and returns the status or the error.
func (to *target) send(method, path, body string) string {
	conn, err := net.DialTimeout("tcp", to.address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", method, path, to.headers, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	_ = resp.Body.Close()

	return strconv.Itoa(resp.StatusCode)
}

// watch samples what the process needs until the context ends.
func (to *target) watch(ctx context.Context) usage {
	var most usage
	for ctx.Err() == nil {
		most.memoryKB = max(most.memoryKB, to.statusKB("VmHWM:"), to.statusKB("VmRSS:")+to.unreadBytes()>>10)
		fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", to.pid))
		most.fds = max(most.fds, len(fds))
		time.Sleep(hostileSample)
	}

	return most
}

// statusKB returns a field of the status of the process, or 0 if the process has ended.
func (to *target) statusKB(field string) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", to.pid))
	_, rest, _ := strings.Cut(string(b), field)
	kb, _ := strconv.Atoi(strings.Fields(rest + " 0")[0])

	return kb
}

// unreadBytes returns the bytes that the kernel holds for the process on connections of its listeners.
func (to *target) unreadBytes() int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", to.pid))
	unread := map[string]int{} // by local address
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) < 5 || f[3] == "0A" { // 0A: a listener, which shows its backlog
			continue
		}
		_, queue, _ := strings.Cut(f[4], ":")
		bytes, _ := strconv.ParseInt(queue, 16, 64)
		unread[f[1]] += int(bytes)
	}
	sum := 0
	for _, port := range to.ports {
		sum += unread[fmt.Sprintf("0100007F:%04X", port)]
	}

	return sum
}

// startProcess runs the binary until the test ends.
func startProcess(t *testing.T, to *target, binary string, env []string, args ...string) *target {
	cmd := exec.CommandContext(t.Context(), binary, args...)
	cmd.Env = append(os.Environ(), env...)
	require.NoError(t, cmd.Start())
	to.victim = to.address
	to.pid, to.exited = cmd.Process.Pid, make(chan error, 1)
	ended := make(chan struct{})
	go func() {
		to.exited <- cmd.Wait()
		close(ended)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended
		<-ended
	})

	return to
}

// freePorts returns the first of n consecutive ports that are free.
func freePorts(t *testing.T, n int) int {
search:
	for first := hostileFirstPort; first+n < hostileFirstPort+600; first += n {
		for port := first; port < first+n; port++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if err != nil {
				continue search
			}
			_ = ln.Close()
		}

		return first
	}
	require.FailNow(t, "no free ports")

	return 0
}

func serveStandin(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})

	return s.Listener.Addr().String()
}

// startEntry starts a process whose store is wrapped.
func startEntry(t *testing.T, binary string, fds int, wrap func(http.Handler) http.Handler) *target {
	p := &standin.Platform{Store: fleet.NewStore(rand.Float64), Fleet: fleet.NewFleet(rand.Float64)}
	p.PublishConfig(1)
	address := serveStandin(t, wrap(p.Handler()))
	first := freePorts(t, 4)
	at := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", first+n) }
	file := string(standin.SettingsFile("a", at(2), at(3), address, first, first+1))
	file = strings.Replace(file, "memoryMb: 284", fmt.Sprintf("memoryMb: %d, maxFds: %d", hostileMemoryMB, fds), 1)
	settings := writeSettings(t, file)

	return startProcess(t, &target{
		fds:     fds,
		address: at(2), status: http.StatusOK, path: func(n int) string { return fmt.Sprintf("%s%016x", standin.QueuePrefix, n) },
		headers: fmt.Sprintf("Host: %s\r\nAuthorization: Bearer %s\r\n", standin.QueueHost, standin.APIKey),
		body:    `{"steps":[{"count":1,"cpu":1,"estimateMs":1}]}`,
	}, binary, []string{platform.SettingsVariable + "=" + settings}, "entry", "--loglevel", "error")
}

// startServe starts a process without contracts, which answers each submission with code 12.
func startServe(t *testing.T, binary string, fds int) *target {
	log, list := serveStandin(t, standinlog.New().Handler()), serveStandin(t, vms.New(0).Handler())
	port := freePorts(t, 1)
	address := fmt.Sprintf("127.0.0.1:%d", port)
	settings := writeSettings(t, fmt.Sprintf("name: a\nregion: x\ndomain: d\nlisten: %s\nlog: http://%s\nvms: http://%s\ntoken: %s\nloglevel: error\n"+
		"limits: {memory: %d, fds: %d}\n", address, log, list, hostileToken, hostileMemoryMB, fds))

	return startProcess(t, &target{
		fds:     fds,
		address: address, status: http.StatusNotFound, path: func(int) string { return "/v1/jobs" }, headers: "Host: a\r\n",
		body: `{"workspace":"w","id":"j","shape":{"members":1,"width":1},"run":"1s","idempotent":true}`,
	}, binary, nil, "serve", "-f", settings)
}

func writeSettings(t *testing.T, file string) string {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte(file), 0o600))

	return path
}
