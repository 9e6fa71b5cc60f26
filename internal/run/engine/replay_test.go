package engine_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/yaml.v3"

	"sesameyoke/internal/core/policy"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

const (
	replaySeeds        = 1                // number of seeds of each load; SESAMEYOKE_SEEDS sets another one
	extraTrackTime     = 25 * time.Second // a job is tracked for this long after the latest end that earns credit
	accelCores         = 8                // an accelerator counts as this many cores
	lateFactor         = 3                // a job earns credit if it ends within this many times its objective
	baseCredit         = 0.3              // part of a job's credit that does not depend on its size, as a multiple of its kind's worth
	workerAccelerators = 8                // accelerators of each worker
	maxCredit          = 4.0              // upper bound of a job's credit, as a multiple of its kind's worth
)

type (
	// load is a pattern of job arrivals and of disturbances at the workers.
	load struct {
		Workers    int
		Rack       int // workers per rack
		CPU        int
		Memory     int
		Seconds    float64
		Workspaces int
		Guaranteed int // guaranteed accelerators of each workspace
		Kinds      []jobKind
		Troubles   []disturbance
		Worth      float64 // lower bound of the share of the credit that is earned
		Wasted     float64 // upper bound of the share of the workers' capacity that is spent on discarded work

		watch *idleWatch // nil if idle waits are not checked
	}

	// jobKind describes a kind of job by its distributions.
	jobKind struct {
		Name         string
		Rate         float64 // jobs per second
		Filled       int     // jobs that arrive within 1 s, 4 s before arrivals at Rate begin
		Width        float64 // mean number of tasks, with an exponential tail
		Most         int     // largest number of tasks
		CPU          int
		Memory       int
		Accelerators []int
		Length       float64 // mean run time in seconds
		Spread       float64 // standard deviation of the logarithm of the jobs' run times
		Uneven       float64 // the same for the tasks of a job
		Off          float64 // the same for the error of the estimates
		Gang         float64 // share of the jobs that are gangs
		Together     float64 // share of the gangs that must run on one rack
		Saves        float64 // share of the jobs that write checkpoints
		Poison       float64 // share of the jobs that never succeed
		Cancel       float64 // share of the jobs that are cancelled
		Priority     int
		Stretch      float64
		Target       time.Duration
		Worth        float64
		Late         float64 // worth if the job ends after its objective
	}

	// disturbance is a fault or a burst of arrivals.
	disturbance struct {
		Kind  string  // burst, slow, leave, silent, late, restart, failing, power or planner
		At    float64 // start in seconds after the first arrivals at Rate
		For   float64
		Share float64 // share of the workers or of the orders that are affected
		Times float64 // factor on the arrival rate of a kind, or on the length of runs
		Of    string  // name of the job kind of a burst
	}

	// arrival is one job with its arrival time and run times.
	arrival struct {
		work.Job

		kind    *jobKind
		lengths []float64 // run times in seconds, by task
		poison  bool
		cancel  float64 // seconds after arrival; 0 for never
		atStake float64 // credit that is lost if the job ends after its objective
		done    time.Duration
		sent    time.Duration
	}

	// score is the result of replaying a load.
	score struct {
		owed, earned map[string]float64 // credit, by kind
		bound        float64            // share of the credit that no policy can exceed
		wasted       float64            // core-seconds of discarded work
		capacity     float64            // core-seconds of all workers
		late         int
	}
)

