package plan_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"sesameyoke/internal/core/config"
	"sesameyoke/internal/core/contract"
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/plan"
	"sesameyoke/internal/core/unit"
)

const (
	saveTime       = 20 * time.Second // duration of a checkpoint, during which accelerators stay in use
	restoreTime    = 20 * time.Second // duration of a restore, with accelerators in use
	failDelay      = 5 * time.Second  // time until a job fails on a bad worker
	outageDuration = time.Hour        // time for which the lost rack is down
)

type (
	// traceJob is one job of a trace, with attributes known only to the simulation.
	traceJob struct {
		plan.Job
		run    time.Duration // true run time
		cancel bool          // cancelled at trace.cancelAt
	}

	// trace is a list of jobs and faults, generated from a seed.
	trace struct {
		name       string
		config     plan.Config
		jobs       []traceJob // in order of submission
		cancelAt   time.Duration
		lostRack   int // index of the rack that fails
		downAt     time.Duration
		badWorkers []string // workers on which all jobs fail
	}

	// jobKind is a kind of job. Its run times are distributed log-normally.
	jobKind struct {
		name   string
		share  float64 // fraction of all jobs
		median float64 // median run time in seconds
		sigma  float64 // standard deviation of the logarithm of the run time
	}

	// workload holds the parameters in which the deployments differ.
	workload struct {
		weigh config.Weigh
		sizes map[int]float64 // fraction of all jobs, by number of accelerators
		kinds []jobKind
	}
)

var workloads = map[string]workload{
	"baltmala": {
		weigh: config.WeighCompletion,
		sizes: map[int]float64{1: .36, 2: .18, 4: .16, 8: .16, 16: .10, 32: .04},
		kinds: []jobKind{{"price", .5, 60, .8}, {"route", .33, 900, .8}, {"season", .17, 7200, .6}},
	},
	"cuenca": {
		weigh: config.WeighFragmentation,
		sizes: map[int]float64{1: .3, 2: .17, 4: .16, 8: .2, 16: .12, 32: .05},
		kinds: []jobKind{{"quote", .5, 120, .8}, {"book", .3, 1800, .8}, {"batch", .2, 9000, .6}},
	},
}

// fleetOf returns a fleet with racks of six workers, each with eight accelerators.
func fleetOf(workers int) contract.Fleet {
	var f contract.Fleet
	for i := range workers {
		if i%6 == 0 {
			n := len(f.Racks)
			f.Racks = append(f.Racks, contract.Rack{
				Name: fmt.Sprintf("r%d", n), Region: "r", Domain: fmt.Sprintf("d%d", n%4),
			})
		}
		r := &f.Racks[len(f.Racks)-1]
		r.Workers = append(r.Workers, contract.Worker{Name: fmt.Sprintf("w%d", i), Accelerators: 8})
	}

	return f
}

// testBook returns contracts that promise 160 of 400 accelerators to four workspaces.
func testBook() contract.Book {
	b := contract.Book{}
	for _, c := range []contract.Contract{
		{Workspace: "host", Promises: []contract.Promise{{Blocks: 2, Width: 16}}},
		{Workspace: "a", Promises: []contract.Promise{{Blocks: 1, Width: 32}, {Blocks: 2, Width: 16}}, Urgent: true},
		{Workspace: "b", Promises: []contract.Promise{{Blocks: 2, Width: 16}, {Blocks: 2, Width: 8}}},
		{Workspace: "c", Promises: []contract.Promise{{Blocks: 2, Width: 8}}},
	} {
		c.Weight, c.Queue, c.Checkpoint = 1, 100000, unit.Seconds(30)
		b[c.Workspace] = c
	}

	return b
}

func newTrace(name string, load float64, jobs int, seed uint64) *trace {
	m := workloads[name]
	rng := rand.New(rand.NewPCG(seed, 7))
	p := config.Policy{Weigh: m.weigh}
	p.Defaults()
	t := &trace{name: name, config: plan.Config{Fleet: fleetOf(50), Contracts: testBook(), Policy: p}}
	work := 0.0
	for i := range jobs {
		j := m.drawJob(rng, i)
		work += j.run.Seconds() * float64(j.Shape.Size())
		t.jobs = append(t.jobs, j)
	}
	span := work / (400 * load)
	t.spreadArrivals(rng, span)
	t.cancelAt = time.Duration(span / 2 * float64(time.Second))
	t.downAt = time.Duration(span * .6 * float64(time.Second))
	t.lostRack = 3
	t.badWorkers = []string{"w7", "w33"}
	for i := range t.jobs {
		j := &t.jobs[i]
		before := t.cancelAt - j.SubmittedAt
		j.cancel = before > 0 && before < 2*time.Hour && rng.Float64() < .3
	}

	return t
}

