package ledger_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/ledger"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestLedger runs the scripts in testdata. Each line of "fold" is a record that is applied:
// KIND JOB [attempt=N] [token=T] [code=NAME] [once] [at=DURATION]; its verdict is printed.
// "once" makes the job non-idempotent, "at" is the time of the record after the start.
// "show" prints the entry of a job. "copy" replaces the ledger by one loaded from its dump.
func TestLedger(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		l := ledger.New(func() time.Duration { return time.Hour })
		offset := int64(-1)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			switch d.Cmd {
			case "fold":
				for line := range strings.Lines(d.Input) {
					offset++
					_, v := l.Apply(offset, recordOf(t, offset, line))
					fmt.Fprintln(&out, v)
				}
			case "show":
				show(&out, l.Get(job.Key{Workspace: "w", ID: d.CmdArgs[0].Key}))
			case "copy":
				l = reload(t, l)
				fmt.Fprintf(&out, "offset %d, %d open\n", l.Offset(), l.OpenCount())
			}

			return out.String()
		})
	})
}

func recordOf(t *testing.T, offset int64, line string) []byte {
	words := strings.Fields(line)
	r := ledger.Record{
		ID: fmt.Sprint("r", offset), Kind: ledger.Kind(words[0]), Time: start,
		Key: job.Key{Workspace: "w", ID: words[1]},
	}
	attempt, token, once, result := 1, "t1", false, code.OK
	for _, w := range words[2:] {
		name, value, _ := strings.Cut(w, "=")
		switch name {
		case "attempt":
			_, err := fmt.Sscan(value, &attempt)
			require.NoError(t, err)
		case "token":
			token = value
		case "once":
			once = true
		case "at":
			d, err := time.ParseDuration(value)
			require.NoError(t, err)
			r.Time = start.Add(d)
		case "code":
			for c, i := range code.All() {
				if i.Name == value {
					result = c
				}
			}
		}
	}
	switch r.Kind {
	case ledger.KindOpen:
		r.Job = &job.Job{Workspace: "w", ID: words[1], Idempotent: !once}
	case ledger.KindClaim:
		r.Claim = &ledger.Claim{Attempt: attempt, Members: []ledger.Member{{Worker: "x", Token: token}}}
	case ledger.KindVoid:
		r.Token = token
	case ledger.KindClose:
		a := job.NewAnswer(r.Key, result, "")
		a.Attempt, a.Finished = attempt, r.Time
		r.Answer = &a
	}
	raw, err := json.Marshal(r)
	require.NoError(t, err)

	return raw
}

func show(out *strings.Builder, e *ledger.Entry) {
	if e == nil {
		fmt.Fprintln(out, "unknown")

		return
	}
	answer := "open"
	if e.Answer != nil {
		answer = e.Answer.Name
	}
	fmt.Fprintf(out, "%s attempts=%d claimed=%v begun=%v cancelled=%v\n", answer, e.Attempts, e.Claim != nil, e.MayHaveStarted, e.Cancelled)
}

func reload(t *testing.T, l *ledger.Ledger) *ledger.Ledger {
	b, err := l.Dump()
	require.NoError(t, err)
	n := ledger.New(l.Retention)
	require.NoError(t, n.Load(b))

	return n
}
