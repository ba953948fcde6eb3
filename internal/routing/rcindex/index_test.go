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

// chainOf returns a chain of n hashes that depends only on the salt.
func chainOf(salt string, n int) []radishcrank.BlockHash {
	chain := make([]radishcrank.BlockHash, n)
	for i := range chain {
		sum := blake3.Sum256(fmt.Appendf(nil, "%s/%d", salt, i))
		chain[i] = radishcrank.BlockHash(sum[:16])
	}
	return chain
}

// evidence is a fact that allows the index to return a block for an upstream.
type evidence struct {
	up         radishcrank.UpstreamID
	generation int // Number of restarts and changes of weights.
	account    radishcrank.ClientAccountID
	block      radishcrank.BlockHash
}

// indexModel is a reference model of the entries that lookups may return.
type indexModel struct {
	index      *Index
	ups        map[radishcrank.UpstreamID]*radishcrank.Upstream
	generation map[radishcrank.UpstreamID]int
	seq        map[radishcrank.UpstreamID]uint64
	evidence   map[evidence]bool
	delayed    []delayedBatch
}

// delayedBatch is a batch of events that is applied out of order.
type delayedBatch struct {
	up    radishcrank.UpstreamID
	batch radishcrank.CacheEventBatch
}

var (
	drawUp      = rapid.SampledFrom([]radishcrank.UpstreamID{"u1", "u2", "u3"})
	drawAccount = rapid.SampledFrom([]radishcrank.ClientAccountID{"a", "b"})
	drawWeights = rapid.SampledFrom([]radishcrank.WeightsVersion{"w1", "w2"})
)

func newIndexModel() *indexModel {
	m := &indexModel{
		index:      New(Config{MaxBytes: 64 * 4 * EntryBytes}),
		ups:        make(map[radishcrank.UpstreamID]*radishcrank.Upstream),
		generation: make(map[radishcrank.UpstreamID]int),
		seq:        make(map[radishcrank.UpstreamID]uint64),
		evidence:   make(map[evidence]bool),
	}
	for _, id := range []radishcrank.UpstreamID{"u1", "u2", "u3"} {
		m.ups[id] = &radishcrank.Upstream{ID: id, Incarnation: 1}
		m.seq[id] = 1
		m.setWeights(id, "w1")
	}
	return m
}

func (m *indexModel) setWeights(id radishcrank.UpstreamID, w radishcrank.WeightsVersion) {
	up := m.ups[id]
	if up.Load.Weights[model] != w {
		m.generation[id]++
	}
	up.Load.Weights = map[radishcrank.ModelID]radishcrank.WeightsVersion{model: w}
	m.index.SetUpstream(*up)
}

func (m *indexModel) restart(t *rapid.T) {
	id := drawUp.Draw(t, "up")
	m.ups[id].Incarnation++
	m.generation[id]++
	m.seq[id] = 1
	m.index.SetUpstream(*m.ups[id])
}

// confirm reports the first token of a request that was placed on the current or
// the previous incarnation.
func (m *indexModel) confirm(t *rapid.T) {
	id, account, weights := drawUp.Draw(t, "up"), drawAccount.Draw(t, "account"), drawWeights.Draw(t, "weights")
	up := *m.ups[id]
	up.Incarnation -= radishcrank.Incarnation(rapid.IntRange(0, 1).Draw(t, "restartsSince"))
	chain := chainOf("", rapid.IntRange(1, 4).Draw(t, "blocks"))
	m.index.Confirm(up, radishcrank.CacheScope{Account: account, Model: model, Weights: weights}, chain)
	if up.Incarnation != m.ups[id].Incarnation || weights != up.Load.Weights[model] {
		return
	}
	for _, b := range chain {
		for _, other := range []radishcrank.ClientAccountID{"a", "b"} {
			delete(m.evidence, evidence{up: id, generation: m.generation[id], account: other, block: b})
		}
		m.evidence[evidence{up: id, generation: m.generation[id], account: account, block: b}] = true
	}
}

