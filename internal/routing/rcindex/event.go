package rcindex

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

// EventProgress says how far the events of an upstream have been applied.
type EventProgress struct {
	NextSeq uint64 // Sequence number to read from.
	Gap     bool   // Events were lost; a resync is needed.
}

// NextSeq returns the sequence number from which events of an upstream are needed.
func (x *Index) NextSeq(id radishcrank.UpstreamID) uint64 {
	x.registry.mu.RLock()
	defer x.registry.mu.RUnlock()
	if u := x.registry.byID[id]; u != nil {
		return u.next.Load()
	}
	return 1
}

// Apply applies a batch of cache events that was requested at a time. Events of
// an older incarnation are ignored. Of events that arrive after later ones, only
// those that remove blocks are applied, so that a late event never claims a
// block that was evicted since.
func (x *Index) Apply(id radishcrank.UpstreamID, batch radishcrank.CacheEventBatch, at time.Time) EventProgress {
	u, r := x.feed(id, batch.Incarnation)
	if u == nil {
		return EventProgress{NextSeq: x.NextSeq(id)}
	}
	u.feed.Lock()
	defer u.feed.Unlock()
	return x.apply(u, r, batch, at)
}

// Resync replays all events that the engine still holds. A replay that reaches
// the point up to which events were applied ends in the right state for every
// block it names; entries from before a gap that it does not name keep their lower confidence.
func (x *Index) Resync(id radishcrank.UpstreamID, batch radishcrank.CacheEventBatch, at time.Time) EventProgress {
	u, r := x.feed(id, batch.Incarnation)
	if u == nil {
		return EventProgress{NextSeq: x.NextSeq(id)}
	}
	u.feed.Lock()
	defer u.feed.Unlock()
	if reaches(batch, u.next.Load()) {
		u.next.Store(batch.First)
	}
	return x.apply(u, r, batch, at)
}

// reaches reports whether a batch has every event from its first to before next.
func reaches(batch radishcrank.CacheEventBatch, next uint64) bool {
	if batch.First >= next {
		return false
	}
	want := batch.First
	for _, e := range sorted(batch.Events) {
		if e.Seq == want {
			want++
		}
	}
	return want >= next
}

// sorted returns the events by rising sequence number.
func sorted(events []radishcrank.CacheEvent) []radishcrank.CacheEvent {
	order := func(a, b radishcrank.CacheEvent) int { return cmp.Compare(a.Seq, b.Seq) }
	if slices.IsSortedFunc(events, order) {
		return events
	}
	events = slices.Clone(events)
	slices.SortStableFunc(events, order)
	return events
}

// feed returns the upstream that a batch belongs to, or nil for an old
// incarnation. A batch may tell of a new incarnation before the load report does.
func (x *Index) feed(id radishcrank.UpstreamID, incarnation radishcrank.Incarnation) (*upstream, ref) {
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
		u = g.renew(u, incarnation)
	}
	if u == nil {
		return nil, 0
	}
	return u, u.ref
}

func (x *Index) apply(u *upstream, r ref, batch radishcrank.CacheEventBatch, at time.Time) EventProgress {
	now := x.tick(at)
	next, lost := u.next.Load(), uint64(0)
	if batch.First > next {
		lost = batch.First - next
		next = batch.First
	}
	for _, e := range sorted(batch.Events) {
		late := e.Seq < next
		if e.Seq > next {
			lost += e.Seq - next
		}
		next = max(next, e.Seq+1)
		seen := now
		if lost > 0 {
			seen++ // Tells the entry from those that the gap made doubtful.
		}
		u.learnMean(len(e.Blocks))
		r = x.applyEvent(u, r, e, late, seen)
	}
	if lost > 0 {
		u.addGap(now, lost)
	}
	u.next.Store(next)
	u.synced.Store(now)
	return EventProgress{NextSeq: next, Gap: lost > 0}
}

// applyEvent applies one event and returns the generation that later ones belong to.
func (x *Index) applyEvent(u *upstream, r ref, e radishcrank.CacheEvent, late bool, seen uint32) ref {
	if e.Kind == radishcrank.CacheCleared {
		return x.clear(u, r)
	}
	x.registry.mu.RLock()
	defer x.registry.mu.RUnlock()
	worth := x.worth()
	for i := range e.Blocks {
		b := &e.Blocks[i]
		switch {
		case e.Kind == radishcrank.CacheEvicted:
			x.shard(b).drop(b, u.index)
		case e.Kind == radishcrank.CacheStored && !late:
			x.shard(b).put(slot{block: *b, ref: r, seen: seen, depth: unknownDepth, trust: 255}, worth)
		}
	}
	return r
}

// clear voids all entries of an upstream that lives on, without a sweep while
// its generations last.
func (x *Index) clear(u *upstream, r ref) ref {
	x.registry.mu.Lock()
	defer x.registry.mu.Unlock()
	if u.ref != r {
		return r // Void already.
	}
	generation := uint32(r) >> indexBits
	if generation < maxGeneration {
		u.ref = newRef(u.index, generation+1)
		return u.ref
	}
	for i := range x.shards {
		x.shards[i].dropIf(func(s *slot) bool { return s.ref.index() == u.index })
	}
	return r
}

// worth returns the order of eviction: void entries first, then deep, cold and
// doubtful ones. A lost block makes all blocks below it useless, so a shallow
// one is worth more. The registry must be locked while the function is used.
func (x *Index) worth() func(*slot) float64 {
	now := x.tick(time.Now())
	return func(s *slot) float64 {
		u := x.registry.live(s.ref)
		if u == nil {
			return -1
		}
		const assumedDepth = 8 // Of entries that only events named.
		depth := float64(s.depth)
		if s.depth == unknownDepth {
			depth = assumedDepth
		}
		age := 0.0
		if now > s.seen {
			age = float64(now-s.seen) * tickLength.Seconds()
		}
		return u.confidence(s, now) / (1 + age) / (1 + depth)
	}
}
