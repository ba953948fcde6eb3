package rcdecision

import (
	"cmp"
	"slices"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcplacement"
)

const (
	// maxRecentDispatches is the number of dispatches that are kept to find the hot
	// prefixes of an engine that leaves. With at most maxRecentBlocks hashes each they
	// take 2 MiB.
	maxRecentDispatches = 1024
	maxRecentBlocks     = 128

	// minHotUses is the number of recent dispatches that must use a block for it to
	// count as hot.
	minHotUses = 2
)

// recentDispatch is an entry of Chooser.recentDispatches.
type recentDispatch struct {
	upstream radishcrank.UpstreamID
	scope    radishcrank.CacheScope
	chain    []radishcrank.BlockHash
}

// PrefixMigration is a hot prefix of a leaving engine with the engine that will
// get the requests for it.
type PrefixMigration struct {
	Destination radishcrank.Upstream
	Scope       radishcrank.CacheScope
	Chain       []radishcrank.BlockHash
}

// recordDispatch adds a dispatch to the ring buffer. c.mu must be locked.
func (c *Chooser) recordDispatch(r recentDispatch) {
	r.chain = slices.Clone(r.chain[:min(len(r.chain), maxRecentBlocks)])
	if len(c.recentDispatches) < maxRecentDispatches {
		c.recentDispatches = append(c.recentDispatches, r)
		return
	}
	c.recentDispatches[c.recentReplaced%maxRecentDispatches] = r
	c.recentReplaced++
}

// RemoveAccount removes the state of a client account from the chooser and its
// index.
func (c *Chooser) RemoveAccount(account radishcrank.ClientAccountID) {
	c.cfg.Index.RemoveAccount(account)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recentDispatches = slices.DeleteFunc(c.recentDispatches, func(r recentDispatch) bool { return r.scope.Account == account })
}

// PlanMigrations returns the hot prefixes of an engine and the engines that will
// get the requests for them once it has left, the most used prefix first, with at
// most maxBlocks blocks in total.
func (c *Chooser) PlanMigrations(leaving radishcrank.UpstreamID, maxBlocks int) []PrefixMigration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	uses := make(map[radishcrank.BlockHash]int)
	last := make(map[radishcrank.BlockHash]recentDispatch)
	for _, r := range c.recentDispatches {
		if r.upstream != leaving {
			continue
		}
		for _, b := range r.chain {
			uses[b]++
		}
	}
	for _, r := range c.recentDispatches {
		if r.upstream != leaving {
			continue
		}
		if r.chain = hotPrefix(r.chain, uses); len(r.chain) > 0 {
			last[r.chain[len(r.chain)-1]] = r
		}
	}
	prefixes := make([]recentDispatch, 0, len(last))
	for _, r := range last {
		prefixes = append(prefixes, r)
	}
	slices.SortFunc(prefixes, func(a, b recentDispatch) int {
		x, y := a.chain[len(a.chain)-1], b.chain[len(b.chain)-1]
		return cmp.Or(cmp.Compare(uses[y], uses[x]), slices.Compare(x[:], y[:]))
	})
	return c.assignDestinations(leaving, prefixes, maxBlocks)
}

// hotPrefix returns the leading hot blocks of a chain. Uses never increase along a
// chain.
func hotPrefix(chain []radishcrank.BlockHash, uses map[radishcrank.BlockHash]int) []radishcrank.BlockHash {
	n := 0
	for n < len(chain) && uses[chain[n]] >= minHotUses {
		n++
	}
	return chain[:n]
}

func (c *Chooser) assignDestinations(leaving radishcrank.UpstreamID, prefixes []recentDispatch, maxBlocks int) []PrefixMigration {
	var migrations []PrefixMigration
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
		for _, e := range c.enginesServing(r.scope.Model) {
			if e.id != leaving && e.weights == r.scope.Weights {
				engines = append(engines, rcplacement.Engine{Key: e.key, Load: float64(e.outstanding()), MaxBatch: float64(e.row.Load.MaxBatch)})
				rows = append(rows, e.row)
			}
		}
		for _, i := range c.cfg.Placement.Place(r.chain, engines, nil, 0, rcplacement.Placement{}).Replicas {
			migrations = append(migrations, PrefixMigration{Destination: rows[i], Scope: r.scope, Chain: r.chain})
		}
	}
	return migrations
}
