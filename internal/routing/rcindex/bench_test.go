package rcindex

import (
	"math"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

// benchEvent measures events that store one block each in a full index, so that
// each of them also evicts an entry.
func benchEvent(b *testing.B) {
	x := New(Config{})
	for _, id := range []radishcrank.UpstreamID{"u1", "u2"} {
		addUpstream(x, id, 51)
	}
	blocks := make([]radishcrank.BlockHash, 2*x.Capacity())
	for i := range blocks {
		blocks[i] = randomBlock(uint64(i))
	}
	seq := uint64(0)
	next := func() radishcrank.CacheEventBatch {
		i := seq % uint64(len(blocks))
		seq++
		return batchOf(1, stored(seq, blocks[i:i+1]...))
	}
	for range x.Capacity() {
		x.Apply("u1", next(), time.Now())
	}
	b.ReportAllocs()
	for b.Loop() {
		x.Apply("u1", next(), time.Now())
	}
}

// BenchmarkEvent measures one event of one block.
func BenchmarkEvent(b *testing.B) { benchEvent(b) }

// Guards against applying an event taking more than 10 µs.
func TestBoundEvent(t *testing.T) {
	if os.Getenv("RADISHCRANK_BOUNDS") != "1" {
		t.Skip("RADISHCRANK_BOUNDS is not 1")
	}
	const bound, runs = 10 * time.Microsecond, 5
	best := time.Duration(math.MaxInt64)
	for range runs {
		best = min(best, time.Duration(testing.Benchmark(benchEvent).NsPerOp()))
	}
	t.Logf("%v", best)
	require.LessOrEqual(t, best, bound)
}
