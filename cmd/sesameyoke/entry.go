package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	plog "github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sys/unix"

	"sesameyoke/internal/peer/planner"
	"sesameyoke/internal/run/engine"
	"sesameyoke/internal/run/entry"
	"sesameyoke/internal/run/lead"
	"sesameyoke/internal/run/logs"
	"sesameyoke/internal/run/metrics"
	"sesameyoke/internal/run/relay"
	"sesameyoke/internal/run/timer"
	"sesameyoke/platform"
)

const usageEntry = `Runs one entry VM on the users' platform until SIGTERM.

The platform names the settings file in the environment. Every VM takes callers'
jobs; one of them, which holds the lease in the platform's store, also plans.`

const (
	memoryShare   = 0.7 // of a VM's memory that the collector may use
	garbage       = 200 // percent of garbage over live memory before a collection
	leaveNotice   = 2500 * time.Millisecond
	leaveReserve  = time.Second // of the grace period that is kept for the end
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	leaseLife     = 1200 * time.Millisecond // an unchanged lease may be taken after
	leaseBrief    = 800 * time.Millisecond  // the same while nothing listens at the planner's address
	leaseRenew    = 400 * time.Millisecond
	leaseKeep     = 6 * time.Second // a planner that cannot reach the store acts for so long
	storeCall     = 700 * time.Millisecond
	beatEvery     = 400 * time.Millisecond
	weakBeat      = time.Second            // between the questions of a VM that leaves planning to stronger ones
	weakDefer     = 700 * time.Millisecond // a renewal and a beat more than stronger VMs need to notice
	policyWait    = time.Second
	deferUnit     = 60 * time.Millisecond // that a VM of one core leaves stronger ones to plan
	deferMost     = 400 * time.Millisecond
	minCores      = 0.05
	metricsPort   = 1 // after the first port for calls between VMs; deploy/system.toml names it
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name: "entry", Usage: "run an entry VM on the users' platform", Description: usageEntry,
		Flags:  []cli.Flag{&cli.StringFlag{Name: "loglevel", Usage: "lowest `LEVEL` of log lines", Value: "info"}},
		Action: runEntry,
	}
}

// vm is one entry VM with its servers.
type vm struct {
	boot    platform.Boot
	log     *plog.Logger
	metrics *metrics.Set
	entry   *entry.Entry
	elector *lead.Elector
	lag     timer.Lag
	servers []*http.Server
}

func runEntry(ctx context.Context, c *cli.Command) error {
	boot, err := platform.ReadBoot()
	if err != nil {
		return err
	}
	debug.SetGCPercent(garbage)
	debug.SetMemoryLimit(int64(memoryShare * float64(boot.MemoryMB) * (1 << 20)))
	v := newVM(boot, logs.New(c.String("loglevel"), os.Stdout))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := v.start(ctx); err != nil {
		return err
	}
	v.log.Info().Str("event", "started").Str("vm", boot.Name).Str("domain", boot.Domain).Msg("")
	v.await(ctx)
	v.leave(ctx)

	return nil
}

// sinceBoot returns the time since boot, suspension included.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("clock since boot: %v", err)) // no lease can be trusted without it
	}

	return time.Duration(ts.Nano())
}

