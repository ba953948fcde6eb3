package rcverdict

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
	"github.com/radishcrank/radishcrank/internal/standin/rcfaketable"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// Guards against a verdict that a restarted instance does not find, against one
// that is lost because the answer to its write was lost, and against reads of the
// whole table within Config.Interval.
func TestVerdictSurvivesRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := rcfaketable.New()
		cfg := Config{Table: table, Interval: time.Minute}
		record := rcpoison.Record{Key: "k", Verdict: true, Updated: time.Now().UTC()}

		table.SetFaults(rcfaketable.Faults{LoseResponses: 1})
		s := New(cfg)
		require.ErrorIs(t, s.Store(t.Context(), record), radishcrank.ErrUnknownOutcome)
		require.NoError(t, s.Store(t.Context(), record), "an existing row counts as stored")

		restarted := New(cfg)
		table.SetFaults(rcfaketable.Faults{Down: true})
		_, err := restarted.Load(t.Context())
		require.ErrorIs(t, err, radishcrank.ErrUnavailable)
		table.SetFaults(rcfaketable.Faults{})
		records, err := restarted.Load(t.Context())
		require.NoError(t, err)
		require.Len(t, records, 1)
		require.True(t, records[0].Verdict)

		reads := table.Counts().Reads
		_, err = restarted.Load(t.Context())
		require.NoError(t, err)
		require.Equal(t, reads, table.Counts().Reads)
		time.Sleep(time.Minute)
		_, err = restarted.Load(t.Context())
		require.NoError(t, err)
		require.Greater(t, table.Counts().Reads, reads)
	})
}

// TestVerdictMissedByCutOffInstance guards against crashing parts that an instance lets
// through for as long as it hears nothing of the others.
func TestVerdictMissedByCutOffInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := rcfaketable.New()
		newTracker := func(id radishcrank.InstanceID) *rcpoison.Tracker {
			tracker := rcpoison.New(rcpoison.Config{
				Board: rcboard.New(), Instance: id, StoreDelay: 1500 * time.Millisecond, VerdictStore: New(Config{Table: table, Interval: time.Hour}),
			})
			go tracker.Run(t.Context())
			return tracker
		}
		convicting, cutOff := newTracker("i1"), newTracker("i2")
		time.Sleep(time.Minute)
		req := radishcrank.Request{Account: "a", Parts: []string{"p"}, Prompt: "own"}
		convicting.Convict(rcpoison.PartKeys(req))
		time.Sleep(time.Minute)
		end, err := cutOff.StartRun(t.Context(), req, radishcrank.Upstream{ID: "u", Incarnation: 1})
		require.NoError(t, err)
		end(true, false)
		time.Sleep(3 * time.Second)
		require.Error(t, cutOff.Check(req))
	})
}

// TestLiftedConvictionIsBackAfterRestart guards against a conviction that was lifted and that
// an instance finds in the table when it starts.
func TestLiftedConvictionIsBackAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := rcfaketable.New()
		start := func() *rcpoison.Tracker {
			tracker := rcpoison.New(rcpoison.Config{
				Board: rcboard.New(), StoreDelay: 1500 * time.Millisecond, VerdictStore: New(Config{Table: table, Interval: time.Second}),
			})
			go tracker.Run(t.Context())
			time.Sleep(10 * time.Second)
			return tracker
		}
		req := radishcrank.Request{ID: "r", Account: "a", Parts: []string{"p"}, Prompt: "own"}
		tracker := start()
		for range 2 {
			tracker.Convict(rcpoison.PartKeys(req))
			time.Sleep(10 * time.Second)
			require.Error(t, start().Check(req))
			time.Sleep(5 * time.Minute)
			require.NoError(t, tracker.Check(req))
			end, err := tracker.StartRun(t.Context(), req, radishcrank.Upstream{ID: "u", Incarnation: 1})
			require.NoError(t, err)
			end(false, true)
			time.Sleep(10 * time.Second)
			require.NoError(t, start().Check(req))
		}
	})
}
