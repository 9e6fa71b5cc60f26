package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/standin/fleet"
	"sesameyoke/platform"
	"sesameyoke/platform/standin"
)

// TestShutdownAnswersRequests stops a VM while the store doesn't answer, so that a submission waits for as
// long as its caller does. It guards against a shutdown that ends connections before requests that had been
// read are answered: the caller can't tell whether the job was accepted.
func TestShutdownAnswersRequests(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "sesameyoke")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	for _, after := range []time.Duration{0, time.Second, 1700 * time.Millisecond, 2300 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			p := &standin.Platform{Store: fleet.NewStore(rand.Float64), Fleet: fleet.NewFleet(rand.Float64)}
			p.PublishConfig(1)
			address := serveStandin(t, p.Handler())
			first := freePorts(t, 4)
			at := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", first+n) }
			settings := writeSettings(t, string(standin.SettingsFile("a", at(2), at(3), address, first, first+1)))
			to := startProcess(t, &target{
				address: at(2), status: http.StatusOK, path: func(n int) string { return fmt.Sprintf("%s%016x", standin.QueuePrefix, n) },
				headers: fmt.Sprintf("Host: %s\r\nAuthorization: Bearer %s\r\n", standin.QueueHost, standin.APIKey),
				body:    `{"steps":[{"count":1,"cpu":1,"estimateMs":1}]}`,
			}, binary, []string{platform.SettingsVariable + "=" + settings}, "entry", "--loglevel", "error")
			to.await(t, "before the shutdown", "")
			p.Store.SetFaults(fleet.StoreFaults{Down: true, Silent: true})
			require.NoError(t, syscall.Kill(to.pid, syscall.SIGTERM))
			time.Sleep(after)
			require.Equal(t, http.StatusGatewayTimeout, to.statusOfWaiting(t))
			select {
			case err := <-to.exited:
				require.NoError(t, err)
			case <-time.After(awaitLimit):
				require.FailNow(t, "the process has not ended")
			}
		})
	}
}

// statusOfWaiting submits a job and returns the status of the answer, however late it is.
func (to *target) statusOfWaiting(t *testing.T) int {
	conn, err := net.Dial("tcp", to.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	to.sent++
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\n%sContent-Length: %d\r\nDeadline-Ms: 3000\r\n\r\n%s", to.path(to.sent), to.headers, len(to.body), to.body)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "the connection ended without an answer")
	_ = resp.Body.Close()

	return resp.StatusCode
}
