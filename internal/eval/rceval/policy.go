package rceval

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// ChooserEnv holds what Policy.New needs to create the chooser of an instance.
type ChooserEnv struct {
	Instance radishcrank.InstanceID
	Zone     radishcrank.AvailabilityZone
	Board    *rcboard.Board
	Seed     uint64

	fleet *fleet
}

// Policy creates the chooser of each instance.
type Policy struct {
	Name string
	New  func(env ChooserEnv) radishcrank.Chooser

	isRouter bool // The router's chooser needs prompts, and load reports at the interval of rcdaemon.
}

// watchInterval returns the interval between two polls of the load reports. The
// baselines use a report only to learn which engines exist, so they poll less
// often.
func (p Policy) watchInterval() time.Duration {
	if p.isRouter {
		return watchInterval
	}
	return baselineWatchInterval
}

// Baselines returns the policies that the router is compared with.
func Baselines() []Policy {
	return []Policy{
		{Name: "random", New: func(env ChooserEnv) radishcrank.Chooser {
			rng := rand.New(rand.NewPCG(env.Seed, 7))
			return newBaseline(env, func(_ radishcrank.Request, ups []radishcrank.Upstream, _ requestCounts) int {
				return rng.IntN(len(ups))
			})
		}},
		{Name: "round robin", New: func(env ChooserEnv) radishcrank.Chooser {
			next := int(env.Seed % 1000)
			return newBaseline(env, func(_ radishcrank.Request, ups []radishcrank.Upstream, _ requestCounts) int {
				next++
				return next % len(ups)
			})
		}},
		{Name: "least outstanding", New: func(env ChooserEnv) radishcrank.Chooser {
			rng := rand.New(rand.NewPCG(env.Seed, 8))
			return newBaseline(env, func(_ radishcrank.Request, ups []radishcrank.Upstream, running requestCounts) int {
				return leastOutstanding(rng, ups, running)
			})
		}},
		{Name: "prefix hashing", New: func(env ChooserEnv) radishcrank.Chooser {
			return newBaseline(env, func(req radishcrank.Request, ups []radishcrank.Upstream, _ requestCounts) int {
				return rendezvousHash(env.fleet.requests[req.ID].CacheKeys[0], ups)
			})
		}},
	}
}

type requestCounts map[radishcrank.UpstreamID]int

// baseline is a chooser that applies a simple rule to the live engines.
type baseline struct {
	env     ChooserEnv
	running requestCounts // Outstanding requests of this instance on each engine.
	pick    func(req radishcrank.Request, ups []radishcrank.Upstream, running requestCounts) int
}

func newBaseline(env ChooserEnv, pick func(radishcrank.Request, []radishcrank.Upstream, requestCounts) int) *baseline {
	return &baseline{env: env, running: make(requestCounts), pick: pick}
}

// Choose implements radishcrank.Chooser.
func (b *baseline) Choose(_ context.Context, req radishcrank.Request, exclude []radishcrank.UpstreamID) (radishcrank.Placement, error) {
	var ups []radishcrank.Upstream
	for _, up := range b.env.Board.Upstreams.Values() {
		if _, serves := up.Load.Weights[req.Model]; serves && !slices.Contains(exclude, up.ID) {
			ups = append(ups, up)
		}
	}
	if len(ups) == 0 {
		return radishcrank.Placement{}, &radishcrank.Refusal{
			Status: http.StatusServiceUnavailable, Code: "no_engine", Outcome: radishcrank.OutcomeNotRun,
		}
	}
	up := ups[b.pick(req, ups, b.running)]
	b.running[up.ID]++
	return radishcrank.Placement{Upstream: up, Weights: weights}, nil
}

// Observe implements radishcrank.Chooser.
func (b *baseline) Observe(_ radishcrank.Request, p radishcrank.Placement, o radishcrank.Observation) {
	if o.Kind != radishcrank.ObservedFirstToken {
		b.running[p.Upstream.ID]--
	}
}

// leastOutstanding selects an engine with the fewest outstanding requests. Ties
// are broken at random; always taking the first engine would make all instances
// send their requests to the same one.
func leastOutstanding(rng *rand.Rand, ups []radishcrank.Upstream, running requestCounts) int {
	best, ties := 0, 0
	for i, up := range ups {
		switch n := running[up.ID] - running[ups[best].ID]; {
		case n < 0:
			best, ties = i, 1
		case n == 0:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// rendezvousHash maps the first block of an account's prompts to an engine by
// rendezvous hashing.
func rendezvousHash(first radishcrank.BlockHash, ups []radishcrank.Upstream) int {
	key := xxhash.Sum64(first[:])
	best, top := 0, uint64(0)
	for i, up := range ups {
		if score := mixBits(key ^ xxhash.Sum64String(string(up.ID))); score > top {
			best, top = i, score
		}
	}
	return best
}

// Oracle returns a policy that sees the true state of the engines. It shows
// what a chooser could achieve without delayed reports and lost events; no
// instance can run it.
func Oracle(recomputeWeight float64) Policy {
	return Policy{Name: "reference: true state", New: func(env ChooserEnv) radishcrank.Chooser {
		return newBaseline(env, func(req radishcrank.Request, ups []radishcrank.Upstream, _ requestCounts) int {
			r := env.fleet.requests[req.ID]
			best, low := 0, 0.0
			for i, up := range ups {
				cost := env.fleet.byID[up.ID].trueCost(r, recomputeWeight)
				if i == 0 || cost < low {
					best, low = i, cost
				}
			}
			return best
		})
	}}
}

// trueCost returns the cost of placing r on the engine, in tokens: the queued
// prefill work, the prefill of the prompt and a penalty for requests that
// exceed the batch size.
func (e *engine) trueCost(r *TraceRequest, recomputeWeight float64) float64 {
	keys, hits := r.CacheKeys, 0
	for hits < len(keys) && (e.cache.entries[keys[hits]] != nil || e.pending[keys[hits]] > 0) {
		hits++
	}
	missing := float64(r.PromptTokens - hits*blockTokens)
	slots := float64(max(0, len(e.running)+len(e.waiting)-e.params.MaxBatch))
	return float64(e.queuedTokens()) + missing*(1+recomputeWeight) + slots*blockTokens
}
