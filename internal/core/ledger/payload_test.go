package ledger_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/ledger"
)

// TestPayloads guards against payloads of answered jobs that stay in memory, and against a wrong size of
// those of open jobs, also in a ledger that is loaded.
func TestPayloads(t *testing.T) {
	l := ledger.New(func() time.Duration { return time.Hour })
	apply := func(offset int64, r ledger.Record) {
		r.Time = start
		b, err := json.Marshal(r)
		require.NoError(t, err)
		_, v := l.Apply(offset, b)
		require.Equal(t, ledger.Won, v)
	}
	key := func(id string) job.Key { return job.Key{Workspace: "w", ID: id} }
	for i, id := range []string{"a", "b"} {
		j := job.Job{Workspace: "w", ID: id, Idempotent: true, Payload: strings.Repeat("p", 1000)}
		apply(int64(i), ledger.Record{Kind: ledger.KindOpen, Key: key(id), Job: &j})
	}
	require.Equal(t, int64(2000), l.OpenBytes())
	before := reload(t, l)
	fingerprint := l.Get(key("a")).Fingerprint
	apply(2, ledger.Record{Kind: ledger.KindClose, Key: key("a"), Answer: &job.Answer{}})
	require.Equal(t, int64(1000), l.OpenBytes())
	require.Empty(t, l.Get(key("a")).Job.Payload)
	require.Equal(t, fingerprint, l.Get(key("a")).Fingerprint)
	require.Equal(t, int64(2000), before.OpenBytes())
	b, err := l.Dump()
	require.NoError(t, err)
	require.NoError(t, before.Load(b))
	require.Equal(t, int64(1000), before.OpenBytes())
}
