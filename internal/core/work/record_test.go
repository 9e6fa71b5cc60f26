package work_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
)

// FuzzRecord checks that decoding arbitrary records of jobs and progress does not panic, and
// neither does using the decoded values.
func FuzzRecord(f *testing.F) {
	j := work.Job{ID: "j", Steps: []work.Step{{Count: 2}}}
	often, p := recurring(2000, 2, 3)
	compact, err := p.EncodeCompact()
	require.NoError(f, err)
	f.Add(compact)
	for _, v := range []any{j, work.Progress{Phase: work.Running, Occurs: []work.Occurrence{work.NewOccurrence(&j)}}, work.Progress{Phase: 77}} {
		b, err := work.Encode(v)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		if got, err := work.DecodeJob(b); err == nil {
			_ = got.Span()
		}
		for _, known := range []work.Job{j, often} {
			if p, err := work.DecodeProgress(b, &known); err == nil {
				_ = p.Phase.String()
				for _, o := range p.Occurs {
					_ = o.Ended || o.Done()
				}
			}
		}
	})
}
