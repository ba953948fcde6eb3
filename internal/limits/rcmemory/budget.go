// Package rcmemory divides the memory of an instance among the connections of its clients.
// It addresses crowds of clients that send as much as they may and then stall: each
// connection reserves memory before its head, its body or its response is kept, and where
// the memory is short, those that hold most for longest without progress are evicted. It
// does no I/O; its callers close the connections that it names.
package rcmemory

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// SmallBytes is what a connection may hold at most while it counts as one with an
	// ordinary request. Bodies of ordinary requests have up to 55 KB.
	SmallBytes = 160 << 10
	// smallReserve is the part of the budget, as a divisor, that only small requests and
	// responses may use, so that large bodies leave room for them.
	smallReserve = 4
	// spareAfterEviction is the part of the budget, as a divisor, that an eviction frees
	// beyond what is needed, so that not each request of a crowd causes one.
	spareAfterEviction = 16
	// minStall is the shortest time without progress after which a connection may be
	// evicted. It exceeds the pauses of sound clients and of an instance that gets no
	// core for a while.
	minStall = 2 * time.Second
	// minUnusedStall is the same for a connection that has not sent the first byte of a
	// request, where another one would find no place.
	minUnusedStall = 250 * time.Millisecond
	// progressBytes is how much has to arrive until that counts as progress. Clients that
	// send single bytes make none.
	progressBytes = 4 << 10
)

// State tells what a connection does.
type State int

// States of a connection.
const (
	Unused     State = iota // Nothing has arrived on it.
	Idle                    // It is between two requests.
	Receiving               // A head or a body arrives.
	Forwarding              // A request has been accepted; it is not evicted.
	Sending                 // A write waits for the client.
)

// Config configures a Budget.
type Config struct {
	Limit          int64 // In bytes; 0 means no limit.
	MaxConnections int   // 0 means no limit.
	ConnBytes      int64 // What each connection holds by itself.
}

// Budget is the memory that connections share. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu      sync.Mutex
	used    int64
	holders []*Holder
}

// New returns a Budget.
func New(cfg Config) *Budget { return &Budget{cfg: cfg} }

// Used returns how much is reserved, and by how many connections.
func (b *Budget) Used() (bytes int64, connections int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, len(b.holders)
}

// Holder is the share of one connection.
type Holder struct {
	// Owner is the connection. The budget only hands it back.
	Owner any

	budget   *Budget
	index    int // In Budget.holders; -1 after its release or eviction.
	held     int64
	state    State
	since    time.Time // Time of the last progress.
	received int       // Bytes since then.
}

// Open admits a connection. The caller closes the owners of what was evicted for it. The
// result is nil if there is no place.
func (b *Budget) Open(owner any, now time.Time) (h *Holder, evicted []*Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cfg.MaxConnections > 0 && len(b.holders) >= b.cfg.MaxConnections {
		if evicted = b.evictLocked(nil, 0, 1+b.cfg.MaxConnections/spareAfterEviction, now); len(evicted) == 0 {
			return nil, nil
		}
	}
	h = &Holder{Owner: owner, budget: b, index: len(b.holders), since: now}
	b.holders = append(b.holders, h)
	ok, more := h.reserveLocked(b.cfg.ConnBytes, now)
	evicted = append(evicted, more...)
	if !ok {
		b.removeLocked(h)
		return nil, evicted
	}
	return h, evicted
}

// Reserve reserves n more bytes. The caller closes the owners of what was evicted for them.
func (h *Holder) Reserve(n int64, now time.Time) (ok bool, evicted []*Holder) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.reserveLocked(n, now)
}

func (h *Holder) reserveLocked(n int64, now time.Time) (ok bool, evicted []*Holder) {
	b := h.budget
	if h.index < 0 {
		return false, nil
	}
	if limit := b.limitLocked(h, n); limit > 0 && b.used+n > limit {
		evicted = b.evictLocked(h, b.used+n-limit, 0, now)
		if b.used+n > limit {
			return false, evicted
		}
	}
	h.held += n
	b.used += n
	return true, evicted
}

