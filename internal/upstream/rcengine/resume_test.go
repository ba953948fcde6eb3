package rcengine

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/serving/rcrelay"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeengine"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// orderedChooser chooses the first upstream in the slice that is not excluded.
type orderedChooser []radishcrank.Upstream

func (c orderedChooser) Choose(_ context.Context, _ radishcrank.Request, exclude []radishcrank.UpstreamID) (radishcrank.Placement, error) {
	for _, up := range c {
		if !slices.Contains(exclude, up.ID) {
			return radishcrank.Placement{Upstream: up, Weights: "w1"}, nil
		}
	}
	return radishcrank.Placement{}, &radishcrank.Refusal{Code: "no_engine", Outcome: radishcrank.OutcomeNotRun}
}

func (c orderedChooser) Observe(radishcrank.Request, radishcrank.Placement, radishcrank.Observation) {
}

type responseSink struct {
	text         strings.Builder
	silenceAfter int // Index of the token after which silence is called.
	silence      func()
	finished     bool
}

func (s *responseSink) Token(t radishcrank.Token) error {
	s.text.WriteString(t.Text)
	if t.Index == s.silenceAfter {
		s.silence()
	}
	return nil
}

func (s *responseSink) Finish(radishcrank.Finish) error {
	s.finished = true
	return nil
}

// Guards against missing or repeated tokens when a connection becomes unresponsive
// and another engine resumes the stream, and against a generation that keeps
// running on the first engine. Uses real connections.
func TestResumeAfterSilence(t *testing.T) {
	first, l, up1 := startEngine(t, rcfakeengine.Faults{StallAfter: 4})
	_, _, up2 := startEngineWithID(t, "e2", rcfakeengine.Faults{})
	d := NewDialer()
	r := rcrelay.New(rcrelay.Config{
		Board: rcboard.New(), Chooser: orderedChooser{up1, up2}, Dialer: d, MaxAttempts: 2,
		Settings: func(radishcrank.ClientAccountID) rcrelay.Settings {
			return rcrelay.Settings{ProgressTimeout: 300 * time.Millisecond}
		},
	})
	sink := &responseSink{silenceAfter: 3, silence: func() { l.Blackhole() }}
	require.NoError(t, r.Generate(t.Context(), generateRequest().Request, sink))
	want := ""
	for i := range 8 {
		want += rcfakeengine.TokenText("hello", "w1", i)
	}
	require.Equal(t, want, sink.text.String())
	require.True(t, sink.finished)
	require.Eventually(t, func() bool { return first.LoadReport().Running == 0 }, 5*time.Second, time.Millisecond)
}
