package engine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

// earlierAckSeeds is the number of seeds of TestAckOfEarlierIncarnation; SESAMEYOKE_SEEDS sets another one.
const earlierAckSeeds = 12

// TestAckOfEarlierIncarnation restarts workers under their IDs while the list of workers lags behind. It
// guards against a renewal with the numbers of the earlier incarnation that reaches the next one, which
// then forgets ends that the planner has not read, so that tasks run again after they were done.
func TestAckOfEarlierIncarnation(t *testing.T) {
	for _, late := range []bool{false, true} {
		for _, seed := range freshSeeds(t, earlierAckSeeds) {
			t.Run(fmt.Sprintf("late=%v/%d", late, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runEarlierAck(t, late, seed) })
			})
		}
	}
}

// runEarlierAck submits short tasks all the time, and restarts each of two workers several times. If late
// is set, some renewals get no answer and are carried out later, by whatever incarnation runs then.
func runEarlierAck(t *testing.T, late bool, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 5))
	r := newRig(t, seed)
	r.fleet.CrossIncarnations = true
	r.fleet.Outcome = func(_ work.Task, _ int64, _ string) (time.Duration, target.How) {
		return time.Duration(100+900*r.randFloat()) * time.Millisecond, target.Done
	}
	capacity := work.Shape{CPU: 16000, Memory: 64000, Accelerators: 8}
	r.fleet.Add("k0", "s", "r0", capacity)
	r.fleet.Add("k1", "s", "r0", capacity)
	r.start("a")
	time.Sleep(time.Second)
	r.fleet.ListLag = func() time.Duration { return time.Duration(4000*r.randFloat()) * time.Millisecond }
	until := time.Now().Add(40 * time.Second)
	for i := 0; time.Now().Before(until); i++ {
		step := work.Step{Count: 2, Need: work.Shape{CPU: 2000}, Estimate: 1000}
		r.submit(work.Job{ID: fmt.Sprintf("j%d", i), Queue: "batch", Workspace: "w", Spec: "x", Steps: []work.Step{step}})
		time.Sleep(time.Duration(rnd.IntN(400)) * time.Millisecond)
		if late {
			r.fleet.SetRenewalFaults(0.1*float64(rnd.IntN(2)), 0)
		}
		if rnd.IntN(12) == 0 {
			r.fleet.Restart(fmt.Sprintf("k%d", rnd.IntN(2)))
		}
	}
	r.fleet.SetRenewalFaults(0, 0)
	time.Sleep(40 * time.Second)
	var open []string
	for id := range r.accepted {
		if state := r.state(id); state != "completed" && state != "failed" { // a job whose runs were lost in several crashes may be given up
			open = append(open, id+" is "+state)
		}
	}
	r.stop()
	require.Empty(t, r.fleet.Violations())
	require.Empty(t, open)
}
