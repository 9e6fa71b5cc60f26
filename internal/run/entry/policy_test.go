package entry_test

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/policy"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/run/entry"
)

// revokeWithin is the time in which a withdrawn key must be out of use.
const revokeWithin = 5 * time.Second

// site is the operator's configuration, as the store and another VM tell it. Version N
// knows the keys k1 to kN, but those that were withdrawn.
type site struct {
	mu      sync.Mutex
	epoch   time.Time
	away    bool // the store does not answer
	version int
	without string // key that is withdrawn from the newest version

	peer    int // version that another VM tells; 0 if none answers
	peerAge time.Duration
}

// TestRestart plays testdata/restart: processes that start again while the store is
// away, beside VMs that know older configurations.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{epoch: time.Now()}
		var e *entry.Entry
		stop := func() {}
		datadriven.RunTest(t, "testdata/restart", func(t *testing.T, d *datadriven.TestData) string {
			if strings.Contains(" publish store peer ", " "+d.Cmd+" ") {
				s.mu.Lock()
				defer s.mu.Unlock()
			}
			switch d.Cmd {
			case "publish":
				d.ScanArgs(t, "version", &s.version)
				s.without = ""
				d.MaybeScanArgs(t, "without", &s.without)
			case "store":
				s.away = d.HasArg("away")
			case "peer":
				var age string
				d.ScanArgs(t, "version", &s.peer)
				d.ScanArgs(t, "age", &age)
				var err error
				s.peerAge, err = time.ParseDuration(age)
				require.NoError(t, err)
			case "restart":
				stop()
				e, stop = s.start()
				time.Sleep(time.Second)
			case "sleep":
				length, err := time.ParseDuration(d.CmdArgs[0].Key)
				require.NoError(t, err)
				time.Sleep(length)
			case "call":
				_, c := e.Authorize("h", "/q/1", d.CmdArgs[0].Key)

				return fmt.Sprintf("%v, ready %v", c, e.Ready())
			default:
				t.Fatalf("command %q is not known", d.Cmd)
			}

			return ""
		})
		stop()
	})
}

// start begins a life of an entry VM.
func (s *site) start() (*entry.Entry, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	boot := func() time.Duration { return time.Since(s.epoch) + time.Hour }
	f := &entry.Follower{Wait: time.Second, Boot: boot, Log: l, Ask: s.ask, Operator: entry.Operator{
		Newest: s.newest, Next: s.next, Decode: s.decode,
	}}
	go f.Run(ctx)
	go f.RunRelay(ctx)

	return entry.New(entry.Config{Follower: f, Revoke: revokeWithin, Boot: boot, Log: l}), cancel
}

func (s *site) newest(ctx context.Context) ([]byte, int64, error) {
	s.mu.Lock()
	away, b, version := s.away, []byte(strconv.Itoa(s.version)+" "+s.without), int64(s.version)
	s.mu.Unlock()
	if away {
		<-ctx.Done()

		return nil, 0, errors.Wrap(store.ErrUnknown, "no answer")
	}

	return b, version, nil
}

// waits reports whether the store has nothing newer than an offset.
func (s *site) waits(from int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return !s.away && int64(s.version) == from
}

func (s *site) next(ctx context.Context, from int64, wait time.Duration) ([]byte, int64, error) {
	for until := time.Now().Add(wait); time.Now().Before(until) && s.waits(from); {
		time.Sleep(10 * time.Millisecond)
	}
	if s.waits(from) {
		return nil, from, nil
	}

	return s.newest(ctx)
}

// ask tells what another VM knows, with the age of its proof.
func (s *site) ask(_ context.Context, have int64) ([]byte, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peer == 0 {
		return nil, 0, errors.New("no other VM answers")
	}
	if int64(s.peer) == have {
		return nil, s.peerAge, nil
	}

	return []byte(strconv.Itoa(s.peer) + " "), s.peerAge, nil
}

func (s *site) decode(b []byte) (*policy.Policy, error) {
	text, without, _ := strings.Cut(string(b), " ")
	version, err := strconv.Atoi(text)
	if err != nil {
		return nil, err
	}
	p := &policy.Policy{Version: int64(version), Queues: []policy.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s"}}}
	for i := 1; i <= version; i++ {
		if key := fmt.Sprintf("k%d", i); key != without {
			p.Workspaces = append(p.Workspaces, policy.Workspace{Name: fmt.Sprintf("w%d", i), Keys: []string{key}})
		}
	}
	p.Index()

	return p, nil
}
