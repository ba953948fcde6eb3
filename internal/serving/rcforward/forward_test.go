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
	"github.com/radishcrank/radishcrank/internal/state/rcweights"
)

// script answers the sends of a test one after the other.
type script struct {
	mu    sync.Mutex
	steps []step
	sent  []sent
}

type step struct {
	reply radishcrank.Reply
	body  io.Reader
	err   error
	hang  bool          // Nothing comes until the send is cancelled.
	after time.Duration // How long the answer takes.
}

type sent struct {
	up radishcrank.UpstreamID
	o  radishcrank.SendOptions
}

func (s *script) Send(ctx context.Context, up radishcrank.Upstream, _ *radishcrank.Exchange, o radishcrank.SendOptions) (*radishcrank.Reply, error) {
	s.mu.Lock()
	n := len(s.sent)
	s.sent = append(s.sent, sent{up.ID, o})
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

type freeBudget struct{ empty bool }

func (freeBudget) RecordRequest(string)     {}
func (b freeBudget) AllowRetry(string) bool { return !b.empty }

var errReset = errors.New("connection reset")

// broken is a body that ends with an error.
func broken(text string) io.Reader { return io.MultiReader(strings.NewReader(text), failing{}) }

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errReset }

type outcome struct {
	*httptest.ResponseRecorder
	err     error
	metrics *rcmetric.Set
}

func serve(sender *script, upstreams int, budget RetryBudget, x radishcrank.Exchange) outcome {
	return serveWith(rcpoison.New(rcpoison.Config{Board: rcboard.New()}), sender, upstreams, budget, x)
}

func serveWith(guard Guard, sender *script, upstreams int, budget RetryBudget, x radishcrank.Exchange) outcome {
	w := httptest.NewRecorder()
	metrics, err := serveOn(context.Background(), w, guard, sender, upstreams, budget, x)
	return outcome{w, err, metrics}
}

