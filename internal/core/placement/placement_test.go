package placement_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/placement"
	"sesameyoke/internal/core/work"
)

// TestDecide runs the scripts in testdata. They list workers and waiting units, one per
// line, and the expected decision.
func TestDecide(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var workers []placement.Worker
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "workers":
				workers = readWorkers(t, d.Input)

				return ""
			case "decide":
				return decide(t, slices.Clone(workers), d.Input)
			case "explain":
				return explain(t, slices.Clone(workers), d.Input)
			case "overdue":
				return overdue(t, workers, d)
			case "rank":
				return rank(t, d)
			case "slowest":
				return slowest(t, d)
			case "mayevict":
				return mayEvict(t, d)
			case "order":
				return order(t, d)
			case "shed":
				return shed(t, d)
			case "lostvalue":
				return lostValue(t, d)
			}
			t.Fatalf("unknown command %q", d.Cmd)

			return ""
		})
	})
}

// readWorkers parses lines of the form "rack free/capacity [nobesteffort] [cold=SECONDS] [slowdown=N] [lasting=RUN] [group:priority:accelerators:lost[:seconds[:borrowed[:value]]] ...]",
// where seconds is the expected time until the run ends, and value is the lost value. Any other word than borrowed is ignored.
func readWorkers(t *testing.T, input string) []placement.Worker {
	var ws []placement.Worker
	for line := range strings.SplitSeq(input, "\n") {
		f := strings.Fields(line)
		var free, capacity int
		_, err := fmt.Sscanf(f[1], "%d/%d", &free, &capacity)
		require.NoError(t, err)
		w := placement.Worker{Rack: f[0], Labels: []string{f[0]}, Schedulable: true, Free: shape(free), Capacity: shape(capacity)}
		for _, r := range f[2:] {
			if v, ok := strings.CutPrefix(r, "slowdown="); ok {
				_, err := fmt.Sscan(v, &w.Slowdown)
				require.NoError(t, err)

				continue
			}
			if r == "nobesteffort" {
				w.NoBestEffort = true

				continue
			}
			if spec, ok := strings.CutPrefix(r, "lasting="); ok {
				w.Lasting = append(w.Lasting, readLasting(t, spec))

				continue
			}
			if left, ok := strings.CutPrefix(r, "cold="); ok {
				w.ColdFor = seconds(t, left)

				continue
			}
			var run placement.Run
			p := strings.Split(r, ":")
			run.Group = p[0]
			_, err := fmt.Sscanf(strings.Join(p[1:], " "), "%d %d %f", &run.Priority, &free, &run.LostWork)
			require.NoError(t, err)
			if len(p) > 4 {
				run.Remaining = seconds(t, p[4])
			}
			run.Borrowed = len(p) > 5 && p[5] == "borrowed"
			if len(p) > 6 {
				_, err := fmt.Sscan(p[6], &run.LostValue)
				require.NoError(t, err)
			}
			run.Need = shape(free)
			w.Runs = append(w.Runs, run)
		}
		ws = append(ws, w)
	}

	return ws
}

// readLasting parses the run of a long-running task: GROUP:PRIORITY:ACCELERATORS:STEP:MAYSTOP.
func readLasting(t *testing.T, spec string) placement.LastingRun {
	p := strings.Split(spec, ":")
	r := placement.LastingRun{Run: placement.Run{Group: p[0], LostWork: placement.LastingCost}, Step: p[3], Tasks: 1}
	var accel int
	_, err := fmt.Sscan(p[1]+" "+p[2]+" "+p[4], &r.Priority, &accel, &r.MayStop)
	require.NoError(t, err)
	r.Need = shape(accel)

	return r
}

func seconds(t *testing.T, s string) time.Duration {
	d, err := time.ParseDuration(s + "s")
	require.NoError(t, err)

	return d
}

func shape(n int) work.Shape { return work.Shape{CPU: 1000 * n, Memory: 1000 * n, Accelerators: n} }

