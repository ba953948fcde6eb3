package rcdecision

import (
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcplacement"
)

// Names of the terms of a placement. The first ones add up to the predicted
// time to first token; TermRecompute and TermOffPlacement count only for the score.
const (
	TermPrefillQueue = "PrefillQueue" // Prompts ahead in the engine's prefill.
	TermBatchQueue   = "BatchQueue"   // Requests ahead while the batch is full.
	TermPrefill      = "Prefill"      // Tokens of the prompt that are not cached.
	TermImport       = "Import"       // Blocks loaded from the kept KV store.
	TermCrossZone    = "CrossZone"    // Distance of the engine's availability zone.
	TermStaleReport  = "Distrust"     // The load report is old or reports are missing.
	TermRecompute    = "Recompute"    // Weighted cost of the prefill.
	TermOffPlacement = "OffPlacement" // Weighted cost of a second copy of the prefix.
)

const (
	// tieTolerance is below what a load report can tell.
	tieTolerance = time.Millisecond

	// A report is trusted for trustedAge. After it, each second costs distrustRate,
	// up to maxDistrust, so that a fresh report of some load is preferred to an
	// old one of none.
	trustedAge   = 2 * time.Second
	distrustRate = 0.02
	maxDistrust  = 200 * time.Millisecond

	// missedCost is the cost of each report that could not be fetched in a row
	// after the first, up to maxMissed.
	missedCost = 500 * time.Millisecond
	maxMissed  = 10

	// assumedTokens is the length of an answer until one was seen.
	assumedTokens = 64
)

// candidate is an engine that is considered for a request.
type candidate struct {
	view     int
	engine   *engine
	home     bool // The prefix is placed on the engine.
	missing  int  // Prompt tokens that the engine has to prefill.
	imported int  // Leading blocks to import.
	ttft     time.Duration
	score    time.Duration
	over     bool // Above the load bound.
}

// terms holds the parts of a candidate's cost in the order in which explain shows them.
type terms struct {
	prefillQueue, batchQueue, prefill, imports, crossZone, distrust time.Duration
	recompute, offPlacement                                         time.Duration
}

func (t *terms) ttft() time.Duration {
	return t.prefillQueue + t.batchQueue + t.prefill + t.imports + t.crossZone + t.distrust
}

func (t *terms) list() []radishcrank.CostTerm {
	return []radishcrank.CostTerm{
		{Name: TermPrefillQueue, Value: t.prefillQueue},
		{Name: TermBatchQueue, Value: t.batchQueue},
		{Name: TermPrefill, Value: t.prefill},
		{Name: TermImport, Value: t.imports},
		{Name: TermCrossZone, Value: t.crossZone},
		{Name: TermStaleReport, Value: t.distrust},
		{Name: TermRecompute, Value: t.recompute},
		{Name: TermOffPlacement, Value: t.offPlacement},
	}
}

// best scores the candidates and returns the place of the chosen one, or -1. An
// engine above the load bound is chosen only if all candidates are. Among equal
// scores a hash of request, instance and engine decides, so that instances with
// the same view do not all choose the same engine.
func (d *decision) best() int {
	bound := rcplacement.LoadBound(d.places)
	under := false
	for i := range d.candidates {
		c := &d.candidates[i]
		t := d.cost(c)
		c.ttft = t.ttft()
		c.score = c.ttft + t.recompute + t.offPlacement
		c.over = d.places[c.view].Overloaded(bound)
		under = under || !c.over
	}
	lowest := time.Duration(-1)
	for i := range d.candidates {
		if c := &d.candidates[i]; c.over && under {
			continue
		} else if lowest < 0 || c.score < lowest {
			lowest = c.score
		}
	}
	best, bestHash := -1, uint64(0)
	for i := range d.candidates {
		c := &d.candidates[i]
		if (c.over && under) || c.score > lowest+tieTolerance {
			continue
		}
		if h := rcplacement.MixHash(d.seed ^ c.engine.key); best < 0 || h < bestHash {
			best, bestHash = i, h
		}
	}
	return best
}

// cost computes the terms of a candidate and notes what it would prefill.
func (d *decision) cost(c *candidate) terms {
	v := &d.views[c.view]
	var t terms
	t.prefillQueue = c.engine.backlog(d.now)
	t.batchQueue = d.c.batchWait(v)
	d.missing(c)
	t.prefill = seconds(float64(c.missing) / v.prefillRate)
	d.tryImport(c, &t)
	if d.c.cfg.Zone != "" && v.row.Zone != d.c.cfg.Zone {
		t.crossZone = d.c.cfg.CrossZoneCost(v.row.Zone)
	}
	t.distrust = d.distrust(v)
	weight := d.c.cfg.RecomputeWeight()
	t.recompute = time.Duration(weight * (1 + d.congestion) * float64(t.prefill))
	if !c.home {
		t.offPlacement = time.Duration(weight * (1 + offPlacementRise*d.congestion) * float64(t.prefill))
	}
	return t
}

