package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
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
	firstPort    int
	reserved     net.Listener // keeps other soaks from using the ports of the VM
	cmd          *exec.Cmd
	exited       chan error
	cores        float64      // quota of processor time
	pid          atomic.Int64 // of the running process; 0 if there is none
	paused       atomic.Bool  // by a fault that sent SIGSTOP
	work         sync.Mutex   // held while the process is stopped and started
	terminated   atomic.Int64 // Unix milliseconds of the newest SIGTERM
	reloaded     atomic.Int64 // the same of SIGHUP
}

func (s *soak) newProcess(i int, platformAddress string) (*process, error) {
	p := &process{s: s, name: fmt.Sprintf("vm%d", i)}
	var err error
	if p.storeProxy, err = proxy.New(s.ctx, platformAddress); err != nil {
		return nil, err
	}
	if p.firstPort, p.reserved, err = reservePorts(s.ctx, portsPerVM); err != nil {
		return nil, err
	}
	p.frontend, p.readiness = p.internal(portsPerVM-1), p.internal(portsPerVM-2)
	p.settingsPath = filepath.Join(s.dir, p.name+".yaml")
	p.cores = defaultCores
	if s.Quota {
		p.cores = weakCores
		if i%strongShare == 0 {
			p.cores = strongCores
		}
	}
	file := standin.SettingsFileOf(p.cores, p.name, p.frontend, p.readiness, p.storeProxy.Address, p.firstPort, p.firstPort+portsPerVM-3)

	return p, errors.Wrap(os.WriteFile(p.settingsPath, file, 0o600), "write settings")
}

// internal returns the address of the port with the given number among those of the VM.
func (p *process) internal(n int) string { return fmt.Sprintf("127.0.0.1:%d", p.firstPort+n) }

func (p *process) start() error {
	out, err := os.OpenFile(filepath.Join(p.s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	p.cmd = exec.CommandContext(p.s.ctx, p.s.Binary, "entry")
	p.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settingsPath)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := onFirstCPUs(p.s.CPUs, p.cmd.Start); err != nil {
		return errors.Wrapf(err, "start %s", p.Binary())
	}
	pid := int64(p.cmd.Process.Pid)
	p.pid.Store(pid)
	p.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, exited chan<- error) {
		err := cmd.Wait()
		p.pid.CompareAndSwap(pid, 0)
		exited <- err
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
	if p.cmd == nil {
		return // it has not been added
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
	p.paused.Store(false)
	p.exited <- nil // a later receive must not block
}

// restart kills the process and starts it again at once.
func (p *process) restart() { p.restartAfter(0) }

// restartAfter kills the process and starts it again after a downtime.
func (p *process) restartAfter(down time.Duration) {
	p.work.Lock()
	defer p.work.Unlock()
	p.kill()
	time.Sleep(down)
	if err := p.start(); err != nil {
		p.s.failf("restart %s: %v", p.name, err)
	}
}

// restartGracefully requests a graceful shutdown and starts the process again. A
// shutdown that fails or exceeds shutdownTimeout is a failure of the run.
func (p *process) restartGracefully() {
	p.work.Lock()
	defer p.work.Unlock()
	p.stopGracefully()
	if err := p.start(); err != nil {
		p.s.failf("restart %s: %v", p.name, err)
	}
}

// stopGracefully requests a graceful shutdown and waits for its end.
func (p *process) stopGracefully() {
	if p.cmd == nil {
		return // it has not been added
	}
	if p.paused.Load() {
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
}

func (p *process) pause() {
	if p.pid.Load() == 0 {
		return
	}
	p.paused.Store(true)
	p.signal(syscall.SIGSTOP)
}

func (p *process) resume() {
	p.paused.Store(false)
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