// readUnits parses lines of the form "name TASKSxACCELERATORS [gang] [together] [evicts]
// [guaranteed] [reserves] [spares] [overdue] [besteffort] [priority=N] [length=SECONDS] [near=RACK]
// [sparesfast] [maxslowdown=N] [spread=N] [avoid=WORKER] [exclude=WORKER]".
func readUnits(t *testing.T, input string) []placement.Unit {
	var us []placement.Unit
	for line := range strings.SplitSeq(input, "\n") {
		f := strings.Fields(line)
		var n, accel int
		_, err := fmt.Sscanf(f[1], "%dx%d", &n, &accel)
		require.NoError(t, err)
		u := placement.Unit{Name: f[0], Need: shape(accel)}
		for i := range n {
			u.Tasks = append(u.Tasks, i)
		}
		for _, w := range f[2:] {
			k, v, _ := strings.Cut(w, "=")
			switch k {
			case "gang":
				u.Gang = true
			case "together":
				u.SameRack = true
			case "evicts":
				u.MayEvict = true
			case "spares":
				u.UsesSpares = true
			case "overdue":
				u.Overdue = true
			case "besteffort":
				u.BestEffort = true
			case "guaranteed":
				u.Guaranteed = true
			case "reserves":
				u.Reserves = true
			case "sparesfast":
				u.SparesFast = true
			case "maxslowdown":
				_, err = fmt.Sscan(v, &u.MaxSlowdown)
			case "length":
				u.Length = seconds(t, v)
			case "near":
				u.DataRack, u.DataRackOnly = v, true
			case "priority":
				_, err = fmt.Sscan(v, &u.Priority)
			case "spread":
				_, err = fmt.Sscan(v, &u.MaxPerWorker)
			case "avoid", "exclude":
				var avoided int
				_, err = fmt.Sscan(v, &avoided)
				if k == "avoid" {
					u.Avoid = map[int]bool{avoided: true}
				} else {
					u.Exclude = map[int]bool{avoided: true}
				}
			}
			require.NoError(t, err)
		}
		us = append(us, u)
	}

	return us
}

// explain decides on the units of the input and returns why the last one was not placed.
func explain(t *testing.T, ws []placement.Worker, input string) string {
	us := readUnits(t, input)
	placement.Decide(ws, us)
	s := placement.Explain(ws, &us[len(us)-1])

	return fmt.Sprintf("%+v", s)
}

// overdue returns whether a unit that has been idle for the given number of seconds is overdue.
func overdue(t *testing.T, ws []placement.Worker, d *datadriven.TestData) string {
	var idle string
	d.ScanArgs(t, "idle", &idle)
	u := readUnits(t, d.Input)[0]
	s := placement.Explain(ws, &u)

	return fmt.Sprint(placement.IsOverdue(&u, &s, seconds(t, idle)))
}

// decide returns the decision on the units of the input as text.
func decide(t *testing.T, ws []placement.Worker, input string) string {
	us := readUnits(t, input)
	r := placement.Decide(ws, us)
	out := make([]string, 0, len(r.Placements)+len(r.Evicted))
	for _, p := range r.Placements {
		out = append(out, fmt.Sprintf("%s.%d on %d", us[p.Unit].Name, p.Task, p.Worker))
	}
	for _, g := range r.Evicted {
		out = append(out, "evict "+g)
	}

	if len(r.Evicted) == 0 {
		for w := range ws {
			if name, ok := r.Claims[w]; ok {
				out = append(out, fmt.Sprintf("claim %d for %s", w, name))
			}
		}
	}

	return strings.Join(out, "\n")
}

