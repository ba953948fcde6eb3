package rcdaemon

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

type nullChooser struct{ observed int }

func (*nullChooser) Choose(context.Context, radishcrank.Request, []radishcrank.UpstreamID) (radishcrank.Placement, error) {
	return radishcrank.Placement{}, nil
}

func (n *nullChooser) Observe(radishcrank.Request, radishcrank.Placement, radishcrank.Observation) {
	n.observed++
}

// Guards against metrics that are never incremented, and against observations
// that are not passed on to the wrapped chooser.
func TestMeteredChooser(t *testing.T) {
	inner, metrics := &nullChooser{}, &rcmetric.Set{}
	m := meteredChooser{Chooser: inner, metrics: metrics}
	_, err := m.Choose(t.Context(), radishcrank.Request{}, nil)
	require.NoError(t, err)
	require.Zero(t, metrics.Value(rcmetric.Resumes))
	_, err = m.Choose(t.Context(), radishcrank.Request{}, []radishcrank.UpstreamID{"e1"})
	require.NoError(t, err)
	require.EqualValues(t, 1, metrics.Value(rcmetric.Resumes))
	m.Observe(radishcrank.Request{}, radishcrank.Placement{}, radishcrank.Observation{Kind: radishcrank.ObservedFirstToken, TTFT: 30 * time.Millisecond})
	m.Observe(radishcrank.Request{}, radishcrank.Placement{}, radishcrank.Observation{Kind: radishcrank.ObservedDone})
	require.EqualValues(t, 1, metrics.Value(rcmetric.FirstTokens))
	require.EqualValues(t, 30, metrics.Value(rcmetric.FirstTokenMS))
	require.Equal(t, 2, inner.observed)
}
