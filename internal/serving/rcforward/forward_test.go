package rcforward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/state/rcorigin"
	"github.com/radishcrank/radishcrank/internal/state/rcweights"
)

// scriptedSender returns the prepared replies one after the other.
type scriptedSender struct {
	mu    sync.Mutex
	steps []step
	sent  []sentRequest
}

type step struct {
	reply radishcrank.Reply
	body  io.Reader
	err   error
	hang  bool          // Send blocks until it is canceled.
	after time.Duration // Delay of the reply.
}

type sentRequest struct {
	up radishcrank.UpstreamID
	o  radishcrank.SendOptions
}

func (s *scriptedSender) Send(ctx context.Context, up radishcrank.Upstream, _ *radishcrank.Exchange, o radishcrank.SendOptions) (*radishcrank.Reply, error) {
	s.mu.Lock()
	n := len(s.sent)
	s.sent = append(s.sent, sentRequest{up.ID, o})
	s.mu.Unlock()
	if n >= len(s.steps) {
		return nil, fmt.Errorf("send %d was not expected", n)
	}
	st := s.steps[n]
	if st.hang {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-time.After(st.after):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if st.err != nil {
		return nil, st.err
	}
	reply := st.reply
	if st.body == nil {
		st.body = strings.NewReader("")
	}
	reply.Body = io.NopCloser(st.body)
	return &reply, nil
}

// stubOrigins holds the origins of streams that other instances began.
type stubOrigins map[radishcrank.RequestID]rcorigin.Origin

func (stubOrigins) Record(rcorigin.Record) {}

func (stubOrigins) Verify(context.Context, rcorigin.Origin) bool { return true }

func (s stubOrigins) Find(_ context.Context, q rcorigin.Query) (o rcorigin.Origin, known bool) {
	o, known = s[q.Attempt]
	return o, known
}

func (s stubOrigins) Inspect(ctx context.Context, q rcorigin.Query) (o rcorigin.Origin, known bool) {
	return s.Find(ctx, q)
}

// listedIncarnation is the answer of an upstream that has not restarted.
func listedIncarnation(_ context.Context, up radishcrank.Upstream) (radishcrank.Incarnation, error) {
	return up.Incarnation, nil
}

type stubBudget struct{ empty bool }

func (stubBudget) RecordRequest(string)     {}
func (b stubBudget) AllowRetry(string) bool { return !b.empty }

var errReset = errors.New("connection reset")

// failingBody returns a body that ends with an error.
func failingBody(text string) io.Reader { return io.MultiReader(strings.NewReader(text), errReader{}) }

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, errReset }

type result struct {
	*httptest.ResponseRecorder
	err     error
	metrics *rcmetric.Set
}

func serve(sender *scriptedSender, upstreams int, budget RetryBudget, x radishcrank.Exchange) result {
	return serveWith(rcpoison.New(rcpoison.Config{Board: rcboard.New()}), sender, upstreams, budget, x)
}

func serveWith(guard Guard, sender *scriptedSender, upstreams int, budget RetryBudget, x radishcrank.Exchange) result {
	w := httptest.NewRecorder()
	metrics, err := serveOn(context.Background(), w, guard, sender, upstreams, budget, x)
	return result{w, err, metrics}
}

