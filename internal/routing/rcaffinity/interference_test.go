package rcaffinity

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// replayMixes are loads in requests per second: short prompts, long ones, and long ones of
// one account that share two parts, which come all the time or in 5 of 20 seconds.
var replayMixes = []struct {
	name                        string
	short, long, account, burst float64
}{
	{"short only", 210, 0, 0, 0}, {"long only", 0, 110, 0, 0}, {"1 to 9", 225, 25, 0, 0}, {"1 to 1", 84, 84, 0, 0},
	{"burst of long prompts", 126, 42, 0, 84}, {"one account's long prompts", 126, 42, 42, 0},
}

// TestMixedPrompts guards against streams and short prompts that wait behind long ones, and
// against long prompts that wait because engines are kept for short ones.
func TestMixedPrompts(t *testing.T) {
	for _, mix := range replayMixes {
		for _, n := range []int{1, 12, 88} {
			var onTime [2][2]float64
			for variant, name := range []string{"as before", "by speed and targets"} {
				rng := rand.New(rand.NewPCG(3, 5))
				r := newReplay(24, n, unevenSpeed)
				r.speedKnown, r.weighTargets = variant > 0, variant > 0
				burst, account := replayLong, replayLong
				burst.at, account.key = 6000, "account"
				short := replayLoad(rng, mix.short, 20, n, 60, replayShort)
				long := append(replayLoad(rng, mix.long, 20, n, 60, replayLong), replayLoad(rng, mix.account, 20, n, 2, account)...)
				long = append(long, replayLoad(rng, mix.burst, 5, n, 60, burst)...)
				r.run(append(append([]*replayRequest{}, short...), long...))
				for class, requests := range [][]*replayRequest{short, long} {
					var ms float64
					ms, onTime[variant][class] = p95(requests)
					t.Logf("%s, %d instances, %s, class %d: p95 %.0f ms, on time %.3f", mix.name, n, name, class, ms, onTime[variant][class])
					if variant > 0 && len(requests) > 0 {
						require.GreaterOrEqual(t, onTime[1][class], 0.95, "95 in 100 are on time")
						require.GreaterOrEqual(t, onTime[1][class], onTime[0][class]-0.01, "no class pays for another")
					}
				}
			}
		}
	}
}

// TestBoundChooseLargeFleet guards against cost terms that take more than 5 µs of a placement
// among 240 engines.
func TestBoundChooseLargeFleet(t *testing.T) {
	if os.Getenv("RADISHCRANK_BOUNDS") == "" {
		t.Skip("bounds run without the race detector: RADISHCRANK_BOUNDS=1")
	}
	var fastest [2]time.Duration
	for round := range 100 {
		states, req := engines(240), request("k")
		for i := range states {
			states[i].Slots, states[i].PeerLoad = 32, rcfleet.Load{Running: 9, Prefilling: 4000, Held: 80_000}
			if round%2 > 0 {
				states[i].Speed, states[i].CacheTokens = 1.1, 100_000
				req.LatencyTarget, req.MaxEventGap = time.Second, 500*time.Millisecond
			}
		}
		start := time.Now()
		for range 100 {
			Choose(req, states, start)
		}
		if d := time.Since(start) / 100; round < 2 || d < fastest[round%2] {
			fastest[round%2] = d
		}
	}
	t.Logf("among 240 engines: %v without speeds, %v with them", fastest[0], fastest[1])
	require.Less(t, fastest[1]-fastest[0], 5*time.Microsecond)
}
