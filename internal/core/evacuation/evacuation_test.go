package evacuation_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/evacuation"
)

// TestDecisions runs the scripts in testdata. They guard against a domain that counts as restored
// because reads were applied in another order than they were made, and against starts by old
// knowledge.
func TestDecisions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var r evacuation.Records
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "read", "complete":
				return applyRead(t, d, &r)
			case "gate":
				var lines []string
				g := evacuation.Gate{Bound: 5 * time.Second}
				for age := range strings.FieldsSeq(d.Input) {
					v, err := time.ParseDuration(age)
					require.NoError(t, err)
					lines = append(lines, fmt.Sprint(g.Open(v)))
				}

				return strings.Join(lines, "\n")
			}
			t.Fatalf("unknown command %q", d.Cmd)

			return ""
		})
	})
}

// applyRead applies lines of an offset, a domain and "on" or "off", and returns the evacuated
// domains after the read.
func applyRead(t *testing.T, d *datadriven.TestData, r *evacuation.Records) string {
	named := map[string]bool{}
	for line := range strings.Lines(d.Input) {
		var (
			offset        int64
			domain, state string
		)
		_, err := fmt.Sscan(line, &offset, &domain, &state)
		require.NoError(t, err)
		named[domain] = true
		r.Update(domain, offset, state == "on")
	}
	if d.Cmd == "complete" {
		var end int
		d.ScanArgs(t, "end", &end)
		r.DropBefore(int64(end), named)
	}

	return fmt.Sprint(slices.Sorted(maps.Keys(r.Domains())))
}