func (m *indexModel) batch(t *rapid.T, id radishcrank.UpstreamID) radishcrank.CacheEventBatch {
	up := m.ups[id]
	salt := string(drawAccount.Draw(t, "account")) + string(up.Load.Weights[model])
	kind := rapid.SampledFrom([]radishcrank.CacheEventKind{
		radishcrank.CacheStored, radishcrank.CacheStored, radishcrank.CacheEvicted, radishcrank.CacheCleared,
	}).Draw(t, "kind")
	m.seq[id] += uint64(rapid.IntRange(0, 1).Draw(t, "lost"))
	first := rapid.IntRange(0, 3).Draw(t, "first")
	blocks := chainOf(salt, rapid.IntRange(first+1, 4).Draw(t, "end"))[first:]
	e := radishcrank.CacheEvent{Seq: m.seq[id], Kind: kind, Blocks: blocks}
	m.seq[id]++
	return radishcrank.CacheEventBatch{Incarnation: up.Incarnation, First: e.Seq, Events: []radishcrank.CacheEvent{e}}
}

func (m *indexModel) event(t *rapid.T) {
	id := drawUp.Draw(t, "up")
	m.apply(id, m.batch(t, id))
}

func (m *indexModel) delay(t *rapid.T) {
	id := drawUp.Draw(t, "up")
	m.delayed = append(m.delayed, delayedBatch{up: id, batch: m.batch(t, id)})
}

func (m *indexModel) applyDelayed(t *rapid.T) {
	if len(m.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "which")
	d := m.delayed[i]
	m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
	m.apply(d.up, d.batch)
}

func (m *indexModel) apply(id radishcrank.UpstreamID, batch radishcrank.CacheEventBatch) {
	late := batch.Events[0].Seq < m.index.NextSeq(id)
	m.index.Apply(id, batch, time.Now())
	if batch.Incarnation != m.ups[id].Incarnation {
		return
	}
	e := batch.Events[0]
	for ev := range m.evidence {
		if e.Kind == radishcrank.CacheCleared && ev.up == id {
			delete(m.evidence, ev)
		}
	}
	for _, b := range e.Blocks {
		for _, account := range []radishcrank.ClientAccountID{"a", "b"} {
			ev := evidence{up: id, generation: m.generation[id], account: account, block: b}
			switch {
			case e.Kind == radishcrank.CacheEvicted:
				delete(m.evidence, ev)
			case e.Kind == radishcrank.CacheStored && !late:
				m.evidence[ev] = true
			}
		}
	}
}

func (m *indexModel) changeWeights(t *rapid.T) {
	m.setWeights(drawUp.Draw(t, "up"), drawWeights.Draw(t, "weights"))
}

func (m *indexModel) removeAccount(t *rapid.T) {
	account := drawAccount.Draw(t, "account")
	m.index.RemoveAccount(account)
	for ev := range m.evidence {
		unsalted := ev.block == chainOf("", 1)[0] || ev.block == chainOf("", 2)[1]
		if ev.account == account && unsalted {
			delete(m.evidence, ev)
		}
	}
}

// restoreSnapshot restores a snapshot of the index, possibly after a restart that
// the snapshot does not include.
func (m *indexModel) restoreSnapshot(t *rapid.T) {
	entries := m.index.TopEntries(64)
	if rapid.Bool().Draw(t, "restartBefore") {
		m.restart(t)
	}
	m.index.Restore(entries)
}

func (m *indexModel) check(t *rapid.T) {
	for _, account := range []radishcrank.ClientAccountID{"a", "b"} {
		for _, weights := range []radishcrank.WeightsVersion{"w1", "w2"} {
			scope := radishcrank.CacheScope{Account: account, Model: model, Weights: weights}
			m.checkLookup(t, scope, chainOf("", 4))
			m.checkLookup(t, scope, chainOf(string(account)+string(weights), 4))
		}
	}
	require.LessOrEqual(t, m.index.Len(), m.index.Capacity())
	require.LessOrEqual(t, m.index.Bytes(), 64*4*EntryBytes)
}

