package rcforward

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

// convictingGuard knows that all requests crash upstreams.
type convictingGuard struct{ *rcpoison.Tracker }

func (convictingGuard) Check(radishcrank.Request) error { return errors.New("crashes upstreams") }

// disconnectedWriter fails like the connection of a client that has
// disconnected.
type disconnectedWriter struct{ *httptest.ResponseRecorder }

func (disconnectedWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// TestMetricsAreRecorded guards against a counter or histogram that is not
// updated by the event that it counts. Metrics that other packages record are
// tested there.
func TestMetricsAreRecorded(t *testing.T) {
	failure := radishcrank.Reply{Class: radishcrank.ReplyAnswered, Status: http.StatusInternalServerError, Header: http.Header{}}
	busy := radishcrank.Reply{Class: radishcrank.ReplyBusy, Status: http.StatusServiceUnavailable}
	full := busy
	full.Load = &radishcrank.QueueReport{Running: 6, Waiting: 4, Slots: 6}
	unreadable := math.NaN()
	unframed := radishcrank.Reply{Class: radishcrank.ReplyAnswered, Status: http.StatusOK, Header: http.Header{}, Unframed: true}
	limited := radishcrank.Reply{Class: radishcrank.ReplyAnswered, Status: http.StatusOK, Header: http.Header{}, RateLimit: &unreadable}
	leaving, pausing, brittle := okReply(), busy, busy
	leaving.Leaving, pausing.PauseFor, brittle.Brittle = true, time.Second, 3
	unknown, restarted := takenUp(), takenUp()
	unknown.Resumes, restarted.Resumes = "unknown", "restarted"
	cases := []struct {
		steps        []step
		x            radishcrank.Exchange
		budget       stubBudget
		convicted    bool // The request is known to crash upstreams.
		reserved     bool // All upstreams are reserved for suspects.
		disconnected bool // The client has disconnected.
		counters     []rcmetric.CounterName
		timings      []rcmetric.HistogramName
	}{
		{
			steps: []step{{reply: okReply(), body: strings.NewReader("ok")}}, x: idempotent(),
			counters: []rcmetric.CounterName{rcmetric.Answered}, timings: []rcmetric.HistogramName{rcmetric.PlacementTime, rcmetric.AnswerTime},
		},
		{
			steps: []step{{reply: okReply(), body: strings.NewReader("id: 1\n\n")}}, x: streaming(radishcrank.RetryResume),
			counters: []rcmetric.CounterName{rcmetric.Answered}, timings: []rcmetric.HistogramName{rcmetric.FirstEventTime, rcmetric.LongestPause},
		},
		{
			steps: []step{{reply: okReply(), body: strings.NewReader("id: 1\n\n")}}, x: generating(),
			timings: []rcmetric.HistogramName{rcmetric.ReplacedWeightsAge},
		},
		{steps: []step{{hang: true}}, x: generating(), counters: []rcmetric.CounterName{rcmetric.AttemptExpired}},
		{
			steps: []step{{reply: busy}}, x: nonIdempotent(), budget: stubBudget{empty: true},
			counters: []rcmetric.CounterName{rcmetric.Refused, rcmetric.AttemptRefused, rcmetric.RepeatsDenied}, timings: []rcmetric.HistogramName{rcmetric.RefusalTime},
		},
		{steps: []step{{err: errReset}}, x: nonIdempotent(), counters: []rcmetric.CounterName{rcmetric.Failed, rcmetric.AttemptBroken}},
		{steps: []step{{hang: true}}, x: nonIdempotent(), counters: []rcmetric.CounterName{rcmetric.TimedOut, rcmetric.AttemptAbandoned}},
		{
			steps: []step{{reply: okReply(), body: failingBody("id: 1\n\nid")}}, x: streaming(radishcrank.RetryNever),
			counters: []rcmetric.CounterName{rcmetric.Cut, rcmetric.AttemptBroken},
		},
		{
			steps: []step{{reply: failure}}, x: idempotent(), budget: stubBudget{empty: true},
			counters: []rcmetric.CounterName{rcmetric.UpstreamFailure, rcmetric.AttemptUpstreamFailure},
		},
		{
			steps: []step{{reply: radishcrank.Reply{Class: radishcrank.ReplyInvalid}}}, x: nonIdempotent(),
			counters: []rcmetric.CounterName{rcmetric.AttemptInvalid},
		},
		{
			steps: []step{{reply: okReply(), body: strings.NewReader("id: 1\n\n")}}, x: streaming(radishcrank.RetryResume), disconnected: true,
			counters: []rcmetric.CounterName{rcmetric.AttemptCallerGone},
		},
		{steps: []step{{hang: true}}, x: nonIdempotent(), disconnected: true, counters: []rcmetric.CounterName{rcmetric.CallerGone}},
		{steps: []step{{reply: unframed}}, x: nonIdempotent(), counters: []rcmetric.CounterName{rcmetric.UnframedReplies}},
		{steps: []step{{reply: limited}}, x: nonIdempotent(), counters: []rcmetric.CounterName{rcmetric.LimitedReplies}},
		{steps: []step{{reply: leaving}}, x: nonIdempotent(), counters: []rcmetric.CounterName{rcmetric.UpstreamsLeaving}},
		{
			steps: []step{{reply: radishcrank.Reply{Class: radishcrank.ReplyMisdirected, Status: http.StatusMisdirectedRequest}}, {reply: okReply()}}, x: nonIdempotent(),
			counters: []rcmetric.CounterName{rcmetric.UpstreamsMisdirected},
		},
		{steps: []step{{reply: pausing}}, x: nonIdempotent(), counters: []rcmetric.CounterName{rcmetric.PausesAsked}},
		{steps: []step{{reply: brittle}}, x: nonIdempotent(), counters: []rcmetric.CounterName{rcmetric.BrittleReplies}},
		{steps: []step{{reply: okReply(), body: strings.NewReader("id: 2\n\n")}}, x: takenUp(), counters: []rcmetric.CounterName{rcmetric.StreamsTakenUp}},
		{x: nonIdempotent(), convicted: true, counters: []rcmetric.CounterName{rcmetric.RefusedFinally}},
		{x: unknown, counters: []rcmetric.CounterName{rcmetric.StreamsUnknown}},
		{steps: []step{{reply: okReply()}, {reply: okReply()}}, x: restarted, counters: []rcmetric.CounterName{rcmetric.AttemptUnconfirmed}},
		{
			steps: []step{{reply: busy, after: 700 * time.Millisecond}, {reply: okReply(), body: strings.NewReader("id: 1\n\n")}}, x: yielding(),
			counters: []rcmetric.CounterName{rcmetric.Deferred},
		},
		{steps: []step{{reply: full}, {reply: okReply()}}, x: nonIdempotent(), counters: []rcmetric.CounterName{rcmetric.PlacesAwaited}},
		{x: nonIdempotent(), reserved: true, counters: []rcmetric.CounterName{rcmetric.SuspectsHeld}},
	}
	untested := map[rcmetric.CounterName]bool{}
	for _, m := range rcmetric.PlatformCounters {
		untested[m.Name] = true
	}
	untestedTimings := map[rcmetric.HistogramName]bool{}
	for _, m := range rcmetric.Histograms {
		untestedTimings[m.Name] = true
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var w http.ResponseWriter = httptest.NewRecorder()
			if c.disconnected {
				w = disconnectedWriter{httptest.NewRecorder()}
				time.AfterFunc(time.Second, cancel)
			}
			var guard Guard = rcpoison.New(rcpoison.Config{Board: rcboard.New()})
			if c.convicted {
				guard = convictingGuard{rcpoison.New(rcpoison.Config{Board: rcboard.New()})}
			}
			if c.reserved {
				guard = reservedGuard{rcpoison.New(rcpoison.Config{Board: rcboard.New()})}
			}
			metrics, _ := serveOn(ctx, w, guard, &scriptedSender{steps: c.steps}, 3, c.budget, c.x)
			for _, name := range c.counters {
				require.Positive(t, metrics.Value(name), name)
				delete(untested, name)
			}
			for _, name := range c.timings {
				require.Positive(t, metrics.Summary(name).Count, name)
				delete(untestedTimings, name)
			}
		})
	}
	require.Equal(t, map[rcmetric.CounterName]bool{rcmetric.Rejected: true, rcmetric.NewsLost: true, rcmetric.Detours: true, rcmetric.LinkCuts: true, rcmetric.ZoneCuts: true,
		rcmetric.AccountLimited: true, rcmetric.AccountCharged: true, rcmetric.AccountRefunded: true, rcmetric.DeferredFirst: true, rcmetric.ConnectionsRefused: true, rcmetric.ConnectionsEvicted: true, rcmetric.HeadsTooLong: true, rcmetric.HeadsTooSlow: true, rcmetric.RefusedForMemory: true}, untested,
		"TestDetours covers Detours, TestCallersOfCutOffZone LinkCuts and ZoneCuts, TestAccountLimit those of accounts, TestWhoPaysFirst DeferredFirst, the tests of rcguard those of connections and memory")
	require.Equal(t, map[rcmetric.HistogramName]bool{rcmetric.StoreTime: true}, untestedTimings)
}
