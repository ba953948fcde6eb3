package rcdecision

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

// Candidate is an engine that was considered for a request.
type Candidate struct {
	radishcrank.Placement
	Score      time.Duration // The lowest wins.
	Replica    bool          // The prefix is placed on the engine.
	Confidence float64       // Of the cached blocks.
	Overloaded bool          // Above the load bound.
	Chosen     bool
}

// Explain returns all candidates for a request with their terms, the best score
// first, and dispatches nothing.
func (c *Chooser) Explain(req radishcrank.Request) []Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.decide(req, nil)
	best := d.best()
	out := make([]Candidate, 0, len(d.candidates))
	for i := range d.candidates {
		cand := &d.candidates[i]
		p, ok := d.placement(cand)
		if !ok {
			continue
		}
		out = append(out, Candidate{
			Placement:  p,
			Score:      cand.score,
			Replica:    cand.home,
			Confidence: d.holder(cand.view).Confidence,
			Overloaded: cand.over,
			Chosen:     i == best,
		})
	}
	slices.SortFunc(out, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.Upstream.ID, b.Upstream.ID))
	})
	return out
}
