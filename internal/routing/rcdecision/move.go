package rcdecision

import (
	"cmp"
	"slices"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcplacement"
)

const (
	// recentChains dispatches are remembered to tell what is hot on an engine
	// that leaves. With at most recentBlocks hashes of each they take 2 MiB.
	recentChains = 1024
	recentBlocks = 128

	// A block is hot if at least minHotUses of the remembered dispatches need it.
	minHotUses = 2
)

// recent is a dispatch that is remembered.
type recent struct {
	upstream radishcrank.UpstreamID
	scope    radishcrank.CacheScope
	chain    []radishcrank.BlockHash
}

// PrefixMigration is a hot prefix of a leaving engine and the engine that gets its load.
type PrefixMigration struct {
	Destination radishcrank.Upstream
	Scope       radishcrank.CacheScope
	Chain       []radishcrank.BlockHash
}

// remember notes a dispatch. c.mu must be locked.
func (c *Chooser) remember(r recent) {
	r.chain = slices.Clone(r.chain[:min(len(r.chain), recentBlocks)])
	if len(c.recent) < recentChains {
		c.recent = append(c.recent, r)
		return
	}
	c.recent[c.dispatches%recentChains] = r
	c.dispatches++
}

// RemoveAccount drops what the chooser and its index know of a client account that has left.
func (c *Chooser) RemoveAccount(account radishcrank.ClientAccountID) {
	c.cfg.Index.RemoveAccount(account)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent = slices.DeleteFunc(c.recent, func(r recent) bool { return r.scope.Account == account })
}

// PlanMigrations returns the hot prefixes of an engine and where their load goes without
// it, the most used first, with at most maxBlocks blocks in all.
func (c *Chooser) PlanMigrations(leaving radishcrank.UpstreamID, maxBlocks int) []PrefixMigration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	uses := make(map[radishcrank.BlockHash]int)
	last := make(map[radishcrank.BlockHash]recent)
	for _, r := range c.recent {
		if r.upstream != leaving {
			continue
		}
		for _, b := range r.chain {
			uses[b]++
		}
	}
	for _, r := range c.recent {
		if r.upstream != leaving {
			continue
		}
		if r.chain = hotPart(r.chain, uses); len(r.chain) > 0 {
			last[r.chain[len(r.chain)-1]] = r
		}
	}
	prefixes := make([]recent, 0, len(last))
	for _, r := range last {
		prefixes = append(prefixes, r)
	}
	slices.SortFunc(prefixes, func(a, b recent) int {
		x, y := a.chain[len(a.chain)-1], b.chain[len(b.chain)-1]
		return cmp.Or(cmp.Compare(uses[y], uses[x]), slices.Compare(x[:], y[:]))
	})
	return c.destinations(leaving, prefixes, maxBlocks)
}

// hotPart returns the leading blocks that are used often. Uses never rise along
// a chain.
func hotPart(chain []radishcrank.BlockHash, uses map[radishcrank.BlockHash]int) []radishcrank.BlockHash {
	n := 0
	for n < len(chain) && uses[chain[n]] >= minHotUses {
		n++
	}
	return chain[:n]
}

func (c *Chooser) destinations(leaving radishcrank.UpstreamID, prefixes []recent, maxBlocks int) []PrefixMigration {
	var moves []PrefixMigration
	seen := make(map[radishcrank.BlockHash]bool)
	for _, r := range prefixes {
		for _, b := range r.chain {
			seen[b] = true
		}
		if len(seen) > maxBlocks {
			break
		}
		var engines []rcplacement.Engine
		var rows []radishcrank.Upstream
		for _, m := range c.membersOf(r.scope.Model) {
			if m.id != leaving && m.weights == r.scope.Weights {
				engines = append(engines, rcplacement.Engine{Key: m.key, Load: float64(m.occupied()), MaxBatch: float64(m.row.Load.MaxBatch)})
				rows = append(rows, m.row)
			}
		}
		for _, i := range c.cfg.Placement.Place(r.chain, engines, nil, 0, rcplacement.Placement{}).Replicas {
			moves = append(moves, PrefixMigration{Destination: rows[i], Scope: r.scope, Chain: r.chain})
		}
	}
	return moves
}
