package straggler_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/straggler"
)

// TestTrack runs the scripts in testdata. They list progress readings and ends of runs, and
// the expected assessment of the runs and their worker.
func TestTrack(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tracks := map[string]*straggler.Track{}
		var record straggler.FailureRecord
		records := map[string]*straggler.FailureRecord{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			name := d.CmdArgs[0].Key
			switch d.Cmd {
			case "ends":
				return recordEnds(t, d, &record)
			case "fleet":
				return quarantine(t, d, records)
			case "backoff":
				return backoff(t, d)
			case "lastattempt":
				return lastAttempt(t, d)
			case "run":
				tracks[name] = readTrack(t, d.Input)

				return ""
			case "judge":
				return judge(t, d, tracks[name])
			case "move":
				return fmt.Sprint(readRun(t, d, tracks[name]).ShouldMove())
			case "worker":
				return workerSlowdown(t, d, tracks)
			}
			t.Fatalf("unknown command %q", d.Cmd)

			return ""
		})
	})
}

// readTrack parses lines of a time and a percentage; the first line starts the run.
func readTrack(t *testing.T, input string) *straggler.Track {
	k := &straggler.Track{}
	for i, line := range strings.Split(input, "\n") {
		var (
			at string
			r  straggler.Reading
		)
		_, err := fmt.Sscan(line, &at, &r.Percent)
		require.NoError(t, err)
		r.At, err = time.ParseDuration(at)
		require.NoError(t, err)
		if i == 0 {
			k.Start(r)
		} else {
			k.Add(r)
		}
	}

	return k
}

func durationArg(t *testing.T, d *datadriven.TestData, name string, fallback time.Duration) time.Duration {
	if !d.HasArg(name) {
		return fallback
	}
	var s string
	d.ScanArgs(t, name, &s)
	v, err := time.ParseDuration(s)
	require.NoError(t, err)

	return v
}

func judge(t *testing.T, d *datadriven.TestData, k *straggler.Track) string {
	u := straggler.Baseline{Length: durationArg(t, d, "usual", 0), EqualWork: d.HasArg("equalwork")}
	factor, certain := k.Slowdown(u)

	return fmt.Sprintf("length %v, stalled %v, slowdown %.1f certain %v", k.Length().Round(time.Millisecond), k.Stalled(u.Length), factor, certain)
}

func readRun(t *testing.T, d *datadriven.TestData, k *straggler.Track) straggler.Run {
	return straggler.Run{Track: k, Length: durationArg(t, d, "usual", 0), Checkpoints: d.HasArg("saves"), LeavesIn: durationArg(t, d, "leaves", -1),
		Elapsed: durationArg(t, d, "elapsed", 0), Following: durationArg(t, d, "following", 0), Objective: durationArg(t, d, "objective", 0)}
}

// workerSlowdown returns the slowdown of a worker with the named runs, all of the same
// usual length.
func workerSlowdown(t *testing.T, d *datadriven.TestData, tracks map[string]*straggler.Track) string {
	var runs []straggler.RunSlowdown
	for _, a := range d.CmdArgs {
		if k := tracks[a.Key]; k != nil {
			f, s := k.Slowdown(straggler.Baseline{Length: durationArg(t, d, "usual", 0)})
			e := straggler.RunSlowdown{Job: a.Key, Factor: f, Certain: s, SameJob: d.HasArg("peers")}
			if d.HasArg("onejob") {
				e.Job = "one"
			}
			runs = append(runs, e)
		}
	}

	return fmt.Sprintf("%.1f", straggler.WorkerSlowdown(runs))
}

// recordEnds records ends of runs, one per line with its time, and prints the record after
// each. A line may tell how long the run had lived, and of which job it was; without, it was
// accepted when it ended and counts as one that lived long.
func recordEnds(t *testing.T, d *datadriven.TestData, r *straggler.FailureRecord) string {
	if d.CmdArgs[0].Key == "new" {
		*r = straggler.FailureRecord{}
	}
	var lines []string
	for line := range strings.SplitSeq(d.Input, "\n") {
		now := recordEnd(t, strings.Fields(line), r)
		lines = append(lines, fmt.Sprintf("barred %v unreliable %v penalty %v", r.Barred(now), r.Unreliable(now), r.Penalty(now)))
		if d.HasArg("proven") {
			lines[len(lines)-1] += fmt.Sprintf(" proven %v", r.Proven())
		}
	}

	return strings.Join(lines, "\n")
}

// recordEnd records the end of a run, given as its time, how it ended and how long it had lived.
func recordEnd(t *testing.T, f []string, r *straggler.FailureRecord) time.Duration {
	now, lived := parseDuration(t, f[0]), straggler.LivedLong
	accepted := now
	if len(f) > 2 {
		lived = parseDuration(t, f[2])
		accepted = now - lived
	}
	switch f[1] {
	case "done":
		r.Accepted(accepted)
	case "failed", "elsewhere":
		job := "j"
		if len(f) > 3 {
			job = f[3]
		}
		r.Fail(now, lived, job, f[1] == "elsewhere")
	case "later":
	}

	return now
}

func parseDuration(t *testing.T, s string) time.Duration {
	v, err := time.ParseDuration(s)
	require.NoError(t, err)

	return v
}

// quarantine records ends of runs, one per line with the number of the worker before its time, in
// a fleet of the given size, and returns the numbers of the barred workers after each.
func quarantine(t *testing.T, d *datadriven.TestData, records map[string]*straggler.FailureRecord) string {
	size := 0
	d.ScanArgs(t, "size", &size)
	clear(records)
	for i := range size {
		records[fmt.Sprint(i)] = &straggler.FailureRecord{}
	}
	var lines []string
	for line := range strings.SplitSeq(d.Input, "\n") {
		f := strings.Fields(line)
		now := recordEnd(t, f[1:], records[f[0]])
		lines = append(lines, fmt.Sprint(slices.Sorted(maps.Keys(straggler.Quarantine(records, now)))))
	}

	return strings.Join(lines, "\n")
}

// backoff records failures of a task at the given times and returns the delay after each.
func backoff(t *testing.T, d *datadriven.TestData) string {
	var (
		b     straggler.Backoff
		lines []string
	)
	for at := range strings.FieldsSeq(d.Input) {
		now := parseDuration(t, at)
		b.Fail(now)
		lines = append(lines, (b.Until() - now).String())
	}

	return strings.Join(lines, "\n")
}

func lastAttempt(t *testing.T, d *datadriven.TestData) string {
	return fmt.Sprint(straggler.LastAttempt{
		Waited: durationArg(t, d, "waited", 0), Objective: durationArg(t, d, "objective", 0),
		CouldHold: d.HasArg("proven"), Planning: durationArg(t, d, "planning", time.Hour),
	}.OnlyProven())
}
