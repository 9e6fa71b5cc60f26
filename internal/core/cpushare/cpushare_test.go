package cpushare_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/cpushare"
)

const target = 100 * time.Millisecond

// TestNext runs the scripts in testdata. They list the tail latencies of the serving tasks
// in reports 0.5 s apart, and the expected limit in percent after each report.
func TestNext(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		limit := cpushare.Limit{Percent: cpushare.Initial}
		now := time.Minute
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var after []string
			for line := range strings.SplitSeq(d.Input, "\n") {
				limit = limit.Next(now, readServing(t, strings.Fields(line)))
				now += 500 * time.Millisecond
				after = append(after, strconv.Itoa(limit.Percent))
			}

			return fmt.Sprint(after)
		})
	})
}

// readServing parses tail latencies in milliseconds; "none" stands for no serving task.
func readServing(t *testing.T, fields []string) []cpushare.ServingTask {
	var all []cpushare.ServingTask
	for _, f := range fields {
		if f == "none" {
			continue
		}
		n, err := strconv.Atoi(f)
		require.NoError(t, err)
		all = append(all, cpushare.ServingTask{TailLatency: time.Duration(n) * time.Millisecond, Target: target})
	}

	return all
}
