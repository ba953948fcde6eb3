package rcdecision

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

// Candidate is an engine considered for a request.
type Candidate struct {
	radishcrank.Placement
	Score      time.Duration // The lowest score is chosen.
	Replica    bool          // The prefix is assigned to the engine.
	Confidence float64       // Lowest confidence of the cached blocks.
	Overloaded bool          // The engine is above the load bound.
	Chosen     bool
}

// Explain returns all candidates for a request with their cost terms, the lowest
// score first. It does not record a dispatch.
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
			Replica:    cand.replica,
			Confidence: d.holder(cand.viewIndex).Confidence,
			Overloaded: cand.overloaded,
			Chosen:     i == best,
		})
	}
	slices.SortFunc(out, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.Upstream.ID, b.Upstream.ID))
	})
	return out
}
