package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/standin/proxy"
	"sesameyoke/platform"
	"sesameyoke/platform/standin"
)

const (
	probeTimeout    = time.Second
	shutdownTimeout = 6 * time.Second // longest time that a graceful shutdown may take
)

// process is an entry VM that runs as a process.
type process struct {
	s            *soak
	name         string
	frontend     string
	readiness    string
	storeProxy   *proxy.Proxy
	settingsPath string
	reserved     net.Listener // keeps other soaks from using the ports of the VM
	cmd          *exec.Cmd
	exited       chan error
	paused       bool // by SIGSTOP
}

func (s *soak) newProcess(i int, platformAddress string) (*process, error) {
	p := &process{s: s, name: fmt.Sprintf("vm%d", i)}
	var err error
	if p.storeProxy, err = proxy.New(s.ctx, platformAddress); err != nil {
		return nil, err
	}
	var first int
	if first, p.reserved, err = reservePorts(s.ctx, portsPerVM); err != nil {
		return nil, err
	}
	address := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", first+n) }
	p.frontend, p.readiness = address(portsPerVM-1), address(portsPerVM-2)
	p.settingsPath = filepath.Join(s.dir, p.name+".yaml")
	file := standin.SettingsFile(p.name, p.frontend, p.readiness, p.storeProxy.Address, first, first+portsPerVM-3)

	return p, errors.Wrap(os.WriteFile(p.settingsPath, file, 0o600), "write settings")
}

func (p *process) start() error {
	out, err := os.OpenFile(filepath.Join(p.s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	p.cmd = exec.CommandContext(p.s.ctx, p.s.Binary, "entry")
	p.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settingsPath)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Binary())
	}
	p.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, exited chan<- error) {
		exited <- cmd.Wait()
		_ = out.Close() // the process has exited and writes no more
	}(p.cmd, p.exited)

	return nil
}

// Binary returns the path of the executable.
func (p *process) Binary() string { return p.s.Binary }

func (p *process) signal(sig syscall.Signal) {
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.s.failf("send signal %v to %s: %v", sig, p.name, err)
	}
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
	p.paused = false
	p.exited <- nil // a later receive must not block
}

// restart kills the process and starts it again.
func (p *process) restart() {
	p.kill()
	if err := p.start(); err != nil {
		p.s.failf("restart %s: %v", p.name, err)
	}
}

// restartGracefully requests a graceful shutdown and starts the process again. A
// shutdown that fails or exceeds shutdownTimeout is a failure of the run.
func (p *process) restartGracefully() {
	if p.paused {
		p.resume()
	}
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.exited:
		if err != nil {
			p.s.failf("graceful shutdown of %s failed: %v", p.name, err)
		}
	case <-time.After(shutdownTimeout):
		p.s.failf("graceful shutdown of %s did not end within %v", p.name, shutdownTimeout)
		p.kill()
	}
	if err := p.start(); err != nil {
		p.s.failf("restart %s: %v", p.name, err)
	}
}

func (p *process) pause() {
	p.paused = true
	p.signal(syscall.SIGSTOP)
}

func (p *process) resume() {
	p.paused = false
	p.signal(syscall.SIGCONT)
}

func (p *process) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.readiness+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status matters

	return resp.StatusCode == http.StatusOK
}
