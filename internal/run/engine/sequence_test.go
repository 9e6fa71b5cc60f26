package engine_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/standin/fleet"
)

const (
	sequenceSeeds  = 40               // SESAMEYOKE_SEEDS sets another number
	deadlySeeds    = 20               // likewise
	deadlyShare    = 7                // one job in this many has a task that crashes its workers
	faultPeriod    = 40 * time.Second // time in which faults are injected
	deadlyPeriod   = 25 * time.Second // likewise with such tasks, each of which takes three workers away for a while
	recoveryPeriod = 90 * time.Second // time without faults in which all jobs must end
)

// regressionSeeds are seeds that once revealed a bug. 48: silent workers were never asked
// for a report again after all VMs had been paused. 54: the tasks of a job that had failed on most
// workers ran one after the other on the last one.
var regressionSeeds = []uint64{48, 54}

// TestSequences runs random jobs under random faults: VMs are killed, frozen and cut off from
// the store, the store and the workers lose and delay requests, and workers become
// unreachable and restart. It guards against violations that only a combination of faults
// causes: the check of the workers' journal must find none, and all accepted jobs must end in
// the fault-free period that follows.
func TestSequences(t *testing.T) {
	runSequences(t, slices.Concat(regressionSeeds, freshSeeds(t, sequenceSeeds)), func(*rig) {})
}

// TestDeadlySequences is TestSequences with tasks that crash their workers, which return under
// the same ID or another one. It guards against counts that are lost in a takeover, crashes
// that are counted twice and tasks that are started too often.
func TestDeadlySequences(t *testing.T) {
	runSequences(t, freshSeeds(t, deadlySeeds), func(r *rig) {
		r.faultPeriod = deadlyPeriod
		r.fleet.SetDeadly(func(task work.Task) (time.Duration, bool) {
			var number int
			_, err := fmt.Sscanf(task.Job, "j%d", &number)
			require.NoError(r.t, err)

			return time.Duration(number) * 10 * time.Millisecond, number%deadlyShare == 0 && task.Step == 0 && task.Index == 0
		}, r.seed%2 == 0)
	})
}

// freshSeeds returns n seeds from 1 on, unless the environment sets others.
func freshSeeds(t *testing.T, n uint64) []uint64 {
	if v := os.Getenv("SESAMEYOKE_SEEDS"); v != "" {
		var err error
		n, err = strconv.ParseUint(v, 10, 64)
		require.NoError(t, err)
	}
	first := uint64(1)
	if v := os.Getenv("SESAMEYOKE_SEED"); v != "" {
		var err error
		first, err = strconv.ParseUint(v, 10, 64)
		require.NoError(t, err)
	}
	var seeds []uint64
	for seed := first; seed < first+n; seed++ {
		seeds = append(seeds, seed)
	}

	return seeds
}

// runSequences runs the sequences of some seeds as subtests.
func runSequences(t *testing.T, seeds []uint64, prepare func(r *rig)) {
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				violations, open := runSequence(t, seed, mutation{}, prepare)
				require.Empty(t, violations)
				require.Empty(t, open)
			})
		})
	}
}

// runSequence runs one random sequence on a rig, after prepare. It returns the violations found in the workers'
// journal and the accepted jobs that have not ended.
func runSequence(t *testing.T, seed uint64, m mutation, prepare func(r *rig)) (violations, open []string) {
	r := newRig(t, seed)
	r.mutation = m
	prepare(r)
	defer func() {
		r.stop()
		violations = r.fleet.Violations()
	}()
	rnd := rand.New(rand.NewPCG(seed, 2))
	r.fleet.Outcome = func(task work.Task, run int64, worker string) (time.Duration, target.How) {
		x := rand.New(rand.NewPCG(seed+uint64(run), uint64(task.Index)+uint64(len(worker)))).Float64()
		if x < 0.1 {
			return 300 * time.Millisecond, target.Failed
		}

		return 500*time.Millisecond + time.Duration(x*float64(5*time.Second)), target.Done
	}
	for i := range 6 {
		r.fleet.Add(fmt.Sprintf("k%d", i), "s", fmt.Sprintf("r%d", i/3), work.Shape{CPU: 64000, Memory: 64000, Accelerators: 8})
	}
	names := []string{"a", "b", "c"}
	if seed%2 == 0 {
		r.cores["a"], r.cores["b"] = 0.2, 0.4 // the planner lease moves whenever a stronger VM is back
	}
	for _, n := range names {
		r.start(n)
	}
	time.Sleep(time.Second)
	until := time.Now().Add(r.faultPeriod)
	for i := 0; time.Now().Before(until); i++ {
		r.injectFault(rnd, names)
		r.submit(randomJob(rnd, i))
		time.Sleep(time.Duration(rnd.IntN(900)) * time.Millisecond)
	}
	r.clearFaults(names)
	time.Sleep(recoveryPeriod)
	for id := range r.accepted {
		if s := r.state(id); s != "completed" && s != "failed" {
			open = append(open, id+" is "+s)
		}
	}
	r.checkGivenUp()

	return nil, open
}

