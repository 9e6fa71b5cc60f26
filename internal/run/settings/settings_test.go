package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/run/settings"
)

// TestRead reads each settings file in testdata and compares all of its errors, with
// line and field.
func TestRead(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, d *datadriven.TestData) string {
		path := filepath.Join(t.TempDir(), "entry.yaml")
		require.NoError(t, os.WriteFile(path, []byte(d.Input), 0o600))
		_, err := settings.Read(path)
		if err != nil {
			return strings.ReplaceAll(err.Error(), path, "entry.yaml") + "\n"
		}

		return "ok\n"
	})
}

// TestExample reads the example settings that the README uses.
func TestExample(t *testing.T) {
	s, err := settings.Read("../../../examples/entry.yaml")
	require.NoError(t, err)
	require.Equal(t, "e1", s.Name)
	require.Positive(t, s.Timing.WorkerLease.Duration)
}