func serveOn(ctx context.Context, w http.ResponseWriter, guard Guard, sender *script, upstreams int, budget RetryBudget, x radishcrank.Exchange) (*rcmetric.Set, error) {
	metrics := &rcmetric.Set{}
	fleet := rcfleet.New()
	var entries []rcfleet.Entry
	for i := range upstreams {
		entries = append(entries, rcfleet.Entry{Upstream: radishcrank.Upstream{ID: radishcrank.UpstreamID(fmt.Sprint("u", i)), Service: "s"}})
	}
	fleet.Replace(entries)
	f := New(Config{
		Fleet: fleet, Sender: sender, Budget: budget,
		Guard:         guard,
		Weights:       func(radishcrank.ModelID) rcweights.History { return rcweights.History{} },
		OldWeightsTTL: func() time.Duration { return 0 },
		KVStores:      func() []rcaffinity.KVStore { return nil },
		Metrics:       metrics, Log: zerolog.Nop(),
	})
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

func once() radishcrank.Exchange {
	return radishcrank.Exchange{Route: radishcrank.RoutePolicy{Retry: radishcrank.RetryNever, MaxAttempts: 1}}
}

func repeatable() radishcrank.Exchange {
	return radishcrank.Exchange{Route: radishcrank.RoutePolicy{Retry: radishcrank.RetryAllowed, MaxAttempts: 2}}
}

func stream(r radishcrank.RetryPolicy) radishcrank.Exchange {
	return radishcrank.Exchange{Route: radishcrank.RoutePolicy{
		Retry: r, Stream: true, MaxAttempts: 2, LatencyTarget: 600 * time.Millisecond, MaxEventGap: 300 * time.Millisecond,
	}}
}

func answer200() radishcrank.Reply {
	return radishcrank.Reply{Class: radishcrank.ReplyAnswered, Status: http.StatusOK, Header: http.Header{}}
}

// TestUnknownOutcomeIsNotRepeated guards against a booking that runs twice, and
// against a refusal that claims that it has not run.
func TestUnknownOutcomeIsNotRepeated(t *testing.T) {
	for name, first := range map[string]step{
		"reset":         {err: errReset},
		"cut body":      {reply: answer200(), body: broken("half")},
		"foreign reply": {reply: radishcrank.Reply{Class: radishcrank.ReplyInvalid, Status: http.StatusOK}},
	} {
		t.Run(name, func(t *testing.T) {
			s := &script{steps: []step{first}}
			got := serve(s, 3, freeBudget{}, once())
			require.NoError(t, got.err)
			require.Equal(t, http.StatusBadGateway, got.Code)
			require.Len(t, s.sent, 1)
		})
	}
}

// TestProvenRefusalIsRepeated guards against a booking that is lost though its
// first upstream proved that it did not run it.
func TestProvenRefusalIsRepeated(t *testing.T) {
	for name, first := range map[string]step{
		"busy":        {reply: radishcrank.Reply{Class: radishcrank.ReplyBusy, Status: http.StatusServiceUnavailable}},
		"misdirected": {reply: radishcrank.Reply{Class: radishcrank.ReplyMisdirected, Status: http.StatusMisdirectedRequest}},
		"not sent":    {err: radishcrank.ErrNotSent},
	} {
		t.Run(name, func(t *testing.T) {
			s := &script{steps: []step{first, {reply: answer200(), body: strings.NewReader("ok")}}}
			got := serve(s, 3, freeBudget{}, once())
			require.Equal(t, http.StatusOK, got.Code)
			require.Equal(t, "ok", got.Body.String())
			require.Len(t, s.sent, 2)
			require.NotEqual(t, s.sent[0].up, s.sent[1].up)
		})
	}
}

// TestRefusalIsTrueAndNamesATime guards against a refusal without Retry-After and
// against repeats beyond the budget.
func TestRefusalIsTrueAndNamesATime(t *testing.T) {
	busy := step{reply: radishcrank.Reply{Class: radishcrank.ReplyBusy, Status: http.StatusServiceUnavailable}}
	s := &script{steps: []step{busy, busy}}
	got := serve(s, 3, freeBudget{empty: true}, once())
	require.Equal(t, http.StatusServiceUnavailable, got.Code)
	require.NotEmpty(t, got.Header().Get("Retry-After"))
	require.Len(t, s.sent, 1)
}

// TestNothingIsHeldWithoutUpstreams guards against a caller who waits for its
// deadline though no upstream is there.
func TestNothingIsHeldWithoutUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		got := serve(&script{}, 0, freeBudget{}, once())
		require.Equal(t, http.StatusServiceUnavailable, got.Code)
		require.Zero(t, time.Since(begun))
	})
}

// TestFailureOfRepeatableIsRepeated guards against a look-up that fails though
// another upstream would answer, and against a failure that is made up where
// the upstream gave one.
func TestFailureOfRepeatableIsRepeated(t *testing.T) {
	failure := radishcrank.Reply{Class: radishcrank.ReplyAnswered, Status: http.StatusInternalServerError, Header: http.Header{"X": {"upstream"}}}
	s := &script{steps: []step{{reply: failure}, {reply: answer200(), body: strings.NewReader("ok")}}}
	got := serve(s, 3, freeBudget{}, repeatable())
	require.Equal(t, http.StatusOK, got.Code)

	s = &script{steps: []step{{reply: failure, body: strings.NewReader("no")}, {reply: failure, body: strings.NewReader("no")}}}
	got = serve(s, 3, freeBudget{}, repeatable())
	require.Equal(t, http.StatusInternalServerError, got.Code)
	require.Equal(t, "upstream", got.Header().Get("X"))
	require.Equal(t, "no", got.Body.String())
	require.Len(t, s.sent, 2, "runs beyond the route's attempts")
}

// TestSilentUpstreamIsLeft guards against a look-up that waits for its deadline
// at an upstream that hangs.
func TestSilentUpstreamIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{steps: []step{{hang: true}, {reply: answer200(), body: strings.NewReader("ok")}}}
		begun := time.Now()
		got := serve(s, 3, freeBudget{}, repeatable())
		require.Equal(t, http.StatusOK, got.Code)
		require.Equal(t, 330*time.Millisecond, time.Since(begun)) // replyPatience times the objective.
	})
}

// TestTimeoutIsAnsweredAtOnce guards against a caller who hears nothing after the
// route's timeout, and against a 503 for a request that may have run.
func TestTimeoutIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		got := serve(&script{steps: []step{{hang: true}}}, 3, freeBudget{}, once())
		require.Equal(t, http.StatusGatewayTimeout, got.Code)
		require.Equal(t, 2*time.Second, time.Since(begun))
	})
}

