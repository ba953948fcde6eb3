package rcmemory

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func open(t *testing.T, b *Budget, owner string, held int64, state State, at time.Time) *Holder {
	h, evicted := b.Open(owner, at)
	require.NotNil(t, h)
	require.Empty(t, evicted)
	h.SetState(state, at)
	ok, evicted := h.Reserve(held, at)
	require.True(t, ok)
	require.Empty(t, evicted)
	return h
}

func owners(holders []*Holder) (names []string) {
	for _, h := range holders {
		names = append(names, h.Owner.(string))
	}
	return names
}

// TestOrderOfEviction guards against the eviction of connections that make progress, whose
// requests have been forwarded or that hold little, before those that hold most for longest.
func TestOrderOfEviction(t *testing.T) {
	b := New(Config{Limit: 10 << 20})
	open(t, b, "forwarded", 2<<20, Forwarding, start)
	open(t, b, "little", 10, Receiving, start)
	open(t, b, "much", 2<<20, Receiving, start)
	open(t, b, "much for long", 2<<20, Receiving, start.Add(-time.Second))
	steady := open(t, b, "steady", 1<<20, Receiving, start)
	dripping := open(t, b, "dripping", 256<<10, Receiving, start)
	now := start.Add(minStall)
	steady.Received(progressBytes, now)
	dripping.Received(1, now)
	h := open(t, b, "new", 0, Receiving, now)
	ok, evicted := h.Reserve(1<<20, now)
	require.True(t, ok)
	require.Equal(t, []string{"much for long"}, owners(evicted))
	ok, evicted = h.Reserve(4<<20, now)
	require.False(t, ok, "what may not be evicted is in the way")
	require.Equal(t, []string{"much", "dripping", "little"}, owners(evicted))
	ok, _ = evicted[0].Reserve(1, now)
	require.False(t, ok, "an evicted connection must not hold anything")
	steady.Close()
	h.Close()
	used, n := b.Used()
	require.EqualValues(t, 2<<20, used)
	require.Equal(t, 1, n)
}

// TestSmallRequestsFindRoom guards against large bodies that leave no room for ordinary
// requests, and against responses that are lost because requests hold all memory.
func TestSmallRequestsFindRoom(t *testing.T) {
	b := New(Config{Limit: 8 << 20})
	for n := range 20 {
		h, _ := b.Open(fmt.Sprint(n), start)
		h.SetState(Receiving, start)
		h.Reserve(1<<20, start)
	}
	h := open(t, b, "ordinary", 64<<10, Receiving, start)
	ok, _ := h.Reserve(1<<20, start)
	require.False(t, ok)
	h.SetState(Forwarding, start)
	ok, _ = h.Reserve(1<<20, start)
	require.True(t, ok)
}

// TestConnections guards against connections without a request that keep others out.
func TestConnections(t *testing.T) {
	b := New(Config{MaxConnections: 2})
	open(t, b, "idle", 0, Idle, start)
	open(t, b, "unused", 0, Unused, start)
	h, _ := b.Open("early", start)
	require.Nil(t, h)
	h, evicted := b.Open("later", start.Add(minUnusedStall))
	require.NotNil(t, h)
	require.Equal(t, []string{"unused"}, owners(evicted))
}

// BenchmarkRequest measures the decisions of one request of 16 reads while each of them
// exceeds the budget and 2,000 connections stall.
func BenchmarkRequest(b *testing.B) {
	budget := New(Config{Limit: 40 << 20, ConnBytes: 20 << 10})
	now := start
	for range 2000 {
		budget.Open(nil, now)
	}
	h, _ := budget.Open(nil, now)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		h.Received(1<<10, now)
		h.Reserve(4<<10, now)
		h.SetState(Forwarding, now)
		h.SetState(Idle, now)
		if _, n := budget.Used(); n < 2000 {
			budget.Open(nil, now)
		}
	}
}

// TestBoundRequest guards against decisions that cost more than 1 us a request.
func TestBoundRequest(t *testing.T) {
	if os.Getenv("RADISHCRANK_BOUNDS") != "1" {
		t.Skip("RADISHCRANK_BOUNDS is not 1")
	}
	r := testing.Benchmark(BenchmarkRequest)
	t.Logf("%d ns a request", r.NsPerOp())
	require.LessOrEqual(t, r.NsPerOp(), int64(1000))
}
