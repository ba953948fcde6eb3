package rcdecision

import (
	"cmp"
	"maps"
	"slices"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcplacement"
)

// servingEngine is an engine that serves a model.
type servingEngine struct {
	*engine
	weights radishcrank.WeightsVersion
}

// refresh applies the changes of the board since the last decision. Reading only
// the changes instead of the whole table keeps a decision among 500 engines within
// its time limit.
func (c *Chooser) refresh() {
	c.upstreamsVersion = c.cfg.Board.Upstreams.ChangesSince(c.upstreamsVersion, c.reset, c.setRow)
	if c.instances.refresh(c.cfg.Board) || len(c.servingByModel) == 0 {
		c.instances.recount(c.engines)
	}
	c.prune()
}

func (c *Chooser) reset() {
	clear(c.servingByModel)
	for _, e := range c.engines {
		e.present = false
	}
}

func (c *Chooser) setRow(id radishcrank.UpstreamID, row radishcrank.Upstream, ok bool) {
	e := c.engines[id]
	if e == nil {
		e = &engine{id: id, key: rcplacement.EngineKey(id), lastScan: c.scanCount}
		c.engines[id] = e
	}
	if e.setRow(row, ok) {
		clear(c.servingByModel)
	}
	if ok && row.Role == radishcrank.RoleEngine {
		c.cfg.Index.SetUpstream(row)
	}
}

// enginesServing returns the engines that serve a model and are not leaving.
func (c *Chooser) enginesServing(model radishcrank.ModelID) []servingEngine {
	if serving, ok := c.servingByModel[model]; ok {
		return serving
	}
	var serving []servingEngine
	for _, id := range slices.SortedFunc(maps.Keys(c.engines), cmp.Compare) {
		e := c.engines[id]
		weights, serves := e.row.Load.Weights[model]
		if e.present && serves && e.acceptsRequests() {
			serving = append(serving, servingEngine{engine: e, weights: weights})
		}
	}
	// The size of the map is limited because callers choose the model names.
	const maxModels = 1024
	if len(c.servingByModel) < maxModels {
		c.servingByModel[model] = serving
	}
	return serving
}

// acceptsRequests reports whether the engine accepts new requests.
func (e *engine) acceptsRequests() bool {
	return e.row.Role == radishcrank.RoleEngine && !e.row.Leaving && e.row.Load.Role != radishcrank.RoleStandby
}

// prune removes engines that left the board long ago.
func (c *Chooser) prune() {
	const minScans = 1 << 14 // An engine that returns sooner keeps its index entries.
	if c.scanCount%minScans != 0 {
		return
	}
	for id, e := range c.engines {
		if !e.present && len(e.running) == 0 && c.scanCount-e.lastScan >= minScans {
			delete(c.engines, id)
			c.cfg.Index.RemoveUpstream(id)
		}
	}
}
