package serve_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/config"
	"sesameyoke/internal/core/contract"
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/ledger"
	"sesameyoke/internal/core/unit"
	"sesameyoke/internal/peer/entry"
	"sesameyoke/internal/peer/entry/entrypb"
	"sesameyoke/internal/peer/log"
	"sesameyoke/internal/peer/worker"
	standinlog "sesameyoke/internal/standin/log"
	standinworker "sesameyoke/internal/standin/worker"
)

type (
	// countingListener counts the bytes of all its connections in both directions.
	countingListener struct {
		net.Listener
		bytes atomic.Int64
	}

	countingConn struct {
		net.Conn
		listener *countingListener
	}
)

// Accept returns a connection whose bytes are counted.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return &countingConn{Conn: c, listener: l}, nil
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.bytes.Add(int64(n))

	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.bytes.Add(int64(n))

	return n, err
}

func serveCounted(b *testing.B, h http.Handler) (*countingListener, string) {
	s := httptest.NewUnstartedServer(h)
	l := &countingListener{Listener: s.Listener}
	s.Listener = l
	s.Start()
	b.Cleanup(s.Close)

	return l, l.Addr().String()
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)

	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCapacityBeat measures one heartbeat between entry VMs, including headers.
func BenchmarkCapacityBeat(b *testing.B) {
	self := entry.Member{
		Name: "entry-0001", Address: "10.0.0.1:7201", Region: "region-1", Domain: "domain-01",
		Incarnation: "abcdef012345", Ready: true, ConfigOffset: 1 << 30, JobsOffset: 1 << 30,
	}
	m := &entry.Members{
		Self: func() entry.Member { return self }, Seeds: func() []string { return nil },
		SuspectTimeout: time.Hour, CallTimeout: time.Second, Now: time.Now,
	}
	m.Init(entry.NewClient())
	listener, addr := serveCounted(b, (&entry.Server{Members: m}).Handler())
	peer := m.Peer(addr)
	other := self
	other.Name = "entry-0002"
	began := cpuTime()
	for range b.N {
		_, err := peer.Beat(context.Background(), entry.ToProto(other))
		require.NoError(b, err)
	}
	b.ReportMetric(float64(listener.bytes.Load())/float64(b.N), "wire-B/op")
	b.ReportMetric(float64((cpuTime()-began).Microseconds())/float64(b.N), "cpu-us/op")
}

