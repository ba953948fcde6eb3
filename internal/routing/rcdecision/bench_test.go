package rcdecision

import (
	"context"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

// benchCase is a combination of prompt and block size.
type benchCase struct {
	name        string
	promptBytes int
	blockBytes  int
}

// The first case has the default block size. The second has blocks of 32 tokens,
// as at the target size, and a prompt of 2,000 tokens; the mean request at the
// target size has 228 tokens, prompt and answer together.
var benchCases = []benchCase{
	{name: "Block2000Tokens", promptBytes: 32_000, blockBytes: 8000},
	{name: "Block32Tokens", promptBytes: 8_000, blockBytes: 128},
}

// benchDecision measures decisions among 500 engines. Some engines cache a part
// of the prompts, and load reports change between decisions.
func benchDecision(bc benchCase) func(b *testing.B) {
	return func(b *testing.B) {
		const engines, prompts = 500, 64
		c, board := testChooser(engines, func(cfg *Config) {
			cfg.Breaker = refusedUpstreams{"e07": true}
			cfg.BlockBytes = func() int { return bc.blockBytes }
		})
		requests := make([]radishcrank.Request, prompts)
		for i := range requests {
			shared := strings.Repeat(fmt.Sprintf("shared %d ", i%8), bc.promptBytes)[:bc.promptBytes/2]
			own := strings.Repeat(fmt.Sprintf("own %d ", i), bc.promptBytes)[:bc.promptBytes/2]
			requests[i] = radishcrank.Request{
				ID:      radishcrank.RequestID(fmt.Sprint("r", i)),
				Account: "a",
				Model:   "m",
				Prompt:  shared + own,
			}
		}
		decide := func(i int) {
			req := requests[i%prompts]
			p, err := c.Choose(context.Background(), req, nil)
			if err != nil {
				b.Fatal(err)
			}
			c.Observe(req, p, radishcrank.Observation{Kind: radishcrank.ObservedFirstToken})
			c.Observe(req, p, radishcrank.Observation{Kind: radishcrank.ObservedDone})
			up := p.Upstream
			up.Load.ReportedAt = time.Now()
			board.Upstreams.Put(up.ID, up)
		}
		for i := range 4 * prompts {
			decide(i)
		}
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			decide(i)
			i++
		}
	}
}

// BenchmarkDecision measures one decision among 500 engines, including its
// observations.
func BenchmarkDecision(b *testing.B) {
	for _, bc := range benchCases {
		b.Run(bc.name, benchDecision(bc))
	}
}

// Guards against decisions among 500 engines that take more than 100 µs.
func TestBoundDecision(t *testing.T) {
	if os.Getenv("RADISHCRANK_BOUNDS") != "1" {
		t.Skip("RADISHCRANK_BOUNDS is not 1")
	}
	const bound, runs = 100 * time.Microsecond, 5
	for _, bc := range benchCases {
		best := time.Duration(math.MaxInt64)
		for range runs {
			r := testing.Benchmark(benchDecision(bc))
			best = min(best, time.Duration(r.NsPerOp()))
		}
		t.Logf("%s: %v", bc.name, best)
		require.LessOrEqual(t, best, bound, bc.name)
	}
}
