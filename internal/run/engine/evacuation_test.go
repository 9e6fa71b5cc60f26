package engine_test

import (
	"context"
	"fmt"
	"maps"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/run/engine"
)

// evacuationRig is a rig whose workers' domains are their racks.
type evacuationRig struct {
	*rig

	domains atomic.Pointer[map[string]bool]
	readAt  atomic.Int64 // when the operator's records were last read, while they are not read
	read    atomic.Bool  // the operator's records are read all the time
	seen    int          // runs counted so far
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
	r.mutation = mutation{"evacuations", r.configure}

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
			l.Workers[i].Domain = l.Workers[i].Rack
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
		n["r"+fmt.Sprint((run.Worker[1]-'0')/2)]++
	}
	r.seen = len(runs)

	return fmt.Sprint(n)
}