// limitLocked returns up to where h may fill the budget with n more bytes; 0 means no limit.
// Responses may fill it, because a request that has run is lost without them.
func (b *Budget) limitLocked(h *Holder, n int64) int64 {
	if h.held+n <= SmallBytes || h.state == Forwarding || h.state == Sending {
		return b.cfg.Limit
	}
	return b.cfg.Limit - b.cfg.Limit/smallReserve
}

// evictLocked takes the memory of stalled connections back, first of those that hold most
// for longest, until so many bytes and connections and some spare ones are free.
func (b *Budget) evictLocked(except *Holder, bytes int64, connections int, now time.Time) (evicted []*Holder) {
	type candidate struct {
		h     *Holder
		score float64
	}
	var stalled []candidate
	for _, h := range b.holders {
		stall, least := now.Sub(h.since), minStall
		if h.state == Unused && connections > 0 {
			least = minUnusedStall
		}
		if h == except || h.state == Forwarding || stall < least {
			continue
		}
		stalled = append(stalled, candidate{h, float64(h.held) * stall.Seconds()})
	}
	slices.SortFunc(stalled, func(a, c candidate) int { return cmp.Compare(c.score, a.score) })
	if bytes > 0 {
		bytes += b.cfg.Limit / spareAfterEviction
	}
	for _, c := range stalled {
		if bytes <= 0 && len(evicted) >= connections {
			break
		}
		bytes -= c.h.held
		b.removeLocked(c.h)
		evicted = append(evicted, c.h)
	}
	return evicted
}

func (b *Budget) removeLocked(h *Holder) {
	if h.index < 0 {
		return
	}
	last := len(b.holders) - 1
	b.holders[h.index] = b.holders[last]
	b.holders[h.index].index = h.index
	b.holders[last] = nil
	b.holders = b.holders[:last]
	b.used -= h.held
	h.index, h.held = -1, 0
}

// Return gives n bytes back.
func (h *Holder) Return(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.index >= 0 {
		h.held -= n
		h.budget.used -= n
	}
}

// SetState records what the connection does from now on, which is progress.
func (h *Holder) SetState(s State, now time.Time) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.state, h.since, h.received = s, now, 0
	if s == Idle && h.index >= 0 {
		h.budget.used -= h.held - h.budget.cfg.ConnBytes
		h.held = h.budget.cfg.ConnBytes
	}
}

// Received records that n bytes have arrived.
func (h *Holder) Received(n int, now time.Time) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.state == Unused || h.state == Idle {
		h.state, h.since = Receiving, now
	}
	if h.received += n; h.received >= progressBytes {
		h.received, h.since = 0, now
	}
}

// Close gives everything back.
func (h *Holder) Close() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.removeLocked(h)
}

// Reserver reserves memory for one request.
type Reserver interface {
	// Reserve reserves n more bytes until the end of the request, if they are free.
	Reserve(n int64) bool
	// Return gives some of them back early.
	Return(n int64)
	// Accept records that the request has arrived as a whole. Its connection is not closed
	// for lack of memory from now on, unless its client does not read.
	Accept()
}

type reserverKey struct{}

// WithReserver returns a context with the Reserver of a request.
func WithReserver(ctx context.Context, r Reserver) context.Context {
	return context.WithValue(ctx, reserverKey{}, r)
}

// ReserverFrom returns the Reserver of a request. Without one, memory has no limit.
func ReserverFrom(ctx context.Context) Reserver {
	if r, ok := ctx.Value(reserverKey{}).(Reserver); ok {
		return r
	}
	return unlimited{}
}

type unlimited struct{}

func (unlimited) Reserve(int64) bool { return true }
func (unlimited) Return(int64)       {}
func (unlimited) Accept()            {}
