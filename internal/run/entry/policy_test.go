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

// revocationBound is the time within which a withdrawn key must be refused.
const revocationBound = 5 * time.Second

// configSource emulates the two sources of the operator's configuration: the store and
// another VM. Version N contains the keys k1 to kN except withdrawnKey.
type configSource struct {
	mu           sync.Mutex
	epoch        time.Time
	storeDown    bool // the store does not answer
	version      int
	withdrawnKey string // key that the newest version in the store does not contain

	peerVersion int           // version that the other VM has; 0 if it does not answer
	peerAge     time.Duration // age of the other VM's proof
}

// TestRestart runs testdata/restart. It guards against a withdrawn key coming back into
// use: a process that restarts while the store is unavailable could adopt an older
// configuration from another VM.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &configSource{epoch: time.Now()}
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
				s.withdrawnKey = ""
				d.MaybeScanArgs(t, "without", &s.withdrawnKey)
			case "store":
				s.storeDown = d.HasArg("down")
			case "peer":
				var age string
				d.ScanArgs(t, "version", &s.peerVersion)
				d.ScanArgs(t, "age", &age)
				var err error
				s.peerAge, err = time.ParseDuration(age)
				require.NoError(t, err)
			case "restart":
				stop()
				e, stop = s.startEntry()
				time.Sleep(time.Second)
			case "sleep":
				length, err := time.ParseDuration(d.CmdArgs[0].Key)
				require.NoError(t, err)
				time.Sleep(length)
			case "call":
				_, c := e.Authorize("h", "/q/1", d.CmdArgs[0].Key)

				return fmt.Sprintf("%v, ready %v", c, e.Ready())
			default:
				t.Fatalf("unknown command %q", d.Cmd)
			}

			return ""
		})
		stop()
	})
}

// startEntry starts an incarnation of an entry VM and returns a function that stops it.
func (s *configSource) startEntry() (*entry.Entry, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	sinceBoot := func() time.Duration { return time.Since(s.epoch) + time.Hour }
	w := &entry.ConfigWatcher{Wait: time.Second, SinceBoot: sinceBoot, Log: l, AskPeer: s.askPeer, Reader: entry.ConfigReader{
		Newest: s.newest, Next: s.next, Decode: s.decode,
	}}
	go w.Run(ctx)
	go w.RunPeerFallback(ctx)

	return entry.New(entry.Config{Watcher: w, RevocationBound: revocationBound, SinceBoot: sinceBoot, Log: l}), cancel
}

func (s *configSource) newest(ctx context.Context) ([]byte, int64, error) {
	s.mu.Lock()
	down, b, version := s.storeDown, []byte(strconv.Itoa(s.version)+" "+s.withdrawnKey), int64(s.version)
	s.mu.Unlock()
	if down {
		<-ctx.Done()

		return nil, 0, errors.Wrap(store.ErrUnknown, "no answer")
	}

	return b, version, nil
}

// upToDate reports whether the store is available and has no record after offset from.
func (s *configSource) upToDate(from int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return !s.storeDown && int64(s.version) == from
}

func (s *configSource) next(ctx context.Context, from int64, wait time.Duration) ([]byte, int64, error) {
	for until := time.Now().Add(wait); time.Now().Before(until) && s.upToDate(from); {
		time.Sleep(10 * time.Millisecond)
	}
	if s.upToDate(from) {
		return nil, from, nil
	}

	return s.newest(ctx)
}

// askPeer returns the other VM's configuration and the age of its proof.
func (s *configSource) askPeer(_ context.Context, have int64) ([]byte, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peerVersion == 0 {
		return nil, 0, errors.New("no other VM answers")
	}
	if int64(s.peerVersion) == have {
		return nil, s.peerAge, nil
	}

	return []byte(strconv.Itoa(s.peerVersion) + " "), s.peerAge, nil
}

func (s *configSource) decode(b []byte) (*policy.Policy, error) {
	text, withdrawn, _ := strings.Cut(string(b), " ")
	version, err := strconv.Atoi(text)
	if err != nil {
		return nil, err
	}
	p := &policy.Policy{Version: int64(version), Queues: []policy.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s"}}}
	for i := 1; i <= version; i++ {
		if key := fmt.Sprintf("k%d", i); key != withdrawn {
			p.Workspaces = append(p.Workspaces, policy.Workspace{Name: fmt.Sprintf("w%d", i), Keys: []string{key}})
		}
	}
	p.Index()

	return p, nil
}
