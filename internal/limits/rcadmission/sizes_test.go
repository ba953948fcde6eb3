package rcadmission

import "testing"

// TestLargePromptsAreServed replays sizes with a long tail, with bursts and with a demand that
// lasts. It guards against decisions that reject the largest prompts of a class, or let their
// callers wait in vain, more often than the others.
func TestLargePromptsAreServed(t *testing.T) {
	const seeds = 3
	for _, instances := range []int{3, 12, 88} {
		for _, demand := range []float64{1, 1.7, 2.4} {
			for _, lasting := range []bool{false, true} {
				if lasting && demand == 1 {
					continue // The same as without a burst.
				}
				load := replayLoad{instances: instances, burst: demand, longTail: true}
				if lasting {
					load.burst, load.usual = 1, demand
				}
				all := newReplayResult()
				for load.seed = range uint64(seeds) {
					r := load.run(complete)
					if r.requireFairSizes(t); !lasting {
						r.requireFair(t)
					}
					all.merge(r)
				}
				for _, route := range replayRoutes {
					for _, size := range []string{usualSize, fifthBelow, largestTenth} {
						t.Logf("%d instances, %.1f times, lasting %v, %s", instances, demand, lasting, all.describe(route.name+", "+size))
					}
				}
			}
		}
	}
}