// TestReplay replays the loads of testdata/loads in simulated time. It guards against changes
// of the scheduling that make jobs miss their objectives or discard more work: the mean scores
// of the seeds must stay within the bounds of the load. If SESAMEYOKE_FIGURES is set, it
// prints the scores.
func TestReplay(t *testing.T) {
	files, err := filepath.Glob("testdata/loads/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	seeds := replaySeeds
	if s := os.Getenv("SESAMEYOKE_SEEDS"); s != "" {
		seeds, err = strconv.Atoi(s)
		require.NoError(t, err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		t.Run(name, func(t *testing.T) { readLoad(t, file).check(t, name, seeds) })
	}
}

// check replays a load with several seeds and compares the mean scores with its bounds.
func (l *load) check(t *testing.T, name string, seeds int) {
	var (
		lock                 sync.Mutex
		worth, bound, wasted float64
	)
	figures := os.Getenv("SESAMEYOKE_FIGURES") != ""
	t.Run("seeds", func(t *testing.T) {
		for seed := 1; seed <= seeds; seed++ {
			t.Run(strconv.Itoa(seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					s := l.replay(t, uint64(seed))
					lock.Lock()
					defer lock.Unlock()
					worth += s.worth() / float64(seeds)
					bound += s.bound / float64(seeds)
					wasted += s.wasted / s.capacity / float64(seeds)
					if figures {
						fmt.Printf("load=%s seed=%d %s\n", name, seed, s)
					}
				})
			})
		}
	})
	if figures {
		fmt.Printf("load=%s seeds=%d worth=%.3f bound=%.3f wasted=%.3f net=%.3f\n", name, seeds, worth, bound, wasted, worth-wasted)
	}
	require.LessOrEqual(t, worth, bound)
	require.GreaterOrEqual(t, worth, l.Worth)
	require.LessOrEqual(t, wasted, l.Wasted)
}

func readLoad(t *testing.T, file string) *load {
	b, err := os.ReadFile(file)
	require.NoError(t, err)
	l := &load{}
	d := yaml.NewDecoder(strings.NewReader(string(b)))
	d.KnownFields(true)
	require.NoError(t, d.Decode(l))

	return l
}

// replay runs a load and returns its score.
func (l *load) replay(t *testing.T, seed uint64) score {
	r := newRig(t, seed)
	defer r.stop()
	rnd := rand.New(rand.NewPCG(seed, 2))
	l.setPolicy(r)
	all := l.arrivals(rnd)
	byID := map[string]*arrival{}
	for _, a := range all {
		byID[a.ID] = a
	}
	for i := range l.Workers {
		r.fleet.Add(fmt.Sprintf("k%03d", i), "s", fmt.Sprintf("r%02d", i/l.Rack), work.Shape{CPU: l.CPU, Memory: l.Memory, Accelerators: workerAccelerators})
	}
	r.fleet.Outcome = func(task work.Task, _ int64, _ string) (time.Duration, target.How) {
		a := byID[task.Job]
		if a.poison {
			return time.Duration(a.lengths[task.Index] * float64(time.Second) / 4), target.Failed
		}

		return time.Duration(a.lengths[task.Index] * float64(time.Second)), target.Done
	}
	for _, n := range []string{"a", "b", "c"} {
		r.start(n)
	}
	time.Sleep(2 * time.Second)
	defer l.watch.start(r, all)()
	l.submitAll(t, r, rnd, all)
	s := l.score(r, all)
	require.Empty(t, r.fleet.Violations())

	return s
}

func (l *load) setPolicy(r *rig) {
	p := &policy.Policy{Version: 1}
	for _, k := range l.Kinds {
		p.Queues = append(p.Queues, policy.Queue{
			Name: k.Name, Service: "s", Priority: k.Priority, Attempts: 2, Stretch: k.Stretch, Target: k.Target,
		})
	}
	for i := range l.Workspaces {
		p.Workspaces = append(p.Workspaces, policy.Workspace{Name: fmt.Sprintf("w%d", i), Guaranteed: l.Guaranteed})
	}
	r.setPolicy(p)
}

// arrivals draws the jobs, by kind and in the order of their arrival.
func (l *load) arrivals(rnd *rand.Rand) []*arrival {
	var all []*arrival
	for i := range l.Kinds {
		k := &l.Kinds[i]
		for range k.Filled {
			all = append(all, l.drawJob(rnd, k, rnd.Float64()))
		}
		for at := 4.0; at < 4+l.Seconds; {
			at += rnd.ExpFloat64() / (k.Rate * l.rateFactor(k.Name, at-4))
			all = append(all, l.drawJob(rnd, k, at))
		}
	}

	return all
}

