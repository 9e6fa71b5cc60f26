// Package serve assembles and runs one entry VM.
package serve

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	plog "github.com/phuslu/log"
	"github.com/pkg/errors"

	"sesameyoke/internal/core/config"
	"sesameyoke/internal/core/ledger"
	"sesameyoke/internal/peer/caller"
	"sesameyoke/internal/peer/entry"
	"sesameyoke/internal/peer/limit"
	"sesameyoke/internal/peer/log"
	"sesameyoke/internal/peer/operator"
	"sesameyoke/internal/peer/vms"
	"sesameyoke/internal/peer/worker"
	"sesameyoke/internal/run/gang"
	"sesameyoke/internal/run/metrics"
	"sesameyoke/internal/run/planner"
	"sesameyoke/internal/run/settings"
	"sesameyoke/internal/run/timer"
)

// Names of the log streams.
const (
	streamConfig = "config"
	streamJobs   = "jobs"
)

const (
	idleTimeout  = 2 * time.Minute
	pollInterval = 20 * time.Millisecond // interval between checks of a condition that is waited for

	// Calls of other VMs have bodies of at most jobEscapes times the largest legal job and callBytes: JSON
	// may escape each byte of an offered job with six.
	jobEscapes = 6
	callBytes  = 64 << 10

	// leaveGracePeriod is how long a leaving VM continues to answer requests after
	// its peers and the load balancer have been notified, before it closes its
	// listener.
	leaveGracePeriod = time.Second
)

type (
	// VM is one entry VM.
	VM struct {
		Settings        settings.Settings
		Log             *plog.Logger
		KeepConnections bool                        // a leaving VM does not ask callers to reconnect; for benchmarks
		WrapCalls       func(gang.Calls) gang.Calls // wraps the planners' calls, for tests; may be nil

		incarnation       string
		timer             *timer.Service
		metrics           *metrics.Set
		vmList            vmList
		members           *entry.Members
		client            *http.Client
		config            *configStore
		ledger            *ledger.Ledger
		tails             map[string]*log.Tail
		writers           map[string]*log.Writer
		workers           *worker.Client
		mu                sync.Mutex
		planners          map[string]*planner.Planner // by region
		inflight          atomic.Int64
		leaving           atomic.Bool // the graceful shutdown has been requested
		announceLeaving   atomic.Bool // heartbeats announce that this VM is leaving
		ready             atomic.Bool
		shutdownRequested chan struct{} // closed when the graceful shutdown has been requested
		leaveOnce         sync.Once
		server            *http.Server
		listener          net.Listener
	}
)

// New returns a VM that has not been started.
func New(s settings.Settings, l *plog.Logger) *VM {
	b := make([]byte, 6)
	_, _ = rand.Read(b)

	return &VM{
		Settings: s, Log: l, incarnation: hex.EncodeToString(b), timer: timer.New(), metrics: metrics.New(),
		planners: make(map[string]*planner.Planner), shutdownRequested: make(chan struct{}),
	}
}

// Start opens the listener and starts the VM's background work. It returns once the
// listener is open.
func (v *VM) Start() error {
	v.wire()
	l := v.Settings.Limits
	bounds := limit.Defaults(l.MemoryMB, l.MaxFDs, l.MaxBody)
	bounds.IdleTimeout, bounds.Log = idleTimeout, v.Log
	bounds.Count = func(name string) { v.metrics.Count(name, nil) }
	clients := limit.New(bounds)
	ln, err := clients.Listen(context.Background(), v.Settings.Listen)
	if err != nil {
		return errors.Wrap(err, "VM.Start")
	}
	v.listener = ln
	v.Settings.Listen = ln.Addr().String()
	v.server = clients.HTTP(v.routes())
	go func() { _ = v.server.Serve(ln) }()
	v.startBackground()
	v.Log.Info().Str("event", "serve").Str("vm", v.Settings.Name).Str("listen", v.Settings.Listen).Str("life", v.incarnation).Msg("")

	return nil
}

// Address returns the address that the VM listens on.
func (v *VM) Address() string {
	return v.Settings.Listen
}

