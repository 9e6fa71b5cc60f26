package plan_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/contract"
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/plan"
	"sesameyoke/internal/core/unit"
)

// TestMain fixes the seed of random sequences unless the command line names one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// TestScripts runs the scripts in testdata. "fleet", "policy" and "contract" set up the
// configuration, "step" applies events at one time and prints the actions, "racks" draws the
// racks: the first letter of the job on each accelerator, or x down, + reserved, _ promised,
// . free.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		config := plan.Config{Contracts: contract.Book{}}
		config.Policy.Defaults()
		var s *plan.State
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "fleet":
				var workers int
				d.ScanArgs(t, "workers", &workers)
				config.Fleet = fleetOf(workers)
			case "policy":
				d.ScanArgs(t, "weigh", (*string)(&config.Policy.Weigh))
			case "contract":
				c := contractOf(t, d)
				config.Contracts[c.Workspace] = c
			case "step":
				if s == nil {
					s = plan.New(config)
				}

				return stepOf(t, s, d)
			case "racks":
				return drawRacks(s)
			}

			return ""
		})
	})
}

func contractOf(t *testing.T, d *datadriven.TestData) contract.Contract {
	c := contract.Contract{Workspace: d.CmdArgs[0].Key, Checkpoint: unit.Seconds(30)}
	for _, a := range d.CmdArgs[1:] {
		switch a.Key {
		case "promise":
			var p contract.Promise
			_, err := fmt.Sscanf(a.Vals[0], "%dx%d", &p.Blocks, &p.Width)
			require.NoError(t, err)
			c.Promises = append(c.Promises, p)
		case "quota":
			c.Quota, _ = strconv.Atoi(a.Vals[0])
		case "queue":
			c.Queue, _ = strconv.Atoi(a.Vals[0])
		case "urgent":
			c.Urgent = true
		}
	}
	c.Defaults()

	return c
}

// stepOf applies one event per line: submit WS/ID MxW [adjacent] [once] [urgent]
// [run=D] [deadline=D], or KIND WS/ID|WORKER [worker=W] [done=D] [share=F].
// "once" makes the job non-idempotent. The resulting actions are printed.
func stepOf(t *testing.T, s *plan.State, d *datadriven.TestData) string {
	at, err := time.ParseDuration(d.CmdArgs[0].Key)
	require.NoError(t, err)
	kinds := map[string]plan.EventKind{
		"submit": plan.Submit, "cancel": plan.Cancel, "finish": plan.Finish, "fail": plan.Fail,
		"refused": plan.StartRefused, "saved": plan.CheckpointDone, "halted": plan.StopDone, "down": plan.Down,
		"up": plan.Up, "tick": plan.Tick, "withdraw": plan.Withdraw, "usage": plan.Usage,
	}
	var events []plan.Event
	for line := range strings.Lines(d.Input) {
		words := strings.Fields(line)
		kind, known := kinds[words[0]]
		require.True(t, known, line)
		e := plan.Event{Kind: kind}
		if len(words) > 1 {
			e.Key.Workspace, e.Key.ID, _ = strings.Cut(words[1], "/")
			e.Worker = words[1]
		}
		parseOptions(t, &e, words, at)
		events = append(events, e)
	}
	names := []string{"start", "save", "stop", "throttle", "conclude"}
	var out strings.Builder
	for _, a := range s.Step(at, events...) {
		fmt.Fprintf(&out, "%s %s", names[a.Kind], a.Key)
		for _, p := range a.Places {
			fmt.Fprintf(&out, " r%d:%d+%d", p.Rack, p.First, p.Width)
		}
		if a.Kind == plan.Conclude {
			fmt.Fprintf(&out, " %s, ran %s: %s", a.Code, a.Code.Info().Ran, a.Reason)
		}
		if a.RetryAfter > 0 {
			fmt.Fprintf(&out, "; retry after %v", a.RetryAfter)
		}
		fmt.Fprintln(&out)
	}

	return out.String()
}

