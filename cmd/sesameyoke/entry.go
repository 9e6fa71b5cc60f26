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
	"sync"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	plog "github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sys/unix"

	"sesameyoke/internal/peer/limit"
	"sesameyoke/internal/peer/planner"
	"sesameyoke/internal/peer/rest"
	"sesameyoke/internal/peer/store"
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

An environment variable set by the platform contains the path of the settings file.
Every VM accepts jobs from callers. The VM that holds the planner's lease in the
platform's store is also the planner.`

const (
	memoryLimitShare        = 0.7                     // share of the VM's memory that is the Go runtime's soft limit
	gcPercent               = 200                     // new allocations, in percent of the live heap, that trigger a garbage collection
	shutdownDelay           = 2500 * time.Millisecond // from the end of readiness until the servers accept no more requests
	minAnswerTime           = time.Second             // left for requests after that; a short grace period shortens shutdownDelay instead
	answerMargin            = 700 * time.Millisecond  // requests that still wait are answered this long before the end of the grace period
	exitMargin              = 200 * time.Millisecond  // the process ends at the latest this long before that
	logTimeout              = 100 * time.Millisecond  // for the last lines of the log
	idleTimeout             = 60 * time.Second
	leaseTimeout            = 1200 * time.Millisecond // another VM may take over a lease that has not changed for this time
	deadHolderTimeout       = 800 * time.Millisecond  // replaces leaseTimeout while nothing listens at the planner's address
	renewInterval           = 400 * time.Millisecond
	leaseValidity           = 6 * time.Second // a planner that cannot reach the store may act for this time
	storeCallTimeout        = 700 * time.Millisecond
	heartbeatInterval       = 400 * time.Millisecond
	weakHeartbeatInterval   = time.Second            // of a VM that leaves planning to stronger VMs
	weakTakeoverDelay       = 700 * time.Millisecond // a weak VM waits this long for stronger VMs, which may notice a free lease about a renewal and a heartbeat later
	configPollWait          = time.Second            // long-poll wait of one read of the configuration
	singleCoreTakeoverDelay = 60 * time.Millisecond  // a VM with one core waits this long for stronger VMs to take a free lease; inversely proportional to the cores
	maxTakeoverDelay        = 400 * time.Millisecond
	minCores                = 0.05      // lower limit of the cores in the calculation of the takeover delay
	sideShare               = 8         // connections of the readiness and metrics listeners each, as a fraction of those of callers
	callOverhead            = 512 << 10 // bytes of a call with an append of the largest size beyond those of the append: 10 for each record of 50 bytes
	metricsPortOffset       = 1         // from the first port for calls between VMs; deploy/system.toml must agree with it
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name: "entry", Usage: "run an entry VM on the users' platform", Description: usageEntry,
		Flags:  []cli.Flag{&cli.StringFlag{Name: "loglevel", Usage: "lowest `LEVEL` of log lines", Value: "info"}},
		Action: runEntry,
	}
}

// vm is one entry VM with its HTTP servers.
type vm struct {
	settings platform.Settings
	log      *plog.Logger
	metrics  *metrics.Set
	evac     *platform.Evacuations // nil where domains are not evacuated
	entry    *entry.Entry
	elector  *lead.Elector
	lag      timer.Lag
	servers  []*limit.Server
	requests context.Context    // parent of all requests' contexts
	giveUp   context.CancelFunc // ends requests
}

func runEntry(ctx context.Context, c *cli.Command) error {
	settings, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryMB) * (1 << 20)))
	v := newVM(settings, logs.New(c.String("loglevel"), os.Stdout))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := v.start(ctx); err != nil {
		return err
	}
	v.log.Info().Str("event", "started").Str("vm", settings.Name).Str("domain", settings.Domain).Msg("")
	v.awaitShutdown(ctx)
	v.shutdown(ctx)

	_ = logs.Close(v.log, logTimeout) // an output that blocks loses its last lines and doesn't make the shutdown fail

	return nil
}

// sinceBoot returns the time since boot, including the time that the VM was
// suspended.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err)) // no lease can be relied on without this clock
	}

	return time.Duration(ts.Nano())
}