// wire creates the clients, the state and the member table.
func (v *VM) wire() {
	t := v.Settings.Timing
	platform := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}}
	v.client = entry.NewClient()
	v.workers = worker.NewClient(t.CallTimeout.Duration)
	v.config = newConfigStore()
	v.ledger = ledger.New(func() time.Duration { return v.config.get().Policy.AnswerRetention.Duration })
	logClient := &log.Client{Base: v.Settings.Log, HTTP: platform, Timeout: t.AppendTimeout.Duration}
	v.writers = map[string]*log.Writer{
		streamConfig: log.NewWriter(streamConfig, logClient), streamJobs: log.NewWriter(streamJobs, logClient),
	}
	v.tails = map[string]*log.Tail{streamConfig: v.configTail(logClient), streamJobs: v.jobsTail(logClient)}
	for _, tail := range v.tails {
		tail.Init()
	}
	v.vmList = vmList{client: &vms.Client{Base: v.Settings.VMs, HTTP: platform, Timeout: t.CallTimeout.Duration}}
	v.vmList.init()
	v.members = &entry.Members{
		Self: v.self, Seeds: v.vmList.entryAddresses, SuspectTimeout: t.SuspectTimeout.Duration, CallTimeout: t.CallTimeout.Duration,
		Now: v.timer.Now, OnHeartbeat: v.recordPeerOffsets,
	}
	v.members.Init(v.client)
}

func (v *VM) configTail(c *log.Client) *log.Tail {
	return &log.Tail{
		Stream: streamConfig, Client: c, OnError: v.onReadError(streamConfig),
		Apply: v.applyConfig,
		Skip:  func(o int64) { v.config.set(v.config.get().Skip(o)) },
		Dump:  func() ([]byte, error) { return v.config.get().Dump() },
		Load: func(b []byte) error {
			s, err := config.Load(b)
			if err == nil {
				v.config.set(s)
			}

			return err
		},
	}
}

func (v *VM) jobsTail(c *log.Client) *log.Tail {
	return &log.Tail{
		Stream: streamJobs, Client: c, OnError: v.onReadError(streamJobs),
		Apply: v.applyJob, Skip: v.ledger.Skip, Dump: v.ledger.Dump, Load: v.ledger.Load,
	}
}

// onReadError returns the function that counts and logs failed reads of a stream.
func (v *VM) onReadError(stream string) func(error) {
	return func(err error) {
		v.metrics.Count("log_read_failed", map[string]string{"stream": stream})
		v.Log.Debug().Str("event", "log-read").Str("stream", stream).Str("error", err.Error()).Msg("")
	}
}

// applyConfig applies one change to the configuration and logs its verdict.
func (v *VM) applyConfig(offset int64, raw []byte) {
	s := v.config.get().Apply(offset, raw)
	v.config.set(s)
	if len(s.Audit) == 0 {
		return
	}
	e := s.Audit[len(s.Audit)-1]
	if e.Offset != offset {
		return
	}
	v.metrics.Count("changes", map[string]string{"code": e.Code.Info().Name})
	v.Log.Info().Str("event", "change").Int64("offset", offset).Str("subject", e.Subject).
		Str("author", e.Author).Int("code", int(e.Code)).Str("reason", e.Reason).Msg("")
}