func parseOptions(t *testing.T, e *plan.Event, words []string, at time.Duration) {
	e.Job = plan.Job{Key: e.Key, Kind: "k", Declared: time.Minute, Preemptible: true, SubmittedAt: at}
	for _, w := range words[min(2, len(words)):] {
		name, value, _ := strings.Cut(w, "=")
		switch name {
		case "adjacent":
			e.Job.Shape.Adjacent = true
		case "once":
			e.Job.Preemptible = false
		case "urgent":
			e.Job.Urgent = true
		case "worker":
			e.Worker = value
		case "share":
			v, err := strconv.ParseFloat(value, 64)
			require.NoError(t, err)
			e.CPUUsage = v
		case "run", "deadline", "done":
			v, err := time.ParseDuration(value)
			require.NoError(t, err)
			switch name {
			case "run":
				e.Job.Declared = v
			case "deadline":
				e.Job.Deadline = v
			default:
				e.CheckpointedRunTime = v
			}
		default:
			_, err := fmt.Sscanf(w, "%dx%d", &e.Job.Shape.Members, &e.Job.Shape.Width)
			require.NoError(t, err, w)
		}
	}
}

func drawRacks(s *plan.State) string {
	var out strings.Builder
	for _, o := range s.Occupancies() {
		fmt.Fprintf(&out, "%s ", o.Rack)
		for i, k := range o.Owners {
			bit := uint64(1) << i
			switch {
			case k.ID != "":
				out.WriteString(k.ID[:1])
			case o.Down&bit != 0:
				out.WriteString("x")
			case o.Held&bit != 0:
				out.WriteString("+")
			case o.Promised&bit != 0:
				out.WriteString("_")
			default:
				out.WriteString(".")
			}
		}
		fmt.Fprintln(&out)
	}

	return out.String()
}

// TestInvariants replays random traces and checks the scheduler after every event against
// independently computed state: no accelerator is assigned twice (checked by the replay
// itself), gangs are placed according to their shapes, quotas hold and every promised block
// can be freed. At the end it checks that every job entitled to a promised block started
// within the time limit for checkpoints, or within 1.5 s if it is urgent, and that no job was
// lost.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := drawRandomTrace(t)
		s := plan.New(tr.config)
		r := newReplay(tr, s)
		res := r.playAll(func() {
			checkPlaces(t, r)
			checkQuotas(t, r)
			checkPromisedBlocks(t, r, s)
		})
		require.LessOrEqual(t, res.maxEntitledWait, (30 * time.Second).Seconds(), "an entitled job waited longer than the checkpoint time")
		require.LessOrEqual(t, res.maxUrgentWait, 1.5, "an entitled urgent job waited more than 1.5 s")
		for _, j := range r.jobs {
			mayHaveFailed := !j.Preemptible && j.started
			require.True(t, j.finished || j.cancel || mayHaveFailed, "job %s was lost", j.Key)
		}
	})
}

func drawRandomTrace(t *rapid.T) *trace {
	name := rapid.SampledFrom([]string{"baltmala", "cuenca"}).Draw(t, "deployment")
	load := rapid.Float64Range(.3, 1.5).Draw(t, "load") / 8
	tr := newTrace(name, load, rapid.IntRange(20, 150).Draw(t, "jobs"), rapid.Uint64Range(1, 1<<30).Draw(t, "seed"))
	tr.config.Fleet = fleetOf(12)
	tr.config.Contracts = contract.Book{}
	shapes := []contract.Promise{{Blocks: 1, Width: 16}, {Blocks: 2, Width: 8}, {Blocks: 1, Width: 8}, {}}
	for i, w := range []string{"host", "a", "b", "c"} {
		c := contract.Contract{Workspace: w, Urgent: w == "a"}
		if p := shapes[rapid.IntRange(0, 3).Draw(t, "promise")]; p.Blocks > 0 {
			c.Promises = []contract.Promise{p}
		}
		if i == 3 && rapid.Bool().Draw(t, "quota") {
			c.Quota = max(48, c.Size())
		}
		c.Defaults()
		tr.config.Contracts[w] = c
	}
	tr.badWorkers = nil
	if rapid.Bool().Draw(t, "bad") {
		tr.badWorkers = []string{"w3"}
	}
	tr.lostRack = 1
	if rapid.Bool().Draw(t, "keep") {
		tr.downAt = tr.jobs[len(tr.jobs)-1].SubmittedAt + 300*time.Hour
	}

	return tr
}

