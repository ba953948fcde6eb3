package rcwait_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

// TestSleep guards against a wait that outlives its context, ends early, or
// reports that it was cut short when it was not.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		require.True(t, rcwait.Sleep(t.Context(), time.Second))
		require.Equal(t, time.Second, time.Since(begun))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.True(t, rcwait.Sleep(ctx, 0))
		require.False(t, rcwait.Sleep(ctx, time.Minute))
		require.Equal(t, 2*time.Second, time.Since(begun))
		require.False(t, rcwait.Sleep(ctx, -1))
	})
}