func serveOn(ctx context.Context, w http.ResponseWriter, guard Guard, sender *scriptedSender, upstreams int, budget RetryBudget, x radishcrank.Exchange) (*rcmetric.Set, error) {
	metrics := &rcmetric.Set{}
	fleet := rcfleet.New()
	var entries []rcfleet.Entry
	for i := range upstreams {
		e := rcfleet.Entry{Upstream: radishcrank.Upstream{ID: radishcrank.UpstreamID(fmt.Sprint("u", i)), Service: "s", Software: "v1"}}
		if x.Generates() {
			e.Weights = map[radishcrank.ModelID]radishcrank.WeightsVersion{x.Model: "1"}
		}
		entries = append(entries, e)
	}
	fleet.Replace(entries)
	history, _ := rcweights.History{Model: x.Model}.Add("2", time.Now())
	f := New(Config{
		Fleet: fleet, Sender: sender, Budget: budget,
		Guard:         guard,
		Weights:       func(radishcrank.ModelID) rcweights.History { return history },
		OldWeightsTTL: func() time.Duration { return 1500 * time.Millisecond },
		RecordCached:  func(radishcrank.UpstreamID, string, []radishcrank.PromptPart) {},
		KVStores:      func() []rcaffinity.KVStore { return nil },
		Origins:       stubOrigins{"r0": {Service: "s", Software: "v1"}, "restarted": {Service: "s", Software: "v1"}},
		Incarnation: func(ctx context.Context, up radishcrank.Upstream) (radishcrank.Incarnation, error) {
			if x.Resumes == "restarted" {
				return up.Incarnation + 1, nil
			}
			return listedIncarnation(ctx, up)
		},
		Metrics: metrics, Log: zerolog.Nop(),
	})
	x.Services = []string{"s"}
	x.ID, x.Service, x.Method, x.Target = "r1", "s", http.MethodPost, "/p"
	x.ReceivedAt = time.Now()
	if x.Deadline.IsZero() {
		x.Deadline = x.ReceivedAt.Add(2 * time.Second)
	}
	if x.Route.LatencyTarget == 0 {
		x.Route.LatencyTarget = 150 * time.Millisecond
	}
	return metrics, f.Serve(ctx, w, &x)
}

func nonIdempotent() radishcrank.Exchange {
	return radishcrank.Exchange{Route: radishcrank.RoutePolicy{Retry: radishcrank.RetryNever, MaxAttempts: 1}}
}

func idempotent() radishcrank.Exchange {
	return radishcrank.Exchange{Route: radishcrank.RoutePolicy{Retry: radishcrank.RetryAllowed, MaxAttempts: 2}}
}

func streaming(r radishcrank.RetryPolicy) radishcrank.Exchange {
	return radishcrank.Exchange{Route: radishcrank.RoutePolicy{
		Retry: r, Stream: true, MaxAttempts: 2, LatencyTarget: 600 * time.Millisecond, MaxEventGap: 300 * time.Millisecond,
	}}
}

// generating returns a stream whose upstreams all have weights that have just been
// replaced.
func generating() radishcrank.Exchange {
	x := streaming(radishcrank.RetryResume)
	x.Model = "m"
	return x
}

// takenUp returns a stream of which the client already has the first event.
func takenUp() radishcrank.Exchange {
	x := streaming(radishcrank.RetryResume)
	x.LastEventID, x.Resumes = "1", "r0"
	return x
}

func okReply() radishcrank.Reply {
	return radishcrank.Reply{Class: radishcrank.ReplyAnswered, Status: http.StatusOK, Header: http.Header{}}
}

// TestUnknownOutcomeIsNotRetried guards against a booking that is executed
// twice, and against a response that claims that it was not executed.
func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	for name, first := range map[string]step{
		"reset":         {err: errReset},
		"cut body":      {reply: okReply(), body: failingBody("half")},
		"foreign reply": {reply: radishcrank.Reply{Class: radishcrank.ReplyInvalid, Status: http.StatusOK}},
	} {
		t.Run(name, func(t *testing.T) {
			s := &scriptedSender{steps: []step{first}}
			got := serve(s, 3, stubBudget{}, nonIdempotent())
			require.NoError(t, got.err)
			require.Equal(t, http.StatusBadGateway, got.Code)
			require.Len(t, s.sent, 1)
		})
	}
}

// TestProvenRefusalIsRetried guards against a booking that is lost although its
// first upstream proved that it did not execute it.
func TestProvenRefusalIsRetried(t *testing.T) {
	for name, first := range map[string]step{
		"busy":        {reply: radishcrank.Reply{Class: radishcrank.ReplyBusy, Status: http.StatusServiceUnavailable}},
		"misdirected": {reply: radishcrank.Reply{Class: radishcrank.ReplyMisdirected, Status: http.StatusMisdirectedRequest}},
		"not sent":    {err: radishcrank.ErrNotSent},
	} {
		t.Run(name, func(t *testing.T) {
			s := &scriptedSender{steps: []step{first, {reply: okReply(), body: strings.NewReader("ok")}}}
			got := serve(s, 3, stubBudget{}, nonIdempotent())
			require.Equal(t, http.StatusOK, got.Code)
			require.Equal(t, "ok", got.Body.String())
			require.Len(t, s.sent, 2)
			require.NotEqual(t, s.sent[0].up, s.sent[1].up)
		})
	}
}

