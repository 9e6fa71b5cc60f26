package planner_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/peer/planner"
)

// TestRetryAfter guards against a rejected caller that is told another wait than the planner's:
// the wait has to pass from VM to VM, in whole seconds that are not less.
func TestRetryAfter(t *testing.T) {
	for retryAfter, want := range map[time.Duration]time.Duration{
		0: 0, 300 * time.Millisecond: time.Second, 7 * time.Second: 7 * time.Second, 7100 * time.Millisecond: 8 * time.Second,
	} {
		s := &planner.Server{Submit: func(context.Context, []byte, bool) (code.Code, time.Duration) { return code.Overloaded, retryAfter }}
		vm := httptest.NewServer(s.Handler())
		c := &planner.Client{HTTP: http.DefaultClient}
		got, told, err := c.Submit(t.Context(), strings.TrimPrefix(vm.URL, "http://"), []byte("r"), false)
		vm.Close()
		require.NoError(t, err)
		require.Equal(t, code.Overloaded, got)
		require.Equal(t, want, told)
	}
}
