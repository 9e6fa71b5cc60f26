package engine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/policy"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/standin/fleet"
)

const (
	reclaimTime     = 2900 * time.Millisecond // in which a guaranteed job must have begun
	startupTime     = 500 * time.Millisecond  // until a long-running task of the emulated fleet is at work
	guaranteeSeeds  = 40                      // SESAMEYOKE_SEEDS sets another number
	guaranteeRounds = 4
)

// TestGuaranteesAtAllTimes lets long-running jobs of random shapes borrow a fleet, and then lets all workspaces ask for
// their guarantees at once, also after a loss of the planner and after the guarantees have changed. It guards against guaranteed jobs that wait longer than
// reclaimTime, and against more tasks of a step that are stopped than may be unavailable.
func TestGuaranteesAtAllTimes(t *testing.T) {
	for _, seed := range freshSeeds(t, guaranteeSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { require.Empty(t, newGuaranteeRig(t, seed).run()) })
		})
	}
}

// guaranteeRig is a rig with workspaces that have random guarantees.
type guaranteeRig struct {
	*rig
	rnd       *rand.Rand
	workers   int
	lasting   []work.Job
	cancelled map[string]time.Time
	jobs      int
}

func newGuaranteeRig(t *testing.T, seed uint64) *guaranteeRig {
	g := &guaranteeRig{rig: newRig(t, seed), rnd: rand.New(rand.NewPCG(seed, 11)), cancelled: map[string]time.Time{}}
	n := 3 + g.rnd.IntN(6)
	for i := range n {
		g.fleet.Add(fmt.Sprintf("k%d", i), "s", fmt.Sprintf("r%d", i/3), work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
	}
	g.workers = n
	g.drawGuarantees()
	g.fleet.Outcome = func(t work.Task, _ int64, _ string) (time.Duration, target.How) {
		if t.Job[0] == 'l' {
			return fleet.Endless, target.Done
		}

		return 1500 * time.Millisecond, target.Done
	}
	g.fleet.KillGrace = func(string) time.Duration {
		return 50*time.Millisecond + time.Duration(g.randFloat()*float64(350*time.Millisecond))
	}
	for _, name := range []string{"a", "b"} {
		g.start(name)
	}
	time.Sleep(3 * time.Second)

	return g
}

// drawGuarantees publishes a configuration with other guarantees, which are at most the whole fleet.
func (g *guaranteeRig) drawGuarantees() {
	p := *g.policy.Load()
	p.Version, p.Workspaces = p.Version+1, nil
	for left, i := g.workers, 0; i < 3; i++ {
		whole := g.rnd.IntN(left + 1)
		left -= whole
		p.Workspaces = append(p.Workspaces, policy.Workspace{Name: fmt.Sprintf("w%d", i), Guaranteed: 8 * whole})
	}
	g.setPolicy(&p)
}

// reload changes the guarantees after the long-running jobs have been cancelled: tasks that run are not moved.
func (g *guaranteeRig) reload() {
	for _, j := range g.lasting {
		if _, known := g.cancelled[j.ID]; !known {
			g.cancelled[j.ID] = time.Now()
		}
		if _, eng := g.planner(); eng != nil {
			_ = eng.Cancel(context.Background(), j.ID, j.Workspace) // some were cancelled before
		}
	}
	g.drawGuarantees()
	time.Sleep(3 * time.Second)
}

// run returns what is wrong.
func (g *guaranteeRig) run() []string {
	var faults []string
	for range guaranteeRounds {
		for range 1 + g.rnd.IntN(3) {
			g.submitLasting()
			time.Sleep(time.Duration(g.rnd.IntN(3000)) * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		if name, _ := g.planner(); g.rnd.IntN(4) == 0 && name != "" {
			g.kill(name)
			g.start(name)
			time.Sleep(12 * time.Second)
		}
		faults = append(faults, g.reclaim()...)
		time.Sleep(8 * time.Second)
		if g.rnd.IntN(3) == 0 {
			g.reload()
		}
	}
	g.stop()
	faults = append(faults, g.fleet.Violations()...)

	return append(faults, overstopped(g.fleet.Runs(), g.lasting, g.cancelled)...)
}

// submitLasting submits a random long-running job of a workspace with or without a guarantee.
func (g *guaranteeRig) submitLasting() {
	s := work.Step{Count: 1 + g.rnd.IntN(12), Need: work.Shape{CPU: 1000, Memory: 1000, Accelerators: 1 << g.rnd.IntN(4)}, Estimate: 9000, LongRunning: true}
	s.MaxUnavailable, s.Gang = g.rnd.IntN(s.Count+1), g.rnd.IntN(4) == 0
	g.jobs++
	j := work.Job{ID: fmt.Sprintf("l%d", g.jobs), Queue: "batch", Workspace: fmt.Sprintf("w%d", g.rnd.IntN(4)), Spec: "x", Steps: []work.Step{s}}
	g.lasting = append(g.lasting, j)
	g.submit(j)
}

// reclaim lets all workspaces ask for their guarantees, and returns which of their jobs have not begun in time.
func (g *guaranteeRig) reclaim() []string {
	width := 1 << g.rnd.IntN(4)
	var asked []work.Job
	before := g.describeLasting()
	for _, w := range g.policy.Load().Workspaces {
		need := w.Guaranteed - g.heldBy(w.Name)
		if need < width {
			continue
		}
		g.jobs++
		s := work.Step{Count: need / width, Need: work.Shape{CPU: 1000, Memory: 1000, Accelerators: width}, Estimate: 1500}
		asked = append(asked, work.Job{ID: fmt.Sprintf("u%d", g.jobs), Queue: "urgent", Workspace: w.Name, Spec: "x", Steps: []work.Step{s}})
	}
	for _, j := range asked {
		g.submit(j)
	}
	time.Sleep(reclaimTime)
	var faults []string
	for _, j := range asked {
		begun := map[int]bool{}
		for _, r := range g.fleet.Runs() {
			if r.Task.Job == j.ID {
				begun[r.Task.Index] = true
			}
		}
		if len(begun) < j.Steps[0].Count {
			faults = append(faults, fmt.Sprintf("%s of %s: %d of %d tasks of %d have begun, with guarantees %v beside %v",
				j.ID, j.Workspace, len(begun), j.Steps[0].Count, width, g.policy.Load().Workspaces, before))
		}
	}

	return faults
}

// runningTasks returns the number of running tasks of a job.
func (g *guaranteeRig) runningTasks(job string) int {
	n := 0
	for _, r := range g.fleet.Runs() {
		if r.Task.Job == job && r.To.IsZero() {
			n++
		}
	}

	return n
}

// heldBy returns the accelerators of a workspace's long-running tasks that can't be stopped.
func (g *guaranteeRig) heldBy(workspace string) int {
	held := 0
	for _, j := range g.lasting {
		s := &j.Steps[0]
		n := g.runningTasks(j.ID)
		switch {
		case j.Workspace != workspace, s.MaxUnavailable == 0:
		case s.Gang && s.MaxUnavailable < s.Count:
			held += n * s.Need.Accelerators
		default: // those that do not run are unavailable
			mayStop := max(0, s.MaxUnavailable-s.Count+n)
			held += max(0, n-mayStop) * s.Need.Accelerators
		}
	}

	return held
}

// describeLasting tells where long-running tasks run.
func (g *guaranteeRig) describeLasting() []string {
	all := make([]string, 0, len(g.lasting))
	for _, j := range g.lasting {
		s := &j.Steps[0]
		on := map[string]int{}
		for _, r := range g.fleet.Runs() {
			if r.Task.Job == j.ID && r.To.IsZero() {
				on[r.Worker]++
			}
		}
		all = append(all, fmt.Sprintf("%s of %s, %d tasks of %d, gang %t, may miss %d: %v", j.ID, j.Workspace, s.Count, s.Need.Accelerators, s.Gang, s.MaxUnavailable, on))
	}

	return all
}

// overstopped returns the stops that end a task at work while as many others of its step are away as may be, before its
// job is cancelled.
func overstopped(runs []fleet.RunRecord, jobs []work.Job, cancelled map[string]time.Time) []string {
	var faults []string
	for _, j := range jobs {
		s := &j.Steps[0]
		if s.MaxUnavailable == 0 {
			continue
		}
		for _, r := range runs {
			if at, ok := cancelled[j.ID]; ok && r.To.After(at) {
				continue
			}
			if r.Task.Job != j.ID || r.How != target.Stopped || r.To.Sub(r.From) < startupTime {
				continue
			}
			whole := s.Gang && s.MaxUnavailable >= s.Count // its members are stopped together
			if away := othersAway(runs, r, s.Count); away >= s.MaxUnavailable && !whole {
				faults = append(faults, fmt.Sprintf("%v is stopped while %d others of its step are away, %d may be", r.Task, away, s.MaxUnavailable))
			}
		}
	}

	return faults
}

// othersAway returns how many other tasks of a run's step had been stopped when it ended, and were not at work again.
func othersAway(runs []fleet.RunRecord, r fleet.RunRecord, count int) int {
	away := 0
	for index := range count {
		stopped, atWork := false, false
		for _, o := range runs {
			if o.Task.Job != r.Task.Job || o.Task.Index != index || index == r.Task.Index || o.From.After(r.To) {
				continue
			}
			stopped = stopped || (o.How == target.Stopped && !o.To.IsZero() && !o.To.After(r.To))
			atWork = atWork || (r.To.Sub(o.From) >= startupTime && (o.To.IsZero() || o.To.After(r.To)))
		}
		if stopped && !atWork {
			away++
		}
	}

	return away
}
