package rcplacement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcprefix"
	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

func fleet(n int) []Engine {
	engines := make([]Engine, n)
	for i := range engines {
		engines[i] = Engine{Key: EngineKey(radishcrank.UpstreamID(fmt.Sprintf("engine-%d", i))), MaxBatch: 8}
	}
	return engines
}

// chain returns the chain of a prompt whose blocks are single bytes.
func chain(prompt string) []radishcrank.BlockHash {
	return rcprefix.Chain(radishcrank.CacheScope{Account: "a"}, prompt, 1)
}

func keys(engines []Engine, places []int) []uint64 {
	out := make([]uint64, 0, len(places))
	for _, i := range places {
		out = append(out, engines[i].Key)
	}
	return out
}

// Guards against an overloaded engine that gets a request while another one has
// room, and against an unusable one that gets any while another one is usable.
func TestBoundedLoadHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fit := rapid.Float64Range(0.05, 1).Draw(t, "fit")
		p := New(Config{LoadPerReplica: func() float64 { return fit }})
		engines := fleet(rapid.IntRange(1, 20).Draw(t, "engines"))
		usable := rapid.SliceOfN(rapid.Bool(), len(engines), len(engines)).Draw(t, "usable")
		for range 200 {
			c := chain(rapid.SampledFrom([]string{"a", "ab", "abc", "abd", "b", "bc"}).Draw(t, "prompt"))
			places := p.Place(c, engines, func(i int) bool { return usable[i] }, 0, Placement{}).Replicas
			require.NotEmpty(t, places)
			sum, fits := 1.0, false
			for i := range engines {
				sum += engines[i].Load
			}
			bound := max(8, math.Ceil(2*sum/float64(len(engines))))
			for i := range engines {
				fits = fits || usable[i] && engines[i].Load < bound
			}
			for _, i := range places {
				require.True(t, !fits || usable[i] && engines[i].Load < bound, "engine %d of load %v, bound %v", i, engines[i].Load, bound)
			}
			engines[places[0]].Load++
			p.RecordRequest(c, 100*time.Millisecond)
		}
	})
}

// Guards against prefixes that move although their engine stayed.
func TestPlacementIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Config{})
		engines := fleet(rapid.IntRange(2, 60).Draw(t, "engines"))
		gone := rapid.IntRange(0, len(engines)-1).Draw(t, "gone")
		left := slices.Delete(slices.Clone(engines), gone, gone+1)
		for i := range 50 {
			c := chain(fmt.Sprintf("%c%d", 'a'+i%26, i))
			before := p.Place(c, engines, nil, 0, Placement{}).Replicas
			after := p.Place(c, left, nil, 0, Placement{}).Replicas
			require.Len(t, before, 1)
			require.Len(t, after, 1)
			if before[0] != gone {
				require.Equal(t, keys(engines, before), keys(left, after))
			}
		}
	})
}

// Guards against an order that depends on how an instance lists its engines,
// and against a restarted instance that sends a hot text where its peers don't.
func TestRestartedInstanceAgrees(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := fleet(40)
		reversed := slices.Clone(engines)
		slices.Reverse(reversed)
		warm, restarted := New(Config{}), New(Config{})
		for i := range 400 {
			warm.RecordRequest(chain(fmt.Sprintf("shared%d", i%4)), 30*time.Millisecond)
			time.Sleep(10 * time.Millisecond)
		}
		var homes []uint64
		for i := range 4 {
			places := warm.Place(chain(fmt.Sprintf("shared%d", i)), engines, nil, 0, Placement{}).Replicas
			homes = append(homes, keys(engines, places)...)
		}
		require.Greater(t, len(slices.Compact(slices.Sorted(slices.Values(homes)))), 1)
		places := restarted.Place(chain("shared0"), reversed, nil, 0, Placement{}).Replicas
		require.Len(t, places, 1)
		set := warm.Place(chain("shared")[:1], engines, nil, 0, Placement{}).Replicas
		require.Equal(t, keys(engines, set[:1]), keys(reversed, places))
	})
}

// Guards against a hot prefix that stays on one engine for more than seconds,
// keeps its replicas after it cooled, or is split while one engine suffices.
func TestReplicasFollowLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 4
		p := New(Config{Instances: func() int { return instances }})
		c := chain("hot")
		engines := fleet(40)
		homes := func() int {
			return len(p.Place(c, engines, nil, 0, Placement{}).Replicas)
		}
		require.Equal(t, 1, homes())
		// 20/s here, 80/s in the fleet, of 50 ms each: 4 engines' load, 8 replicas.
		for range 60 {
			p.RecordRequest(c, 50*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
		}
		require.GreaterOrEqual(t, homes(), 3)
		for range 240 {
			p.RecordRequest(c, 50*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
		}
		require.InDelta(t, 8, p.ReplicaCount(c), 2)
		time.Sleep(15 * time.Second)
		require.Equal(t, 1, homes())
	})
}

// Guards against counters that grow with the number of prefixes seen, or lose a
// hot one among many cold ones.
func TestCountersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Config{})
		hot := chain("h")
		for i := range 50_000 {
			p.RecordRequest(chain(fmt.Sprintf("%d", i)), time.Millisecond)
			if i%50 == 0 {
				p.RecordRequest(hot, 10*time.Millisecond)
				time.Sleep(10 * time.Millisecond)
			}
		}
		require.Len(t, p.counters.sets, counterSets)
		load, _ := p.counters.load(levelKey(&hot[0]), 1, time.Now())
		require.InDelta(t, 1, load, 0.2)
	})
}

// Guards against a selection that misses one of the highest scores.
func TestSelectTop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scores := rapid.SliceOf(rapid.Uint64Range(0, 20)).Draw(t, "scores")
		ranks := make([]rank, len(scores))
		for i, score := range scores {
			ranks[i] = rank{score: score, engine: i}
		}
		k := rapid.IntRange(0, len(ranks)).Draw(t, "k")
		selectTop(ranks, k)
		want := slices.Sorted(slices.Values(scores))
		slices.Reverse(want)
		var got []uint64
		for _, r := range ranks[:k] {
			got = append(got, r.score)
		}
		slices.SortFunc(got, func(a, b uint64) int { return cmp.Compare(b, a) })
		require.Equal(t, append([]uint64(nil), want[:k]...), got)
	})
}
