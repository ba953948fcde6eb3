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
	maxHolders       = 8 // Of each weights version; scoring more makes a decision slow.
)

// view is an engine that can serve the request.
type view struct {
	member
	occupied int // Requests that it has by now.
	verdict  verdict
	holder   int // Place in decision.holders plus 1; 0 if the index knows of no cached block.
}

// verdict remembers what the circuit breaker said of an engine in one decision.
type verdict uint8

const (
	verdictUnknown verdict = iota
	verdictAllowed
	verdictRefused
)

// versionChain is the prompt's chain under one weights version.
type versionChain struct {
	weights radishcrank.WeightsVersion
	engines int
	chain   []radishcrank.BlockHash
	hashed  bool
}

// decision is the working set of one choice. Its slices are reused.
type decision struct {
	c          *Chooser
	req        radishcrank.Request
	now        time.Time
	seed       uint64 // Hash of request and instance.
	blockBytes int
	weights    radishcrank.WeightsVersion // Of most engines.
	versions   []versionChain
	views      []view
	places     []rcplacement.Engine
	holders    []rcindex.Holder
	held       []held
	placed     rcplacement.Placement
	candidates []candidate
	congestion float64 // Mean backlog of the engines, in congestionUnits.
}

// decide scans the board and scores the candidates. c.mu must be locked until
// the decision is no longer used.
func (c *Chooser) decide(req radishcrank.Request, exclude []radishcrank.UpstreamID) *decision {
	d := &c.scratch
	*d = decision{
		c:          c,
		req:        req,
		now:        time.Now(),
		seed:       xxhash.Sum64String(string(req.ID)) ^ rcplacement.MixHash(xxhash.Sum64String(string(c.cfg.Instance))),
		blockBytes: c.cfg.BlockBytes(),
		versions:   d.versions[:0],
		views:      d.views[:0],
		places:     d.places[:0],
		holders:    d.holders[:0],
		held:       d.held[:0],
		placed:     d.placed,
		candidates: d.candidates[:0],
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
		d.addAll()
	}
	return d
}

// scan collects the engines that can serve the request.
func (d *decision) scan(exclude []radishcrank.UpstreamID) {
	d.c.round++
	d.c.refresh()
	for _, m := range d.c.membersOf(d.req.Model) {
		if slices.Contains(exclude, m.id) || !hasAdapter(&m.row.Load, d.req.Adapter) || !d.mayServe(m.weights) {
			continue
		}
		v := view{member: m, occupied: m.occupied()}
		m.place, m.round = len(d.views), d.c.round
		d.views = append(d.views, v)
		d.places = append(d.places, rcplacement.Engine{
			Key:      m.key,
			Load:     float64(v.occupied),
			MaxBatch: float64(m.row.Load.MaxBatch),
		})
		d.count(m.weights)
	}
	most := 0
	for _, v := range d.versions {
		if v.engines > most || (v.engines == most && v.weights > d.weights) {
			most, d.weights = v.engines, v.weights
		}
	}
}

// mayServe keeps a stream on the weights that it began with.
func (d *decision) mayServe(weights radishcrank.WeightsVersion) bool {
	return d.req.PinnedWeights == "" || d.req.PinnedWeights == weights
}

func hasAdapter(load *radishcrank.LoadReport, adapter string) bool {
	return adapter == "" || slices.Contains(load.Adapters, adapter)
}

func (d *decision) count(weights radishcrank.WeightsVersion) {
	for i := range d.versions {
		if d.versions[i].weights == weights {
			d.versions[i].engines++
			return
		}
	}
	d.versions = append(d.versions, versionChain{weights: weights, engines: 1})
}

func (d *decision) version(weights radishcrank.WeightsVersion) *versionChain {
	for i := range d.versions {
		if d.versions[i].weights == weights {
			return &d.versions[i]
		}
	}
	return &versionChain{}
}

// chain returns the prompt's chain under a weights version. It is hashed once
// for each version, which is once a request outside a rolling update.
func (d *decision) chain(weights radishcrank.WeightsVersion) []radishcrank.BlockHash {
	v := d.version(weights)
	if !v.hashed {
		v.chain = rcprefix.Chain(scopeOf(&d.req, weights), d.req.Prompt, d.blockBytes)
		v.hashed = true
	}
	return v.chain
}

