// Package rcindex implements an index of bounded size from prompt blocks to the
// upstreams that probably cache them. Its sources are the instance's own requests
// and the cache events of engines. An entry belongs to one incarnation and one set
// of weights of its upstream; lookups compare both, so a restart invalidates all
// entries at once.
//
// The index has its own locks. They rank after Suspects and before Streams in
// the lock order of rcboard; inside the index the registry is locked before a
// shard. No lock is held during I/O.
package rcindex

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
)

const (
	// EntryBytes is the memory that one entry takes: a slot of 36 bytes and a bucket
	// of 4 bytes.
	EntryBytes = slotBytes + bucketBytes

	// DefaultMaxBytes is enough for 1.6 million entries. At the target size an
	// instance reads the events of about 30 engines of 36,364 blocks (each engine
	// has two observers), which takes 1.1 million entries.
	DefaultMaxBytes = 64 << 20

	shardBits  = 6
	shardCount = 1 << shardBits

	// tickLength is the resolution of stored times. A 32-bit tick counter spans 13
	// years.
	tickLength = 100 * time.Millisecond

	// restoreWindow is the maximum age of restored entries when the index is
	// created; the times of older entries are set to it.
	restoreWindow = time.Hour

	unknownDepth = 1<<16 - 1
)

// Config holds the parameters of an Index.
type Config struct {
	// MaxBytes limits the memory of the entries; 0 means DefaultMaxBytes. 1 MiB
	// holds 26,214 entries.
	MaxBytes int
}

// Index is the prefix index of one router instance.
type Index struct {
	start    time.Time // Time of tick 0.
	capacity int       // Slots in one shard.
	registry registry
	shards   [shardCount]shard
}

// New returns an empty index.
func New(cfg Config) *Index {
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	capacity := max(1, cfg.MaxBytes/shardCount/EntryBytes)
	x := &Index{start: time.Now().Add(-restoreWindow), capacity: capacity}
	x.registry.byID = make(map[radishcrank.UpstreamID]*upstream)
	for i := range x.shards {
		x.shards[i].init(capacity, uint64(i))
	}
	return x
}

// Len returns the number of entries, including invalid ones.
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

// Capacity returns the maximum number of entries.
func (x *Index) Capacity() int { return x.capacity * shardCount }

// Bytes returns the memory allocated for slots and buckets.
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

// AccountTag returns a 32-bit hash of a client account. Tags only serve to find
// the entries of an account for RemoveAccount; block hashes already ensure that
// blocks of different accounts never match. 0 stands for an unknown account.
func AccountTag(account radishcrank.ClientAccountID) uint32 {
	return max(1, uint32(xxhash.Sum64String(string(account))))
}