// TestRefusalHasRetryAfter guards against a refusal without Retry-After and
// against retries beyond the budget.
func TestRefusalHasRetryAfter(t *testing.T) {
	busy := step{reply: radishcrank.Reply{Class: radishcrank.ReplyBusy, Status: http.StatusServiceUnavailable}}
	s := &scriptedSender{steps: []step{busy, busy}}
	got := serve(s, 3, stubBudget{empty: true}, nonIdempotent())
	require.Equal(t, http.StatusServiceUnavailable, got.Code)
	require.NotEmpty(t, got.Header().Get("Retry-After"))
	require.Len(t, s.sent, 1)
}

// TestNoUpstreamsRefusedImmediately guards against a client that waits until
// its deadline although there is no upstream.
func TestNoUpstreamsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		got := serve(&scriptedSender{}, 0, stubBudget{}, nonIdempotent())
		require.Equal(t, http.StatusServiceUnavailable, got.Code)
		require.Zero(t, time.Since(start))
	})
}

// TestTriedUpstreamsAreWaitedFor guards against a client that waits for an upstream
// although all of them have refused its request.
func TestTriedUpstreamsAreWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		busy := step{reply: radishcrank.Reply{Class: radishcrank.ReplyBusy, Status: http.StatusServiceUnavailable}}
		start := time.Now()
		got := serve(&scriptedSender{steps: []step{busy, busy}}, 2, stubBudget{}, nonIdempotent())
		require.Equal(t, http.StatusServiceUnavailable, got.Code)
		require.Zero(t, time.Since(start))
	})
}

// TestIdempotentFailureIsRetried guards against an idempotent request that
// fails although another upstream would succeed, and against a generated error
// where the upstream returned its own.
func TestIdempotentFailureIsRetried(t *testing.T) {
	failure := radishcrank.Reply{Class: radishcrank.ReplyAnswered, Status: http.StatusInternalServerError, Header: http.Header{"X": {"upstream"}}}
	s := &scriptedSender{steps: []step{{reply: failure}, {reply: okReply(), body: strings.NewReader("ok")}}}
	got := serve(s, 3, stubBudget{}, idempotent())
	require.Equal(t, http.StatusOK, got.Code)

	s = &scriptedSender{steps: []step{{reply: failure, body: strings.NewReader("no")}, {reply: failure, body: strings.NewReader("no")}}}
	got = serve(s, 3, stubBudget{}, idempotent())
	require.Equal(t, http.StatusInternalServerError, got.Code)
	require.Equal(t, "upstream", got.Header().Get("X"))
	require.Equal(t, "no", got.Body.String())
	require.Len(t, s.sent, 2, "more attempts than the route allows")
}

// TestIdleUpstreamTimesOut guards against an idempotent request that waits
// until its deadline at an upstream that hangs.
func TestIdleUpstreamTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSender{steps: []step{{hang: true}, {reply: okReply(), body: strings.NewReader("ok")}}}
		start := time.Now()
		got := serve(s, 3, stubBudget{}, idempotent())
		require.Equal(t, http.StatusOK, got.Code)
		require.Equal(t, 330*time.Millisecond, time.Since(start)) // replyTimeoutFactor times the latency target.
	})
}

// TestDeadlineAnswered guards against a client that gets no response when the
// timeout of the route has passed, and against a 503 for a request that may
// have run.
func TestDeadlineAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		got := serve(&scriptedSender{steps: []step{{hang: true}}}, 3, stubBudget{}, nonIdempotent())
		require.Equal(t, http.StatusGatewayTimeout, got.Code)
		require.Equal(t, 2*time.Second, time.Since(start))
	})
}

// TestStreamContinuesAfterLastWholeEvent guards against a resumed stream in
// which an event is missing, duplicated or assembled from two halves.
func TestStreamContinuesAfterLastWholeEvent(t *testing.T) {
	s := &scriptedSender{steps: []step{
		{reply: okReply(), body: failingBody("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda")},
		{reply: okReply(), body: strings.NewReader("id: 3\ndata: c\n\nid: 4\ndata: d\n\n")},
	}}
	got := serve(s, 3, stubBudget{}, streaming(radishcrank.RetryResume))
	require.NoError(t, got.err)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n", got.Body.String())
	require.Equal(t, "2", s.sent[1].o.LastEventID)
}

