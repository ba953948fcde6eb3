package rcdecision

import (
	"cmp"
	"maps"
	"slices"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcplacement"
)

// member is an engine that serves a model.
type member struct {
	*engine
	weights radishcrank.WeightsVersion
}

// refresh takes over what has changed on the board since the last decision.
// Reading the changes rather than the table keeps a decision among 500 engines
// in its bound.
func (c *Chooser) refresh() {
	c.version = c.cfg.Board.Upstreams.ChangesSince(c.version, c.reset, c.setRow)
	if c.instances.refresh(c.cfg.Board) || len(c.members) == 0 {
		c.instances.count(c.engines)
	}
	c.prune()
}

func (c *Chooser) reset() {
	clear(c.members)
	for _, e := range c.engines {
		e.present = false
	}
}

func (c *Chooser) setRow(id radishcrank.UpstreamID, row radishcrank.Upstream, ok bool) {
	e := c.engines[id]
	if e == nil {
		e = &engine{id: id, key: rcplacement.EngineKey(id), round: c.round}
		c.engines[id] = e
	}
	if e.setRow(row, ok) {
		clear(c.members)
	}
	if ok && row.Role == radishcrank.RoleEngine {
		c.cfg.Index.SetUpstream(row)
	}
}

// membersOf returns the engines that serve a model and are not leaving.
func (c *Chooser) membersOf(model radishcrank.ModelID) []member {
	if members, ok := c.members[model]; ok {
		return members
	}
	var members []member
	for _, id := range slices.SortedFunc(maps.Keys(c.engines), cmp.Compare) {
		e := c.engines[id]
		weights, serves := e.row.Load.Weights[model]
		if e.present && serves && e.accepts() {
			members = append(members, member{engine: e, weights: weights})
		}
	}
	// Models come from callers, so the map is bounded.
	const maxModels = 1024
	if len(c.members) < maxModels {
		c.members[model] = members
	}
	return members
}

// accepts reports whether the engine takes new requests.
func (e *engine) accepts() bool {
	return e.row.Role == radishcrank.RoleEngine && !e.row.Leaving && e.row.Load.Role != radishcrank.RoleStandby
}

// prune forgets engines that left the board long ago.
func (c *Chooser) prune() {
	const rounds = 1 << 14 // An engine that comes back soon finds its entries again.
	if c.round%rounds != 0 {
		return
	}
	for id, e := range c.engines {
		if !e.present && len(e.running) == 0 && c.round-e.round >= rounds {
			delete(c.engines, id)
			c.cfg.Index.RemoveUpstream(id)
		}
	}
}
