package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/code"
)

// TestIsFinal guards against "not accepted" for a job that an earlier attempt may still store.
func TestIsFinal(t *testing.T) {
	for c := range code.All() {
		want := c == code.OK || c == code.BadRequest || c == code.TooLarge
		require.Equal(t, want || c == code.Overloaded, isFinal(c, false), c)
		require.Equal(t, want, isFinal(c, true), c)
	}
}
