package config_test

import (
	"encoding/json"
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

	"sesameyoke/internal/core/config"
	"sesameyoke/internal/core/contract"
)

// TestMain fixes the seed of random sequences unless the command line names one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// TestFold runs the scripts in testdata. Each line of "fold" is a change that is applied:
// contract NAME BLOCKSxWIDTH|fleet RACKS [spare]|remove NAME, then [base=N] [by=AUTHOR].
// The verdict of each change is printed.
func TestFold(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := config.New()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				s = s.Apply(s.Offset+1, changeOf(t, line))
				e := s.Audit[len(s.Audit)-1]
				fmt.Fprintf(&out, "offset %d %s: %s %s\n", s.Offset, e.Subject, e.Code, e.Reason)
			}

			return out.String()
		})
	})
}

func changeOf(t require.TestingT, line string) []byte {
	words := strings.Fields(line)
	c := config.Change{Kind: config.Kind(words[0]), Author: "op"}
	for _, w := range words[1:] {
		name, value, _ := strings.Cut(w, "=")
		switch name {
		case "base":
			n, err := strconv.ParseInt(value, 10, 64)
			require.NoError(t, err)
			c.Base = n
		case "by":
			c.Author = value
		}
	}
	switch c.Kind {
	case config.KindContract:
		k := contract.Contract{Workspace: words[1]}
		var p contract.Promise
		_, err := fmt.Sscanf(words[2], "%dx%d", &p.Blocks, &p.Width)
		require.NoError(t, err)
		k.Promises = []contract.Promise{p}
		k.Defaults()
		c.Contract = &k
	case config.KindRemove:
		c.Workspace = words[1]
	case config.KindFleet:
		n, err := strconv.Atoi(words[1])
		require.NoError(t, err)
		c.Fleet = fleetOf(n, strings.Contains(line, "spare"))
	}
	c.SetID()
	raw, err := json.Marshal(c)
	require.NoError(t, err)

	return raw
}

func fleetOf(racks int, spare bool) *contract.Fleet {
	f := &contract.Fleet{SurviveRackLoss: spare}
	for i := range racks {
		r := contract.Rack{Name: fmt.Sprint("r", i), Region: "x", Domain: "d"}
		for w := range 2 {
			r.Workers = append(r.Workers, contract.Worker{Name: fmt.Sprintf("w%d-%d", i, w), Accelerators: 8})
		}
		f.Racks = append(f.Racks, r)
	}

	return f
}

// TestFoldIsDeterministic checks that VMs that apply the same changes reach the same state.
// It applies random changes, some of them repeated, to two states, one of which is sometimes
// replaced by a dump of the other. Verdicts and state must be equal in the end, and the
// promises in force must fit the fleet after each change.
func TestFoldIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := config.New(), config.New()
		raws := make([][]byte, 0, 30)
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			raw := changeOf(t, drawRandomChange(t, a))
			if len(raws) > 0 && rapid.Float64().Draw(t, "repeat") < .2 {
				raw = rapid.SampledFrom(raws).Draw(t, "again")
			}
			raws = append(raws, raw)
			a, b = a.Apply(a.Offset+1, raw), b.Apply(b.Offset+1, raw)
			require.NoError(t, contract.CheckFits(a.Contracts, a.Fleet), "accepted promises do not fit the fleet")
			if rapid.Bool().Draw(t, "copy") {
				dump, err := a.Dump()
				require.NoError(t, err)
				b, err = config.Load(dump)
				require.NoError(t, err)
			}
		}
		x, err := a.Dump()
		require.NoError(t, err)
		y, err := b.Dump()
		require.NoError(t, err)
		require.JSONEq(t, string(x), string(y))
		require.Equal(t, a.Blocks(), b.Blocks())
	})
}

func drawRandomChange(t *rapid.T, s *config.State) string {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	subject := "contract/" + name
	kind := rapid.SampledFrom([]string{"contract", "contract", "remove", "fleet"}).Draw(t, "kind")
	line := fmt.Sprintf("contract %s %dx%d", name, rapid.IntRange(1, 3).Draw(t, "blocks"), rapid.IntRange(1, 20).Draw(t, "width"))
	switch kind {
	case "remove":
		line = "remove " + name
	case "fleet":
		line, subject = fmt.Sprintf("fleet %d", rapid.IntRange(0, 4).Draw(t, "racks")), "fleet"
	}
	base := s.Version(subject)
	if rapid.Float64().Draw(t, "stale") < .2 {
		base = rapid.Int64Range(0, 9).Draw(t, "base")
	}

	return fmt.Sprintf("%s base=%d", line, base)
}

// TestAuditIsBounded checks that the audit trail keeps only the newest entries and that the
// verdicts of removed entries are no longer found.
func TestAuditIsBounded(t *testing.T) {
	s := config.New()
	const changes = 60000
	for i := range changes {
		s = s.Apply(int64(i), []byte(fmt.Sprintf(`{"id":"c%d","kind":"policy","author":"op"}`, i)))
	}
	require.LessOrEqual(t, len(s.Audit), 46000)
	_, ok := s.Verdict("c1")
	require.False(t, ok)
	e, ok := s.Verdict(fmt.Sprint("c", changes-1))
	require.True(t, ok)
	require.Equal(t, int64(changes-1), e.Offset)
	require.Len(t, s.Since(time.Time{}, 10), 10)
}
