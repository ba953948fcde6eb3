package rcindex

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

// EventProgress says how far the cache events of an upstream have been applied.
type EventProgress struct {
	NextSeq uint64 // Sequence number of the next event to read.
	Gap     bool   // Events were lost; Resync should be called.
}

// NextSeq returns the sequence number of the next event to read from an upstream.
func (x *Index) NextSeq(id radishcrank.UpstreamID) uint64 {
	x.registry.mu.RLock()
	defer x.registry.mu.RUnlock()
	if u := x.registry.byID[id]; u != nil {
		return u.nextSeq.Load()
	}
	return 1
}

// Apply applies a batch of cache events that was requested at the given time.
// Events of an older incarnation are ignored. Of events that arrive out of order
// only removals are applied, so that a late event never adds a block that has
// been evicted since.
func (x *Index) Apply(id radishcrank.UpstreamID, batch radishcrank.CacheEventBatch, at time.Time) EventProgress {
	u, r := x.upstreamForBatch(id, batch.Incarnation)
	if u == nil {
		return EventProgress{NextSeq: x.NextSeq(id)}
	}
	u.eventMu.Lock()
	defer u.eventMu.Unlock()
	return x.apply(u, r, batch, at)
}

// Resync replays all events that the engine still holds. If the batch has every
// event up to the last applied one, the state of every block that it names is
// correct afterwards. Entries from before a gap that it does not name keep their
// lowered confidence.
func (x *Index) Resync(id radishcrank.UpstreamID, batch radishcrank.CacheEventBatch, at time.Time) EventProgress {
	u, r := x.upstreamForBatch(id, batch.Incarnation)
	if u == nil {
		return EventProgress{NextSeq: x.NextSeq(id)}
	}
	u.eventMu.Lock()
	defer u.eventMu.Unlock()
	if containsRange(batch, u.nextSeq.Load()) {
		u.nextSeq.Store(batch.First)
	}
	return x.apply(u, r, batch, at)
}

// containsRange reports whether a batch has every event from its first one up to,
// but not including, next.
func containsRange(batch radishcrank.CacheEventBatch, next uint64) bool {
	if batch.First >= next {
		return false
	}
	want := batch.First
	for _, e := range sortedBySeq(batch.Events) {
		if e.Seq == want {
			want++
		}
	}
	return want >= next
}

// sortedBySeq returns the events in ascending order of their sequence numbers. It
// does not modify its argument.
func sortedBySeq(events []radishcrank.CacheEvent) []radishcrank.CacheEvent {
	order := func(a, b radishcrank.CacheEvent) int { return cmp.Compare(a.Seq, b.Seq) }
	if slices.IsSortedFunc(events, order) {
		return events
	}
	events = slices.Clone(events)
	slices.SortStableFunc(events, order)
	return events
}

// upstreamForBatch returns the upstream that a batch belongs to, with its current
// generation, or nil for an old incarnation. It registers the upstream if needed:
// a new incarnation may appear in a batch before it does in a load report.
func (x *Index) upstreamForBatch(id radishcrank.UpstreamID, incarnation radishcrank.Incarnation) (*upstream, generationRef) {
	g := &x.registry
	g.mu.RLock()
	u := g.byID[id]
	if u != nil && u.incarnation == incarnation {
		defer g.mu.RUnlock()
		return u, u.ref
	}
	g.mu.RUnlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	u = g.byID[id]
	switch {
	case u == nil:
		u = g.add(id, incarnation)
	case incarnation < u.incarnation:
		return nil, 0
	case incarnation > u.incarnation:
		u = g.replace(u, incarnation)
	}
	if u == nil {
		return nil, 0
	}
	return u, u.ref
}

func (x *Index) apply(u *upstream, r generationRef, batch radishcrank.CacheEventBatch, at time.Time) EventProgress {
	now := x.tick(at)
	nextSeq, lostEvents := u.nextSeq.Load(), uint64(0)
	if batch.First > nextSeq {
		lostEvents = batch.First - nextSeq
		nextSeq = batch.First
	}
	for _, e := range sortedBySeq(batch.Events) {
		late := e.Seq < nextSeq
		if e.Seq > nextSeq {
			lostEvents += e.Seq - nextSeq
		}
		nextSeq = max(nextSeq, e.Seq+1)
		lastSeen := now
		if lostEvents > 0 {
			lastSeen++ // Distinguishes the entry from those recorded before the gap.
		}
		u.updateMeanEventBlocks(len(e.Blocks))
		r = x.applyEvent(u, r, e, late, lastSeen)
	}
	if lostEvents > 0 {
		u.addGap(now, lostEvents)
	}
	u.nextSeq.Store(nextSeq)
	u.syncedTick.Store(now)
	return EventProgress{NextSeq: nextSeq, Gap: lostEvents > 0}
}

// applyEvent applies one event and returns the generation that the following
// events belong to.
func (x *Index) applyEvent(u *upstream, r generationRef, e radishcrank.CacheEvent, late bool, lastSeen uint32) generationRef {
	if e.Kind == radishcrank.CacheCleared {
		return x.clearUpstream(u, r)
	}
	x.registry.mu.RLock()
	defer x.registry.mu.RUnlock()
	score := x.scorer()
	for i := range e.Blocks {
		b := &e.Blocks[i]
		switch {
		case e.Kind == radishcrank.CacheEvicted:
			x.shard(b).remove(b, u.index)
		case e.Kind == radishcrank.CacheStored && !late:
			x.shard(b).put(slot{block: *b, ref: r, lastSeen: lastSeen, depth: unknownDepth, baseConfidence: 255}, score)
		}
	}
	return r
}

// clearUpstream invalidates all entries of an upstream that keeps running, by
// starting a new generation. Only when the generation numbers are used up does it
// remove the entries one by one.
func (x *Index) clearUpstream(u *upstream, r generationRef) generationRef {
	x.registry.mu.Lock()
	defer x.registry.mu.Unlock()
	if u.ref != r {
		return r // The entries are invalid already.
	}
	generation := uint32(r) >> indexBits
	if generation < maxGeneration {
		u.ref = newRef(u.index, generation+1)
		return u.ref
	}
	for i := range x.shards {
		x.shards[i].removeIf(func(s *slot) bool { return s.ref.index() == u.index })
	}
	return r
}

// scorer returns the function that scores entries; the lowest score is evicted
// first. Invalid entries come first, then those that are deep, old or of low
// confidence. Losing a block makes all deeper blocks of the chain useless, so a
// shallow block scores higher. The registry must be locked while the function is
// in use.
func (x *Index) scorer() func(*slot) float64 {
	now := x.tick(time.Now())
	return func(s *slot) float64 {
		u := x.registry.resolve(s.ref)
		if u == nil {
			return -1
		}
		const assumedDepth = 8 // For entries known only from cache events.
		depth := float64(s.depth)
		if s.depth == unknownDepth {
			depth = assumedDepth
		}
		age := 0.0
		if now > s.lastSeen {
			age = float64(now-s.lastSeen) * tickLength.Seconds()
		}
		return u.confidence(s, now) / (1 + age) / (1 + depth)
	}
}