func checkPlaces(t *rapid.T, r *replay) {
	for _, j := range r.jobs {
		if j.run == nil {
			continue
		}
		require.Len(t, j.run.places, j.Shape.Members)
		for i, p := range j.run.places {
			require.Equal(t, j.Shape.Width, p.Width)
			require.Equal(t, p.First/8, (p.First+p.Width-1)/8, "a member straddles two workers")
			if j.Shape.Adjacent && i > 0 {
				q := j.run.places[i-1]
				require.Equal(t, plan.Place{Rack: q.Rack, First: q.First + q.Width, Width: q.Width}, p)
			}
		}
	}
}

func checkQuotas(t *rapid.T, r *replay) {
	use := map[string]int{}
	for _, j := range r.jobs {
		if j.run != nil {
			use[j.Key.Workspace] += j.Shape.Size()
		}
	}
	for w, c := range r.trace.config.Contracts {
		if c.Quota > 0 {
			require.LessOrEqual(t, use[w], c.Quota)
		}
	}
}

// checkPromisedBlocks computes the promised blocks independently and checks that only jobs of the
// owner, or jobs that can be evicted, run on them.
func checkPromisedBlocks(t *rapid.T, r *replay, s *plan.State) {
	if r.now >= r.trace.downAt {
		return // after the loss of a rack, promises move to racks that are in use
	}
	blocks, misfits := contract.Apportion(r.trace.config.Contracts, r.trace.config.Fleet, nil)
	require.Empty(t, misfits)
	all := s.Occupancies()
	for _, b := range blocks {
		for i := b.First; i < b.First+b.Width; i++ {
			k := all[b.Rack].Owners[i]
			if k.ID != "" && k.Workspace != b.Workspace {
				require.True(t, r.jobs[k].Preemptible, "%s on the block of %s cannot be evicted", k, b.Workspace)
			}
		}
	}
}

// TestLargeJobNotStarved keeps a full rack busy with a stream of small jobs and checks that
// a large job still starts within a bound: DrainAfter, then the time until its reserved
// places have drained.
func TestLargeJobNotStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := plan.Config{Fleet: fleetOf(2), Contracts: contract.Book{}}
		config.Policy.Defaults()
		config.Policy.Budget = 0 // rules out preemption
		c := contract.Contract{Workspace: "a", Queue: 1000000}
		c.Defaults()
		config.Contracts["a"] = c
		drainAfter := plan.Tune(config.Policy).DrainAfter
		s := plan.New(config)
		longest := time.Duration(rapid.IntRange(60, 7200).Draw(t, "longest")) * time.Second
		large := job.Key{Workspace: "a", ID: "large"}
		ends := map[job.Key]time.Duration{}
		bound := drainAfter + longest + 2*time.Minute
		for now := time.Duration(0); ; now += 20 * time.Second {
			require.LessOrEqual(t, now, bound, "the large job has not started within the bound")
			events := []plan.Event{{Kind: plan.Tick}}
			for k, at := range ends {
				if at <= now {
					events = append(events, plan.Event{Kind: plan.Finish, Key: k})
					delete(ends, k)
				}
			}
			if now == time.Minute {
				events = append(events, plan.Event{Kind: plan.Submit, Job: plan.Job{
					Key: large, Shape: job.Shape{Members: 2, Width: 8, Adjacent: true}, Preemptible: true,
					Declared: 10 * time.Hour, SubmittedAt: now,
				}})
			}
			for i := range rapid.IntRange(0, 3).Draw(t, "small") {
				events = append(events, plan.Event{Kind: plan.Submit, Job: plan.Job{
					Key:   job.Key{Workspace: "a", ID: fmt.Sprintf("s%d-%d", now, i)},
					Shape: job.Shape{Members: 1, Width: 4}, Preemptible: true, Declared: time.Minute, SubmittedAt: now,
				}})
			}
			for _, a := range s.Step(now, events...) {
				if a.Kind == plan.Start && a.Key == large {
					return
				}
				if a.Kind == plan.Start {
					ends[a.Key] = now + time.Duration(rapid.Int64Range(1, int64(longest)).Draw(t, "run"))
				}
			}
		}
	})
}

