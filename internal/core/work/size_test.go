package work_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
)

// TestCheckSize checks jobs whose record is just as large as the store accepts, and one byte larger.
func TestCheckSize(t *testing.T) {
	const recordBytes = 9000
	j := work.Job{ID: "5c0e7a21d94b36f8", Steps: []work.Step{{Count: 1, Image: strings.Repeat("i", 8000)}}}
	b, err := work.Encode(j)
	require.NoError(t, err)
	r := store.Record{Key: work.Key(work.OpenRecord, j.ID), Value: b}
	j.Steps[0].Image += strings.Repeat("i", recordBytes-r.Size())
	require.NoError(t, j.CheckSize(recordBytes))
	j.Steps[0].Image += "i"
	var tooLarge *work.SizeError
	require.ErrorAs(t, j.CheckSize(recordBytes), &tooLarge)
	require.Equal(t, tooLarge.Limit+1, tooLarge.Size)
}
