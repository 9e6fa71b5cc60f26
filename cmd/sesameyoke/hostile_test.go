package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/standin/fleet"
	standinlog "sesameyoke/internal/standin/log"
	"sesameyoke/internal/standin/vms"
	"sesameyoke/platform"
	"sesameyoke/platform/standin"
)

// The crowd and the bounds of TestHostileClients. They are not adapted to the code.
const (
	hostileClients   = 256
	hostileMemoryMB  = 64  // resident memory and bytes that the process has not read yet
	hostileFDs       = 400 // limit in the settings
	hostileFileFDs   = 200 // of hostileFDs, descriptors that connections must leave for files
	hostileSendTime  = 2 * time.Second
	hostileSample    = 20 * time.Millisecond
	hostileFirstPort = 32100 // above the ports of soaks and below those of outgoing connections
)

type (
	// attack is what each hostile client sends.
	attack struct {
		name, head, piece string
		pieces            int
	}

	// target is the process under attack.
	target struct {
		pid     int
		address string
		exited  chan error
		path    func(n int) string // path of the n-th submission
		headers string
		body    string
		status  int // of the answer to a submission
		sent    int // submissions so far
	}

	// usage is what a process needed at most.
	usage struct {
		memoryKB, fds int
	}
)

var repeated = regexp.MustCompile(`(.)\*(\d+)`)

// TestHostileClients attacks real processes, with limits of memory and of descriptors in their settings.
// It guards against a process that hostile clients end by using up its memory or its descriptors, or
// that gives ordinary callers no answer while they stay connected or after they have left.
func TestHostileClients(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "sesameyoke")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	attacks := readAttacks(t)
	for _, a := range attacks {
		t.Run("entry/"+a.name, func(t *testing.T) { a.run(t, startEntry(t, binary)) })
		t.Run("serve/"+a.name, func(t *testing.T) { a.run(t, startServe(t, binary)) })
	}
}

// excess lists the bounds that are exceeded.
func (u usage) excess() []string {
	var list []string
	if u.memoryKB >= hostileMemoryMB<<10 {
		list = append(list, fmt.Sprintf("memory %d KB of %d", u.memoryKB, hostileMemoryMB<<10))
	}
	if u.fds > hostileFDs-hostileFileFDs {
		list = append(list, fmt.Sprintf("descriptors %d of %d", u.fds, hostileFDs-hostileFileFDs))
	}

	return list
}

func readAttacks(t *testing.T) []attack {
	b, err := os.ReadFile("testdata/hostile")
	require.NoError(t, err)
	var all []attack
	for line := range strings.Lines(string(b)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		f := strings.Split(strings.TrimSpace(line), "|")
		require.Len(t, f, 4, line)
		pieces, err := strconv.Atoi(strings.TrimSpace(f[3]))
		require.NoError(t, err)
		all = append(all, attack{strings.TrimSpace(f[0]), expand(f[1]), expand(f[2]), pieces})
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
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var watch, crowd, sending sync.WaitGroup
	var most usage
	watch.Go(func() { most = to.watch(ctx) })
	leave := make(chan struct{})
	sending.Add(hostileClients)
	for i := range hostileClients {
		crowd.Go(func() { a.attend(to, i, sending.Done, leave) })
	}
	sending.Wait()
	to.await(t, "during the attack", "")
	close(leave)
	crowd.Wait()
	to.await(t, "after the attack", strings.Repeat(" ", 200_000))
	cancel()
	watch.Wait()
	t.Logf("attack=%s memoryKB=%d fds=%d", t.Name(), most.memoryKB, most.fds)
	require.Empty(t, most.excess())
}

// attend is one hostile client. Its errors don't matter: the target may close the connection.
func (a attack) attend(to *target, i int, sent func(), leave <-chan struct{}) {
	conn, err := net.Dial("tcp", to.address)
	if err != nil {
		sent()

		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(hostileSendTime))
	job := fmt.Sprintf("POST %s HTTP/1.1\r\n%s", to.path(1000+i), to.headers)
	w := bufio.NewWriterSize(conn, 16<<10)
	_, err = w.WriteString(strings.ReplaceAll(a.head, "$JOB", job))
	for range a.pieces {
		if err != nil {
			break
		}
		_, err = w.WriteString(a.piece)
	}
	_ = w.Flush()
	sent()
	<-leave
}

// await submits a job until it is answered. The padding precedes the body.
func (to *target) await(t *testing.T, when, padding string) {
	last := ""
	for until := time.Now().Add(awaitLimit); time.Now().Before(until); time.Sleep(5 * awaitInterval) {
		select {
		case err := <-to.exited:
			require.FailNow(t, "process ended", "%s: %v", when, err)
		default:
		}
		if last = to.submit(padding); last == strconv.Itoa(to.status) {
			return
		}
	}
	require.FailNow(t, "no answer", "%s: last outcome: %s", when, last)
}

// submit submits a job on a connection of its own, and returns the status or the error.
func (to *target) submit(padding string) string {
	conn, err := net.DialTimeout("tcp", to.address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	to.sent++
	body := padding + to.body
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", to.path(to.sent), to.headers, len(body), body)
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

// unreadBytes returns the bytes that the kernel holds for the process on connections of its callers.
func (to *target) unreadBytes() int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", to.pid))
	_, port, _ := net.SplitHostPort(to.address)
	n, _ := strconv.Atoi(port)
	local, sum := fmt.Sprintf(":%04X", n), 0
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) < 5 || !strings.HasSuffix(f[1], local) || f[3] == "0A" { // 0A: a listener, which shows its backlog
			continue
		}
		_, unread, _ := strings.Cut(f[4], ":")
		bytes, _ := strconv.ParseInt(unread, 16, 64)
		sum += int(bytes)
	}

	return sum
}