// rateFactor returns the factor that bursts apply to a kind's arrival rate at a time.
func (l *load) rateFactor(name string, at float64) float64 {
	factor := 1.0
	for _, d := range l.Troubles {
		if d.Kind == "burst" && d.Of == name && at >= d.At && at < d.At+d.For {
			factor *= d.Times
		}
	}

	return factor
}

func (l *load) drawJob(rnd *rand.Rand, k *jobKind, at float64) *arrival {
	n := min(k.Most, 1+int(rnd.ExpFloat64()*(k.Width-1)))
	length := k.Length * logNormal(rnd, k.Spread)
	a := &arrival{kind: k, sent: time.Duration(at * float64(time.Second)), poison: rnd.Float64() < k.Poison}
	need := work.Shape{CPU: k.CPU, Memory: k.Memory, Accelerators: k.Accelerators[rnd.IntN(len(k.Accelerators))]}
	st := work.Step{Count: n, Need: need, Estimate: int64(1000 * length * logNormal(rnd, k.Off)), Checkpoints: rnd.Float64() < k.Saves}
	st.Gang = n > 1 && rnd.Float64() < k.Gang
	st.SameRack = st.Gang && rnd.Float64() < k.Together
	for range n {
		taskLength := length
		if !st.Gang {
			taskLength *= logNormal(rnd, k.Uneven)
		}
		a.lengths = append(a.lengths, taskLength)
	}
	if rnd.Float64() < k.Cancel {
		a.cancel = rnd.Float64() * 2 * length
	}
	a.Job = work.Job{
		ID: fmt.Sprintf("%016x", rnd.Uint64()), Queue: k.Name, Workspace: fmt.Sprintf("w%d", rnd.IntN(l.Workspaces)), Spec: "x", Steps: []work.Step{st},
	}

	return a
}

// logNormal draws a log-normal factor with mean 1.
func logNormal(rnd *rand.Rand, s float64) float64 { return math.Exp(s*rnd.NormFloat64() - s*s/2) }

// submitAll submits the jobs at their arrival times, applies the disturbances, and waits
// for the jobs to end.
func (l *load) submitAll(t *testing.T, r *rig, rnd *rand.Rand, all []*arrival) {
	began := time.Now()
	var jobs sync.WaitGroup
	for _, a := range all {
		jobs.Go(func() { r.submitAndTrack(a, began) })
	}
	for _, d := range l.Troubles {
		picked := rnd.Perm(l.Workers)[:min(l.Workers, int(d.Share*float64(l.Workers)))]
		jobs.Go(func() { r.applyDisturbance(t, d, picked, began) })
	}
	jobs.Wait()
}

// submitAndTrack submits a job, cancels it if the job has a time for that, and records when
// it has ended.
func (r *rig) submitAndTrack(a *arrival, began time.Time) {
	time.Sleep(time.Until(began.Add(a.sent)))
	if !r.submit(a.Job) {
		return
	}
	until := began.Add(a.sent + extraTrackTime + time.Duration(lateFactor)*a.objective())
	for time.Now().Before(until) {
		time.Sleep(50 * time.Millisecond)
		if _, eng := r.planner(); eng != nil {
			if a.cancel > 0 && time.Since(began) > a.sent+time.Duration(a.cancel*float64(time.Second)) {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				_ = eng.Cancel(ctx, a.ID, a.Workspace) // the next iteration retries it if it failed
				cancel()
			}
			if p, err := eng.State(a.ID, a.Workspace); err == nil && p.Final() {
				a.done = time.Since(began) - a.sent

				return
			}
		}
	}
}