// BenchmarkCapacityRenew measures one lease renewal of a worker with the given number
// of tasks, one of which has changed, including headers. The CPU time is that of both
// sides.
func BenchmarkCapacityRenew(b *testing.B) {
	for _, tasks := range []int{1, 4, 16} {
		b.Run(fmt.Sprint("tasks=", tasks), func(b *testing.B) {
			w := standinworker.New(64, checkpointTime)
			for i := range tasks {
				r := worker.ReserveRequest{Token: fmt.Sprint("0123456789abcdef.", i), First: i, Width: 1, Members: 1, TTL: unit.Seconds(3600), Key: job.Key{Workspace: "workspace", ID: fmt.Sprint("request-", i)}}
				w.Reserve(r)
			}
			listener, addr := serveCounted(b, w.Handler())
			c := worker.NewClient(time.Second)
			rep, err := c.Renew(context.Background(), addr, worker.RenewRequest{TTL: unit.Seconds(8)})
			require.NoError(b, err)
			before := listener.bytes.Load()
			began := cpuTime()
			for range b.N {
				_, err := c.Renew(context.Background(), addr, worker.RenewRequest{TTL: unit.Seconds(8), Incarnation: rep.Incarnation, SinceVersion: rep.Version - 1})
				require.NoError(b, err)
			}
			b.ReportMetric(float64(listener.bytes.Load()-before)/float64(b.N), "wire-B/op")
			b.ReportMetric(float64((cpuTime()-began).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// BenchmarkCapacityAppend commits the given number of records concurrently to a log
// that takes 5 ms per append, and counts the appends.
func BenchmarkCapacityAppend(b *testing.B) {
	for _, clients := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("clients=", clients), func(b *testing.B) {
			s := standinlog.New()
			s.SetFaults(logFaults{Slow: 5 * time.Millisecond})
			_, addr := serveCounted(b, s.Handler())
			c := &log.Client{Base: "http://" + addr, HTTP: http.DefaultClient, Timeout: 5 * time.Second}
			w := log.NewWriter("jobs", c)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go w.Run(ctx)
			seen := make(chan struct{})
			close(seen)
			b.ResetTimer()
			for range b.N {
				var wait sync.WaitGroup
				for range clients {
					wait.Go(func() { _, _ = log.Commit(ctx, w, make([]byte, 600), seen) })
				}
				wait.Wait()
			}
			b.ReportMetric(float64(s.Appends())/float64(b.N), "appends/op")
		})
	}
}

// BenchmarkCapacityInForce measures the time from the append of a change until the
// given number of log readers have applied it.
func BenchmarkCapacityInForce(b *testing.B) {
	for _, readers := range []int{8, 32, 128} {
		b.Run(fmt.Sprint("readers=", readers), func(b *testing.B) {
			s := standinlog.New()
			_, addr := serveCounted(b, s.Handler())
			hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
			c := &log.Client{Base: "http://" + addr, HTTP: hc, Timeout: 5 * time.Second}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			applied := make(chan int64, 1024)
			for range readers {
				state := config.New()
				t := &log.Tail{Stream: "config", Client: c, Apply: func(o int64, raw []byte) {
					state = state.Apply(o, raw)
					applied <- o
				}}
				t.Init()
				go t.Run(ctx)
			}
			time.Sleep(100 * time.Millisecond)
			b.ResetTimer()
			for i := range b.N {
				ch := policyChange(int64(i), "op", .1)
				ch.SetID()
				raw, err := json.Marshal(ch)
				require.NoError(b, err)
				_, err = c.Append(ctx, "config", [][]byte{raw})
				require.NoError(b, err)
				for range readers {
					<-applied
				}
			}
		})
	}
}

// BenchmarkCapacityLedger measures the memory of one open job, and the time that an
// empty VM needs to fetch and load the state as a snapshot over HTTP.
func BenchmarkCapacityLedger(b *testing.B) {
	for _, jobs := range []int{1000, 10000, 50000} {
		b.Run(fmt.Sprint("jobs=", jobs), func(b *testing.B) {
			before := heap()
			l := ledger.New(func() time.Duration { return time.Hour })
			for i := range jobs {
				j := jobOf("workspace", fmt.Sprint("request-", i), 4, 8, time.Hour)
				j.Payload = strings.Repeat("x", 600)
				raw, err := json.Marshal(ledger.Record{ID: fmt.Sprint(i), Kind: ledger.KindOpen, Time: time.Now(), Key: j.Key(), Job: &j})
				require.NoError(b, err)
				l.Apply(int64(i), raw)
			}
			perJob := float64(heap()-before) / float64(jobs)
			tail := &log.Tail{Dump: l.Dump, Apply: func(int64, []byte) {}}
			tail.Init()
			m := &entry.Members{Self: func() entry.Member { return entry.Member{} }}
			m.Init(&http.Client{Timeout: time.Minute})
			_, addr := serveCounted(b, (&entry.Server{Members: m, Tail: func(string) *log.Tail { return tail }}).Handler())
			size := 0
			b.ResetTimer()
			for range b.N {
				snap, err := m.Peer(addr).Snapshot(context.Background(), &entrypb.SnapshotRequest{Stream: "jobs"})
				require.NoError(b, err)
				size = len(snap.State)
				fresh := ledger.New(l.Retention)
				require.NoError(b, fresh.Load(snap.State))
				require.Equal(b, jobs, fresh.OpenCount())
			}
			b.ReportMetric(perJob, "heap-B/job")
			b.ReportMetric(float64(size)/1e6, "state-MB")
			runtime.KeepAlive(l)
		})
	}
}

// BenchmarkCapacityConfig measures one configuration change with 96 contracts and a
// fleet of the given number of workers.
func BenchmarkCapacityConfig(b *testing.B) {
	for _, workers := range []int{50, 5000, 20000} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			s := config.New()
			f := &contract.Fleet{}
			for i := range workers {
				if i%24 == 0 {
					f.Racks = append(f.Racks, contract.Rack{Name: fmt.Sprint("r", i/24), Region: "x", Domain: "d"})
				}
				r := &f.Racks[len(f.Racks)-1]
				r.Workers = append(r.Workers, contract.Worker{Name: fmt.Sprint("w", i), Accelerators: 2})
			}
			apply := func(ch config.Change) {
				ch.Author = "op"
				ch.Base = s.Version(ch.Subject())
				ch.SetID()
				raw, err := json.Marshal(ch)
				require.NoError(b, err)
				s = s.Apply(s.Offset+1, raw)
			}
			apply(config.Change{Kind: config.KindFleet, Fleet: f})
			for i := range 96 {
				c := basicContract(fmt.Sprint("ws", i))
				if workers > 1000 {
					c.Promises = []contract.Promise{{Blocks: 4, Width: 16}}
				}
				apply(config.Change{Kind: config.KindContract, Contract: &c})
			}
			b.ResetTimer()
			for i := range b.N {
				c := s.Contracts[fmt.Sprint("ws", i%96)]
				c.Queue++
				apply(config.Change{Kind: config.KindContract, Contract: &c})
			}
		})
	}
}

// heap returns the bytes of allocated heap objects after a garbage collection.
func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)

	return m.HeapAlloc
}

// BenchmarkCapacityDrain measures the graceful shutdown of a VM to which twenty callers
// keep sending long polls on keep-alive connections, with and without replies that ask
// callers to reconnect. A caller changes to another VM when a reply asks it to, or when
// its connection breaks.
func BenchmarkCapacityDrain(b *testing.B) {
	for _, keep := range []bool{false, true} {
		b.Run(fmt.Sprint("asks=", !keep), func(b *testing.B) {
			var total time.Duration
			broken := atomic.Int64{}
			for range b.N {
				total += drainOnce(b, keep, &broken)
			}
			b.ReportMetric(total.Seconds()/float64(b.N), "drain-s/op")
			b.ReportMetric(float64(broken.Load())/float64(b.N), "broken/op")
		})
	}
}

// drainOnce returns the time that the graceful shutdown takes, and counts the broken
// connections. keep makes the VM not ask callers to reconnect.
func drainOnce(b *testing.B, keep bool, broken *atomic.Int64) time.Duration {
	tc := newTestCluster(b, 1, basicContract("a"))
	x, y := tc.start("x", nil), tc.start("y", nil)
	x.KeepConnections = keep
	_, err := tc.caller(y).Submit(context.Background(), jobOf("a", "long", 1, 1, time.Hour), 0)
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for range 20 {
		wait.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			at := x.Address()
			for ctx.Err() == nil {
				req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/v1/jobs/a/long?wait=100ms", nil)
				resp, err := client.Do(req)
				if err != nil {
					if ctx.Err() == nil {
						broken.Add(1)
					}
					at = y.Address()

					continue
				}
				_ = resp.Body.Close()
				if resp.Close {
					at = y.Address()
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	limit, stop := context.WithTimeout(context.Background(), 10*time.Second)
	x.Shutdown(limit)
	stop()
	took := time.Since(began)
	cancel()
	wait.Wait()

	return took
}