func newVM(boot platform.Boot, l *plog.Logger) *vm {
	v := &vm{boot: boot, log: l, metrics: metrics.New(), lag: timer.Lag{Now: sinceBoot}}
	direct := platform.NewStore(boot.Store)
	peers := &planner.Client{HTTP: &http.Client{Transport: platform.NewTransport()}}
	st := relay.New(relay.Config{
		Direct: direct, Peers: func() []string { return v.entry.Others() }, Via: peers.Store, Boot: sinceBoot, Log: l,
	})
	address := net.JoinHostPort(boot.IP, strconv.Itoa(boot.Ports[0]))
	born := time.Now()
	name := boot.Name + "/" + strconv.FormatInt(born.UnixNano(), 36)
	waves := &platform.Waves{Log: l}
	follower := &entry.Follower{Operator: platform.NewOperator(direct, waves), Wait: policyWait, Boot: sinceBoot, Log: l}
	v.elector = lead.New(lead.Config{
		Store: st, Name: name, Address: address, Life: leaseLife, Brief: leaseBrief, Renew: leaseRenew, Keep: leaseKeep, Call: storeCall,
		Beat: beatEvery, WeakBeat: weakBeat, WeakDefer: weakDefer, Strength: func() lead.Strength { return v.entry.Strength() }, Defer: min(deferMost, time.Duration(float64(deferUnit)/max(boot.Cores, minCores))), Boot: sinceBoot, Log: l,
		Ask:  func(ctx context.Context, h lead.Holder) (lead.Sign, error) { return v.entry.Ask(ctx, h) },
		Heir: func() (string, bool) { return v.entry.Heir() }, Stronger: func() (string, bool) { return v.entry.Stronger() },
		Offer: peers.Succeed,
		Plan: func(ctx context.Context, lease *lead.Lease) {
			v.plan(ctx, v.engineConfig(st, lease, follower, waves))
		},
	})
	v.entry = entry.New(entry.Config{
		Name: name, Address: address, Cores: boot.Cores, Born: born.UnixMilli(), Store: st, Direct: direct, Follower: follower, Elector: v.elector, Peers: peers, Revoke: boot.Revoke,
		Boot: sinceBoot, Log: l, Observe: v.metrics.Time,
	})
	follower.Ask = v.entry.AskPolicy

	return v
}

func (v *vm) count(name string, n int64) { v.metrics.Scope.Counter(name).Inc(n) }

func (v *vm) plan(ctx context.Context, c engine.Config) {
	g := engine.New(c)
	v.entry.Planning(g)
	defer v.entry.Planning(nil)
	go v.lag.Run(ctx)
	g.Run(ctx)
}

func (v *vm) start(ctx context.Context) error {
	in := &platform.Ingress{Entry: v.entry, Now: time.Now, Log: v.log}
	for address, h := range map[string]http.Handler{
		v.boot.Frontend: in.Frontend(), v.boot.Readiness: in.Readiness(), v.entry.Address: v.entry.Server().Handler(),
		net.JoinHostPort(v.boot.IP, strconv.Itoa(v.boot.Ports[0]+metricsPort)): v.metricsHandler(),
	} {
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", address)
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		v.servers = append(v.servers, s)
		go func() {
			if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				v.log.Error().Str("event", "server-ended").Str("address", address).Err(err).Msg("")
			}
		}()
	}
	go v.entry.Follower.Run(ctx)
	go v.entry.Follower.RunRelay(ctx)
	go v.elector.Run(ctx)

	return nil
}

// metricsHandler serves /metrics.
func (v *vm) metricsHandler() http.Handler {
	r := chi.NewRouter()
	r.Handle("/metrics", v.metrics.Handler)

	return r
}

// await returns when the VM is to leave.
func (v *vm) await(ctx context.Context) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			v.log.Info().Str("event", "signal").Str("name", s.String()).Msg("")
			if s != syscall.SIGHUP {
				return
			}
			if _, err := platform.ReadBoot(); err != nil {
				v.log.Error().Str("event", "reload-failed").Err(err).Msg("")

				continue
			}
			v.log.Info().Str("event", "reloaded").Msg("")
		}
	}
}

// leave answers what is in flight and asks callers to reconnect.
func (v *vm) leave(ctx context.Context) {
	v.entry.Leave()
	v.elector.Leave(ctx)
	wait := min(leaveNotice, v.boot.Grace-2*leaveReserve)
	time.Sleep(max(0, wait))
	ctx, cancel := context.WithTimeout(ctx, leaveReserve)
	defer cancel()
	for _, s := range v.servers {
		if err := s.Shutdown(ctx); err != nil {
			v.log.Warn().Str("event", "shutdown-cut").Err(err).Msg("")
		}
	}
	v.log.Info().Str("event", "stopped").Msg("")
}