// startProcess runs the binary until the test ends.
func startProcess(t *testing.T, to *target, binary string, env []string, args ...string) *target {
	cmd := exec.CommandContext(t.Context(), binary, args...)
	cmd.Env = append(os.Environ(), env...)
	require.NoError(t, cmd.Start())
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

func startEntry(t *testing.T, binary string) *target {
	p := &standin.Platform{Store: fleet.NewStore(rand.Float64), Fleet: fleet.NewFleet(rand.Float64)}
	p.PublishConfig(1)
	address := serveStandin(t, p.Handler())
	first := freePorts(t, 4)
	at := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", first+n) }
	file := string(standin.SettingsFile("a", at(2), at(3), address, first, first+1))
	file = strings.Replace(file, "memoryMb: 284", fmt.Sprintf("memoryMb: %d, maxFds: %d", hostileMemoryMB, hostileFDs), 1)
	settings := writeSettings(t, file)

	return startProcess(t, &target{
		address: at(2), status: http.StatusOK, path: func(n int) string { return fmt.Sprintf("%s%016x", standin.QueuePrefix, n) },
		headers: fmt.Sprintf("Host: %s\r\nAuthorization: Bearer %s\r\n", standin.QueueHost, standin.APIKey),
		body:    `{"steps":[{"count":1,"cpu":1,"estimateMs":1}]}`,
	}, binary, []string{platform.SettingsVariable + "=" + settings}, "entry", "--loglevel", "error")
}

// startServe starts a process without contracts, which answers each submission with code 12.
func startServe(t *testing.T, binary string) *target {
	log, list := serveStandin(t, standinlog.New().Handler()), serveStandin(t, vms.New(0).Handler())
	address := fmt.Sprintf("127.0.0.1:%d", freePorts(t, 1))
	settings := writeSettings(t, fmt.Sprintf("name: a\nregion: x\ndomain: d\nlisten: %s\nlog: http://%s\nvms: http://%s\ntoken: token-of-test\nloglevel: error\n"+
		"limits: {memory: %d, fds: %d}\n", address, log, list, hostileMemoryMB, hostileFDs))

	return startProcess(t, &target{
		address: address, status: http.StatusNotFound, path: func(int) string { return "/v1/jobs" }, headers: "Host: a\r\n",
		body: `{"workspace":"w","id":"j","shape":{"members":1,"width":1},"run":"1s","idempotent":true}`,
	}, binary, nil, "serve", "-f", settings)
}

func writeSettings(t *testing.T, file string) string {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte(file), 0o600))

	return path
}
