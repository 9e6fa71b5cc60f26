package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHandinBudget guards against jobs without a bound while nobody plans, against a job that is counted
// for each attempt, and against a budget that jobs use up which were not appended.
func TestHandinBudget(t *testing.T) {
	b := handinBudget{bytes: 100}
	claim := func(size int) *handinClaim { return &handinClaim{budget: &b, size: size} }
	first := claim(80)
	require.True(t, first.take(0))
	require.True(t, first.take(0))
	second := claim(30)
	require.False(t, second.take(0))
	require.True(t, second.take(handinRefill/10))
	require.False(t, claim(1).take(handinRefill/10))
	first.release()
	require.True(t, claim(80).take(handinRefill/10))
	require.False(t, claim(101).take(time.Hour))
	require.True(t, claim(100).take(2*time.Hour))
	unlimited := handinClaim{budget: &handinBudget{}, size: 1000}
	require.True(t, unlimited.take(0))
}
