package speed_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/speed"
)

// TestEstimates runs the scripts in testdata. They guard against workers of another speed that
// are not recognized, against noise that is taken for a difference, and against temporary faults
// that are learned as a speed.
func TestEstimates(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		workers := map[string]speed.Estimate{}
		var f speed.Fleet
		now := time.Minute
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "gang", "step":
				compare(t, d, workers, now)

				return ""
			case "wait":
				wait, err := time.ParseDuration(d.CmdArgs[0].Key)
				require.NoError(t, err)
				now += wait

				return ""
			case "fleet":
				f = speed.Summarize(estimates(workers), f, now)

				return fmt.Sprintf("uneven %v known %d fast %d slow %d", f.Uneven, f.Known, f.Fast, f.Slow)
			case "factors":
				var all []string
				for _, a := range d.CmdArgs {
					all = append(all, fmt.Sprintf("%.2f", f.Factor(workers[a.Key], now)))
				}

				return strings.Join(all, " ")
			}
			t.Fatalf("unknown command %q", d.Cmd)

			return ""
		})
	})
}

func estimates(workers map[string]speed.Estimate) []speed.Estimate {
	all := make([]speed.Estimate, 0, len(workers))
	for _, e := range workers {
		all = append(all, e)
	}

	return all
}

// compare applies lines of "seconds worker ...": runs of that length on each of the workers. An
// interval such as w0-24 stands for several workers.
func compare(t *testing.T, d *datadriven.TestData, workers map[string]speed.Estimate, now time.Duration) {
	var (
		names []string
		runs  []speed.Observation
	)
	for line := range strings.SplitSeq(d.Input, "\n") {
		f := strings.Fields(line)
		length, err := time.ParseDuration(f[0] + "s")
		require.NoError(t, err)
		for _, name := range expand(f[1:]) {
			names = append(names, name)
			runs = append(runs, speed.Observation{Length: length, Estimate: workers[name]})
		}
	}
	for i, e := range speed.Compare(runs, d.Cmd == "gang", now) {
		workers[names[i]] = e
	}
}

func expand(fields []string) []string {
	var names []string
	for _, f := range fields {
		var from, to int
		if n, _ := fmt.Sscanf(f, "w%d-%d", &from, &to); n < 2 {
			names = append(names, f)

			continue
		}
		for i := from; i <= to; i++ {
			names = append(names, fmt.Sprintf("w%d", i))
		}
	}

	return names
}
