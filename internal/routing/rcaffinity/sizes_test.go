package rcaffinity

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// longTail returns the size of a rank, from 0 to 1, relative to the mean, in a Pareto
// distribution that is cut off at the largest size: of prompts with a mean of 9,200 tokens, the
// smallest has 5,070, the largest tenth 15,800 to 25,000.
func longTail(rank float64) float64 {
	const smallest, largest, shape = 0.551, 2.717, 1.5
	return smallest / math.Pow(1-rank*(1-math.Pow(smallest/largest, shape)), 1/shape)
}

// served returns the share of the requests with a first event, of those rejected, and the time
// to the first event that 50 and 95 in 100 of those served do not exceed.
func served(requests []*replayRequest) (share, rejected, half, most float64) {
	var times []float64
	for _, q := range requests {
		switch {
		case q.rejected:
			rejected += 1 / float64(len(requests))
		case !q.gone:
			times = append(times, q.first-q.at)
		}
	}
	slices.Sort(times)
	return float64(len(times)) / float64(len(requests)), rejected, times[len(times)/2], times[len(times)*95/100]
}

// TestLargePromptsArePlaced guards against a placement that lets the largest prompts of a class
// wait until their callers leave, because engines for them cost more than for others.
func TestLargePromptsArePlaced(t *testing.T) {
	classes := []replayRequest{
		{prompt: 830, output: 45, target: 400, abandon: 1600, key: "s"},
		{prompt: 9200, output: 9, target: 800, abandon: 3200, key: "l"},
	}
	for _, known := range []bool{true, false} {
		for _, n := range []int{3, 12, 88} {
			for _, demand := range []float64{1, 1.7, 2.4} {
				requests := replaySizes(n, demand, known, classes)
				for i, list := range requests {
					all, _, _, _ := served(list)
					for _, size := range sizeRanges {
						share, rejected, half, most := served(slices.DeleteFunc(slices.Clone(list), func(q *replayRequest) bool { return q.rank < size.from || q.rank >= size.to }))
						t.Logf("speeds known %v, %d instances, %.1f times, %s, %s: served %.3f, rejected %.3f, first event %.0f and %.0f ms",
							known, n, demand, classes[i].key, size.name, share, rejected, half, most)
						require.GreaterOrEqual(t, share, all/2, "%s of class %s", size.name, classes[i].key)
					}
				}
			}
		}
	}
}

// sizeRanges are ranges of ranks.
var sizeRanges = []struct {
	name     string
	from, to float64
}{{"smaller 70%", 0, 0.7}, {"fifth below it", 0.7, 0.9}, {"largest tenth", 0.9, 1}}

// replaySizes returns the requests of each class after a replay.
func replaySizes(instances int, demand float64, known bool, classes []replayRequest) (requests [][]*replayRequest) {
	rng := rand.New(rand.NewPCG(3, 5))
	r := newReplay(24, instances, known, unevenSpeed)
	for _, class := range classes {
		list := replayLoad(rng, 90*demand, 12, instances, 60, class)
		for _, q := range list {
			q.rank = rng.Float64()
			q.prompt = int(longTail(q.rank) * float64(class.prompt))
		}
		requests = append(requests, list)
	}
	r.run(slices.Concat(requests...))
	return requests
}
