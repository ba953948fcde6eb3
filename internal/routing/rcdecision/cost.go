package rcdecision

import (
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcplacement"
)

// Names of the cost terms of a placement. The predicted time to first token is the
// sum of all but TermRecompute and TermOffPlacement, which only add to the score.
const (
	TermPrefillQueue = "PrefillQueue" // Prefill of requests ahead on the engine.
	TermBatchQueue   = "BatchQueue"   // Wait for the batch while it is full.
	TermPrefill      = "Prefill"      // Prefill of the prompt tokens that are not cached.
	TermImport       = "Import"       // Import of blocks from the KV store.
	TermCrossZone    = "CrossZone"    // Latency to the engine's availability zone.
	TermStaleReport  = "Distrust"     // Penalty for an old load report or missed reports.
	TermRecompute    = "Recompute"    // Weighted cost of the prefill.
	TermOffPlacement = "OffPlacement" // Weighted cost of caching the prefix on an unassigned engine.
)

const (
	// tieTolerance is the difference of scores that counts as a tie. It is below the
	// precision of load reports.
	tieTolerance = time.Millisecond

	// A load report has no cost up to freshReportAge. Each second after that costs
	// staleReportRate seconds, up to maxStaleReportCost, so that an engine with a
	// fresh report of some load is preferred to one with an old report of none.
	freshReportAge     = 2 * time.Second
	staleReportRate    = 0.02
	maxStaleReportCost = 200 * time.Millisecond

	// missedReportCost is the cost of each consecutive load report after the first
	// that could not be fetched. maxMissedReports limits the number of missed
	// reports that are counted.
	missedReportCost = 500 * time.Millisecond
	maxMissedReports = 10

	// assumedAnswerTokens is the assumed length of answers until one has completed.
	assumedAnswerTokens = 64
)

// candidate is an engine that is considered for a request.
type candidate struct {
	viewIndex      int
	engine         *engine
	replica        bool // The prefix is assigned to the engine.
	missingTokens  int  // Prompt tokens to prefill.
	importedBlocks int  // Number of leading blocks to import.
	ttft           time.Duration
	score          time.Duration
	overloaded     bool // Above the load bound.
}

// terms holds the cost terms of a candidate, in the order in which list returns
// them.
type terms struct {
	prefillQueue, batchQueue, prefill, kvImport, crossZone, staleReport time.Duration
	recompute, offPlacement                                             time.Duration
}

func (t *terms) ttft() time.Duration {
	return t.prefillQueue + t.batchQueue + t.prefill + t.kvImport + t.crossZone + t.staleReport
}

func (t *terms) list() []radishcrank.CostTerm {
	return []radishcrank.CostTerm{
		{Name: TermPrefillQueue, Value: t.prefillQueue},
		{Name: TermBatchQueue, Value: t.batchQueue},
		{Name: TermPrefill, Value: t.prefill},
		{Name: TermImport, Value: t.kvImport},
		{Name: TermCrossZone, Value: t.crossZone},
		{Name: TermStaleReport, Value: t.staleReport},
		{Name: TermRecompute, Value: t.recompute},
		{Name: TermOffPlacement, Value: t.offPlacement},
	}
}

// best scores the candidates and returns the index of the chosen one, or -1 if
// there is none. An engine above the load bound is chosen only if all candidates
// are above it. Ties are broken by a hash of request, instance and engine, so that
// instances with equal state do not all choose the same engine.
func (d *decision) best() int {
	bound := rcplacement.LoadBound(d.placementEngines)
	anyUnderBound := false
	for i := range d.candidates {
		c := &d.candidates[i]
		t := d.cost(c)
		c.ttft = t.ttft()
		c.score = c.ttft + t.recompute + t.offPlacement
		c.overloaded = d.placementEngines[c.viewIndex].Overloaded(bound)
		anyUnderBound = anyUnderBound || !c.overloaded
	}
	lowest := time.Duration(-1)
	for i := range d.candidates {
		if c := &d.candidates[i]; c.overloaded && anyUnderBound {
			continue
		} else if lowest < 0 || c.score < lowest {
			lowest = c.score
		}
	}
	best, bestHash := -1, uint64(0)
	for i := range d.candidates {
		c := &d.candidates[i]
		if (c.overloaded && anyUnderBound) || c.score > lowest+tieTolerance {
			continue
		}
		if h := rcplacement.MixHash(d.seed ^ c.engine.key); best < 0 || h < bestHash {
			best, bestHash = i, h
		}
	}
	return best
}

// cost computes the cost terms of a candidate. It sets the candidate's
// missingTokens and importedBlocks.
func (d *decision) cost(c *candidate) terms {
	v := &d.views[c.viewIndex]
	var t terms
	t.prefillQueue = c.engine.backlog(d.now)
	t.batchQueue = d.c.batchWait(v)
	d.estimateMissing(c)
	t.prefill = seconds(float64(c.missingTokens) / v.prefillRate)
	d.tryImport(c, &t)
	if d.c.cfg.Zone != "" && v.row.Zone != d.c.cfg.Zone {
		t.crossZone = d.c.cfg.CrossZoneCost(v.row.Zone)
	}
	t.staleReport = d.staleReportCost(v)
	weight := d.c.cfg.RecomputeWeight()
	t.recompute = time.Duration(weight * (1 + d.congestion) * float64(t.prefill))
	if !c.replica {
		t.offPlacement = time.Duration(weight * (1 + offPlacementCongestionFactor*d.congestion) * float64(t.prefill))
	}
	return t
}