// applyJob applies one record to the ledger, and passes it to the planners if it took
// effect.
func (v *VM) applyJob(offset int64, raw []byte) {
	r, verdict := v.ledger.Apply(offset, raw)
	if verdict != ledger.Won {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()

	for _, p := range v.planners {
		p.Record(r)
	}
}

// startBackground starts the periodic tasks and the goroutines that read and write
// the log.
func (v *VM) startBackground() {
	t := v.Settings.Timing
	v.timer.Every(t.ListInterval.Duration, v.vmList.refresh)
	v.timer.Every(t.HeartbeatInterval.Duration, v.members.SendHeartbeats)
	v.timer.Every(t.HeartbeatInterval.Duration, v.catchUp)
	v.timer.Every(t.HeartbeatInterval.Duration, func(context.Context) { v.ensurePlanners() })
	v.timer.Every(t.ListInterval.Duration, v.snapshot)
	v.timer.Every(time.Second, func(context.Context) { v.updateGauges() })
	for _, w := range v.writers {
		v.timer.Go(w.Run)
	}
	for _, tail := range v.tails {
		v.timer.Go(tail.Run)
	}
}

func (v *VM) routes() http.Handler {
	r := chi.NewRouter()
	callers := &caller.API{
		MaxBody: v.Settings.Limits.MaxBody, MaxWait: v.Settings.Limits.MaxWait.Duration, Acquire: v.acquireSlot,
		Leaving: v.asksToReconnect, Submit: v.submit, Wait: v.wait, Cancel: v.cancel, List: v.listJobs,
	}
	callers.Routes(r)
	operators := &operator.API{
		Token: v.Settings.Token, State: v.config.get, Publish: v.publish,
		Members: v.members.Live, Racks: v.racks, Leave: v.Leave,
	}
	operators.Routes(r)
	peers := &entry.Server{
		Members: v.members, Tail: func(s string) *log.Tail { return v.tails[s] },
		Offer: v.handleOffer, IsPlanner: v.IsPlanner, Racks: v.ownRacks,
	}
	r.Handle("/twirp/*", http.MaxBytesHandler(peers.Handler(), jobEscapes*v.Settings.Limits.MaxBody+callBytes))
	r.Handle("/metrics", v.metrics.Handler)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	r.Get("/readyz", v.readyz)

	return r
}

// asksToReconnect reports whether replies ask callers to close their connection, which
// makes them reconnect to another VM.
func (v *VM) asksToReconnect() bool {
	return v.leaving.Load() && !v.KeepConnections
}

func (v *VM) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case v.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !v.ready.Load():
		http.Error(w, "catching up", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

// acquireSlot admits a caller's request, unless too many are in flight. The caller
// calls release when the request ends.
func (v *VM) acquireSlot() (release func(), ok bool) {
	if v.inflight.Add(1) > int64(v.Settings.Limits.MaxInflight) {
		v.inflight.Add(-1)
		v.metrics.Count("requests_refused", nil)

		return nil, false
	}

	return func() { v.inflight.Add(-1) }, true
}

// Leave requests the graceful shutdown. It closes the channel that ShutdownRequested
// returns, upon which the process calls Shutdown.
func (v *VM) Leave() {
	v.leaveOnce.Do(func() {
		v.Log.Info().Str("event", "leave").Str("vm", v.Settings.Name).Msg("")
		v.leaving.Store(true)
		close(v.shutdownRequested)
	})
}

// ShutdownRequested returns a channel that is closed when the graceful shutdown has been
// requested.
func (v *VM) ShutdownRequested() <-chan struct{} {
	return v.shutdownRequested
}

// Shutdown stops the VM gracefully: it waits for the gangs that are being started, so
// that none is left half started, notifies the peers, and answers the requests in
// flight. The context bounds the wait.
func (v *VM) Shutdown(ctx context.Context) {
	v.Leave()
	started := v.timer.Now()
	for _, p := range v.allPlanners() {
		p.Drain(ctx)
	}
	v.announceLeaving.Store(true)
	v.members.SendHeartbeats(ctx)
	pause(ctx, leaveGracePeriod)
	for v.inflight.Load() > 0 && ctx.Err() == nil {
		pause(ctx, pollInterval)
	}
	_ = v.server.Shutdown(ctx)
	v.Log.Info().Str("event", "left").Str("vm", v.Settings.Name).Dur("drain", v.timer.Now().Sub(started)).Msg("")
	v.stop()
}

// Kill stops the VM at once, as a crash would. It is for tests.
func (v *VM) Kill() {
	_ = v.server.Close()
	v.stop()
}

func (v *VM) stop() {
	v.timer.Stop()
	v.metrics.Close()
	v.client.CloseIdleConnections()
	v.workers.HTTP.CloseIdleConnections()
}

func (v *VM) updateGauges() {
	v.metrics.Gauge("jobs_open", float64(v.ledger.OpenCount()))
	v.metrics.Gauge("config_offset", float64(v.config.get().Offset))
	v.metrics.Gauge("members_live", float64(len(v.members.Live())))
	v.metrics.Gauge("requests_inflight", float64(v.inflight.Load()))
	alive := 0.0
	if v.logAlive() {
		alive = 1
	}
	v.metrics.Gauge("log_alive", alive)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
