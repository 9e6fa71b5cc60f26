package engine_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/run/engine"
	"sesameyoke/internal/standin/fleet"
)

// evacuationRig is a rig whose workers' domains are their racks.
type evacuationRig struct {
	*rig

	domains atomic.Pointer[map[string]bool]
	readAt  atomic.Int64 // when the operator's records were last read, while they are not read
	read    atomic.Bool  // the operator's records are read all the time
	seen    int          // runs counted so far
	coldFor atomic.Int64 // how long workers with such names are cold after their start
}

// TestEvacuation runs the scripts in testdata/evacuation. They guard against a run that is started
// in an evacuated domain: from the queue of starts, by a new planner, or by one that can't read
// which domains are evacuated.
func TestEvacuation(t *testing.T) {
	datadriven.Walk(t, "testdata/evacuation", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			r := newEvacuationRig(t)
			defer r.stop()
			datadriven.RunTest(t, path, r.runCommand)
			require.Empty(t, r.fleet.Violations())
		})
	})
}

func newEvacuationRig(t *testing.T) *evacuationRig {
	r := &evacuationRig{rig: newRig(t, 1)}
	r.domains.Store(&map[string]bool{})
	r.read.Store(true)
	r.mutation = mutation{name: "evacuations", config: r.configure}

	return r
}

// configure makes an engine know the evacuated domains.
func (r *evacuationRig) configure(c *engine.Config) {
	discover := c.Discover
	c.Timing.Evacuate = 5 * time.Second
	c.Evacuated = func() map[string]bool { return *r.domains.Load() }
	c.EvacuatedAge = func() time.Duration {
		if r.read.Load() {
			return 0
		}

		return r.boot() - time.Duration(r.readAt.Load())
	}
	c.Discover = func(ctx context.Context) (engine.Listing, error) {
		l, err := discover(ctx)
		for i := range l.Workers {
			w := &l.Workers[i]
			w.Domain, w.Clock, w.ColdFor = w.Rack, 1, 0
			if strings.HasPrefix(w.ID, "cold") {
				w.ColdFor = time.Duration(r.coldFor.Load())
			}
		}

		return l, err
	}
}

// runCommand runs one command of a script. Commands other than those here are those of the rig.
func (r *evacuationRig) runCommand(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "evacuate", "restore":
		next := maps.Clone(*r.domains.Load())
		next[d.CmdArgs[0].Key] = true
		if d.Cmd == "restore" {
			delete(next, d.CmdArgs[0].Key)
		}
		r.domains.Store(&next)
	case "unread": // the operator's records can't be read any more, and were last read some time ago
		age, err := time.ParseDuration(d.CmdArgs[0].Key)
		require.NoError(t, err)
		r.readAt.Store(int64(r.boot() - age))
		r.read.Store(false)
	case "cold": // workers whose names begin so, for this long after their start
		length, err := time.ParseDuration(d.CmdArgs[0].Key)
		require.NoError(t, err)
		r.coldFor.Store(int64(length))
	case "used": // a worker has begun runs
		return fmt.Sprint(slices.ContainsFunc(r.fleet.Runs(), func(run fleet.RunRecord) bool { return run.Worker == d.CmdArgs[0].Key }))
	case "read":
		r.read.Store(true)
	case "starts": // starts since the last such command, by domain
		return r.newStarts()
	default:
		return r.rig.runCommand(t, d)
	}

	return ""
}

// newStarts counts the starts since its last call by domain.
func (r *evacuationRig) newStarts() string {
	n := map[string]int{}
	runs := r.fleet.Runs()
	for _, run := range runs[r.seen:] {
		number, err := strconv.Atoi(strings.TrimLeft(run.Worker, "cdklo"))
		require.NoError(r.t, err)
		n["r"+fmt.Sprint(number/2)]++
	}
	r.seen = len(runs)

	return fmt.Sprint(n)
}
