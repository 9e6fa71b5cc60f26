package engine_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/standin/fleet"
)

const (
	watchInterval  = 100 * time.Millisecond
	idleSeeds      = 2               // number of seeds of each load; SESAMEYOKE_SEEDS sets another one
	idleMargin     = 3 * time.Second // length of a wait after the traffic that is too long
	spreadSlowdown = 3               // a gang that must be on one rack takes this many times as long on several
	failureShare   = 0.25            // part of its length after which a run fails on a failing worker
)

// idleWatch observes idle waits while a load is replayed.
type idleWatch struct {
	check fleet.IdleCheck
	last  time.Time // newest arrival
}

// start observes the jobs until the returned function is called.
func (w *idleWatch) start(r *rig, all []*arrival) (stop func()) {
	if w == nil {
		return func() {}
	}
	r.fleet.SpreadSlowdown = spreadSlowdown
	w.check = fleet.IdleCheck{Fleet: r.fleet, Service: "s"}
	for _, a := range all {
		if at := time.Now().Add(a.sent); at.After(w.last) {
			w.last = at
		}
	}
	end, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		final := map[string]bool{}
		for {
			select {
			case <-end:
				return
			case <-time.After(watchInterval):
				w.check.Observe(r.openJobs(all, final))
			}
		}
	}()

	return func() {
		close(end)
		<-done
	}
}

// openJobs returns the accepted jobs that are not to be cancelled and have not ended. It adds
// those that have to final.
func (r *rig) openJobs(all []*arrival, final map[string]bool) []string {
	r.lock.Lock()
	accepted := map[string]bool{}
	for id := range r.accepted {
		accepted[id] = true
	}
	r.lock.Unlock()
	_, eng := r.planner()
	var open []string
	for _, a := range all {
		if !accepted[a.ID] || a.cancel > 0 || final[a.ID] {
			continue
		}
		if eng != nil {
			if p, err := eng.State(a.ID, a.Workspace); err == nil && p.Final() {
				final[a.ID] = true

				continue
			}
		}
		open = append(open, a.ID)
	}

	return open
}

// failOn makes runs that start on the picked workers fail for a time.
func (r *rig) failOn(picked []int, length time.Duration) {
	failing := map[string]bool{}
	for _, i := range picked {
		failing[fmt.Sprintf("k%03d", i)] = true
	}
	usual := r.fleet.Outcome
	r.fleet.SetOutcome(func(task work.Task, run int64, worker string) (time.Duration, target.How) {
		l, how := usual(task, run, worker)
		if failing[worker] {
			return time.Duration(failureShare * float64(l)), target.Failed
		}

		return l, how
	})
	time.Sleep(length)
	r.fleet.SetOutcome(usual)
}

// afterTraffic returns the waits that were too long after the newest arrival.
func (w *idleWatch) afterTraffic() []*fleet.IdleWait {
	return slices.DeleteFunc(slices.Clone(w.check.Found), func(f *fleet.IdleWait) bool { return f.To.Before(w.last.Add(idleMargin)) })
}

// TestIdleWaits replays the loads of testdata/idle. It guards against jobs that wait after the
// end of the traffic although most of the capacity is free. If SESAMEYOKE_FIGURES is set, it
// prints all idle waits; SESAMEYOKE_LOADS replaces the loads.
func TestIdleWaits(t *testing.T) {
	pattern := "testdata/idle/loads/*.yaml"
	if s := os.Getenv("SESAMEYOKE_LOADS"); s != "" {
		pattern = s
	}
	files, err := filepath.Glob(pattern)
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		for _, seed := range freshSeeds(t, idleSeeds) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { replayWatched(t, file, seed) })
			})
		}
	}
}

func replayWatched(t *testing.T, file string, seed uint64) {
	l := readLoad(t, file)
	l.watch = &idleWatch{}
	s := l.replay(t, seed)
	if os.Getenv("SESAMEYOKE_FIGURES") != "" {
		fmt.Printf("load=%s seed=%d waits=%d after=%d %s\n", filepath.Base(file), seed, len(l.watch.check.Found), len(l.watch.afterTraffic()), s)
		for _, w := range l.watch.check.Found {
			fmt.Printf("wait from=%.1fs %s\n", w.From.Sub(l.watch.last).Seconds(), w)
		}
	}
	require.Empty(t, l.watch.afterTraffic())
}

// TestKeptOut runs the scripts in testdata/idle/scripts. It guards against jobs that are kept
// out of ample free capacity by one constraint. The commands are those of the other scripts.
func TestKeptOut(t *testing.T) {
	datadriven.Walk(t, "testdata/idle/scripts", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 1)
			defer r.stop()
			r.fleet.SpreadSlowdown = spreadSlowdown
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				if d.Cmd == "watch" {
					return r.watchCommand(t, d)
				}

				return r.runCommand(t, d)
			})
			require.Empty(t, r.fleet.Violations())
		})
	})
}

// watchCommand watches for the given time and returns the idle waits, with their length.
func (r *rig) watchCommand(t *testing.T, d *datadriven.TestData) string {
	length, err := time.ParseDuration(d.CmdArgs[0].Key)
	require.NoError(t, err)
	check := fleet.IdleCheck{Fleet: r.fleet, Service: "s"}
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(watchInterval) {
		var open []string
		for id := range r.accepted {
			if s := r.state(id); s != "completed" && s != "failed" && s != "cancelled" {
				open = append(open, id)
			}
		}
		check.Observe(open)
	}
	lines := make([]string, 0, len(check.Found))
	for _, w := range check.Found {
		lines = append(lines, fmt.Sprintf("%s waits for %v, by %s", w.Job, w.Lasted().Round(100*time.Millisecond), w.Resource))
		if os.Getenv("SESAMEYOKE_FIGURES") != "" {
			fmt.Printf("wait %s\n", w)
		}
	}

	return strings.Join(lines, "\n")
}
