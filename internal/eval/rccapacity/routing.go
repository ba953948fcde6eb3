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
	zoneEngines = 500 // Of an availability zone at the target size.
	blockBytes  = 128 // 32 tokens, as the blocks of the target size suggest.
	zoneName    = radishcrank.AvailabilityZone("eu-north-1a")
	modelName   = radishcrank.ModelID("model-17")
)

// fullIndex is the number of entries of an index of the default size.
var fullIndex = rcindex.DefaultMaxBytes / rcindex.EntryBytes

func routingProbes() []probe {
	return []probe{
		{"Decision", "choose an engine for a prompt of 64 blocks, with its observations", "engine", "µs",
			[]int{50, 125, 250, 500}, func(t *testing.T, n int) Point { return decision(t, n, 64) }},
		{"DecisionBlocks", "the same among 500 engines", "block", "µs",
			[]int{8, 32, 64, 128, 256}, func(t *testing.T, n int) Point { return decision(t, zoneEngines, n) }},
		{"Event", "apply one event to a full index", "block of the event", "µs",
			[]int{1, 4, 16, 64}, event},
		{"IndexMemory", "memory of the index", "entry", "B",
			[]int{100_000, 400_000, 800_000, 1_600_000}, indexMemory},
		{"HotEntries", "pick the 8,000 best entries for a snapshot", "entry of the index", "µs",
			[]int{100_000, 400_000, 800_000, 1_600_000}, hotEntries},
		{"Capacity", "copy the upstreams to sum up their batches, as rcdaemon does for the limiter", "engine", "µs",
			[]int{50, 125, 250, 500}, capacity},
	}
}

// engine returns the description of an engine as the board of an instance has it.
func engine(i int) radishcrank.Upstream {
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

func boardOf(engines int) *rcboard.Board {
	board := rcboard.New()
	for i := range engines {
		up := engine(i)
		board.Upstreams.Put(up.ID, up)
	}
	return board
}

// decision measures requests of texts that some engines hold in part, with a
// load report that changes between decisions.
func decision(t *testing.T, engines, blocks int) Point {
	const texts = 64
	board := boardOf(engines)
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
		check(t, err)
		c.Observe(req, p, radishcrank.Observation{Kind: radishcrank.ObservedFirstToken})
		c.Observe(req, p, radishcrank.Observation{Kind: radishcrank.ObservedDone})
		up := p.Upstream
		up.Load.ReportedAt = time.Now()
		board.Upstreams.Put(up.ID, up)
	}
	for range 4 * texts {
		step()
	}
	return best(step)
}

// feeder makes events of random blocks for an index.
type feeder struct {
	index *rcindex.Index
	up    radishcrank.Upstream
	rand  *rand.Rand
	seq   uint64
}

func newFeeder() *feeder {
	f := &feeder{index: rcindex.New(rcindex.Config{}), up: engine(0), rand: rand.New(rand.NewPCG(seed, seed))}
	f.index.SetUpstream(f.up)
	return f
}

// store applies one event that stores n new blocks.
func (f *feeder) store(n int) {
	f.seq++
	blocks := make([]radishcrank.BlockHash, n)
	for i := range blocks {
		binary.LittleEndian.PutUint64(blocks[i][:8], f.rand.Uint64())
		binary.LittleEndian.PutUint64(blocks[i][8:], f.rand.Uint64())
	}
	f.index.Apply(f.up.ID, radishcrank.CacheEventBatch{
		Incarnation: f.up.Incarnation, First: 1,
		Events: []radishcrank.CacheEvent{{Seq: f.seq, Kind: radishcrank.CacheStored, Blocks: blocks}},
	}, time.Now())
}

// fill stores blocks until the index was offered n.
func (f *feeder) fill(n int) *feeder {
	const perEvent = 1000
	for left := n; left > 0; left -= perEvent {
		f.store(min(left, perEvent))
	}
	return f
}

func event(_ *testing.T, blocks int) Point {
	f := newFeeder().fill(fullIndex + fullIndex/4) // Shards fill unevenly.
	return best(func() { f.store(blocks) })
}

func indexMemory(_ *testing.T, entries int) Point {
	return Point{Value: float64(newFeeder().fill(entries).index.Bytes())}
}

func hotEntries(_ *testing.T, entries int) Point {
	f := newFeeder().fill(entries)
	return best(func() { f.index.TopEntries(snapshotEntries) })
}

// capacity does what Daemon.capacity does, which is not exported.
func capacity(_ *testing.T, engines int) Point {
	board := boardOf(engines)
	total := 0
	return best(func() {
		for _, up := range board.Upstreams.Snapshot() {
			if up.Role == radishcrank.RoleEngine && !up.Leaving {
				total += up.Load.MaxBatch
			}
		}
	})
}
