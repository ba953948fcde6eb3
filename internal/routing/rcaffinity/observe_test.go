package rcaffinity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestObserverSeesTheDecision guards against terms that do not add up to the cost that
// decides, upstreams that are not reported, and an observer that changes the choice.
func TestObserverSeesTheDecision(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		states := engines(rapid.IntRange(1, 12).Draw(rt, "engines"))
		now := time.Now()
		for i := range states {
			s := &states[i]
			s.Running, s.Slots = rapid.IntRange(0, 40).Draw(rt, "running"), 32
			s.Suspect = rapid.IntRange(0, 3).Draw(rt, "suspect") == 0
			s.Probing = !s.Suspect && rapid.Bool().Draw(rt, "probing")
			s.FailureRate = rapid.Float64Range(0, 1).Draw(rt, "failures")
			s.Zone = "other"
		}
		req := request(rapid.String().Draw(rt, "key"))
		req.PauseRatio = rapid.SampledFrom([]float64{0, 0.5}).Draw(rt, "pauses")
		if rapid.Bool().Draw(rt, "plain") {
			req.Model, req.Parts = "", nil
		}
		want, ok := Choose(req, states, now)
		seen := 0
		req.Observe = func(c Candidate) {
			seen++
			require.Equal(rt, c.Upstream.Suspect, c.Obstacle != "")
			var sum time.Duration
			for _, term := range c.Terms {
				sum += term.Cost
			}
			require.Equal(rt, c.Cost, sum)
			if ok && c.Upstream.ID == want.Upstream.ID {
				require.Equal(rt, want.Cost, c.Cost)
			}
		}
		got, gotOK := Choose(req, states, now)
		require.Equal(rt, ok, gotOK)
		require.Equal(rt, want, got)
		require.Equal(rt, len(states), seen)
	})
}
