package rcdecision

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcindex"
	"github.com/radishcrank/radishcrank/internal/routing/rcplacement"
	"github.com/radishcrank/radishcrank/internal/routing/rcprefix"
)

const (
	randomCandidates = 2
	maxHolders       = 8 // Per weights version; scoring more makes a decision slow.
)

// view is an engine that can serve the request.
type view struct {
	servingEngine
	outstanding int // Estimated requests on the engine.
	admission   admission
	holderIndex int // Index in decision.holders plus 1; 0 if the index has no cached block.
}

// admission is the answer of the circuit breaker for an engine. It is cached for
// the duration of one decision.
type admission uint8

const (
	admissionUnknown admission = iota
	admissionAllowed
	admissionRefused
)

// versionChain is the prompt's block chain for one weights version.
type versionChain struct {
	weights radishcrank.WeightsVersion
	engines int
	chain   []radishcrank.BlockHash
	hashed  bool
}

// decision is the working state of one decision. Its slices are reused by the next
// one.
type decision struct {
	c                *Chooser
	req              radishcrank.Request
	now              time.Time
	seed             uint64 // Hash of request and instance.
	blockBytes       int
	weights          radishcrank.WeightsVersion // Weights version that most engines serve.
	versions         []versionChain
	views            []view
	placementEngines []rcplacement.Engine
	holders          []rcindex.Holder
	indexed          []indexedEngine
	replicaSet       rcplacement.Placement
	candidates       []candidate
	congestion       float64 // Mean backlog of the engines, in congestionUnits.
}

// decide collects the candidates for a request. c.mu must be locked until the
// decision is no longer used.
func (c *Chooser) decide(req radishcrank.Request, exclude []radishcrank.UpstreamID) *decision {
	d := &c.scratch
	*d = decision{
		c:                c,
		req:              req,
		now:              time.Now(),
		seed:             xxhash.Sum64String(string(req.ID)) ^ rcplacement.MixHash(xxhash.Sum64String(string(c.cfg.Instance))),
		blockBytes:       c.cfg.BlockBytes(),
		versions:         d.versions[:0],
		views:            d.views[:0],
		placementEngines: d.placementEngines[:0],
		holders:          d.holders[:0],
		indexed:          d.indexed[:0],
		replicaSet:       d.replicaSet,
		candidates:       d.candidates[:0],
	}
	d.scan(exclude)
	if len(d.views) == 0 {
		return d
	}
	d.setCongestion()
	d.addReplicas()
	d.addHolders()
	d.addRandom()
	if len(d.candidates) == 0 {
		d.addSlowStarting()
	}
	return d
}

// scan collects the engines that can serve the request.
func (d *decision) scan(exclude []radishcrank.UpstreamID) {
	d.c.scanCount++
	d.c.refresh()
	for _, e := range d.c.enginesServing(d.req.Model) {
		if slices.Contains(exclude, e.id) || !hasAdapter(&e.row.Load, d.req.Adapter) || !d.matchesPinnedWeights(e.weights) {
			continue
		}
		v := view{servingEngine: e, outstanding: e.outstanding()}
		e.viewIndex, e.lastScan = len(d.views), d.c.scanCount
		d.views = append(d.views, v)
		d.placementEngines = append(d.placementEngines, rcplacement.Engine{
			Key:      e.key,
			Load:     float64(v.outstanding),
			MaxBatch: float64(e.row.Load.MaxBatch),
		})
		d.countVersion(e.weights)
	}
	mostEngines := 0
	for _, v := range d.versions {
		if v.engines > mostEngines || (v.engines == mostEngines && v.weights > d.weights) {
			mostEngines, d.weights = v.engines, v.weights
		}
	}
}

// matchesPinnedWeights reports whether an engine with the given weights can serve
// the request. A resumed stream must continue on the weights that it began with.
func (d *decision) matchesPinnedWeights(weights radishcrank.WeightsVersion) bool {
	return d.req.PinnedWeights == "" || d.req.PinnedWeights == weights
}

func hasAdapter(load *radishcrank.LoadReport, adapter string) bool {
	return adapter == "" || slices.Contains(load.Adapters, adapter)
}

func (d *decision) countVersion(weights radishcrank.WeightsVersion) {
	for i := range d.versions {
		if d.versions[i].weights == weights {
			d.versions[i].engines++
			return
		}
	}
	d.versions = append(d.versions, versionChain{weights: weights, engines: 1})
}

func (d *decision) findVersion(weights radishcrank.WeightsVersion) *versionChain {
	for i := range d.versions {
		if d.versions[i].weights == weights {
			return &d.versions[i]
		}
	}
	return &versionChain{}
}

// chain returns the prompt's block chain for a weights version. It is hashed once
// per version, which is once per request except during a rolling update.
func (d *decision) chain(weights radishcrank.WeightsVersion) []radishcrank.BlockHash {
	v := d.findVersion(weights)
	if !v.hashed {
		v.chain = rcprefix.Chain(scopeOf(&d.req, weights), d.req.Prompt, d.blockBytes)
		v.hashed = true
	}
	return v.chain
}

