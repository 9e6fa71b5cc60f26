package maintenance_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/maintenance"
)

// TestDecide runs the scripts in testdata. They list the hosts of a wave, one per line, and
// the expected decision.
func TestDecide(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			w := maintenance.Wave{MaxDown: 1, Downtime: 2 * time.Second}
			var left string
			d.ScanArgs(t, "left", &left)
			d.MaybeScanArgs(t, "most", &w.MaxDown)
			var err error
			w.Remaining, err = time.ParseDuration(left)
			require.NoError(t, err)
			for line := range strings.SplitSeq(d.Input, "\n") {
				w.Hosts = append(w.Hosts, readHost(t, strings.Fields(line)))
			}
			r := maintenance.Decide(w)

			return fmt.Sprintf("cordon %v drain %v down %v", r.Cordon, r.Drain, r.Down)
		})
	})
}

// readHost parses the name of a host and the fields of its state: "done", "maybedown", "idle",
// "nodrain", "cordoned=DURATION" and "lost=CORE-SECONDS".
func readHost(t *testing.T, fields []string) maintenance.Host {
	h := maintenance.Host{Name: fields[0], CordonedFor: -1}
	for _, f := range fields[1:] {
		name, value, _ := strings.Cut(f, "=")
		switch name {
		case "done":
			h.Done = true
		case "maybedown":
			h.MaybeDown = true
		case "idle":
			h.Idle = true
		case "nodrain":
			h.NoDrain = true
		case "cordoned":
			var err error
			h.CordonedFor, err = time.ParseDuration(value)
			require.NoError(t, err)
		case "lost":
			_, err := fmt.Sscan(value, &h.LostWork)
			require.NoError(t, err)
		default:
			require.Fail(t, "unknown field", f)
		}
	}

	return h
}