// spreadArrivals distributes the submissions over span seconds. A tenth of the jobs arrives
// in bursts of sixty.
func (t *trace) spreadArrivals(rng *rand.Rand, span float64) {
	burst := 0.0
	for i := range t.jobs {
		at := rng.Float64() * span
		if i%10 == 0 {
			if i%600 == 0 {
				burst = rng.Float64() * span
			}
			at = burst
		}
		t.jobs[i].SubmittedAt = time.Duration(at * float64(time.Second))
	}
	sort.SliceStable(t.jobs, func(i, j int) bool { return t.jobs[i].SubmittedAt < t.jobs[j].SubmittedAt })
}

func (m workload) drawJob(rng *rand.Rand, i int) traceJob {
	size := pickSize(rng, m.sizes)
	k := m.kinds[len(m.kinds)-1]
	x := rng.Float64()
	for _, c := range m.kinds {
		if x < c.share {
			k = c

			break
		}
		x -= c.share
	}
	run := math.Min(k.median*math.Exp(k.sigma*rng.NormFloat64()), 12*3600)
	declaredFactor := math.Exp((2*rng.Float64() - 1) * math.Log(4))
	j := traceJob{run: time.Duration(run * float64(time.Second))}
	ws := []string{"host", "a", "a", "a", "b", "b", "b", "c"}[rng.IntN(8)]
	j.Key = job.Key{Workspace: ws, ID: fmt.Sprintf("j%d", i)}
	j.Kind = k.name
	j.Declared = time.Duration(run * declaredFactor * float64(time.Second))
	j.Preemptible = size > 8 || rng.Float64() > .1
	j.Shape = job.Shape{Members: 1, Width: size, Adjacent: true}
	if size > 8 {
		j.Shape = job.Shape{Members: size / 8, Width: 8, Adjacent: true}
	} else if size >= 2 && rng.Float64() < .2 {
		j.Shape = job.Shape{Members: size, Width: 1}
	}
	j.Urgent = ws == "a" && size <= 2 && j.Preemptible && rng.Float64() < .2

	return j
}

func pickSize(rng *rand.Rand, shares map[int]float64) int {
	keys := make([]int, 0, len(shares))
	for k := range shares {
		keys = append(keys, k)
	}
	sort.Ints(keys)
	x := rng.Float64()
	for _, k := range keys {
		if x < shares[k] {
			return k
		}
		x -= shares[k]
	}

	return keys[0]
}

// meanLowerBound returns a lower bound on the mean completion time in seconds. It treats all
// accelerators as one pool, uses true run times, serves the least remaining work first and
// runs no job faster than its run time.
func (t *trace) meanLowerBound() float64 {
	type openJob struct {
		remaining, size, since float64 // remaining work in accelerator-seconds, accelerators, time of submission
	}
	var active []*openJob
	now, sum, n := 0.0, 0.0, 0
	next := 0
	for next < len(t.jobs) || len(active) > 0 {
		sort.SliceStable(active, func(i, j int) bool { return active[i].remaining < active[j].remaining })
		free := 400.0
		until := math.Inf(1)
		rates := make([]float64, len(active))
		for i, o := range active {
			rates[i] = math.Min(o.size, free)
			free -= rates[i]
			if rates[i] > 0 {
				until = math.Min(until, now+o.remaining/rates[i])
			}
		}
		if next < len(t.jobs) {
			until = math.Min(until, t.jobs[next].SubmittedAt.Seconds())
		}
		kept := active[:0]
		for i, o := range active {
			o.remaining -= rates[i] * (until - now)
			if o.remaining <= 1e-6 {
				sum += until - o.since
				n++

				continue
			}
			kept = append(kept, o)
		}
		active = kept
		now = until
		for next < len(t.jobs) && t.jobs[next].SubmittedAt.Seconds() <= now {
			j := t.jobs[next]
			next++
			if j.cancel {
				continue
			}
			size := float64(j.Shape.Size())
			active = append(active, &openJob{remaining: j.run.Seconds() * size, size: size, since: j.SubmittedAt.Seconds()})
		}
	}

	return sum / float64(n)
}
