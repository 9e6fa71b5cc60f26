// Package scripts tests the scripts of CI.
package scripts

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestJudge judges outputs of "go test". It guards against CI runs that pass although tests did
// not run, because the process or the race detector's runtime crashed.
func TestJudge(t *testing.T) {
	dir := t.TempDir()
	known, output := filepath.Join(dir, "known"), filepath.Join(dir, "output")
	datadriven.RunTest(t, "testdata/judge", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "known" {
			require.NoError(t, os.WriteFile(known, []byte(d.Input+"\n"), 0o600))

			return ""
		}
		require.NoError(t, os.WriteFile(output, []byte(d.Input+"\n"), 0o600))
		b, err := exec.CommandContext(context.Background(), "./judge.sh", known, output).CombinedOutput()
		if err != nil {
			return string(b) + err.Error() + "\n"
		}

		return string(b)
	})
}
