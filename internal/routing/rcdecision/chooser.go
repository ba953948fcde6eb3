// Package rcdecision chooses the engine for a request. It scores each candidate
// by the predicted time to first token and by the cost of computing prefill that
// other engines have already computed.
package rcdecision

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcindex"
	"github.com/radishcrank/radishcrank/internal/routing/rcplacement"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// Default values of Config.
const (
	DefaultBytesPerToken   = 4
	DefaultRecomputeWeight = 0.5
	DefaultCrossZoneCost   = time.Millisecond
)

// CircuitBreaker decides which upstreams may get requests.
type CircuitBreaker interface {
	// Allow reports whether an upstream may get a request. A weight below 1 limits
	// it to that share of the requests that it would get otherwise.
	Allow(id radishcrank.UpstreamID) (weight float64, ok bool)
}

// KVStore is a store of KV cache blocks outside of the engines.
type KVStore interface {
	// CachedPrefix returns how many leading blocks of a chain can be imported.
	CachedPrefix(chain []radishcrank.BlockHash) int
	// ImportTime predicts how long the import of a number of blocks takes.
	ImportTime(blocks int) time.Duration
	// Import loads blocks into an engine's cache.
	Import(ctx context.Context, up radishcrank.Upstream, blocks []radishcrank.BlockHash) error
}

// Config holds the dependencies and settings of a Chooser. Functions are called
// for each decision, so that changed settings take effect at once; nil means the
// default.
type Config struct {
	Board           *rcboard.Board
	Instance        radishcrank.InstanceID
	Zone            radishcrank.AvailabilityZone // Empty: the zone of an engine has no cost.
	BlockBytes      func() int                   // Prompt bytes per cache block.
	BytesPerToken   func() int                   // Estimated prompt bytes per token.
	RecomputeWeight func() float64               // Seconds of cost per second of avoidable prefill.
	CrossZoneCost   func(zone radishcrank.AvailabilityZone) time.Duration
	Index           *rcindex.Index      // nil: an index of the default size.
	Placement       *rcplacement.Placer // nil: one that counts the board's live instances.
	Breaker         CircuitBreaker      // nil: every upstream is allowed.
	KVStore         KVStore             // nil: no blocks can be imported.
}

// Chooser implements radishcrank.Chooser.
type Chooser struct {
	cfg Config

	// mu is locked before the tables of the board and before the index.
	mu               sync.Mutex
	engines          map[radishcrank.UpstreamID]*engine
	servingByModel   map[radishcrank.ModelID][]servingEngine // Engines that serve each model; a cache.
	upstreamsVersion uint64                                  // Version of the Upstreams table at the last refresh.
	instances        instanceCounter
	scanCount        uint64           // Number of scans of the engines.
	meanGeneration   float64          // Mean seconds between the first and the last token of a request.
	recentDispatches []recentDispatch // Ring buffer.
	recentReplaced   int              // Number of entries of recentDispatches that were overwritten.
	scratch          decision
}

// New returns a Chooser.
func New(cfg Config) *Chooser {
	if cfg.BytesPerToken == nil {
		cfg.BytesPerToken = func() int { return DefaultBytesPerToken }
	}
	if cfg.RecomputeWeight == nil {
		cfg.RecomputeWeight = func() float64 { return DefaultRecomputeWeight }
	}
	if cfg.CrossZoneCost == nil {
		cfg.CrossZoneCost = func(radishcrank.AvailabilityZone) time.Duration { return DefaultCrossZoneCost }
	}
	if cfg.Index == nil {
		cfg.Index = rcindex.New(rcindex.Config{})
	}
	c := &Chooser{
		cfg:            cfg,
		engines:        make(map[radishcrank.UpstreamID]*engine),
		servingByModel: make(map[radishcrank.ModelID][]servingEngine),
		instances:      instanceCounter{live: make(map[radishcrank.InstanceID]radishcrank.AvailabilityZone)},
	}
	if cfg.Placement == nil {
		c.cfg.Placement = rcplacement.New(rcplacement.Config{Instances: c.instances.sharingCount})
	}
	return c
}

