package placement_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/placement"
)

// readWaiting parses lines of the form "name QUEUE priority=N waited=S left=S objective=S work=N
// mean=N need=N [guaranteed]", with times in seconds.
func readWaiting(t *testing.T, input string) ([]string, []placement.Waiting) {
	var names []string
	var units []placement.Waiting
	for line := range strings.SplitSeq(input, "\n") {
		f := strings.Fields(line)
		u := placement.Waiting{Queue: f[1]}
		for _, w := range f[2:] {
			k, v, _ := strings.Cut(w, "=")
			switch k {
			case "guaranteed":
				u.Guaranteed = true
			case "waited":
				u.Waited = seconds(t, v)
			case "left":
				u.Remaining = seconds(t, v)
			case "objective":
				u.Objective = seconds(t, v)
			default:
				to := map[string]any{"priority": &u.Priority, "work": &u.Work, "mean": &u.MeanWork, "need": &u.Need}[k]
				require.NotNil(t, to, k)
				_, err := fmt.Sscan(v, to)
				require.NoError(t, err)
			}
		}
		u.Accepted = time.Hour - u.Waited
		names, units = append(names, f[0]), append(units, u)
	}

	return names, units
}

// order returns the names of the units of the input in their order in a shortage. The argument
// "wait=SECONDS" is the expected wait of all.
func order(t *testing.T, d *datadriven.TestData) string {
	names, units := readWaiting(t, d.Input)
	setWait(t, d, units)
	out := make([]string, 0, len(names))
	for _, i := range placement.OrderByCost(units) {
		out = append(out, names[i])
	}

	return strings.Join(out, " ")
}

// setWait sets the expected wait of units from an argument of the form "wait=SECONDS".
func setWait(t *testing.T, d *datadriven.TestData, units []placement.Waiting) {
	var wait string
	d.ScanArgs(t, "wait", &wait)
	for i := range units {
		units[i].Wait = seconds(t, wait)
	}
}

// shed parses arguments of the form "wait=SECONDS accelerators=N used=SHARE running=N". The last unit of the
// input is the new job, the others wait.
func shed(t *testing.T, d *datadriven.TestData) string {
	_, units := readWaiting(t, d.Input)
	setWait(t, d, units)
	b := placement.Backlog{Waiting: units[:len(units)-1]}
	d.ScanArgs(t, "accelerators", &b.Accelerators)
	for name, to := range map[string]*float64{"used": &b.Used, "running": &b.Running} {
		var s string
		d.ScanArgs(t, name, &s)
		_, err := fmt.Sscan(s, to)
		require.NoError(t, err)
	}
	wait, rejected := placement.Shed(&b, units[len(units)-1].CostInput)

	return fmt.Sprintf("wait=%s rejected=%t", wait, rejected)
}

// lostValue parses arguments of the form "left=SECONDS wait=SECONDS".
func lostValue(t *testing.T, d *datadriven.TestData) string {
	var left, wait string
	d.ScanArgs(t, "left", &left)
	d.ScanArgs(t, "wait", &wait)
	_, units := readWaiting(t, d.Input)

	return fmt.Sprintf("%.0f", units[0].LostValue(seconds(t, left), seconds(t, wait)))
}