func rank(t *testing.T, d *datadriven.TestData) string {
	var s placement.RankInput
	var waited, left, objective int
	d.MaybeScanArgs(t, "priority", &s.Priority)
	d.ScanArgs(t, "waited", &waited)
	d.ScanArgs(t, "left", &left)
	d.ScanArgs(t, "objective", &objective)
	s.Guaranteed = d.HasArg("reserved")
	s.Waited, s.Remaining, s.Objective = time.Duration(waited)*time.Second, time.Duration(left)*time.Second, time.Duration(objective)*time.Second

	return fmt.Sprint(placement.Rank(s, 0))
}

// mayEvict parses arguments of the form "priority=N waited=MS after=MS".
func mayEvict(t *testing.T, d *datadriven.TestData) string {
	var priority, waited, after int
	d.ScanArgs(t, "priority", &priority)
	d.ScanArgs(t, "waited", &waited)
	d.ScanArgs(t, "after", &after)

	return fmt.Sprint(placement.MayEvict(priority, time.Duration(waited)*time.Millisecond, time.Duration(after)*time.Millisecond))
}

// TestDecideInvariants checks decisions on random fleets and units: no worker exceeds its
// capacity or gets work while unschedulable, gangs are placed whole and on one rack if required,
// and no unit exceeds its limit of tasks per worker.
func TestDecideInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "workers")
		ws := make([]placement.Worker, 0, n)
		for i := range n {
			capacity := rapid.SampledFrom([]int{2, 4, 8}).Draw(t, "capacity")
			ws = append(ws, placement.Worker{Rack: fmt.Sprint(i / 3), Schedulable: rapid.IntRange(0, 5).Draw(t, "schedulable") > 0, Capacity: shape(capacity), Free: shape(capacity)})
		}
		n = rapid.IntRange(1, 8).Draw(t, "units")
		us := make([]placement.Unit, 0, n)
		for i := range n {
			u := placement.Unit{
				Name: fmt.Sprint(i), Need: shape(rapid.IntRange(0, 8).Draw(t, "need")), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				Gang: rapid.Bool().Draw(t, "gang"), SameRack: rapid.Bool().Draw(t, "together"), MaxPerWorker: rapid.IntRange(0, 2).Draw(t, "spread"),
			}
			for k := range rapid.IntRange(1, 9).Draw(t, "tasks") {
				u.Tasks = append(u.Tasks, k)
			}
			us = append(us, u)
		}
		before := slices.Clone(ws)
		r := placement.Decide(ws, us)
		checkDecision(t, before, us, r)
	})
}

func checkDecision(t *rapid.T, ws []placement.Worker, us []placement.Unit, r placement.Result) {
	used := make([]work.Shape, len(ws))
	on := make([]map[int]int, len(us))
	racks := make([]map[string]bool, len(us))
	for _, p := range r.Placements {
		used[p.Worker] = used[p.Worker].Plus(us[p.Unit].Need)
		if on[p.Unit] == nil {
			on[p.Unit], racks[p.Unit] = map[int]int{}, map[string]bool{}
		}
		on[p.Unit][p.Worker]++
		racks[p.Unit][ws[p.Worker].Rack] = true
		require.True(t, ws[p.Worker].Schedulable)
	}
	for i := range ws {
		require.True(t, used[i].Fits(ws[i].Free), "worker %d", i)
	}
	for i, u := range us {
		n := 0
		for _, k := range on[i] {
			n += k
			require.True(t, u.MaxPerWorker == 0 || k <= u.MaxPerWorker)
		}
		if u.Gang {
			require.Contains(t, []int{0, len(u.Tasks)}, n)
			require.True(t, !u.SameRack || len(racks[i]) <= 1)
		}
	}
}

// slowest returns the slowdown of the slowest workers on which a unit meets its objective.
func slowest(t *testing.T, d *datadriven.TestData) string {
	arg := func(name string) time.Duration {
		var v string
		d.ScanArgs(t, name, &v)

		return seconds(t, v)
	}
	in := placement.RankInput{Waited: arg("waited"), Remaining: arg("remaining"), Objective: arg("objective")}

	return fmt.Sprintf("%.2f", placement.MaxSlowdown(in, arg("length")))
}
