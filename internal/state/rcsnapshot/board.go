package rcsnapshot

import (
	"cmp"
	"maps"
	"slices"

	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// FromBoard returns the suspects and circuit breakers of the board. The order is
// deterministic.
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
	return c
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