// TestOutOfOrderContinuationIsTruncated guards against forwarding events that
// the client already has.
func TestOutOfOrderContinuationIsTruncated(t *testing.T) {
	s := &scriptedSender{steps: []step{
		{reply: okReply(), body: failingBody("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")},
		{reply: okReply(), body: strings.NewReader("id: 1\ndata: a\n\n")},
	}}
	got := serve(s, 3, stubBudget{}, streaming(radishcrank.RetryResume))
	require.ErrorIs(t, got.err, ErrTruncated)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", got.Body.String())
}

// TestEventsBeforeOneOutOfOrderAreLost guards against events that the client never gets
// because one that is out of order was read together with them.
func TestEventsBeforeOneOutOfOrderAreLost(t *testing.T) {
	s := &scriptedSender{steps: []step{
		{reply: okReply(), body: strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 2\ndata: b\n\n")},
		{reply: okReply(), body: strings.NewReader("id: 3\ndata: c\n\n")},
	}}
	got := serve(s, 3, stubBudget{}, streaming(radishcrank.RetryResume))
	require.NoError(t, got.err)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", got.Body.String())
}

// TestBrokenStreamIsTruncated guards against a broken stream that is not
// resumable and ends as if it were complete.
func TestBrokenStreamIsTruncated(t *testing.T) {
	s := &scriptedSender{steps: []step{{reply: okReply(), body: failingBody("id: 1\ndata: a\n\nid: 2")}}}
	got := serve(s, 3, stubBudget{}, streaming(radishcrank.RetryNever))
	require.ErrorIs(t, got.err, ErrTruncated)
	require.Len(t, s.sent, 1)
}

// TestCrashingContentIsRefused guards against a request that crashes one
// upstream after the other.
func TestCrashingContentIsRefused(t *testing.T) {
	board := rcboard.New()
	guard := rcpoison.New(rcpoison.Config{Board: board, Instance: "i"})
	fleet := rcfleet.New()
	var entries []rcfleet.Entry
	for i := range 8 {
		entries = append(entries, rcfleet.Entry{Upstream: radishcrank.Upstream{ID: radishcrank.UpstreamID(fmt.Sprint("u", i)), Service: "s", Incarnation: 1}})
	}
	fleet.Replace(entries)
	s := &scriptedSender{}
	for range 20 {
		s.steps = append(s.steps, step{err: errReset})
	}
	f := New(Config{
		Fleet: fleet, Sender: s, Budget: stubBudget{}, Guard: guard,
		Weights:       func(radishcrank.ModelID) rcweights.History { return rcweights.History{} },
		OldWeightsTTL: func() time.Duration { return 0 },
		KVStores:      func() []rcaffinity.KVStore { return nil },
		Metrics:       &rcmetric.Set{}, Log: zerolog.Nop(),
	})
	for i := range 10 {
		x := nonIdempotent()
		x.ID, x.Service, x.Method, x.Target, x.Body = radishcrank.RequestID(fmt.Sprint(i)), "s", http.MethodPost, "/p", []byte("bad")
		x.ReceivedAt, x.Deadline = time.Now(), time.Now().Add(2*time.Second)
		x.Route.LatencyTarget = 150 * time.Millisecond
		w := httptest.NewRecorder()
		require.NoError(t, f.Serve(context.Background(), w, &x))
		if len(s.sent) == rcpoison.VerdictThreshold && i >= rcpoison.VerdictThreshold {
			require.Equal(t, http.StatusBadRequest, w.Code)
			require.Empty(t, w.Header().Get("Retry-After"))
		}
	}
	require.Len(t, s.sent, rcpoison.VerdictThreshold)
}

// reservedGuard is a Guard whose upstreams are all reserved for other requests.
type reservedGuard struct{ *rcpoison.Tracker }

func (reservedGuard) StartRun(ctx context.Context, _ radishcrank.Request, _ radishcrank.Upstream) (func(crashed, finished bool), error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestReservedUpstreamWaitIsBounded guards against a request that waits for a
// reserved upstream until its client disconnects: in a load test such requests
// waited 2.4 s and were then refused.
func TestReservedUpstreamWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		got := serveWith(reservedGuard{rcpoison.New(rcpoison.Config{Board: rcboard.New()})}, &scriptedSender{}, 3, stubBudget{}, nonIdempotent())
		require.Equal(t, http.StatusServiceUnavailable, got.Code)
		require.LessOrEqual(t, time.Since(start), 150*time.Millisecond)
	})
}

