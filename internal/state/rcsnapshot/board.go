package rcsnapshot

import (
	"cmp"
	"maps"
	"slices"

	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// FromBoard returns the part of the content that stands on the board.
func FromBoard(b *rcboard.Board) Content {
	var c Content
	suspects := b.Suspects.Snapshot()
	for _, key := range sortedKeys(suspects) {
		s := suspects[key]
		c.Suspects = append(c.Suspects, Suspect{Key: key, Crashes: s.Crashes, Verdict: s.Verdict, LastCrash: s.LastCrash})
	}
	breakers := b.Breakers.Snapshot()
	for _, id := range sortedKeys(breakers) {
		s := breakers[id]
		c.Breakers = append(c.Breakers, Breaker{Upstream: id, State: s.State, Failures: s.Failures, ChangedAt: s.ChangedAt})
	}
	accounts := b.Accounts.Snapshot()
	for _, id := range sortedKeys(accounts) {
		// Idle accounts would fill the snapshot with nothing.
		if rate := accounts[id].TokensPerSecond; rate > 0 {
			c.Usage = append(c.Usage, Usage{Account: id, TokensPerSecond: rate})
		}
	}
	return c
}

// ToBoard fills in rows that the board does not have yet. What the instance has
// seen itself since it started is newer.
func ToBoard(b *rcboard.Board, c Content) {
	for _, s := range c.Suspects {
		fill(b.Suspects, s.Key, rcboard.Suspect{Crashes: s.Crashes, Verdict: s.Verdict, LastCrash: s.LastCrash})
	}
	for _, s := range c.Breakers {
		fill(b.Breakers, s.Upstream, rcboard.Breaker{State: s.State, Failures: s.Failures, ChangedAt: s.ChangedAt})
	}
	for _, s := range c.Usage {
		fill(b.Accounts, s.Account, rcboard.AccountUsage{TokensPerSecond: s.TokensPerSecond})
	}
}

func fill[K cmp.Ordered, V any](t *rcboard.Table[K, V], key K, row V) {
	t.Update(key, func(known V, ok bool) (V, bool) {
		if ok {
			return known, true
		}
		return row, true
	})
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