// TestMassCancel cancels thousands of jobs in one step and checks that none is missed: the
// waiting jobs are answered as not run, and the running ones are stopped.
func TestMassCancel(t *testing.T) {
	const jobs = 5000
	config := plan.Config{Fleet: fleetOf(6), Contracts: contract.Book{}}
	config.Policy.Defaults()
	c := contract.Contract{Workspace: "a", Queue: jobs}
	c.Defaults()
	config.Contracts["a"] = c
	s := plan.New(config)
	submits := make([]plan.Event, 0, jobs)
	cancels := make([]plan.Event, 0, jobs)
	for i := range jobs {
		k := job.Key{Workspace: "a", ID: fmt.Sprint(i)}
		submits = append(submits, plan.Event{Kind: plan.Submit, Job: plan.Job{
			Key: k, Shape: job.Shape{Members: 1, Width: 8}, Preemptible: true, Declared: time.Minute,
		}})
		cancels = append(cancels, plan.Event{Kind: plan.Cancel, Key: k})
	}
	s.Step(0, submits...)
	notRun, stops := 0, 0
	for _, a := range s.Step(time.Second, cancels...) {
		switch {
		case a.Kind == plan.Conclude && a.Code == code.Cancelled:
			notRun++
		case a.Kind == plan.Stop:
			stops++
		}
	}
	require.Equal(t, jobs, notRun+stops)
	require.Equal(t, 6, stops)
}

// TestDeterminism applies the same events to two states and checks that they return the same
// actions. It guards against decisions that depend on the iteration order of maps.
func TestDeterminism(t *testing.T) {
	tr := newTrace("cuenca", 1.05, 600, 5)
	a, b := plan.New(tr.config), plan.New(tr.config)
	r := newReplay(tr, stepFunc(func(now time.Duration, events ...plan.Event) []plan.Action {
		x, y := a.Step(now, events...), b.Step(now, events...)
		require.Equal(t, x, y)

		return x
	}))
	r.playAll(nil)
}

type stepFunc func(now time.Duration, events ...plan.Event) []plan.Action

// Step calls the function.
func (f stepFunc) Step(now time.Duration, events ...plan.Event) []plan.Action {
	return f(now, events...)
}

// TestInvariantsRejectNaivePolicy replays fixed traces with a policy that ignores promises
// and checks that it violates the bound that TestInvariants puts on the wait of entitled
// jobs. It guards against a check that cannot fail.
func TestInvariantsRejectNaivePolicy(t *testing.T) {
	violations := 0
	for seed := range uint64(8) {
		tr := newTrace("baltmala", .2, 150, seed)
		tr.config.Fleet = fleetOf(18)
		tr.lostRack = 1
		res := newReplay(tr, newNaive(tr.config, "skip")).playAll(nil)
		if res.maxEntitledWait > 30 {
			violations++
		}
	}
	require.Positive(t, violations, "a policy that ignores promises meets the bound on the wait of entitled jobs")
}

// TestBurst submits thousands of jobs of one workspace at once. The workspace's queue must
// stay bounded, and a job of another workspace that is entitled to a promised block must
// start as soon as the jobs there are checkpointed.
func TestBurst(t *testing.T) {
	config := plan.Config{Fleet: fleetOf(6), Contracts: contract.Book{}}
	config.Policy.Defaults()
	a := contract.Contract{Workspace: "a", Promises: []contract.Promise{{Blocks: 1, Width: 16}}}
	b := contract.Contract{Workspace: "b", Queue: 500}
	a.Defaults()
	b.Defaults()
	config.Contracts["a"], config.Contracts["b"] = a, b
	s := plan.New(config)
	burst := make([]plan.Event, 0, 5000)
	for i := range cap(burst) {
		burst = append(burst, submitOf(job.Key{Workspace: "b", ID: fmt.Sprint(i)}, 8, 0))
	}
	refused := 0
	for _, x := range s.Step(0, burst...) {
		if x.Kind == plan.Conclude {
			require.Equal(t, code.Overloaded, x.Code)
			require.Positive(t, x.RetryAfter)
			refused++
		}
	}
	require.Equal(t, len(burst)-500, refused)
	key := job.Key{Workspace: "a", ID: "owed"}
	entitled := submitOf(key, 16, time.Second)
	entitled.Job.Shape = job.Shape{Members: 2, Width: 8, Adjacent: true}
	saved := make([]plan.Event, 0, 2)
	for _, x := range s.Step(time.Second, entitled) {
		require.Equal(t, plan.Save, x.Kind)
		saved = append(saved, plan.Event{Kind: plan.CheckpointDone, Key: x.Key})
	}
	require.Len(t, saved, 2)
	started := false
	for _, x := range s.Step(2*time.Second, saved...) {
		started = started || x.Kind == plan.Start && x.Key == key
	}
	require.True(t, started)
}