// TestCachedPartsRecordedOnFirstEvent guards against parts recorded as cached
// although the attempt that was to read them was refused.
func TestCachedPartsRecordedOnFirstEvent(t *testing.T) {
	x := streaming(radishcrank.RetryResume)
	x.Model, x.PromptParts = "m", []radishcrank.PromptPart{{ID: "a", Tokens: 10}, {ID: "b", Tokens: 10}}
	f, fleet := New(Config{Metrics: &rcmetric.Set{}, Log: zerolog.Nop()}), rcfleet.New()
	var recorded []radishcrank.UpstreamID
	f.cfg.RecordCached = func(id radishcrank.UpstreamID, _ string, _ []radishcrank.PromptPart) { recorded = append(recorded, id) }
	f.cfg.Fleet, f.cfg.Budget, f.cfg.Guard = fleet, stubBudget{}, rcpoison.New(rcpoison.Config{Board: rcboard.New()})
	f.cfg.Weights = func(radishcrank.ModelID) rcweights.History { return rcweights.History{} }
	f.cfg.OldWeightsTTL = func() time.Duration { return 0 }
	f.cfg.KVStores = func() []rcaffinity.KVStore { return nil }
	for _, id := range []radishcrank.UpstreamID{"u0", "u1"} {
		fleet.Put(rcfleet.Entry{
			Upstream: radishcrank.Upstream{ID: id, Service: "s"},
			Weights:  map[radishcrank.ModelID]radishcrank.WeightsVersion{"m": "1"},
		})
	}
	s := &scriptedSender{steps: []step{
		{reply: radishcrank.Reply{Class: radishcrank.ReplyBusy}},
		{reply: okReply(), body: strings.NewReader("id: 1\n\n")},
	}}
	f.cfg.Sender = s
	x.ID, x.Service, x.ReceivedAt, x.Deadline = "r", "s", time.Now(), time.Now().Add(time.Minute)
	require.NoError(t, f.Serve(t.Context(), httptest.NewRecorder(), &x))
	require.Len(t, s.sent, 2)
	require.Equal(t, []radishcrank.UpstreamID{s.sent[1].up}, recorded)
}

// TestFullEngineIsAwaited guards against streams that leave an engine that is
// merely full, discarding what it has read and loading the next one, and
// against streams that stay at a hanging engine until their client disconnects.
func TestFullEngineIsAwaited(t *testing.T) {
	for _, c := range []struct {
		wait time.Duration
		hang bool
		sent int
	}{
		{wait: 1050 * time.Millisecond, sent: 1},
		{hang: true, sent: 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			reply := func(wait time.Duration, hang bool) step {
				return step{after: wait, hang: hang, reply: okReply(), body: strings.NewReader("id: 1\ndata: x\n\n")}
			}
			s := &scriptedSender{steps: []step{reply(c.wait, c.hang), reply(300*time.Millisecond, false)}}
			x := streaming(radishcrank.RetryResume)
			x.Route.LatencyTarget = 400 * time.Millisecond
			start := time.Now()
			got := serve(s, 3, stubBudget{}, x)
			require.Equal(t, http.StatusOK, got.Code)
			require.Len(t, s.sent, c.sent)
			require.Less(t, time.Since(start), 4*x.Route.LatencyTarget, "clients have disconnected")
		})
	}
}

// TestFirstEventTimeoutGrowsWithExpectedWait guards against streams that leave
// a full engine just before their turn, so that another engine reads the whole
// prompt again. That happened to 1,000 of 7,000 attempts in a load test.
func TestFirstEventTimeoutGrowsWithExpectedWait(t *testing.T) {
	x := streaming(radishcrank.RetryResume)
	d := &dispatch{x: &x}
	require.Equal(t, 1800*time.Millisecond, d.responseTimeout(50*time.Millisecond))
	require.Equal(t, 4500*time.Millisecond, d.responseTimeout(1500*time.Millisecond))
	d.runs = 1
	require.Zero(t, d.responseTimeout(0), "the last attempt is limited only by the deadline")
}
