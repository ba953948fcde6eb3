package rcadmission

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestEnginePriorityFollowsAccounts guards against a route that overrides the priority of
// an account, and against equally important accounts whose urgent requests wait behind
// their deferrable ones.
func TestEnginePriorityFollowsAccounts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		account := rapid.IntRange(-1, 2).Draw(rt, "account")
		a, b := rapid.IntRange(-1, 12).Draw(rt, "a"), rapid.IntRange(-1, 12).Draw(rt, "b")
		require.Less(rt, EnginePriority(max(account, 0), a), EnginePriority(max(account, 0)+1, b))
		if a <= b {
			require.LessOrEqual(rt, EnginePriority(account, a), EnginePriority(account, b))
		}
	})
	require.Less(t, EnginePriority(1, 0), EnginePriority(1, 2))
	require.Equal(t, lowestEnginePriority, EnginePriority(12, 0))
	require.Zero(t, EnginePriority(-1, -1))
}
