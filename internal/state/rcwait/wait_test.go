package rcwait_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

// TestSleep guards against a sleep that continues after its context is done, ends
// early, or returns the wrong result.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		require.True(t, rcwait.Sleep(t.Context(), time.Second))
		require.Equal(t, time.Second, time.Since(start))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.True(t, rcwait.Sleep(ctx, 0))
		require.False(t, rcwait.Sleep(ctx, time.Minute))
		require.Equal(t, 2*time.Second, time.Since(start))
		require.False(t, rcwait.Sleep(ctx, -1))
	})
}
