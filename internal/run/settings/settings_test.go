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

// TestRead reads the settings in testdata/settings and compares the complete error text. It
// guards against accepting invalid settings, against reporting only some of the errors, and
// against a wrong line or field.
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

// TestExample reads the example settings that the README uses. It guards against changes of
// the settings after which the example is no longer valid.
func TestExample(t *testing.T) {
	s, err := settings.Read("../../../examples/entry.yaml")
	require.NoError(t, err)
	require.Equal(t, "e1", s.Name)
	require.Positive(t, s.Timing.WorkerLease.Duration)
}
