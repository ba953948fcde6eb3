package rcfeed_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/state/rcfeed"
)

// busySource returns a change for each call, or fails each call.
type busySource struct {
	calls int
	fail  bool
}

func (s *busySource) Read(context.Context, string) (rcfeed.Response, error) {
	return rcfeed.Response{Version: 1}, nil
}

func (s *busySource) Changes(_ context.Context, _ string, after uint64, _, _ time.Duration) (a rcfeed.Response, err error) {
	s.calls++
	if s.fail {
		return a, errors.New("away")
	}
	return rcfeed.Response{Rows: []rcfeed.Row{{Key: "k", Version: after + 1}}, Version: after + 1}, nil
}

// TestMinIntervalBoundsCalls guards against one call for each change while a
// whole fleet starts (load test Riga grown: 22 calls an instance before the
// first request), and against frequent calls for a delay-tolerant table to a
// store that rejects an instance.
func TestMinIntervalBoundsCalls(t *testing.T) {
	for name, c := range map[string]struct {
		cfg   rcfeed.Config
		fail  bool
		calls int // In 5 s.
	}{
		"paced":      {cfg: rcfeed.Config{MinInterval: 400 * time.Millisecond}, calls: 13},
		"starting":   {cfg: rcfeed.Config{MinInterval: 400 * time.Millisecond, StartupMinInterval: 1500 * time.Millisecond}, calls: 4},
		"turned off": {cfg: rcfeed.Config{}, fail: true, calls: 20},
		"patient":    {cfg: rcfeed.Config{DelayTolerant: true}, fail: true, calls: 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &busySource{fail: c.fail}
				c.cfg.Source, c.cfg.Table, c.cfg.Log = source, "t", zerolog.Nop()
				c.cfg.OnReset, c.cfg.OnChange = func([]rcfeed.Row, rcfeed.Provenance) {}, func(rcfeed.Row, rcfeed.Provenance) {}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second-time.Millisecond)
				defer cancel()
				require.ErrorIs(t, rcfeed.New(c.cfg).Run(ctx), context.DeadlineExceeded)
				require.Equal(t, c.calls, source.calls)
			})
		})
	}
}
