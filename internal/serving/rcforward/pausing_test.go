package rcforward

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

// TestPausingUpstreamGetsNoRequests guards against requests to an upstream that has asked
// for a pause, against one that a shorter pause ends, and against a request that waits
// although all upstreams pause.
func TestPausingUpstreamGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSender{}
		f := newThrottlingForwarder(s)
		busy := func(pause time.Duration) step {
			return step{reply: radishcrank.Reply{Class: radishcrank.ReplyBusy, Status: http.StatusServiceUnavailable, PauseFor: pause}}
		}
		serve := func(steps ...step) (code, sent int, retryAfter float64) {
			s.steps = append(s.steps, steps...)
			before, start := len(s.sent), time.Now()
			w, err := serveOne(t, f, nonIdempotent())
			require.NoError(t, err)
			require.Zero(t, time.Since(start))
			retryAfter, _ = strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			return w.Code, len(s.sent) - before, retryAfter
		}
		code, sent, _ := serve(busy(3*time.Second), busy(2*time.Second))
		require.Equal(t, http.StatusServiceUnavailable, code)
		require.Equal(t, 2, sent)
		for range 20 {
			code, sent, retryAfter := serve()
			require.Equal(t, http.StatusServiceUnavailable, code)
			require.Zero(t, sent)
			require.Greater(t, retryAfter, 0.3, "a third of the time to the deadline at most")
		}
		second := s.sent[1].up
		state, ok := f.cfg.Fleet.Get(second)
		require.True(t, ok)
		f.cfg.Fleet.Pause(second, state.Incarnation, time.Second)
		time.Sleep(1500 * time.Millisecond)
		_, sent, _ = serve()
		require.Zero(t, sent)
		time.Sleep(500 * time.Millisecond)
		code, sent, _ = serve(step{reply: okReply()})
		require.Equal(t, http.StatusOK, code)
		require.Equal(t, 1, sent)
		require.Equal(t, second, s.sent[2].up)

		restarted := state.Entry
		restarted.Incarnation++
		f.cfg.Fleet.Pause(second, state.Incarnation, time.Minute)
		f.cfg.Fleet.Put(restarted)
		code, _, _ = serve(step{reply: okReply()})
		require.Equal(t, http.StatusOK, code, "the pause ends with the incarnation")
	})
}