func (m *indexModel) checkLookup(t *rapid.T, scope radishcrank.CacheScope, chain []radishcrank.BlockHash) {
	for _, h := range m.index.Lookup(scope, chain, nil) {
		up := m.ups[h.Upstream]
		require.Equal(t, up.Incarnation, h.Incarnation, "old incarnation")
		require.Equal(t, up.Load.Weights[model], scope.Weights, "older weights")
		for i := range h.Blocks {
			ev := evidence{up: up.ID, generation: m.generation[up.ID], account: scope.Account, block: chain[i]}
			require.True(t, m.evidence[ev], "block %d of %v returned without evidence on %s", i, scope, up.ID)
		}
	}
}

// Guards against lookups that return entries of an old incarnation, of another
// account, of older weights or of an evicted block, while upstreams restart and
// change weights, events are lost, late or reordered, snapshots are restored and
// accounts are removed. Also guards against exceeding the memory limit.
func TestLookupNeedsValidEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newIndexModel()
		t.Repeat(map[string]func(*rapid.T){
			"":              m.check,
			"restart":       m.restart,
			"changeWeights": m.changeWeights,
			"confirm":       m.confirm,
			"confirmAgain":  m.confirm,
			"event":         m.event,
			"eventAgain":    m.event,
			"delay":         m.delay,
			"arriveLate":    m.applyDelayed,
			"forget":        m.removeAccount,
			"reload":        m.restoreSnapshot,
		})
	})
}

// Guards against a late write for an older generation that replaces a valid entry.
func TestNewerGenerationStays(t *testing.T) {
	var s shard
	s.init(8, 0)
	block := randomBlock(1)
	s.put(slot{block: block, ref: newRef(3, 2)}, nil)
	s.put(slot{block: block, ref: newRef(3, 1)}, nil)
	require.Equal(t, newRef(3, 2), s.slots[s.bucketHead(&block)].ref)
	require.Equal(t, 1, s.used)
}

func addUpstream(x *Index, id radishcrank.UpstreamID, evictions float64) radishcrank.Upstream {
	up := radishcrank.Upstream{ID: id, Incarnation: 1, Load: radishcrank.LoadReport{
		Weights:            map[radishcrank.ModelID]radishcrank.WeightsVersion{model: "w"},
		CacheBlocks:        100,
		EvictionsPerSecond: evictions,
	}}
	x.SetUpstream(up)
	return up
}

var testScope = radishcrank.CacheScope{Account: "a", Model: model, Weights: "w"}

// Guards against counting blocks that follow a missing one as cached.
func TestLookupStopsAtMissingBlock(t *testing.T) {
	x := New(Config{})
	chain := chainOf("c", 3)
	x.Confirm(addUpstream(x, "whole", 0), testScope, chain)
	x.Confirm(addUpstream(x, "holed", 0), testScope, []radishcrank.BlockHash{chain[0], {}, chain[2]})
	blocks := make(map[radishcrank.UpstreamID]int)
	for _, h := range x.Lookup(testScope, chain, nil) {
		blocks[h.Upstream] = h.Blocks
	}
	require.Equal(t, map[radishcrank.UpstreamID]int{"whole": 3, "holed": 1}, blocks)
}

// Guards against entries that take more memory than EntryBytes, and against an
// index that exceeds its memory limit or leaves a part of it unused.
func TestMemoryBoundIsExact(t *testing.T) {
	require.EqualValues(t, slotBytes, unsafe.Sizeof(slot{}))
	const maxBytes = 1 << 20
	x := New(Config{MaxBytes: maxBytes})
	up := addUpstream(x, "u", 0)
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

// Guards against evicting shallow, valid blocks before deep ones and before the
// blocks of a removed upstream.
func TestEvictionKeepsShallowBlocks(t *testing.T) {
	x := New(Config{MaxBytes: 64 * 64 * EntryBytes})
	dead, live := addUpstream(x, "dead", 0), addUpstream(x, "live", 0)
	for i := range uint64(x.Capacity()) {
		x.Confirm(dead, testScope, []radishcrank.BlockHash{randomBlock(1<<32 + i)})
	}
	x.RemoveUpstream("dead")
	chains := x.Capacity() / 32
	for i := range chains {
		x.Confirm(live, testScope, chainOf(fmt.Sprint(i), 48))
	}
	remaining := 0
	for i := range chains {
		remaining += len(x.Lookup(testScope, chainOf(fmt.Sprint(i), 1), nil))
	}
	require.Greater(t, remaining, chains*95/100)
}