// randomJob draws the job with the given number.
func randomJob(rnd *rand.Rand, i int) work.Job {
	s := work.Step{
		Count: 1 + rnd.IntN(5), Need: work.Shape{CPU: 4000, Memory: 4000, Accelerators: 1 << rnd.IntN(4)}, Estimate: 2000,
		Gang: rnd.IntN(2) == 0, Checkpoints: rnd.IntN(2) == 0, MaxPerWorker: rnd.IntN(3),
	}
	if s.Gang && s.MaxPerWorker > 0 {
		s.Count = min(s.Count, 3)
	}
	s.SameRack = s.Gang && rnd.IntN(2) == 0
	j := work.Job{ID: fmt.Sprintf("j%d", i), Queue: []string{"urgent", "batch"}[rnd.IntN(2)], Workspace: "w", Spec: fmt.Sprint(i), Steps: []work.Step{s}}
	if rnd.IntN(4) == 0 {
		j.Steps = append(j.Steps, work.Step{Count: 2, Need: work.Shape{CPU: 1000, Accelerators: 1}, After: []int{0}, Estimate: 500})
	}
	if rnd.IntN(8) == 0 {
		j.Times, j.First, j.Interval = 2, time.Now().Add(2*time.Second).UnixMilli(), 3000
	}

	return j
}

// injectFault starts or ends one random fault.
func (r *rig) injectFault(rnd *rand.Rand, names []string) {
	vmName := names[rnd.IntN(len(names))]
	if p, _ := r.planner(); p != "" && rnd.IntN(2) == 0 {
		vmName = p
	}
	worker := fmt.Sprintf("k%d", rnd.IntN(6))
	switch rnd.IntN(16) {
	case 0, 1:
		if r.get(vmName) != nil {
			r.kill(vmName)
		}
	case 2, 3, 4:
		for _, n := range names {
			if r.get(n) == nil {
				r.start(n)
			}
		}
	case 5:
		if r.get(vmName) != nil && r.get(vmName).frozen.Load() == nil {
			r.freeze(vmName)
		}
	case 6:
		for n := range r.running() {
			r.thaw(n)
		}
	case 7:
		r.store.SetFaults(fleet.StoreFaults{Down: true, Silent: rnd.IntN(2) == 0})
	case 8:
		r.store.SetFaults(fleet.StoreFaults{LostShare: 0.3, LateShare: 0.1, ExtraLatency: time.Duration(rnd.IntN(200)) * time.Millisecond})
	case 9, 10:
		r.store.SetFaults(fleet.StoreFaults{})
		for _, n := range names {
			r.store.Cut(n, false)
		}
	case 11:
		r.store.Cut(vmName, true)
	case 12:
		r.fleet.SetOrderFaults(0.15, 0.15)
	case 13:
		r.fleet.SetOrderFaults(0, 0)
	case 14:
		r.fleet.Cut(worker, rnd.IntN(2) == 0)
	case 15:
		r.fleet.Restart(worker)
	}
}

// clearFaults ends all faults and restarts the VMs that do not run.
func (r *rig) clearFaults(names []string) {
	r.store.SetFaults(fleet.StoreFaults{})
	r.fleet.SetOrderFaults(0, 0)
	for n := range r.running() {
		r.thaw(n)
	}
	for _, n := range names {
		r.store.Cut(n, false)
		if r.get(n) == nil {
			r.start(n)
		}
	}
	for i := range 6 {
		r.fleet.Cut(fmt.Sprintf("k%d", i), false)
	}
}
