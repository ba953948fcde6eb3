package rcaffinity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// Pools keep long prompts away from engines that generate long answers. They
// are designed for a mix of short prompts with long answers and long prompts
// with short answers: an engine that prefills a prompt of several chunks
// generates tokens for its other streams only between the chunks, so that all
// of them pause for longer than their callers accept.
const (
	// maxShortPrompt is the longest prompt of the short pool in tokens. Engines
	// prefill it in one chunk.
	maxShortPrompt = 2048
	// minShortShare is the minimum share of the engines of a service in the
	// short pool.
	minShortShare = 1.0 / 4
	// shortPoolUtilization is the share of the slots of the short pool that all
	// running requests may occupy. Above it, requests wait for slots there.
	shortPoolUtilization = 0.7
	// maxShortShare is the maximum share of engines in the short pool. Above it
	// long prompts would queue in the other pool, so pools are disabled.
	maxShortShare = 1.0 / 3
	// minPooledEngines is the minimum number of engines of a service that uses
	// pools.
	minPooledEngines = 4
	// leaveCostFactor multiplied by the ratio of streams with overlong pauses
	// is the cost of leaving the pool, up to maxLeaveCost. Engines whose chunks
	// are fast enough for their streams thus have no pools, and all prompts can
	// use the memory of all engines.
	leaveCostFactor = 1500 * time.Millisecond
	maxLeaveCost    = 150 * time.Millisecond
	// minLeaveCost is the cost below which pools are disabled. It is less than
	// the cost at which prompts move away from their owners.
	minLeaveCost = 60 * time.Millisecond
)

// pool is the set of engines that requests of one prompt length prefer.
type pool map[radishcrank.UpstreamID]bool

// poolFor returns the engines that prompts of a length prefer, or nil for all
// engines. If the short pool has no room because the fleet is full, pools would
// only replace pauses of streams by waits for their first events. Engines that
// load weights or are suspect stay in their pool, so that the pools of the
// other engines don't change with them.
func poolFor(promptTokens int, states []rcfleet.State) pool {
	engines := make([]*rcfleet.State, 0, len(states))
	for i := range states {
		if !states[i].Leaving {
			engines = append(engines, &states[i])
		}
	}
	if len(engines) < minPooledEngines {
		return nil
	}
	slices.SortFunc(engines, func(a, b *rcfleet.State) int { return cmp.Compare(a.Hash, b.Hash) })
	running, slots := 0, 0
	for _, s := range engines {
		running += s.Running + s.PeerLoad.Running
		slots += s.Slots
	}
	share := minShortShare
	if slots > 0 {
		share = max(share, float64(running)/(shortPoolUtilization*float64(slots)))
	}
	if share > maxShortShare {
		return nil
	}
	short := int(math.Round(share * float64(len(engines))))
	if promptTokens <= maxShortPrompt {
		engines = engines[:short]
	} else {
		engines = engines[short:]
	}
	p := pool{}
	for _, s := range engines {
		p[s.ID] = true
	}
	return p
}

// poolLeaveCost returns the cost of leaving the pool at a ratio of streams with
// overlong pauses.
func poolLeaveCost(pauseRatio float64) time.Duration {
	return min(maxLeaveCost, time.Duration(pauseRatio*float64(leaveCostFactor)))
}

func (p pool) has(id radishcrank.UpstreamID) bool { return p == nil || p[id] }