// Index returns the prefix index that the chooser uses.
func (c *Chooser) Index() *rcindex.Index { return c.cfg.Index }

// Choose implements radishcrank.Chooser.
func (c *Chooser) Choose(ctx context.Context, req radishcrank.Request, exclude []radishcrank.UpstreamID) (radishcrank.Placement, error) {
	c.mu.Lock()
	best, imports := c.choose(req, exclude)
	c.mu.Unlock()
	if best == nil {
		return radishcrank.Placement{}, &radishcrank.Refusal{
			Status:     http.StatusServiceUnavailable,
			Code:       "no_engine",
			Message:    "no engine can take the request now",
			Outcome:    radishcrank.OutcomeNotRun,
			RetryAfter: time.Second,
		}
	}
	if len(imports) > 0 {
		c.importBlocks(ctx, best.Upstream, imports)
	}
	return *best, nil
}

// choose selects an engine and records the request as dispatched to it. It also
// returns the blocks that the engine should import first. c.mu must be locked.
func (c *Chooser) choose(req radishcrank.Request, exclude []radishcrank.UpstreamID) (*radishcrank.Placement, []radishcrank.BlockHash) {
	const attempts = 3 // Rows rarely change between scan and placement.
	for range attempts {
		d := c.decide(req, exclude)
		best := d.best()
		if best < 0 {
			return nil, nil
		}
		cand := &d.candidates[best]
		p, ok := d.placement(cand)
		if !ok {
			continue
		}
		cand.engine.dispatch(dispatched{id: req.ID, sentAt: d.now, missingTokens: cand.missingTokens, chain: p.CacheKeys})
		c.recordDispatch(recentDispatch{upstream: p.Upstream.ID, scope: scopeOf(&req, p.Weights), chain: p.CacheKeys})
		c.cfg.Placement.RecordRequest(d.chain(d.weights), d.engineTime(cand))
		return &p, p.CacheKeys[:cand.importedBlocks]
	}
	return nil, nil
}

// importTimeout limits how long a request waits for an import that takes longer
// than predicted; the engine then computes the blocks itself.
const importTimeout = 2 * time.Second

func (c *Chooser) importBlocks(ctx context.Context, up radishcrank.Upstream, blocks []radishcrank.BlockHash) {
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	// The error is ignored: after a failed import the engine computes the missing
	// blocks.
	_ = c.cfg.KVStore.Import(ctx, up, blocks)
}

// Observe implements radishcrank.Chooser.
func (c *Chooser) Observe(req radishcrank.Request, p radishcrank.Placement, o radishcrank.Observation) {
	if o.Kind == radishcrank.ObservedFirstToken {
		c.cfg.Index.Confirm(p.Upstream, scopeOf(&req, p.Weights), p.CacheKeys)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.engines[p.Upstream.ID]
	if e == nil {
		return
	}
	now := time.Now()
	if o.Kind == radishcrank.ObservedFirstToken {
		e.recordFirstToken(req.ID, now)
		return
	}
	if decoding, ok := e.finish(req.ID, now); ok && o.Kind == radishcrank.ObservedDone {
		c.updateMeanGeneration(decoding)
	}
}

// updateMeanGeneration updates the moving average of the generation time.
func (c *Chooser) updateMeanGeneration(d time.Duration) {
	const share = 0.05 // Adapts to a change within some tens of requests.
	if c.meanGeneration == 0 {
		c.meanGeneration = d.Seconds()
		return
	}
	c.meanGeneration += share * (d.Seconds() - c.meanGeneration)
}

func scopeOf(req *radishcrank.Request, weights radishcrank.WeightsVersion) radishcrank.CacheScope {
	return radishcrank.CacheScope{Account: req.Account, Model: req.Model, Adapter: req.Adapter, Weights: weights}
}