// TestStreamContinuesAfterLastWholeEvent guards against a resumed stream in which
// an event is missing, comes twice or is made of two halves.
func TestStreamContinuesAfterLastWholeEvent(t *testing.T) {
	s := &script{steps: []step{
		{reply: answer200(), body: broken("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda")},
		{reply: answer200(), body: strings.NewReader("id: 3\ndata: c\n\nid: 4\ndata: d\n\n")},
	}}
	got := serve(s, 3, freeBudget{}, stream(radishcrank.RetryResume))
	require.NoError(t, got.err)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n", got.Body.String())
	require.Equal(t, "2", s.sent[1].o.LastEventID)
}

// TestWrongContinuationIsCut guards against events that the caller already has.
func TestWrongContinuationIsCut(t *testing.T) {
	s := &script{steps: []step{
		{reply: answer200(), body: broken("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")},
		{reply: answer200(), body: strings.NewReader("id: 1\ndata: a\n\n")},
	}}
	got := serve(s, 3, freeBudget{}, stream(radishcrank.RetryResume))
	require.ErrorIs(t, got.err, ErrTruncated)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", got.Body.String())
}

// TestBrokenStreamLooksBroken guards against a stream that may not be resumed and
// that ends as if it were complete.
func TestBrokenStreamLooksBroken(t *testing.T) {
	s := &script{steps: []step{{reply: answer200(), body: broken("id: 1\ndata: a\n\nid: 2")}}}
	got := serve(s, 3, freeBudget{}, stream(radishcrank.RetryNever))
	require.ErrorIs(t, got.err, ErrTruncated)
	require.Len(t, s.sent, 1)
}

// TestCrashingContentIsRefused guards against a request that crashes one upstream
// after the other.
func TestCrashingContentIsRefused(t *testing.T) {
	board := rcboard.New()
	guard := rcpoison.New(rcpoison.Config{Board: board, Instance: "i"})
	fleet := rcfleet.New()
	var entries []rcfleet.Entry
	for i := range 8 {
		entries = append(entries, rcfleet.Entry{Upstream: radishcrank.Upstream{ID: radishcrank.UpstreamID(fmt.Sprint("u", i)), Service: "s", Incarnation: 1}})
	}
	fleet.Replace(entries)
	s := &script{}
	for range 20 {
		s.steps = append(s.steps, step{err: errReset})
	}
	f := New(Config{
		Fleet: fleet, Sender: s, Budget: freeBudget{}, Guard: guard,
		Weights:       func(radishcrank.ModelID) rcweights.History { return rcweights.History{} },
		OldWeightsTTL: func() time.Duration { return 0 },
		KVStores:      func() []rcaffinity.KVStore { return nil },
		Metrics:       &rcmetric.Set{}, Log: zerolog.Nop(),
	})
	for i := range 10 {
		x := once()
		x.ID, x.Service, x.Method, x.Target, x.Body = radishcrank.RequestID(fmt.Sprint(i)), "s", http.MethodPost, "/p", []byte("bad")
		x.ReceivedAt, x.Deadline = time.Now(), time.Now().Add(2*time.Second)
		x.Route.LatencyTarget = 150 * time.Millisecond
		w := httptest.NewRecorder()
		require.NoError(t, f.Serve(context.Background(), w, &x))
		if len(s.sent) == rcpoison.VerdictThreshold && i >= rcpoison.VerdictThreshold {
			require.Equal(t, http.StatusServiceUnavailable, w.Code)
		}
	}
	require.Len(t, s.sent, rcpoison.VerdictThreshold)
}

// reserving is a Guard whose upstreams are all reserved for other requests.
type reserving struct{ *rcpoison.Tracker }

func (reserving) StartRun(ctx context.Context, _ radishcrank.Request, _ radishcrank.Upstream) (func(crashed, finished bool), error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestSuspectIsNotHeld guards against a request that waits for a reserved upstream
// until its caller leaves (Riga scale-1: 2.4 s, then refused).
func TestSuspectIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		got := serveWith(reserving{rcpoison.New(rcpoison.Config{Board: rcboard.New()})}, &script{}, 3, freeBudget{}, once())
		require.Equal(t, http.StatusServiceUnavailable, got.Code)
		require.LessOrEqual(t, time.Since(begun), 150*time.Millisecond)
	})
}

