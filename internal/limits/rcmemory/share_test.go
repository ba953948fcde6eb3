package rcmemory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShare guards against memory of no connection that is not counted, that uses up what is
// kept for small requests, that is refused although stalled connections hold memory, and
// against messages that are refused.
func TestShare(t *testing.T) {
	b := New(Config{Limit: 8 << 20})
	s := b.Share()
	ok, _ := s.Reserve(5<<20, start)
	require.True(t, ok)
	stalled := open(t, b, "stalled", 1<<20, Receiving, start)
	ok, evicted := s.Reserve(1<<20, start.Add(time.Second))
	require.False(t, ok)
	require.Empty(t, evicted)
	ok, evicted = s.Reserve(1<<20, start.Add(3*time.Second))
	require.True(t, ok)
	require.Equal(t, []string{"stalled"}, owners(evicted))
	stalled.Close()
	open(t, b, "small", SmallBytes, Receiving, start.Add(3*time.Second))
	require.Empty(t, s.Take(4<<20, start.Add(3*time.Second)))
	h, _ := b.Open("late", start.Add(4*time.Second))
	require.Nil(t, h, "the messages are not counted")
	require.Equal(t, []string{"small"}, owners(s.Take(1, start.Add(9*time.Second))))
	s.Return(10<<20 + 1)
	used, _ := b.Used()
	require.Zero(t, used)
}
