package rcindex

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/blake3"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

const model = radishcrank.ModelID("m")

// chainOf returns the same hashes for all scopes whose salt is equal.
func chainOf(salt string, n int) []radishcrank.BlockHash {
	chain := make([]radishcrank.BlockHash, n)
	for i := range chain {
		sum := blake3.Sum256(fmt.Appendf(nil, "%s/%d", salt, i))
		chain[i] = radishcrank.BlockHash(sum[:16])
	}
	return chain
}

// proof is a reason for the index to name a block on an upstream.
type proof struct {
	up      radishcrank.UpstreamID
	era     int // Counts restarts and changes of weights.
	account radishcrank.ClientAccountID
	block   radishcrank.BlockHash
}

// fleet is a reference model of what the index may say.
type fleet struct {
	index  *Index
	ups    map[radishcrank.UpstreamID]*radishcrank.Upstream
	era    map[radishcrank.UpstreamID]int
	seq    map[radishcrank.UpstreamID]uint64
	proofs map[proof]bool
	held   []held
}

// held is a batch that arrives late.
type held struct {
	up    radishcrank.UpstreamID
	batch radishcrank.CacheEventBatch
}

var (
	drawUp      = rapid.SampledFrom([]radishcrank.UpstreamID{"u1", "u2", "u3"})
	drawAccount = rapid.SampledFrom([]radishcrank.ClientAccountID{"a", "b"})
	drawWeights = rapid.SampledFrom([]radishcrank.WeightsVersion{"w1", "w2"})
)

func newFleet() *fleet {
	f := &fleet{
		index:  New(Config{MaxBytes: 64 * 4 * EntryBytes}),
		ups:    make(map[radishcrank.UpstreamID]*radishcrank.Upstream),
		era:    make(map[radishcrank.UpstreamID]int),
		seq:    make(map[radishcrank.UpstreamID]uint64),
		proofs: make(map[proof]bool),
	}
	for _, id := range []radishcrank.UpstreamID{"u1", "u2", "u3"} {
		f.ups[id] = &radishcrank.Upstream{ID: id, Incarnation: 1}
		f.seq[id] = 1
		f.weigh(id, "w1")
	}
	return f
}

func (f *fleet) weigh(id radishcrank.UpstreamID, w radishcrank.WeightsVersion) {
	up := f.ups[id]
	if up.Load.Weights[model] != w {
		f.era[id]++
	}
	up.Load.Weights = map[radishcrank.ModelID]radishcrank.WeightsVersion{model: w}
	f.index.SetUpstream(*up)
}

func (f *fleet) restart(t *rapid.T) {
	id := drawUp.Draw(t, "up")
	f.ups[id].Incarnation++
	f.era[id]++
	f.seq[id] = 1
	f.index.SetUpstream(*f.ups[id])
}

// confirm reports a first token of a request that was placed on the present or
// an earlier incarnation.
func (f *fleet) confirm(t *rapid.T) {
	id, account, weights := drawUp.Draw(t, "up"), drawAccount.Draw(t, "account"), drawWeights.Draw(t, "weights")
	up := *f.ups[id]
	up.Incarnation -= radishcrank.Incarnation(rapid.IntRange(0, 1).Draw(t, "restartsSince"))
	chain := chainOf("", rapid.IntRange(1, 4).Draw(t, "blocks"))
	f.index.Confirm(up, radishcrank.CacheScope{Account: account, Model: model, Weights: weights}, chain)
	if up.Incarnation != f.ups[id].Incarnation || weights != up.Load.Weights[model] {
		return
	}
	for _, b := range chain {
		for _, other := range []radishcrank.ClientAccountID{"a", "b"} {
			delete(f.proofs, proof{up: id, era: f.era[id], account: other, block: b})
		}
		f.proofs[proof{up: id, era: f.era[id], account: account, block: b}] = true
	}
}

