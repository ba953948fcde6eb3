// Package rcdecision chooses the engine for a request. It predicts the time to
// first token on each candidate and weighs it against the prefill that the
// choice repeats.
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

// Defaults of the settings in Config.
const (
	DefaultBytesPerToken   = 4
	DefaultRecomputeWeight = 0.5
	DefaultCrossZoneCost   = time.Millisecond
)

// CircuitBreaker says which upstreams may get requests; a circuit breaker implements it.
type CircuitBreaker interface {
	// Allow reports whether an upstream may get a request. A weight below 1
	// asks for that share of the requests that it would get otherwise.
	Allow(id radishcrank.UpstreamID) (weight float64, ok bool)
}

// KVStore knows which blocks are in the kept KV store.
type KVStore interface {
	// CachedPrefix returns how many leading blocks of a chain can be imported.
	CachedPrefix(chain []radishcrank.BlockHash) int
	// ImportTime predicts the import of blocks into an engine.
	ImportTime(blocks int) time.Duration
	// Import loads blocks into an engine's cache.
	Import(ctx context.Context, up radishcrank.Upstream, blocks []radishcrank.BlockHash) error
}

// Config holds the parts that a Chooser works with. Functions are called at use,
// so that changed settings take effect at once; nil means the default.
type Config struct {
	Board           *rcboard.Board
	Instance        radishcrank.InstanceID
	Zone            radishcrank.AvailabilityZone // Empty: no zone costs more than another.
	BlockBytes      func() int                   // Prompt bytes in one cache block.
	BytesPerToken   func() int                   // Prompt bytes counted as one token.
	RecomputeWeight func() float64               // Seconds of cost for each second of avoidable prefill.
	CrossZoneCost   func(zone radishcrank.AvailabilityZone) time.Duration
	Index           *rcindex.Index      // nil: an index of the default size.
	Placement       *rcplacement.Placer // nil: one that counts the board's live instances.
	Breaker         CircuitBreaker      // nil: every upstream is allowed.
	KVStore         KVStore             // nil: no KV cache is kept.
}

// Chooser implements radishcrank.Chooser.
type Chooser struct {
	cfg Config

	// mu is locked before all tables of the board and the index.
	mu         sync.Mutex
	engines    map[radishcrank.UpstreamID]*engine
	members    map[radishcrank.ModelID][]member // Engines that serve a model.
	version    uint64                           // Of the Upstreams table.
	instances  instances
	round      uint64   // Counts scans of the board.
	duration   float64  // Mean seconds between first and last token of a request.
	recent     []recent // Ring of dispatches.
	dispatches int      // Counts the entries of recent that were replaced.
	scratch    decision
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
		cfg:       cfg,
		engines:   make(map[radishcrank.UpstreamID]*engine),
		members:   make(map[radishcrank.ModelID][]member),
		instances: instances{live: make(map[radishcrank.InstanceID]radishcrank.AvailabilityZone)},
	}
	if cfg.Placement == nil {
		c.cfg.Placement = rcplacement.New(rcplacement.Config{Instances: c.instances.sharing})
	}
	return c
}

// Index returns the prefix index that the chooser works with.
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
		c.importKept(ctx, best.Upstream, imports)
	}
	return *best, nil
}

// choose decides and counts the request as dispatched. It returns the blocks to
// import first.
func (c *Chooser) choose(req radishcrank.Request, exclude []radishcrank.UpstreamID) (*radishcrank.Placement, []radishcrank.BlockHash) {
	const attempts = 3 // Rows that change between scan and placement are rare.
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
		cand.engine.dispatch(dispatched{id: req.ID, at: d.now, missing: cand.missing, chain: p.CacheKeys})
		c.remember(recent{upstream: p.Upstream.ID, scope: scopeOf(&req, p.Weights), chain: p.CacheKeys})
		c.cfg.Placement.RecordRequest(d.chain(d.weights), d.occupation(cand))
		return &p, p.CacheKeys[:cand.imported]
	}
	return nil, nil
}

// importTimeout bounds how long a request waits for an import whose prediction
// was wrong; the engine then computes the blocks itself.
const importTimeout = 2 * time.Second

func (c *Chooser) importKept(ctx context.Context, up radishcrank.Upstream, blocks []radishcrank.BlockHash) {
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	// A failed import only costs time: the engine prefills what is missing.
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
		e.firstToken(req.ID, now)
		return
	}
	if decoding, ok := e.end(req.ID, now); ok && o.Kind == radishcrank.ObservedDone {
		c.learnDuration(decoding)
	}
}

// learnDuration updates the mean duration of generations.
func (c *Chooser) learnDuration(d time.Duration) {
	const share = 0.05 // Follows a change within some tens of requests.
	if c.duration == 0 {
		c.duration = d.Seconds()
		return
	}
	c.duration += share * (d.Seconds() - c.duration)
}

func scopeOf(req *radishcrank.Request, weights radishcrank.WeightsVersion) radishcrank.CacheScope {
	return radishcrank.CacheScope{Account: req.Account, Model: req.Model, Adapter: req.Adapter, Weights: weights}
}