func newVM(settings platform.Settings, l *plog.Logger) *vm {
	v := &vm{settings: settings, log: l, metrics: metrics.New(), lag: timer.Lag{Now: sinceBoot}}
	v.requests, v.giveUp = context.WithCancel(context.Background())
	direct := platform.NewStore(settings.Store)
	peers := &planner.Client{HTTP: &http.Client{Transport: rest.NewTransport()}}
	st := relay.New(relay.Config{
		Direct: direct, Peers: func() []string { return v.entry.PeerAddresses() }, Via: peers.Store, SinceBoot: sinceBoot, Log: l,
	})
	address := net.JoinHostPort(settings.IP, strconv.Itoa(settings.Ports[0]))
	startTime := time.Now()
	name := settings.Name + "/" + strconv.FormatInt(startTime.UnixNano(), 36) + lead.HolderMark + lead.CompactMark + lead.GrantMark
	waves := &platform.Waves{Log: l}
	if settings.Evacuate > 0 {
		v.evac = &platform.Evacuations{SinceBoot: sinceBoot, Log: l}
	}
	watcher := &entry.ConfigWatcher{Reader: platform.NewConfigReader(direct, waves, v.evac), Wait: configPollWait, SinceBoot: sinceBoot, Log: l}
	v.elector = lead.New(lead.Config{
		Store: st, Name: name, Address: address,
		LeaseTimeout: leaseTimeout, DeadHolderTimeout: deadHolderTimeout, RenewInterval: renewInterval, LeaseValidity: leaseValidity, CallTimeout: storeCallTimeout,
		HeartbeatInterval: heartbeatInterval, WeakHeartbeatInterval: weakHeartbeatInterval, WeakTakeoverDelay: weakTakeoverDelay,
		Strength:      func() lead.Strength { return v.entry.Strength() },
		TakeoverDelay: min(maxTakeoverDelay, time.Duration(float64(singleCoreTakeoverDelay)/max(settings.Cores, minCores))),
		SinceBoot:     sinceBoot, Log: l,
		Heartbeat:     func(ctx context.Context, h lead.Holder) (lead.LeaseStatus, error) { return v.entry.Heartbeat(ctx, h) },
		AllReadFields: func() bool { return v.entry.AllReadLease() },
		Successor:     func() (string, bool) { return v.entry.Successor() }, Stronger: func() (string, bool) { return v.entry.Stronger() },
		Offer: peers.OfferLease,
		Plan: func(ctx context.Context, lease *lead.Lease) {
			// Otherwise the idle connections of each term would stay open and fill the workers' limits.
			t := rest.NewTransport()
			defer t.CloseIdleConnections()
			if v.evac != nil {
				ctx, cancel := context.WithCancel(ctx)
				defer cancel()
				go v.evac.RunFallback(ctx, st, waves)
			}
			v.plan(ctx, v.engineConfig(t, st, lease, watcher, waves))
		},
	})
	v.entry = entry.New(entry.Config{
		Name: name, Address: address, Cores: settings.Cores, StartTime: startTime.UnixMilli(),
		Store: st, Direct: direct, Watcher: watcher, Elector: v.elector, PeerClient: peers, RevocationBound: settings.KeyRevocation, RecordBytes: settings.RecordBytes,
		HandinBytes: v.keptBytes() / handinShare, SinceBoot: sinceBoot, Log: l, Observe: v.metrics.Time,
	})
	watcher.AskPeer = v.entry.FetchPolicy

	return v
}

func (v *vm) count(name string, n int64) { v.metrics.Scope.Counter(name).Inc(n) }

func (v *vm) plan(ctx context.Context, c engine.Config) {
	eng := engine.New(c)
	v.entry.SetEngine(eng)
	defer v.entry.SetEngine(nil)
	go v.lag.Run(ctx)
	eng.Run(ctx)
}