// usable reports whether an engine may get the request. An engine in slow start
// gets the share of requests that its weight says.
func (d *decision) usable(i int) bool {
	v := &d.views[i]
	if v.verdict != verdictUnknown {
		return v.verdict == verdictAllowed
	}
	v.verdict = verdictAllowed
	if d.c.cfg.Breaker == nil {
		return true
	}
	weight, ok := d.c.cfg.Breaker.Allow(v.id)
	if !ok || unit(d.seed^v.key) >= weight {
		v.verdict = verdictRefused
	}
	return v.verdict == verdictAllowed
}

// unit maps a hash to [0, 1).
func unit(h uint64) float64 { return float64(rcplacement.MixHash(h)>>11) / (1 << 53) }

// addReplicas adds the engines that the prompt's prefix is placed on.
func (d *decision) addReplicas() {
	d.placed = d.c.cfg.Placement.Place(d.chain(d.weights), d.places, d.usable, d.seed, d.placed)
	for _, i := range d.placed.Replicas {
		if d.usable(i) {
			d.add(i, true)
		}
	}
	for _, i := range d.placed.Fallbacks {
		if d.usable(i) {
			d.add(i, false)
		}
	}
}

// addHolders adds the engines that the index names.
func (d *decision) addHolders() {
	for i := range d.versions {
		d.lookup(d.versions[i].weights)
	}
}

// lookup asks the index about the chain under one weights version. Of many
// holders it adds those with the longest prefixes; equal ones are picked by a
// hash, as ties between candidates are.
func (d *decision) lookup(weights radishcrank.WeightsVersion) {
	known := len(d.holders)
	d.holders = d.c.cfg.Index.Lookup(scopeOf(&d.req, weights), d.chain(weights), d.holders)
	d.held = d.held[:0]
	for i := known; i < len(d.holders); i++ {
		h := &d.holders[i]
		e := d.c.engines[h.Upstream]
		if e == nil || e.round != d.c.round {
			continue
		}
		v := &d.views[e.place]
		if v.row.Incarnation != h.Incarnation || v.weights != weights {
			continue
		}
		v.holder = i + 1
		if d.find(e.place) < 0 && d.usable(e.place) {
			d.held = append(d.held, held{expected: h.ExpectedBlocks, hash: rcplacement.MixHash(d.seed ^ v.key), view: e.place})
		}
	}
	slices.SortFunc(d.held, func(a, b held) int {
		return cmp.Or(cmp.Compare(b.expected, a.expected), cmp.Compare(a.hash, b.hash))
	})
	for _, h := range d.held[:min(len(d.held), maxHolders)] {
		d.add(h.view, false)
	}
}

// held is an engine that the index names, in the order of preference.
type held struct {
	expected float64
	hash     uint64
	view     int
}

// addRandom adds two engines chosen by a hash, which find idle engines that
// neither the index nor the placement names.
func (d *decision) addRandom() {
	type choice struct {
		view int
		hash uint64
	}
	var chosen [randomCandidates]choice // By rising hash.
	n := 0
	for i := range d.views {
		c := choice{view: i, hash: rcplacement.MixHash(d.seed + d.views[i].key)}
		if (n == len(chosen) && c.hash >= chosen[n-1].hash) || d.find(i) >= 0 || !d.usable(i) {
			continue
		}
		if n < len(chosen) {
			n++
		}
		at := n - 1
		for ; at > 0 && chosen[at-1].hash > c.hash; at-- {
			chosen[at] = chosen[at-1]
		}
		chosen[at] = c
	}
	for _, c := range chosen[:n] {
		d.add(c.view, false)
	}
}

// addAll adds the engines that only slow start holds back. It serves when
// nothing else is left.
func (d *decision) addAll() {
	for i := range d.views {
		if d.c.cfg.Breaker == nil {
			return
		}
		if _, ok := d.c.cfg.Breaker.Allow(d.views[i].id); ok {
			d.add(i, false)
		}
	}
}

// holder returns what the index says of an engine.
func (d *decision) holder(view int) rcindex.Holder {
	if i := d.views[view].holder; i > 0 {
		return d.holders[i-1]
	}
	return rcindex.Holder{}
}

func (d *decision) find(view int) int {
	return slices.IndexFunc(d.candidates, func(c candidate) bool { return c.view == view })
}

// add adds a candidate unless it is one already, and returns its place.
func (d *decision) add(view int, home bool) int {
	if i := d.find(view); i >= 0 {
		return i
	}
	d.candidates = append(d.candidates, candidate{view: view, home: home, engine: d.views[view].engine})
	return len(d.candidates) - 1
}
