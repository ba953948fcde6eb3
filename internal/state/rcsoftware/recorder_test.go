package rcsoftware

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/standin/rcfaketable"
)

// site is what one instance sees.
type site struct {
	versions []radishcrank.SoftwareVersion
	complete bool
	era      uint64
}

func (s *site) recorder(table radishcrank.TableService) *Recorder {
	return New(Config{
		Table: table, Now: time.Now, Era: func() uint64 { return s.era }, Services: func() []string { return []string{"s"} },
		Versions: func(string) ([]radishcrank.SoftwareVersion, bool) { return s.versions, s.complete },
		Records:  func() bool { return true }, Log: zerolog.Nop(),
	})
}

func run(t *testing.T, r *Recorder, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	_ = r.Run(ctx)
}

// TestRestartedFleetKnowsOnlyVersion guards against streams that cannot be taken up after all
// instances have restarted, and against a version that is taken for the only one although
// another one was listed while a stream may have begun.
func TestRestartedFleetKnowsOnlyVersion(t *testing.T) {
	const within = 15 * time.Second
	v1, both := []radishcrank.SoftwareVersion{"v1"}, []radishcrank.SoftwareVersion{"v1", "v2"}
	for name, c := range map[string]struct {
		before []site // What is listed before the restart, for 10 s each.
		after  site
		want   bool
	}{
		"one version":                         {before: []site{{versions: v1}, {versions: v1}}, after: site{versions: v1}, want: true},
		"since a short time":                  {before: []site{{versions: v1}}, after: site{versions: v1}},
		"another one was listed":              {before: []site{{versions: v1}, {versions: both}}, after: site{versions: v1}},
		"another one was listed long ago":     {before: []site{{versions: both, complete: true}, {versions: v1, complete: true}, {versions: v1}}, after: site{versions: v1}, want: true},
		"one that was listed may still count": {before: []site{{versions: both}, {versions: v1}, {versions: v1}}, after: site{versions: v1}},
		"only the other one is left":          {before: []site{{versions: v1}, {versions: v1}}, after: site{versions: []radishcrank.SoftwareVersion{"v2"}}},
		"an unnamed version":                  {before: []site{{versions: []radishcrank.SoftwareVersion{""}}, {versions: v1}}, after: site{versions: v1}},
		"the store lost writes":               {before: []site{{versions: v1}, {versions: v1}}, after: site{versions: v1, era: 1}},
		"nothing is listed for a while":       {before: []site{{versions: v1}, {}, {versions: v1}}, after: site{versions: v1}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := rcfaketable.New()
				var listed site
				recorder := listed.recorder(table)
				for _, listed = range c.before {
					run(t, recorder, 10*time.Second)
				}
				restarted := c.after.recorder(table)
				require.Equal(t, c.want, restarted.OnlyVersion(t.Context(), "s", c.after.versions[0], within))
			})
		})
	}
}

// TestRecorderSettles guards against calls to the store by each instance that takes itself for
// the one that records until it knows the others.
func TestRecorderSettles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := &countingTable{TableService: rcfaketable.New()}
		start, listed := time.Now(), site{versions: []radishcrank.SoftwareVersion{"v1"}}
		r := listed.recorder(calls)
		r.cfg.Records = func() bool { return time.Since(start) < time.Second }
		run(t, r, time.Minute)
		require.Zero(t, calls.n)
	})
}

// TestRecordsAreWrittenOnce guards against calls to the store at each interval, and by each
// instance that takes part.
func TestRecordsAreWrittenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := &countingTable{TableService: rcfaketable.New()}
		listed := site{versions: []radishcrank.SoftwareVersion{"v1"}}
		first, second := listed.recorder(calls), listed.recorder(calls)
		run(t, first, time.Minute)
		run(t, second, time.Minute)
		for range 100 {
			require.True(t, second.OnlyVersion(t.Context(), "s", "v1", 15*time.Second))
		}
		require.Equal(t, 3, calls.n)
	})
}

type countingTable struct {
	radishcrank.TableService
	n int
}

func (c *countingTable) Get(ctx context.Context, keys ...string) ([]radishcrank.Row, error) {
	c.n++
	return c.TableService.Get(ctx, keys...)
}

func (c *countingTable) Commit(ctx context.Context, tx radishcrank.Transaction) error {
	c.n++
	return c.TableService.Commit(ctx, tx)
}
