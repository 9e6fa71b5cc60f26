package code_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/code"
)

// TestDocs checks that docs/CODES.md has exactly one row for each code.
func TestDocs(t *testing.T) {
	b, err := os.ReadFile("../../../docs/CODES.md")
	require.NoError(t, err)
	rows := 0
	for c, i := range code.All() {
		require.Contains(t, string(b), fmt.Sprintf("| %d | %s | %s | %d |", int(c), i.Name, i.Ran, i.Status))
		rows++
	}
	require.Equal(t, rows+2, strings.Count(string(b), "\n|"))
}