// pendingConfidence is the chance that a block which a request ahead needs is
// cached when the engine gets to the next one: the request may fail, or the
// engine evict the block.
const pendingConfidence = 0.95

// congestionUnit is the mean backlog of the engines at which repeated prefill
// counts twice. While engines queue, each second of it delays all requests
// behind, so that a fleet near its capacity would otherwise recompute itself
// into overload.
const congestionUnit = 500 * time.Millisecond

// offPlacementRise is how much faster the cost of a copy away from the prefix's
// home rises with congestion. The copy is repeated prefill now, and again when
// the next request for the prefix goes home.
const offPlacementRise = 2

// setCongestion works out the mean backlog of all engines in congestionUnits.
func (d *decision) setCongestion() {
	var sum time.Duration
	for i := range d.views {
		sum += d.views[i].backlog(d.now)
	}
	d.congestion = float64(sum) / float64(len(d.views)) / float64(congestionUnit)
}

// missing counts the prompt tokens that are not expected in the engine's cache.
func (d *decision) missing(c *candidate) {
	v := &d.views[c.view]
	pending := float64(v.pending(d.chain(v.weights)))
	cached := max(d.holder(c.view).ExpectedBlocks, pendingConfidence*pending)
	bytes := len(d.req.Prompt) - int(cached*float64(d.blockBytes))
	c.missing = radishcrank.EstimatePromptTokens(max(0, bytes), d.c.cfg.BytesPerToken())
	c.imported = 0
}

// tryImport replaces prefill by import of kept KV where that is faster.
func (d *decision) tryImport(c *candidate, t *terms) {
	if d.c.cfg.KVStore == nil {
		return
	}
	chain := d.chain(d.views[c.view].weights)
	kept := d.c.cfg.KVStore.CachedPrefix(chain)
	if kept <= d.holder(c.view).Blocks {
		return
	}
	bytes := len(d.req.Prompt) - kept*d.blockBytes
	missing := radishcrank.EstimatePromptTokens(max(0, bytes), d.c.cfg.BytesPerToken())
	prefill := seconds(float64(missing) / d.views[c.view].prefillRate)
	imports := d.c.cfg.KVStore.ImportTime(kept - d.holder(c.view).Blocks)
	if prefill+imports < t.prefill {
		c.missing, c.imported = missing, kept
		t.prefill, t.imports = prefill, imports
	}
}

// batchWait predicts how long a request waits for a place in the batch.
func (c *Chooser) batchWait(v *view) time.Duration {
	ahead := v.occupied - v.row.Load.MaxBatch + 1
	if v.row.Load.MaxBatch <= 0 || ahead <= 0 {
		return 0
	}
	return seconds(float64(ahead) * c.generation(v) / float64(v.row.Load.MaxBatch))
}

// generation returns the seconds that an answer takes after its first token.
func (c *Chooser) generation(v *view) float64 {
	if c.duration > 0 {
		return c.duration
	}
	return assumedTokens / v.decodeRate
}

// occupation returns how long the request would occupy the engine that has most
// of it cached: the prefill of the rest, and its share of the batch while it
// generates. Prefill of shared text is left out on purpose. It is the price of a
// new replica, and counting it as load of the text would call for still more.
func (d *decision) occupation(chosen *candidate) time.Duration {
	missing := chosen.missing
	for i := range d.candidates {
		missing = min(missing, d.candidates[i].missing)
	}
	v := &d.views[chosen.view]
	prefill := float64(missing) / v.prefillRate
	return seconds(prefill + d.c.generation(v)/float64(max(1, v.row.Load.MaxBatch)))
}

// distrust returns the cost of an old load report. An engine that has not
// reported its time is taken to be fresh.
func (d *decision) distrust(v *view) time.Duration {
	cost := time.Duration(max(0, min(v.row.MissedReports, maxMissed)-1)) * missedCost
	if v.row.Load.ReportedAt.IsZero() {
		return cost
	}
	old := d.now.Sub(v.row.Load.ReportedAt) - trustedAge
	if old <= 0 {
		return cost
	}
	return cost + min(maxDistrust, time.Duration(distrustRate*float64(old)))
}

// placement returns a candidate as a Placement, or false if the upstream has
// left or restarted since the scan.
func (d *decision) placement(c *candidate) (p radishcrank.Placement, ok bool) {
	v := &d.views[c.view]
	row, ok := d.c.cfg.Board.Upstreams.Get(v.id)
	if !ok || row.Leaving || row.Incarnation != v.row.Incarnation {
		return p, false
	}
	t := d.cost(c)
	return radishcrank.Placement{
		Upstream:      row,
		Weights:       v.weights,
		CacheKeys:     d.chain(v.weights),
		CachedBlocks:  d.holder(c.view).Blocks,
		PredictedTTFT: t.ttft(),
		Terms:         t.list(),
	}, true
}
