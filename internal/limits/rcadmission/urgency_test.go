package rcadmission

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestEnginePrioritiesFollowAccounts guards against a route that overrides the priority of
// an account, and against equally important accounts whose urgent requests wait behind
// their deferrable ones.
func TestEnginePrioritiesFollowAccounts(t *testing.T) {
	require.Equal(t, map[Urgency]int{{0, 0}: 0, {1, 0}: 1, {1, 2}: 2}, EnginePriorities([]Urgency{{1, 2}, {0, 0}, {1, 0}, {1, 2}}))
	rapid.Check(t, func(rt *rapid.T) {
		inUse := rapid.SliceOf(rapid.Custom(func(rt *rapid.T) Urgency {
			return Urgency{Priority: rapid.IntRange(-1, 12).Draw(rt, "priority"), Route: rapid.IntRange(0, 3).Draw(rt, "route")}
		})).Draw(rt, "in use")
		levels := EnginePriorities(inUse)
		for _, a := range inUse {
			require.GreaterOrEqual(rt, levels[a], 0)
			require.LessOrEqual(rt, levels[a], LowestPriority)
			for _, b := range inUse {
				if a.Priority < b.Priority || a.Priority == b.Priority && a.Route < b.Route {
					require.LessOrEqual(rt, levels[a], levels[b])
				}
			}
		}
	})
}