// pendingConfidence is the assumed probability that a block which a request ahead
// in the queue computes is cached when the engine starts the next request. The
// request ahead may fail, or the engine may evict the block.
const pendingConfidence = 0.95

// congestionUnit is the mean backlog of the engines at which the cost of repeated
// prefill doubles. While engines have a queue, each second of repeated prefill
// delays all requests behind it, so that a fleet near its capacity would otherwise
// be overloaded by repeated prefill.
const congestionUnit = 500 * time.Millisecond

// offPlacementCongestionFactor is how much faster than TermRecompute the cost of
// caching a prefix on an engine that it is not assigned to rises with congestion.
// The prefill is repeated now, and again when the next request for the prefix goes
// to an assigned engine.
const offPlacementCongestionFactor = 2

// setCongestion computes the mean backlog of all engines in congestionUnits.
func (d *decision) setCongestion() {
	var sum time.Duration
	for i := range d.views {
		sum += d.views[i].backlog(d.now)
	}
	d.congestion = float64(sum) / float64(len(d.views)) / float64(congestionUnit)
}

// estimateMissing estimates the prompt tokens that are not in the engine's cache.
func (d *decision) estimateMissing(c *candidate) {
	v := &d.views[c.viewIndex]
	pending := float64(v.pendingPrefix(d.chain(v.weights)))
	cached := max(d.holder(c.viewIndex).ExpectedBlocks, pendingConfidence*pending)
	bytes := len(d.req.Prompt) - int(cached*float64(d.blockBytes))
	c.missingTokens = radishcrank.EstimatePromptTokens(max(0, bytes), d.c.cfg.BytesPerToken())
	c.importedBlocks = 0
}

// tryImport replaces prefill by an import from the KV store if that is faster.
func (d *decision) tryImport(c *candidate, t *terms) {
	if d.c.cfg.KVStore == nil {
		return
	}
	chain := d.chain(d.views[c.viewIndex].weights)
	importable := d.c.cfg.KVStore.CachedPrefix(chain)
	if importable <= d.holder(c.viewIndex).Blocks {
		return
	}
	bytes := len(d.req.Prompt) - importable*d.blockBytes
	missing := radishcrank.EstimatePromptTokens(max(0, bytes), d.c.cfg.BytesPerToken())
	prefill := seconds(float64(missing) / d.views[c.viewIndex].prefillRate)
	imports := d.c.cfg.KVStore.ImportTime(importable - d.holder(c.viewIndex).Blocks)
	if prefill+imports < t.prefill {
		c.missingTokens, c.importedBlocks = missing, importable
		t.prefill, t.kvImport = prefill, imports
	}
}

// batchWait predicts how long a request waits to join the engine's batch.
func (c *Chooser) batchWait(v *view) time.Duration {
	ahead := v.outstanding - v.row.Load.MaxBatch + 1
	if v.row.Load.MaxBatch <= 0 || ahead <= 0 {
		return 0
	}
	return seconds(float64(ahead) * c.generationSeconds(v) / float64(v.row.Load.MaxBatch))
}

// generationSeconds predicts the seconds between the first and the last token of an
// answer.
func (c *Chooser) generationSeconds(v *view) float64 {
	if c.meanGeneration > 0 {
		return c.meanGeneration
	}
	return assumedAnswerTokens / v.decodeRate
}

// engineTime returns how long the request would occupy the engine that caches most
// of its prompt: the prefill of the rest, and its share of the batch during
// generation. It deliberately leaves out the prefill of a shared prefix. That is
// the cost of adding a replica, and counting it as load of the prefix would add
// still more replicas.
func (d *decision) engineTime(chosen *candidate) time.Duration {
	missing := chosen.missingTokens
	for i := range d.candidates {
		missing = min(missing, d.candidates[i].missingTokens)
	}
	v := &d.views[chosen.viewIndex]
	prefill := float64(missing) / v.prefillRate
	return seconds(prefill + d.c.generationSeconds(v)/float64(max(1, v.row.Load.MaxBatch)))
}

// staleReportCost returns the cost of an old load report and of missed reports. A
// report without a time counts as fresh.
func (d *decision) staleReportCost(v *view) time.Duration {
	cost := time.Duration(max(0, min(v.row.MissedReports, maxMissedReports)-1)) * missedReportCost
	if v.row.Load.ReportedAt.IsZero() {
		return cost
	}
	old := d.now.Sub(v.row.Load.ReportedAt) - freshReportAge
	if old <= 0 {
		return cost
	}
	return cost + min(maxStaleReportCost, time.Duration(staleReportRate*float64(old)))
}

// placement returns the placement on a candidate, or false if the upstream has
// left or restarted since the scan.
func (d *decision) placement(c *candidate) (p radishcrank.Placement, ok bool) {
	v := &d.views[c.viewIndex]
	row, ok := d.c.cfg.Board.Upstreams.Get(v.id)
	if !ok || row.Leaving || row.Incarnation != v.row.Incarnation {
		return p, false
	}
	t := d.cost(c)
	return radishcrank.Placement{
		Upstream:      row,
		Weights:       v.weights,
		CacheKeys:     d.chain(v.weights),
		CachedBlocks:  d.holder(c.viewIndex).Blocks,
		PredictedTTFT: t.ttft(),
		Terms:         t.list(),
	}, true
}
