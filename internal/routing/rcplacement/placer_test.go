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

func testEngines(n int) []Engine {
	engines := make([]Engine, n)
	for i := range engines {
		engines[i] = Engine{Key: EngineKey(radishcrank.UpstreamID(fmt.Sprintf("engine-%d", i))), MaxBatch: 8}
	}
	return engines
}

// chain returns the block chain of a prompt with blocks of one byte.
func chain(prompt string) []radishcrank.BlockHash {
	return rcprefix.Chain(radishcrank.CacheScope{Account: "a"}, prompt, 1)
}

func keys(engines []Engine, replicas []int) []uint64 {
	out := make([]uint64, 0, len(replicas))
	for _, i := range replicas {
		out = append(out, engines[i].Key)
	}
	return out
}

// Guards against requests to an engine above the load bound while another one is
// below it, and to an unusable engine while another one is usable.
func TestBoundedLoadHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loadPerReplica := rapid.Float64Range(0.05, 1).Draw(t, "fit")
		p := New(Config{LoadPerReplica: func() float64 { return loadPerReplica }})
		engines := testEngines(rapid.IntRange(1, 20).Draw(t, "engines"))
		usable := rapid.SliceOfN(rapid.Bool(), len(engines), len(engines)).Draw(t, "usable")
		for range 200 {
			c := chain(rapid.SampledFrom([]string{"a", "ab", "abc", "abd", "b", "bc"}).Draw(t, "prompt"))
			replicas := p.Place(c, engines, func(i int) bool { return usable[i] }, 0, Placement{}).Replicas
			require.NotEmpty(t, replicas)
			sum, fits := 1.0, false
			for i := range engines {
				sum += engines[i].Load
			}
			bound := max(8, math.Ceil(2*sum/float64(len(engines))))
			for i := range engines {
				fits = fits || usable[i] && engines[i].Load < bound
			}
			for _, i := range replicas {
				require.True(t, !fits || usable[i] && engines[i].Load < bound, "engine %d of load %v, bound %v", i, engines[i].Load, bound)
			}
			engines[replicas[0]].Load++
			p.RecordRequest(c, 100*time.Millisecond)
		}
	})
}

// Guards against removing one engine moving prefixes that were assigned to others.
func TestPlacementIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Config{})
		engines := testEngines(rapid.IntRange(2, 60).Draw(t, "engines"))
		removed := rapid.IntRange(0, len(engines)-1).Draw(t, "gone")
		remaining := slices.Delete(slices.Clone(engines), removed, removed+1)
		for i := range 50 {
			c := chain(fmt.Sprintf("%c%d", 'a'+i%26, i))
			before := p.Place(c, engines, nil, 0, Placement{}).Replicas
			after := p.Place(c, remaining, nil, 0, Placement{}).Replicas
			require.Len(t, before, 1)
			require.Len(t, after, 1)
			if before[0] != removed {
				require.Equal(t, keys(engines, before), keys(remaining, after))
			}
		}
	})
}

// Guards against a rendezvous order that depends on the order of the engine list,
// and against a restarted instance, whose load counters are empty, that assigns a
// hot prefix to another engine than its peers.
func TestRestartedInstanceAgrees(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := testEngines(40)
		reversed := slices.Clone(engines)
		slices.Reverse(reversed)
		warm, restarted := New(Config{}), New(Config{})
		for i := range 400 {
			warm.RecordRequest(chain(fmt.Sprintf("shared%d", i%4)), 30*time.Millisecond)
			time.Sleep(10 * time.Millisecond)
		}
		var replicaKeys []uint64
		for i := range 4 {
			replicas := warm.Place(chain(fmt.Sprintf("shared%d", i)), engines, nil, 0, Placement{}).Replicas
			replicaKeys = append(replicaKeys, keys(engines, replicas)...)
		}
		require.Greater(t, len(slices.Compact(slices.Sorted(slices.Values(replicaKeys)))), 1)
		replicas := restarted.Place(chain("shared0"), reversed, nil, 0, Placement{}).Replicas
		require.Len(t, replicas, 1)
		set := warm.Place(chain("shared")[:1], engines, nil, 0, Placement{}).Replicas
		require.Equal(t, keys(engines, set[:1]), keys(reversed, replicas))
	})
}

// Guards against a hot prefix that stays on one engine for more than a few
// seconds, keeps its replicas after the load has dropped, or is replicated while
// one engine suffices.
func TestReplicasFollowLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 4
		p := New(Config{Instances: func() int { return instances }})
		c := chain("hot")
		engines := testEngines(40)
		replicas := func() int {
			return len(p.Place(c, engines, nil, 0, Placement{}).Replicas)
		}
		require.Equal(t, 1, replicas())
		// 20 requests/s on this instance, 80 on all four, of 50 ms each: the load of
		// 4 engines, which takes 8 replicas at 0.5 each.
		for range 60 {
			p.RecordRequest(c, 50*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
		}
		require.GreaterOrEqual(t, replicas(), 3)
		for range 240 {
			p.RecordRequest(c, 50*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
		}
		require.InDelta(t, 8, p.ReplicaCount(c), 2)
		time.Sleep(15 * time.Second)
		require.Equal(t, 1, replicas())
	})
}

// Guards against a counter table that grows with the number of prefixes, or in
// which many cold prefixes evict a hot one.
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

// Guards against selectTop missing one of the k highest scores.
func TestSelectTop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scores := rapid.SliceOf(rapid.Uint64Range(0, 20)).Draw(t, "scores")
		scored := make([]scoredEngine, len(scores))
		for i, score := range scores {
			scored[i] = scoredEngine{score: score, engine: i}
		}
		k := rapid.IntRange(0, len(scored)).Draw(t, "k")
		selectTop(scored, k)
		want := slices.Sorted(slices.Values(scores))
		slices.Reverse(want)
		var got []uint64
		for _, r := range scored[:k] {
			got = append(got, r.score)
		}
		slices.SortFunc(got, func(a, b uint64) int { return cmp.Compare(b, a) })
		require.Equal(t, append([]uint64(nil), want[:k]...), got)
	})
}
