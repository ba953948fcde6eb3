package rcboard

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against deadlocks: two tables locked in falling or equal rank must not go unnoticed.
func TestTxRejectsFallingRank(t *testing.T) {
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

// Guards against two tables of the board sharing a rank, which would leave their order open.
func TestBoardRanksDiffer(t *testing.T) {
	b := New()
	ranks := []Rank{b.Instances.Rank(), b.Upstreams.Rank(), b.Accounts.Rank(), b.Breakers.Rank(), b.Suspects.Rank(), b.Streams.Rank()}
	seen := make(map[Rank]bool)
	for _, r := range ranks {
		require.False(t, seen[r], "rank %d", r)
		seen[r] = true
	}
}
