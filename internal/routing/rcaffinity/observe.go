package rcaffinity

import (
	"time"

	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// Obstacles are why an upstream gets no exchange.
const (
	obstacleExcluded      = "Excluded" // It was tried, or it runs a request that may have crashed others.
	obstacleNoWeights     = "NoWeights"
	obstacleWeightsExpire = "WeightsExpire"
)

// Candidate is an upstream as Choose considered it.
type Candidate struct {
	Choice
	Obstacle string // Why it cannot be chosen; empty if it can.
	Terms    []Term // Of Cost, those that are not 0.
}

// Term is one term of a cost.
type Term struct {
	Name string
	Cost time.Duration
}

// terms collects the terms of a cost. Nil collects nothing.
type terms struct{ list []Term }

// add records a term and returns its cost.
func (t *terms) add(name string, cost time.Duration) time.Duration {
	if t != nil && cost != 0 {
		t.list = append(t.list, Term{name, cost})
	}
	return cost
}

func (r *Request) terms() *terms {
	if r.Observe == nil {
		return nil
	}
	return &terms{}
}

func (r *Request) observe(c Choice, t *terms, obstacle string) {
	if r.Observe != nil {
		r.Observe(Candidate{Choice: c, Obstacle: obstacle, Terms: t.list})
	}
}

func (r *Request) observeObstacle(s *rcfleet.State, now time.Time) {
	if r.Observe != nil {
		r.Observe(Candidate{Choice: Choice{Upstream: *s}, Obstacle: obstacle(s, now)})
	}
}

// obstacle returns why Usable is false for an upstream.
func obstacle(s *rcfleet.State, now time.Time) string {
	switch {
	case s.Leaving:
		return "Leaving"
	case s.Suspect:
		return "Failed"
	case s.Throttled:
		return "RateLimit"
	case s.Full:
		return "SlotsOfOthers"
	case s.Paused(now):
		return "Paused"
	case s.Loading(now):
		return "LoadingWeights"
	}
	return obstacleExcluded
}