func (f *fleet) batch(t *rapid.T, id radishcrank.UpstreamID) radishcrank.CacheEventBatch {
	up := f.ups[id]
	salt := string(drawAccount.Draw(t, "account")) + string(up.Load.Weights[model])
	kind := rapid.SampledFrom([]radishcrank.CacheEventKind{
		radishcrank.CacheStored, radishcrank.CacheStored, radishcrank.CacheEvicted, radishcrank.CacheCleared,
	}).Draw(t, "kind")
	f.seq[id] += uint64(rapid.IntRange(0, 1).Draw(t, "lost"))
	first := rapid.IntRange(0, 3).Draw(t, "first")
	blocks := chainOf(salt, rapid.IntRange(first+1, 4).Draw(t, "end"))[first:]
	e := radishcrank.CacheEvent{Seq: f.seq[id], Kind: kind, Blocks: blocks}
	f.seq[id]++
	return radishcrank.CacheEventBatch{Incarnation: up.Incarnation, First: e.Seq, Events: []radishcrank.CacheEvent{e}}
}

func (f *fleet) event(t *rapid.T) {
	id := drawUp.Draw(t, "up")
	f.apply(id, f.batch(t, id))
}

func (f *fleet) delay(t *rapid.T) {
	id := drawUp.Draw(t, "up")
	f.held = append(f.held, held{up: id, batch: f.batch(t, id)})
}

func (f *fleet) arriveLate(t *rapid.T) {
	if len(f.held) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.held)-1).Draw(t, "which")
	h := f.held[i]
	f.held = append(f.held[:i], f.held[i+1:]...)
	f.apply(h.up, h.batch)
}

func (f *fleet) apply(id radishcrank.UpstreamID, batch radishcrank.CacheEventBatch) {
	late := batch.Events[0].Seq < f.index.NextSeq(id)
	f.index.Apply(id, batch, time.Now())
	if batch.Incarnation != f.ups[id].Incarnation {
		return
	}
	e := batch.Events[0]
	for p := range f.proofs {
		if e.Kind == radishcrank.CacheCleared && p.up == id {
			delete(f.proofs, p)
		}
	}
	for _, b := range e.Blocks {
		for _, account := range []radishcrank.ClientAccountID{"a", "b"} {
			p := proof{up: id, era: f.era[id], account: account, block: b}
			switch {
			case e.Kind == radishcrank.CacheEvicted:
				delete(f.proofs, p)
			case e.Kind == radishcrank.CacheStored && !late:
				f.proofs[p] = true
			}
		}
	}
}

func (f *fleet) changeWeights(t *rapid.T) {
	f.weigh(drawUp.Draw(t, "up"), drawWeights.Draw(t, "weights"))
}

func (f *fleet) forget(t *rapid.T) {
	account := drawAccount.Draw(t, "account")
	f.index.RemoveAccount(account)
	for p := range f.proofs {
		unsalted := p.block == chainOf("", 1)[0] || p.block == chainOf("", 2)[1]
		if p.account == account && unsalted {
			delete(f.proofs, p)
		}
	}
}

// reload restores the index's own snapshot after changes that it missed.
func (f *fleet) reload(t *rapid.T) {
	entries := f.index.TopEntries(64)
	if rapid.Bool().Draw(t, "restartBefore") {
		f.restart(t)
	}
	f.index.Restore(entries)
}

func (f *fleet) check(t *rapid.T) {
	for _, account := range []radishcrank.ClientAccountID{"a", "b"} {
		for _, weights := range []radishcrank.WeightsVersion{"w1", "w2"} {
			scope := radishcrank.CacheScope{Account: account, Model: model, Weights: weights}
			f.checkLookup(t, scope, chainOf("", 4))
			f.checkLookup(t, scope, chainOf(string(account)+string(weights), 4))
		}
	}
	require.LessOrEqual(t, f.index.Len(), f.index.Capacity())
	require.LessOrEqual(t, f.index.Bytes(), 64*4*EntryBytes)
}

func (f *fleet) checkLookup(t *rapid.T, scope radishcrank.CacheScope, chain []radishcrank.BlockHash) {
	for _, h := range f.index.Lookup(scope, chain, nil) {
		up := f.ups[h.Upstream]
		require.Equal(t, up.Incarnation, h.Incarnation, "dead incarnation")
		require.Equal(t, up.Load.Weights[model], scope.Weights, "older weights")
		for i := range h.Blocks {
			p := proof{up: up.ID, era: f.era[up.ID], account: scope.Account, block: chain[i]}
			require.True(t, f.proofs[p], "block %d of %v without proof on %s", i, scope, up.ID)
		}
	}
}

