package rcdaemon

import (
	"context"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

// meteredChooser updates metrics for the calls to a chooser.
type meteredChooser struct {
	radishcrank.Chooser
	metrics *rcmetric.Set
}

// Choose implements radishcrank.Chooser.
func (m meteredChooser) Choose(ctx context.Context, req radishcrank.Request, exclude []radishcrank.UpstreamID) (radishcrank.Placement, error) {
	if len(exclude) > 0 {
		m.metrics.Add(rcmetric.Resumes, 1)
	}
	return m.Chooser.Choose(ctx, req, exclude)
}

// Observe implements radishcrank.Chooser.
func (m meteredChooser) Observe(req radishcrank.Request, p radishcrank.Placement, o radishcrank.Observation) {
	if o.Kind == radishcrank.ObservedFirstToken {
		m.metrics.Add(rcmetric.FirstTokens, 1)
		m.metrics.Add(rcmetric.FirstTokenMS, o.TTFT.Milliseconds())
	}
	m.Chooser.Observe(req, p, o)
}
