package rccapacity

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcdecision"
	"github.com/radishcrank/radishcrank/internal/routing/rcindex"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

const (
	enginesPerZone = 500 // In an availability zone at the target size.
	blockBytes     = 128 // Assumes 32 tokens per block, as the number of blocks at the target size suggests.
	zoneName       = radishcrank.AvailabilityZone("eu-north-1a")
	modelName      = radishcrank.ModelID("model-17")
)

// fullIndexEntries is the number of entries of an index of the default size.
var fullIndexEntries = rcindex.DefaultMaxBytes / rcindex.EntryBytes

func routingBenchmarks() []benchmark {
	return []benchmark{
		{"Decision", "choose an engine for a prompt of 64 blocks, with its observations", "engine", "µs",
			[]int{50, 125, 250, 500}, func(t *testing.T, n int) Point { return measureDecision(t, n, 64) }},
		{"DecisionBlocks", "the same among 500 engines", "block", "µs",
			[]int{8, 32, 64, 128, 256}, func(t *testing.T, n int) Point { return measureDecision(t, enginesPerZone, n) }},
		{"Event", "apply one event to a full index", "block of the event", "µs",
			[]int{1, 4, 16, 64}, measureEvent},
		{"IndexMemory", "memory of the index", "entry", "B",
			[]int{100_000, 400_000, 800_000, 1_600_000}, measureIndexMemory},
		{"HotEntries", "pick the 8,000 best entries for a snapshot", "entry of the index", "µs",
			[]int{100_000, 400_000, 800_000, 1_600_000}, measureHotEntries},
		{"Capacity", "copy the upstreams to sum up their batches, as rcdaemon does for the limiter", "engine", "µs",
			[]int{50, 125, 250, 500}, measureCapacity},
	}
}

// newEngine returns an engine as stored on the board of an instance.
func newEngine(i int) radishcrank.Upstream {
	return radishcrank.Upstream{
		ID:   radishcrank.UpstreamID(fmt.Sprintf("eu-north-1-engine-%04d", i)),
		Role: radishcrank.RoleEngine, Zone: zoneName, Incarnation: 1764790000000000000, Models: []radishcrank.ModelID{modelName},
		Load: radishcrank.LoadReport{
			Incarnation:      1764790000000000000,
			Weights:          map[radishcrank.ModelID]radishcrank.WeightsVersion{modelName: "2026-11-30"},
			CacheBlocks:      36_364,
			CacheUsed:        36_364,
			PrefillPerSecond: 20_000,
			DecodePerSecond:  27,
			MaxBatch:         16,
			ReportedAt:       time.Now(),
		},
	}
}

func newBoard(engines int) *rcboard.Board {
	board := rcboard.New()
	for i := range engines {
		up := newEngine(i)
		board.Upstreams.Put(up.ID, up)
	}
	return board
}

// measureDecision measures the choice of an engine for prompts that some engines have
// partly cached. Load reports change between decisions.
func measureDecision(t *testing.T, engines, blocks int) Point {
	const texts = 64
	board := newBoard(engines)
	c := rcdecision.New(rcdecision.Config{
		Board: board, Instance: "router-1", Zone: zoneName, BlockBytes: func() int { return blockBytes },
	})
	requests := make([]radishcrank.Request, texts)
	for i := range requests {
		half := blocks * blockBytes / 2
		shared := strings.Repeat(fmt.Sprintf("shared %d ", i%8), half)[:half]
		own := strings.Repeat(fmt.Sprintf("own %d ", i), half)[:half]
		requests[i] = radishcrank.Request{
			ID: radishcrank.RequestID(fmt.Sprint("r", i)), Account: "account-1", Model: modelName, Prompt: shared + own,
		}
	}
	i := 0
	step := func() {
		req := requests[i%texts]
		i++
		p, err := c.Choose(context.Background(), req, nil)
		must(t, err)
		c.Observe(req, p, radishcrank.Observation{Kind: radishcrank.ObservedFirstToken})
		c.Observe(req, p, radishcrank.Observation{Kind: radishcrank.ObservedDone})
		up := p.Upstream
		up.Load.ReportedAt = time.Now()
		board.Upstreams.Put(up.ID, up)
	}
	for range 4 * texts {
		step()
	}
	return minCost(step)
}

// eventGenerator applies cache events with random blocks to an index.
type eventGenerator struct {
	index *rcindex.Index
	up    radishcrank.Upstream
	rand  *rand.Rand
	seq   uint64
}

func newEventGenerator() *eventGenerator {
	g := &eventGenerator{index: rcindex.New(rcindex.Config{}), up: newEngine(0), rand: rand.New(rand.NewPCG(seed, seed))}
	g.index.SetUpstream(g.up)
	return g
}

// store applies one event that stores n new blocks.
func (g *eventGenerator) store(n int) {
	g.seq++
	blocks := make([]radishcrank.BlockHash, n)
	for i := range blocks {
		binary.LittleEndian.PutUint64(blocks[i][:8], g.rand.Uint64())
		binary.LittleEndian.PutUint64(blocks[i][8:], g.rand.Uint64())
	}
	g.index.Apply(g.up.ID, radishcrank.CacheEventBatch{
		Incarnation: g.up.Incarnation, First: 1,
		Events: []radishcrank.CacheEvent{{Seq: g.seq, Kind: radishcrank.CacheStored, Blocks: blocks}},
	}, time.Now())
}

// fill stores n blocks, of which the index may evict some.
func (g *eventGenerator) fill(n int) *eventGenerator {
	const perEvent = 1000
	for left := n; left > 0; left -= perEvent {
		g.store(min(left, perEvent))
	}
	return g
}

func measureEvent(_ *testing.T, blocks int) Point {
	g := newEventGenerator().fill(fullIndexEntries + fullIndexEntries/4) // Fills all shards, which grow unevenly.
	return minCost(func() { g.store(blocks) })
}

func measureIndexMemory(_ *testing.T, entries int) Point {
	return Point{Value: float64(newEventGenerator().fill(entries).index.Bytes())}
}

func measureHotEntries(_ *testing.T, entries int) Point {
	g := newEventGenerator().fill(entries)
	return minCost(func() { g.index.TopEntries(snapshotEntries) })
}

// measureCapacity repeats the code of Daemon.capacity, which is not exported.
func measureCapacity(_ *testing.T, engines int) Point {
	board := newBoard(engines)
	total := 0
	return minCost(func() {
		for _, up := range board.Upstreams.Snapshot() {
			if up.Role == radishcrank.RoleEngine && !up.Leaving {
				total += up.Load.MaxBatch
			}
		}
	})
}