func (v *vm) start(ctx context.Context) error {
	in := &platform.Ingress{Entry: v.entry, Now: time.Now, Log: v.log}
	callers := limit.Defaults(v.settings.MemoryMB, v.settings.MaxFDs, 0)
	callers.IdleTimeout, callers.Log = idleTimeout, v.log
	callers.Count = func(name string) { v.count(name, 1) }
	peers := callers.Internal(callers.Connections, v.callBytes())
	few := callers.Internal(callers.Connections/sideShare, callers.BodyBytes)
	metricsAddress := net.JoinHostPort(v.settings.IP, strconv.Itoa(v.settings.Ports[0]+metricsPortOffset))
	for address, l := range map[string]struct {
		limit.Config
		http.Handler
	}{
		v.settings.Frontend: {callers, in.Frontend()}, v.settings.Readiness: {few, in.Readiness()},
		v.entry.Address: {peers, http.MaxBytesHandler(v.entry.Server().Handler(), peers.BodyBytes)}, metricsAddress: {few, v.metricsHandler()},
	} {
		if err := v.listen(ctx, address, limit.New(l.Config), l.Handler); err != nil {
			return err
		}
	}
	go v.entry.Watcher.Run(ctx)
	go v.entry.Watcher.RunPeerFallback(ctx)
	go v.elector.Run(ctx)

	return nil
}

// callBytes returns the largest size of a call of another VM: an append to the store that it makes through
// this one.
func (v *vm) callBytes() int64 {
	if v.settings.RequestBytes == 0 {
		return store.DefaultRequestBytes + callOverhead
	}

	return int64(v.settings.RequestBytes) + callOverhead
}

// listen serves the handler at the address until the shutdown.
func (v *vm) listen(ctx context.Context, address string, clients *limit.Server, h http.Handler) error {
	ln, err := clients.Listen(ctx, address)
	if err != nil {
		return err
	}
	s := clients.HTTP(h)
	s.BaseContext = func(net.Listener) context.Context { return v.requests }
	v.servers = append(v.servers, clients)
	go func() {
		if err := s.Serve(ln); !errors.Is(err, net.ErrClosed) {
			v.log.Error().Str("event", "server-ended").Str("address", address).Err(err).Msg("")
		}
	}()

	return nil
}

// metricsHandler serves /metrics.
func (v *vm) metricsHandler() http.Handler {
	r := chi.NewRouter()
	r.Handle("/metrics", v.metrics.Handler)

	return r
}

// awaitShutdown returns when the context ends or a termination signal arrives. On
// SIGHUP it only validates the settings file. Each kind of signal has a channel of its own: a full one
// drops further signals, and SIGTERM must not get lost among several SIGHUPs.
func (v *vm) awaitShutdown(ctx context.Context) {
	terminations, hangups := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(terminations, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hangups, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-terminations:
			v.log.Info().Str("event", "signal").Str("name", s.String()).Msg("")

			return
		case s := <-hangups:
			v.log.Info().Str("event", "signal").Str("name", s.String()).Msg("")
			v.reload()
		}
	}
}

// reload validates the settings file.
func (v *vm) reload() {
	if _, err := platform.ReadSettings(); err != nil {
		v.log.Error().Str("event", "reload-failed").Err(err).Msg("")

		return
	}
	v.log.Info().Str("event", "reloaded").Msg("")
}

// shutdown shuts the VM down gracefully: it hands over the lease, asks callers to
// reconnect elsewhere and answers the requests in flight. Those that still wait near the end of the grace
// period are answered with what is known by then.
func (v *vm) shutdown(ctx context.Context) {
	began := time.Now()
	grace := v.settings.Grace
	defer time.AfterFunc(grace-answerMargin, v.giveUp).Stop()
	v.entry.Leave()
	v.elector.Leave(ctx)
	time.Sleep(min(shutdownDelay, grace-answerMargin-minAnswerTime) - time.Since(began))
	ctx, cancel := context.WithTimeout(ctx, grace-exitMargin-time.Since(began))
	defer cancel()
	var ending sync.WaitGroup
	for _, s := range v.servers {
		ending.Go(func() {
			if err := s.Drain(ctx); err != nil {
				v.log.Warn().Str("event", "shutdown-cut").Err(err).Msg("")
			}
		})
	}
	ending.Wait()
	v.log.Info().Str("event", "stopped").Msg("")
}
