package rcforward

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
	"github.com/radishcrank/radishcrank/internal/limits/rcquota"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/state/rcweights"
)

// newThrottlingForwarder returns a forwarder with two upstreams. No rate limit allows
// it a request, since it does not know the other instances.
func newThrottlingForwarder(s radishcrank.Sender) *Forwarder {
	fleet := rcfleet.New()
	for i := range 2 {
		fleet.Put(rcfleet.Entry{Upstream: radishcrank.Upstream{ID: radishcrank.UpstreamID(fmt.Sprint("u", i)), Service: "s", Software: "v1"}})
	}
	start := time.Now()
	return New(Config{
		Fleet: fleet, Sender: s, Budget: stubBudget{}, Guard: rcpoison.New(rcpoison.Config{Board: rcboard.New()}),
		Quota: rcquota.New(rcquota.Config{
			Now:      func() time.Time { return time.UnixMilli(0).Add(time.Since(start)) },
			Others:   func() ([]radishcrank.InstanceID, bool) { return nil, false },
			Announce: func(rcquota.Observation) {},
		}),
		Weights:       func(radishcrank.ModelID) rcweights.History { return rcweights.History{} },
		OldWeightsTTL: func() time.Duration { return 0 },
		KVStores:      func() []rcaffinity.KVStore { return nil },
		RecordCached:  func(radishcrank.UpstreamID, string, []radishcrank.PromptPart) {},
		Origins:       stubOrigins{}, Incarnation: listedIncarnation,
		Metrics: &rcmetric.Set{}, Log: zerolog.Nop(),
	})
}

func serveOne(t *testing.T, f *Forwarder, x radishcrank.Exchange) (*httptest.ResponseRecorder, error) {
	x.ID, x.Service, x.Method, x.Target = "r", "s", http.MethodPost, "/p"
	x.ReceivedAt, x.Deadline = time.Now(), time.Now().Add(2*time.Second)
	x.Route.LatencyTarget = 150 * time.Millisecond
	w := httptest.NewRecorder()
	err := f.Serve(t.Context(), w, &x)
	return w, err
}

// TestThrottledRequestWaits guards against a request beyond the rate limits that is sent
// or waits, instead of going to another upstream or being refused at once.
func TestThrottledRequestWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rate := 1.0
		limited := okReply()
		limited.RateLimit = &rate
		s := &scriptedSender{steps: []step{{reply: limited}, {reply: okReply()}, {reply: limited}}}
		f := newThrottlingForwarder(s)
		for range 3 {
			w, err := serveOne(t, f, nonIdempotent())
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, w.Code)
		}
		require.NotEqual(t, s.sent[0].up, s.sent[1].up, "the first upstream has a limit")
		require.Equal(t, s.sent[1].up, s.sent[2].up)

		start := time.Now()
		w, err := serveOne(t, f, nonIdempotent())
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.NotEmpty(t, w.Header().Get("Retry-After"))
		require.Zero(t, time.Since(start), "it waited although no upstream may take it")
		require.Len(t, s.sent, 3)
	})
}

// TestRetryExceedsRateLimit guards against a retry or a resumed stream that is sent to
// an upstream whose rate limit allows no request.
func TestRetryExceedsRateLimit(t *testing.T) {
	rate := 1.0
	busy := radishcrank.Reply{Class: radishcrank.ReplyBusy, Status: http.StatusServiceUnavailable, RateLimit: &rate}
	s := &scriptedSender{steps: []step{{reply: busy}, {reply: busy}}}
	f := newThrottlingForwarder(s)
	w, err := serveOne(t, f, idempotent())
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Len(t, s.sent, 2)

	limited := okReply()
	limited.RateLimit = &rate
	s = &scriptedSender{steps: []step{
		{reply: limited, body: strings.NewReader("id: 1\n\n")},
		{reply: okReply(), body: failingBody("id: 1\n\n")},
	}}
	f = newThrottlingForwarder(s)
	_, err = serveOne(t, f, streaming(radishcrank.RetryResume))
	require.NoError(t, err)
	_, err = serveOne(t, f, streaming(radishcrank.RetryResume))
	require.ErrorIs(t, err, ErrTruncated)
	require.Len(t, s.sent, 2)
}