// applyDisturbance applies one disturbance. Bursts are part of the arrivals.
func (r *rig) applyDisturbance(t *testing.T, d disturbance, picked []int, began time.Time) {
	time.Sleep(time.Until(began.Add(time.Duration((4 + d.At) * float64(time.Second)))))
	length := time.Duration(d.For * float64(time.Second))
	each := func(f func(id string)) {
		for _, i := range picked {
			f(fmt.Sprintf("k%03d", i))
		}
	}
	switch d.Kind {
	case "burst":
	case "slow":
		each(func(id string) { r.fleet.SetSpeed(id, 1/d.Times) })
		time.Sleep(length)
		each(func(id string) { r.fleet.SetSpeed(id, 1) })
	case "leave":
		each(func(id string) { r.fleet.Drain(id, length) })
		time.Sleep(length)
		each(func(id string) { r.fleet.Kill(id); r.fleet.Unlist(id) })
	case "silent":
		each(func(id string) { r.fleet.Cut(id, true) })
		time.Sleep(length)
		each(func(id string) { r.fleet.Cut(id, false) })
	case "late":
		r.fleet.SetOrderFaults(d.Share, 0)
		time.Sleep(length)
		r.fleet.SetOrderFaults(0, 0)
	case "restart":
		each(func(id string) {
			r.fleet.Restart(id)
			time.Sleep(length / time.Duration(len(picked)))
		})
	case "failing":
		r.failOn(picked, length)
	case "power":
		for name := range r.running() {
			r.kill(name)
		}
		time.Sleep(length)
		for _, name := range []string{"a", "b", "c"} {
			r.start(name)
		}
	case "planner":
		name, _ := r.planner()
		r.kill(name)
		time.Sleep(length)
		r.start(name)
	default:
		t.Errorf("disturbance %q is not known", d.Kind)
	}
}

// objective is the time within which a job earns its full worth.
func (a *arrival) objective() time.Duration {
	longest := 0.0
	for _, l := range a.lengths {
		longest = max(longest, l)
	}

	return time.Duration(a.kind.Stretch*longest*float64(time.Second)) + a.kind.Target
}

// coreSeconds returns the work of a job.
func (a *arrival) coreSeconds() float64 {
	sum := 0.0
	for _, l := range a.lengths {
		sum += l
	}

	return sum * cores(a.Steps[0].Need)
}

func cores(s work.Shape) float64 {
	return float64(s.CPU)/1000 + accelCores*float64(s.Accelerators)
}

// score adds up the credit of the jobs and the discarded work.
func (l *load) score(r *rig, all []*arrival) score {
	s := score{owed: map[string]float64{}, earned: map[string]float64{}}
	s.capacity = float64(l.Workers) * cores(work.Shape{CPU: l.CPU, Accelerators: workerAccelerators}) * l.Seconds
	byID, mean, n := map[string]*arrival{}, map[string]float64{}, map[string]float64{}
	for _, a := range all {
		byID[a.ID] = a
		mean[a.kind.Name] += a.coreSeconds()
		n[a.kind.Name]++
	}
	for _, a := range all {
		if a.cancel > 0 {
			continue
		}
		k := a.kind.Name
		credit := min(maxCredit, baseCredit+(1-baseCredit)*a.coreSeconds()/(mean[k]/n[k]))
		s.owed[k] += credit * a.kind.Worth
		a.atStake = credit * (a.kind.Worth - a.kind.Late)
		switch {
		case a.done == 0 || a.done > lateFactor*a.objective():
		case a.done <= a.objective():
			s.earned[k] += credit * a.kind.Worth
		default:
			s.earned[k] += credit * a.kind.Late
			s.late++
		}
	}
	s.bound = 1 - l.unavoidableLoss(all)/s.total(s.owed)
	for _, e := range r.fleet.Runs() {
		a := byID[e.Task.Job]
		if e.How != target.Done && !e.To.IsZero() && a.cancel == 0 && !a.poison && !a.Steps[0].Checkpoints {
			s.wasted += e.To.Sub(e.From).Seconds() * cores(a.Steps[0].Need)
		}
	}

	return s
}

// worth returns the share of the credit that was earned.
func (s score) worth() float64 { return s.total(s.earned) / s.total(s.owed) }

// total sums credit over the kinds.
func (s score) total(credit map[string]float64) float64 {
	sum := 0.0
	for _, c := range credit {
		sum += c
	}

	return sum
}

func (s score) String() string {
	line := fmt.Sprintf("worth=%.3f wasted=%.3f late=%d", s.worth(), s.wasted/s.capacity, s.late)
	for _, k := range []string{"urgent", "gang", "bulk"} {
		if s.owed[k] > 0 {
			line += fmt.Sprintf(" %s=%.3f", k, s.earned[k]/s.owed[k])
		}
	}

	return line
}
