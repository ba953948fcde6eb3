// Package rcindex holds a bounded index from prompt blocks to the upstreams
// that probably cache them. It is fed by the instance's own dispatches and by
// cache events. An entry belongs to one incarnation and one set of weights of
// its upstream; lookups compare both, so a restart voids all entries at once.
//
// The index has its own locks. They rank after Suspects and before Streams in
// the lock order of rcboard; inside the index the registry is locked before a
// shard. No lock is held over I/O.
package rcindex

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
)

const (
	// EntryBytes is the memory of one entry: a slot of 36 bytes and a bucket of 4.
	EntryBytes = slotBytes + bucketBytes

	// DefaultMaxBytes holds 1.6 million entries. An instance observes about
	// 30 engines of 36,364 blocks at the target size (two observers for each
	// engine), which is 1.1 million entries.
	DefaultMaxBytes = 64 << 20

	shardBits = 6
	shards    = 1 << shardBits

	// tickLength is the resolution of stored times. 32 bits of it span 13 years.
	tickLength = 100 * time.Millisecond

	// restoreWindow is how far before the start of the index the times of
	// restored entries can lie; older times count as this old.
	restoreWindow = time.Hour

	unknownDepth = 1<<16 - 1
)

// Config holds the parameters of an Index.
type Config struct {
	// MaxBytes bounds the entries' memory; 0 means DefaultMaxBytes. A megabyte
	// (2^20 bytes) holds 26,214 entries.
	MaxBytes int
}

// Index is the prefix index of one instance.
type Index struct {
	start    time.Time // Tick 0.
	capacity int       // Slots in one shard.
	registry registry
	shards   [shards]shard
}

// New returns an empty index.
func New(cfg Config) *Index {
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	capacity := max(1, cfg.MaxBytes/shards/EntryBytes)
	x := &Index{start: time.Now().Add(-restoreWindow), capacity: capacity}
	x.registry.byID = make(map[radishcrank.UpstreamID]*upstream)
	for i := range x.shards {
		x.shards[i].init(capacity, uint64(i))
	}
	return x
}

// Len returns the number of entries, void ones included.
func (x *Index) Len() int {
	n := 0
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		n += s.used
		s.mu.Unlock()
	}
	return n
}

// Capacity returns the most entries that the index holds.
func (x *Index) Capacity() int { return x.capacity * shards }

// Bytes returns the memory of all slots and buckets, used or not.
func (x *Index) Bytes() int {
	n := 0
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		n += cap(s.slots)*slotBytes + cap(s.buckets)*bucketBytes
		s.mu.Unlock()
	}
	return n
}

func (x *Index) tick(t time.Time) uint32 {
	return uint32(max(0, t.Sub(x.start)/tickLength))
}

func (x *Index) time(tick uint32) time.Time {
	return x.start.Add(time.Duration(tick) * tickLength)
}

func (x *Index) shard(h *radishcrank.BlockHash) *shard {
	return &x.shards[h[15]>>(8-shardBits)]
}

// AccountTag shortens an account to 32 bits. Tags only group entries for
// Forget; that blocks of two accounts never match is ensured by their hashes.
// 0 stands for an account that is not known.
func AccountTag(account radishcrank.ClientAccountID) uint32 {
	return max(1, uint32(xxhash.Sum64String(string(account))))
}
