package relay_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/run/relay"
	"sesameyoke/internal/standin/fleet"
)

const (
	self        = "self"
	callTimeout = 700 * time.Millisecond
)

// TestRoutes runs the scripts under testdata. They set faults of the store and the VMs,
// make calls, and check the routes and the outcome of each call. The test guards against
// losing the store while another VM can reach it, and against reporting an append as
// refused that may have been executed.
func TestRoutes(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			r := newRig()
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				return r.run(t, d)
			})
		})
	})
}

// rig consists of a relay on one VM, other VMs and the emulated store.
type rig struct {
	store        *fleet.Store
	relay        *store.Store
	routes       []string
	peers        []string
	answersLost  map[string]bool // VMs whose appends are executed but not answered
	start        time.Time
	nextSequence int64
}

func newRig() *rig {
	r := &rig{store: fleet.NewStore(func() float64 { return 1 }), answersLost: map[string]bool{}, start: time.Now()}
	r.relay = relay.New(relay.Config{
		Direct:    r.storeVia(self),
		Peers:     func() []string { return append([]string(nil), r.peers...) },
		Via:       r.storeVia,
		SinceBoot: func() time.Duration { return time.Hour + time.Since(r.start) },
		Log:       &log.Logger{Level: log.PanicLevel},
	})

	return r
}

// storeVia returns the store as reached through one VM, and records each call in routes.
func (r *rig) storeVia(name string) *store.Store {
	s := r.store.For(name, func() {})

	return &store.Store{
		Append: func(ctx context.Context, a store.Append) (int64, error) {
			r.routes = append(r.routes, name)
			end, err := s.Append(ctx, a)
			if err == nil && r.answersLost[name] {
				<-ctx.Done()

				return 0, errors.Wrap(store.ErrUnknown, "answer lost")
			}

			return end, err
		},
		Read: func(ctx context.Context, topic string, from int64, wait time.Duration) (store.Range, error) {
			r.routes = append(r.routes, name)

			return s.Read(ctx, topic, from, wait)
		},
		Newest: func(ctx context.Context, topic string, part int, after string) (store.Page, error) {
			r.routes = append(r.routes, name)

			return s.Newest(ctx, topic, part, after)
		},
	}
}

// run executes one command of a script. For a call to the store, it returns the VMs through
// which the call was tried, in order, the records listed, and the outcome.
func (r *rig) run(t *testing.T, d *datadriven.TestData) string {
	args := make([]string, 0, len(d.CmdArgs))
	for _, a := range d.CmdArgs {
		args = append(args, a.Key)
	}
	r.routes = nil
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var err error
	switch d.Cmd {
	case "peers":
		r.peers = args

		return ""
	case "cut", "join":
		r.store.Cut(args[0], d.Cmd == "cut")

		return ""
	case "mute":
		r.answersLost[args[0]] = true

		return ""
	case "store":
		r.store.SetFaults(fleet.StoreFaults{Down: d.HasArg("down"), Silent: d.HasArg("silent")})

		return ""
	case "sleep":
		length, err := time.ParseDuration(args[0])
		require.NoError(t, err)
		time.Sleep(length)

		return ""
	case "append":
		_, err = r.relay.Append(ctx, r.append(t, d))
	case "newest":
		var p store.Page
		p, err = r.relay.Newest(ctx, "keyed.t", 0, "")
		for _, rec := range p.Records {
			r.routes = append(r.routes, rec.Key+"="+string(rec.Value))
		}
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}

	return fmt.Sprintf("%s: %s", strings.Join(r.routes, " "), outcome(err))
}

// append builds an append, which is fenced unless the command has the argument plain or at.
func (r *rig) append(t *testing.T, d *datadriven.TestData) store.Append {
	a := store.Append{Topic: "keyed.t", ExpectedEnd: -1, Records: []store.Record{{Key: d.CmdArgs[0].Key, Value: []byte("x")}}}
	switch {
	case d.HasArg("at"):
		d.ScanArgs(t, "at", &a.ExpectedEnd)
	case !d.HasArg("plain"):
		a.Producer, a.Epoch, a.Sequence = "p", 1, r.nextSequence
		r.nextSequence++
	}

	return a
}

func outcome(err error) string {
	var c *store.ConditionError
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, store.ErrUnknown):
		return "unknown"
	case errors.Is(err, store.ErrRefused):
		return "refused"
	case errors.As(err, &c):
		return c.Error()
	}

	return err.Error()
}
