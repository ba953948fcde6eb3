package rcera

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestLateAnswerDoesNotBringBackAnEra guards against an answer of an earlier era that
// arrives late and is taken for the store's present state.
func TestLateAnswerDoesNotBringBackAnEra(t *testing.T) {
	var tr Tracker
	era, changed := tr.Current()
	require.Zero(t, era)
	require.True(t, tr.Observe(0))
	require.False(t, closed(changed))
	require.True(t, tr.Observe(3))
	require.True(t, closed(changed))
	_, changed = tr.Current()
	require.False(t, tr.Observe(2))
	require.True(t, tr.Observe(3))
	require.True(t, tr.Observe(0))
	require.False(t, closed(changed))
	era, _ = tr.Current()
	require.EqualValues(t, 3, era)
}
