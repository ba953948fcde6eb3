package rcboard

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against deadlocks: Lock must panic for a table of lower rank.
func TestTxRejectsDescendingRank(t *testing.T) {
	low := NewTable[string, int]("Low", 1)
	high := NewTable[string, int]("High", 2)

	tx := &Tx{}
	low.Lock(tx)["a"] = 1
	high.Lock(tx)["b"] = 2
	tx.End()

	tx = &Tx{}
	defer tx.End()
	high.Lock(tx)
	require.Panics(t, func() { low.Lock(tx) })
}

// Guards against two tables of the board with the same rank, which could not be
// locked together.
func TestBoardRanksDiffer(t *testing.T) {
	b := New()
	ranks := []Rank{b.Instances.Rank(), b.Upstreams.Rank(), b.Accounts.Rank(), b.Breakers.Rank(), b.Suspects.Rank(), b.Streams.Rank()}
	seen := make(map[Rank]bool)
	for _, r := range ranks {
		require.False(t, seen[r], "rank %d", r)
		seen[r] = true
	}
}
