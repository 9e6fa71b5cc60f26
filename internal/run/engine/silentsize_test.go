package engine

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
)

// TestSilentRecordSize fills the record of silent workers at 20,000 workers. It guards against a
// record that the store refuses for good, which would hold up all others.
func TestSilentRecordSize(t *testing.T) {
	e := New(Config{Count: func(string, int64) {}})
	silent := map[string]silentWorker{}
	for i := range 20000 {
		silent[fmt.Sprintf("%032d", i)] = silentWorker{Token: math.MaxInt64, Left: math.MaxInt64}
	}
	e.fitSilent(silent)
	require.Greater(t, len(silent), 4000)
	b, err := work.Encode(silentRecord{Token: math.MaxInt64, Workers: silent})
	require.NoError(t, err)
	r := store.Record{Key: work.Key(work.SilentRecord, ""), Value: b}
	require.LessOrEqual(t, r.Size(), e.RecordBytes)
}