// Guards against a lookup that names an entry of a dead incarnation, of another
// account, of older weights or of an evicted block, under restarts, changes of
// weights, lost, late and reordered events, restores and accounts that leave;
// and against memory above the bound.
func TestLookupNeedsValidProof(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		t.Repeat(map[string]func(*rapid.T){
			"":              f.check,
			"restart":       f.restart,
			"changeWeights": f.changeWeights,
			"confirm":       f.confirm,
			"confirmAgain":  f.confirm,
			"event":         f.event,
			"eventAgain":    f.event,
			"delay":         f.delay,
			"arriveLate":    f.arriveLate,
			"forget":        f.forget,
			"reload":        f.reload,
		})
	})
}

// Guards against a late write of an older generation that replaces a valid entry.
func TestNewerGenerationStays(t *testing.T) {
	var s shard
	s.init(8, 0)
	block := randomBlock(1)
	s.put(slot{block: block, ref: newRef(3, 2)}, nil)
	s.put(slot{block: block, ref: newRef(3, 1)}, nil)
	require.Equal(t, newRef(3, 2), s.slots[s.first(&block)].ref)
	require.Equal(t, 1, s.used)
}

func setUp(x *Index, id radishcrank.UpstreamID, evictions float64) radishcrank.Upstream {
	up := radishcrank.Upstream{ID: id, Incarnation: 1, Load: radishcrank.LoadReport{
		Weights:            map[radishcrank.ModelID]radishcrank.WeightsVersion{model: "w"},
		CacheBlocks:        100,
		EvictionsPerSecond: evictions,
	}}
	x.SetUpstream(up)
	return up
}

var testScope = radishcrank.CacheScope{Account: "a", Model: model, Weights: "w"}

// Guards against blocks behind a missing one that count as cached.
func TestLookupStopsAtMissingBlock(t *testing.T) {
	x := New(Config{})
	chain := chainOf("c", 3)
	x.Confirm(setUp(x, "whole", 0), testScope, chain)
	x.Confirm(setUp(x, "holed", 0), testScope, []radishcrank.BlockHash{chain[0], {}, chain[2]})
	blocks := make(map[radishcrank.UpstreamID]int)
	for _, h := range x.Lookup(testScope, chain, nil) {
		blocks[h.Upstream] = h.Blocks
	}
	require.Equal(t, map[radishcrank.UpstreamID]int{"whole": 3, "holed": 1}, blocks)
}

// Guards against an entry that takes more memory than EntryBytes says, and
// against an index that grows past its bound or does not use it.
func TestMemoryBoundIsExact(t *testing.T) {
	require.EqualValues(t, slotBytes, unsafe.Sizeof(slot{}))
	const maxBytes = 1 << 20
	x := New(Config{MaxBytes: maxBytes})
	up := setUp(x, "u", 0)
	for i := range 2 * x.Capacity() {
		x.Confirm(up, testScope, []radishcrank.BlockHash{randomBlock(uint64(i))})
	}
	require.LessOrEqual(t, x.Bytes(), maxBytes)
	require.Equal(t, x.Capacity()*EntryBytes, x.Bytes())
	require.Greater(t, x.Bytes(), maxBytes*99/100)
	require.InDelta(t, x.Capacity(), x.Len(), float64(x.Capacity())/100)
}

func randomBlock(i uint64) radishcrank.BlockHash {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], i)
	sum := blake3.Sum256(seed[:])
	return radishcrank.BlockHash(sum[:16])
}

// Guards against an eviction order that drops shallow, live blocks before deep
// ones and before those of a dead incarnation.
func TestEvictionKeepsShallowBlocks(t *testing.T) {
	x := New(Config{MaxBytes: 64 * 64 * EntryBytes})
	dead, live := setUp(x, "dead", 0), setUp(x, "live", 0)
	for i := range uint64(x.Capacity()) {
		x.Confirm(dead, testScope, []radishcrank.BlockHash{randomBlock(1<<32 + i)})
	}
	x.RemoveUpstream("dead")
	chains := x.Capacity() / 32
	for i := range chains {
		x.Confirm(live, testScope, chainOf(fmt.Sprint(i), 48))
	}
	kept := 0
	for i := range chains {
		kept += len(x.Lookup(testScope, chainOf(fmt.Sprint(i), 1), nil))
	}
	require.Greater(t, kept, chains*95/100)
}