// usable reports whether the circuit breaker admits the request to an engine. An
// engine in slow start gets the share of requests that its weight gives.
func (d *decision) usable(i int) bool {
	v := &d.views[i]
	if v.admission != admissionUnknown {
		return v.admission == admissionAllowed
	}
	v.admission = admissionAllowed
	if d.c.cfg.Breaker == nil {
		return true
	}
	weight, ok := d.c.cfg.Breaker.Allow(v.id)
	if !ok || unitInterval(d.seed^v.key) >= weight {
		v.admission = admissionRefused
	}
	return v.admission == admissionAllowed
}

// unitInterval maps a hash to [0, 1).
func unitInterval(h uint64) float64 { return float64(rcplacement.MixHash(h)>>11) / (1 << 53) }

// addReplicas adds the engines that the prompt's prefix is assigned to and their
// fallbacks.
func (d *decision) addReplicas() {
	d.replicaSet = d.c.cfg.Placement.Place(d.chain(d.weights), d.placementEngines, d.usable, d.seed, d.replicaSet)
	for _, i := range d.replicaSet.Replicas {
		if d.usable(i) {
			d.add(i, true)
		}
	}
	for _, i := range d.replicaSet.Fallbacks {
		if d.usable(i) {
			d.add(i, false)
		}
	}
}

// addHolders adds engines that cache a part of the prompt according to the index.
func (d *decision) addHolders() {
	for i := range d.versions {
		d.lookup(d.versions[i].weights)
	}
}

// lookup looks up the chain for one weights version in the index. It adds up to
// maxHolders engines, those with the longest expected prefixes. Ties are broken by
// a hash, as between candidates.
func (d *decision) lookup(weights radishcrank.WeightsVersion) {
	first := len(d.holders)
	d.holders = d.c.cfg.Index.Lookup(scopeOf(&d.req, weights), d.chain(weights), d.holders)
	d.indexed = d.indexed[:0]
	for i := first; i < len(d.holders); i++ {
		h := &d.holders[i]
		e := d.c.engines[h.Upstream]
		if e == nil || e.lastScan != d.c.scanCount {
			continue
		}
		v := &d.views[e.viewIndex]
		if v.row.Incarnation != h.Incarnation || v.weights != weights {
			continue
		}
		v.holderIndex = i + 1
		if d.findCandidate(e.viewIndex) < 0 && d.usable(e.viewIndex) {
			d.indexed = append(d.indexed, indexedEngine{expected: h.ExpectedBlocks, hash: rcplacement.MixHash(d.seed ^ v.key), viewIndex: e.viewIndex})
		}
	}
	slices.SortFunc(d.indexed, func(a, b indexedEngine) int {
		return cmp.Or(cmp.Compare(b.expected, a.expected), cmp.Compare(a.hash, b.hash))
	})
	for _, h := range d.indexed[:min(len(d.indexed), maxHolders)] {
		d.add(h.viewIndex, false)
	}
}

// indexedEngine is an engine that holds blocks according to the index, with its
// sort keys.
type indexedEngine struct {
	expected  float64
	hash      uint64
	viewIndex int
}

// addRandom adds randomCandidates engines chosen by a hash. This finds idle engines
// that come neither from the index nor from the placement.
func (d *decision) addRandom() {
	type choice struct {
		viewIndex int
		hash      uint64
	}
	var chosen [randomCandidates]choice // In ascending order of hash.
	n := 0
	for i := range d.views {
		c := choice{viewIndex: i, hash: rcplacement.MixHash(d.seed + d.views[i].key)}
		if (n == len(chosen) && c.hash >= chosen[n-1].hash) || d.findCandidate(i) >= 0 || !d.usable(i) {
			continue
		}
		if n < len(chosen) {
			n++
		}
		pos := n - 1
		for ; pos > 0 && chosen[pos-1].hash > c.hash; pos-- {
			chosen[pos] = chosen[pos-1]
		}
		chosen[pos] = c
	}
	for _, c := range chosen[:n] {
		d.add(c.viewIndex, false)
	}
}

// addSlowStarting adds the engines that usable rejected only because of slow start.
// It is called when there is no other candidate.
func (d *decision) addSlowStarting() {
	for i := range d.views {
		if d.c.cfg.Breaker == nil {
			return
		}
		if _, ok := d.c.cfg.Breaker.Allow(d.views[i].id); ok {
			d.add(i, false)
		}
	}
}

// holder returns the index's entry for an engine, or a zero Holder.
func (d *decision) holder(viewIndex int) rcindex.Holder {
	if i := d.views[viewIndex].holderIndex; i > 0 {
		return d.holders[i-1]
	}
	return rcindex.Holder{}
}

func (d *decision) findCandidate(viewIndex int) int {
	return slices.IndexFunc(d.candidates, func(c candidate) bool { return c.viewIndex == viewIndex })
}

// add adds an engine to the candidates unless it is one already, and returns its
// index there.
func (d *decision) add(viewIndex int, replica bool) int {
	if i := d.findCandidate(viewIndex); i >= 0 {
		return i
	}
	d.candidates = append(d.candidates, candidate{viewIndex: viewIndex, replica: replica, engine: d.views[viewIndex].engine})
	return len(d.candidates) - 1
}