// TestHoldFollowsFirstEvent guards against parts that are believed to be cached
// though the attempt that was to read them was refused.
func TestHoldFollowsFirstEvent(t *testing.T) {
	x := stream(radishcrank.RetryResume)
	x.Model, x.PromptParts = "m", []radishcrank.PromptPart{{ID: "a", Tokens: 10}, {ID: "b", Tokens: 10}}
	f, fleet := New(Config{Metrics: &rcmetric.Set{}, Log: zerolog.Nop()}), rcfleet.New()
	var held []radishcrank.UpstreamID
	f.cfg.RecordCached = func(id radishcrank.UpstreamID, _ string, _ []radishcrank.PromptPart) { held = append(held, id) }
	f.cfg.Fleet, f.cfg.Budget, f.cfg.Guard = fleet, freeBudget{}, rcpoison.New(rcpoison.Config{Board: rcboard.New()})
	f.cfg.Weights = func(radishcrank.ModelID) rcweights.History { return rcweights.History{} }
	f.cfg.OldWeightsTTL = func() time.Duration { return 0 }
	f.cfg.KVStores = func() []rcaffinity.KVStore { return nil }
	for _, id := range []radishcrank.UpstreamID{"u0", "u1"} {
		fleet.Put(rcfleet.Entry{
			Upstream: radishcrank.Upstream{ID: id, Service: "s"},
			Weights:  map[radishcrank.ModelID]radishcrank.WeightsVersion{"m": "1"},
		})
	}
	s := &script{steps: []step{
		{reply: radishcrank.Reply{Class: radishcrank.ReplyBusy}},
		{reply: answer200(), body: strings.NewReader("id: 1\n\n")},
	}}
	f.cfg.Sender = s
	x.ID, x.Service, x.ReceivedAt, x.Deadline = "r", "s", time.Now(), time.Now().Add(time.Minute)
	require.NoError(t, f.Serve(t.Context(), httptest.NewRecorder(), &x))
	require.Len(t, s.sent, 2)
	require.Equal(t, []radishcrank.UpstreamID{s.sent[1].up}, held)
}

// TestFullEngineIsWaitedFor guards against streams that leave an engine which is
// only full and take what it has read with them, on top of the load of the next
// one (Riga grown scale-1), and against those that stay at one that hangs until
// their caller leaves.
func TestFullEngineIsWaitedFor(t *testing.T) {
	for _, c := range []struct {
		wait time.Duration
		hang bool
		sent int
	}{
		{wait: 1050 * time.Millisecond, sent: 1},
		{hang: true, sent: 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			answer := func(wait time.Duration, hang bool) step {
				return step{after: wait, hang: hang, reply: answer200(), body: strings.NewReader("id: 1\ndata: x\n\n")}
			}
			s := &script{steps: []step{answer(c.wait, c.hang), answer(300*time.Millisecond, false)}}
			x := stream(radishcrank.RetryResume)
			x.Route.LatencyTarget = 400 * time.Millisecond
			begun := time.Now()
			got := serve(s, 3, freeBudget{}, x)
			require.Equal(t, http.StatusOK, got.Code)
			require.Len(t, s.sent, c.sent)
			require.Less(t, time.Since(begun), 4*x.Route.LatencyTarget, "callers have left")
		})
	}
}

// TestPatienceGrowsWithTheExpectedWait guards against streams that leave a full
// engine just before their turn and have all of it read again elsewhere (Riga
// grown scale-1: a thousand of 7,000 attempts).
func TestPatienceGrowsWithTheExpectedWait(t *testing.T) {
	x := stream(radishcrank.RetryResume)
	fl := &flight{x: &x}
	require.Equal(t, 1800*time.Millisecond, fl.firstWait(50*time.Millisecond))
	require.Equal(t, 4500*time.Millisecond, fl.firstWait(1500*time.Millisecond))
	fl.runs = 1
	require.Zero(t, fl.firstWait(0), "the last attempt has until the deadline")
}
