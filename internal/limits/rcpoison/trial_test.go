package rcpoison

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// requestWith returns a request that no other one equals and that holds parts.
func requestWith(id string, parts ...string) radishcrank.Request {
	return radishcrank.Request{ID: radishcrank.RequestID(id), Account: "a", Parts: parts, Prompt: id}
}

// endRun runs a request that Check has let through.
func endRun(t *testing.T, tracker *Tracker, req radishcrank.Request, crashed bool) {
	t.Helper()
	end, err := tracker.StartRun(t.Context(), req, radishcrank.Upstream{ID: "u", Incarnation: 1})
	require.NoError(t, err)
	end(crashed, !crashed)
}

// TestWrongConvictionNeverEnds guards against sound requests that are refused for good, since
// the refusals keep away what would show that the conviction of their part is wrong.
func TestWrongConvictionNeverEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker, other := New(Config{Board: rcboard.New()}), New(Config{Board: rcboard.New(), OwnsTrial: func(string) bool { return false }})
		for generation := range 3 {
			tracker.Convict(PartKeys(requestWith("", "sound", "company")))
			other.Merge(tracker.Export())
			require.Error(t, tracker.Check(requestWith("r0", "sound", "company", "x")))
			require.NoError(t, tracker.Check(requestWith("r0", "sound")), "only part of the set")
			time.Sleep(trialDelay)
			tried := requestWith(fmt.Sprint("tried", generation), "sound", "company")
			require.Error(t, other.Check(tried), "another instance lets requests through")
			require.NoError(t, tracker.Check(tried))
			require.NoError(t, tracker.Check(tried), "the same request is checked again")
			require.Error(t, tracker.Check(requestWith("second", "sound", "company")), "one request at a time")
			endRun(t, tracker, tried, false)
			require.NoError(t, tracker.Check(requestWith("r1", "sound", "company")))
			require.Error(t, other.Check(requestWith("r1", "sound", "company")))
			other.Merge(tracker.Export())
			require.NoError(t, other.Check(requestWith("r1", "sound", "company")))
			tracker.Merge([]Record{{Key: partsKey(PartKeys(tried)), Verdict: true, Updated: time.Now()}})
			require.NoError(t, tracker.Check(requestWith("r1", "sound", "company")), "a late record convicts again")
		}
	})
}

// TestTrialsCrashUpstreams guards against a right conviction whose trials crash more than one
// upstream each, or come at the same pace for good.
func TestTrialsCrashUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := New(Config{Board: rcboard.New()})
		tracker.Convict(PartKeys(requestWith("", "crashing")))
		let := 0
		for n := range 4 * 60 * 60 {
			req := requestWith(fmt.Sprint(n), "crashing")
			if tracker.Check(req) == nil {
				let++
				endRun(t, tracker, req, true)
				require.Error(t, tracker.Check(req), "the request goes on at another upstream")
			}
			time.Sleep(time.Second)
		}
		require.Equal(t, 7, let) // After 2, 6, 14, 30, 62, 126 and 190 minutes.
	})
}

// TestRunningAnswerLiftsNothing guards against a conviction that stays although a request that
// began before it gets a complete answer, and against one that such a request ends by crashing.
func TestRunningAnswerLiftsNothing(t *testing.T) {
	for _, crashed := range []bool{false, true} {
		tracker := New(Config{Board: rcboard.New()})
		running := requestWith("running", "p")
		end, err := tracker.StartRun(t.Context(), running, radishcrank.Upstream{ID: "u", Incarnation: 1})
		require.NoError(t, err)
		tracker.Convict(PartKeys(running))
		end(crashed, !crashed)
		require.Equal(t, crashed, tracker.Check(requestWith("next", "p")) != nil)
	}
}
