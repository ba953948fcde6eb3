// Package rcdecision chooses the engine for a request.
package rcdecision

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcprefix"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// Config holds the parts that a Chooser works with.
type Config struct {
	Board      *rcboard.Board
	BlockBytes func() int // Prompt bytes in one cache block, as configured now.
}

// Chooser implements radishcrank.Chooser.
type Chooser struct {
	cfg Config

	mu      sync.Mutex
	running map[radishcrank.UpstreamID]int
}

// New returns a Chooser.
func New(cfg Config) *Chooser {
	return &Chooser{cfg: cfg, running: make(map[radishcrank.UpstreamID]int)}
}

// Choose implements radishcrank.Chooser. It picks the engine with the fewest
// requests of this instance.
func (c *Chooser) Choose(_ context.Context, req radishcrank.Request, exclude []radishcrank.UpstreamID) (radishcrank.Placement, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best radishcrank.Placement
	found := false
	for _, up := range c.cfg.Board.Upstreams.Values() {
		weights, serves := up.Load.Weights[req.Model]
		if up.Role != radishcrank.RoleEngine || up.Leaving || !serves || slices.Contains(exclude, up.ID) {
			continue
		}
		if !found || c.running[up.ID] < c.running[best.Upstream.ID] {
			best = radishcrank.Placement{Upstream: up, Weights: weights}
			found = true
		}
	}
	if !found {
		return best, &radishcrank.Refusal{
			Status:     http.StatusServiceUnavailable,
			Code:       "no_engine",
			Message:    "no engine can take the request now",
			Outcome:    radishcrank.OutcomeNotRun,
			RetryAfter: time.Second,
		}
	}
	scope := radishcrank.CacheScope{Account: req.Account, Model: req.Model, Adapter: req.Adapter, Weights: best.Weights}
	best.CacheKeys = rcprefix.Chain(scope, req.Prompt, c.cfg.BlockBytes())
	c.running[best.Upstream.ID]++
	return best, nil
}

// Observe implements radishcrank.Chooser.
func (c *Chooser) Observe(_ radishcrank.Request, p radishcrank.Placement, o radishcrank.Observation) {
	if o.Kind == radishcrank.ObservedFirstToken {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[p.Upstream.ID]--
}
