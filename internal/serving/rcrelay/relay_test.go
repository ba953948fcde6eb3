package rcrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/testing/rcbubble"
	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

const responseTokens = 12

func tokenText(w radishcrank.WeightsVersion, i int) string { return fmt.Sprintf("%s-%d ", w, i) }

func responseText(w radishcrank.WeightsVersion, from, n int) string {
	var b strings.Builder
	for i := from; i < n; i++ {
		b.WriteString(tokenText(w, i))
	}
	return b.String()
}

// fault describes the behavior of one run on a fake engine.
type fault struct {
	open    error // Returned by Generate.
	after   int   // Number of tokens of the run before kind applies.
	kind    string
	prefill time.Duration
}

// fleet implements the chooser, the dialer and the engines. Run n of the fleet has
// fault n.
type fleet struct {
	weights    []radishcrank.WeightsVersion // By engine.
	faults     []fault
	ignorePins bool
	predicted  time.Duration

	mu             sync.Mutex
	runs           int
	reachedRuns    int
	openPlacements int // Placements without a Done or Failure observation.
	openStreams    int // Streams that have not been closed.
	closeIdleCalls int // Number of calls to CloseIdle.
	failures       []error
}

func (f *fleet) Choose(_ context.Context, req radishcrank.Request, exclude []radishcrank.UpstreamID) (radishcrank.Placement, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, w := range f.weights {
		id := radishcrank.UpstreamID(fmt.Sprint("e", i))
		pinned := req.PinnedWeights != "" && req.PinnedWeights != w && !f.ignorePins
		if !pinned && !slices.Contains(exclude, id) {
			f.openPlacements++
			return radishcrank.Placement{Upstream: radishcrank.Upstream{ID: id}, Weights: w, PredictedTTFT: f.predicted}, nil
		}
	}
	return radishcrank.Placement{}, &radishcrank.Refusal{Status: 503, Code: "no_engine", Outcome: radishcrank.OutcomeNotRun, RetryAfter: time.Second}
}

func (f *fleet) Observe(_ radishcrank.Request, _ radishcrank.Placement, o radishcrank.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Kind != radishcrank.ObservedFirstToken {
		f.openPlacements--
	}
	if o.Kind == radishcrank.ObservedFailure {
		f.failures = append(f.failures, o.Err)
	}
}

func (f *fleet) Engine(radishcrank.Upstream) radishcrank.Engine { return &fakeEngine{f: f} }

type fakeEngine struct {
	radishcrank.Engine
	f *fleet
}

func (e *fakeEngine) CloseIdle() {
	e.f.mu.Lock()
	defer e.f.mu.Unlock()
	e.f.closeIdleCalls++
}

func (e *fakeEngine) Generate(ctx context.Context, req radishcrank.GenerateRequest) (radishcrank.TokenStream, error) {
	e.f.mu.Lock()
	defer e.f.mu.Unlock()
	var fl fault
	if e.f.runs < len(e.f.faults) {
		fl = e.f.faults[e.f.runs]
	}
	e.f.runs++
	if fl.open == nil || mayHaveReached(fl.open) {
		e.f.reachedRuns++
	}
	if fl.open != nil {
		return nil, fl.open
	}
	e.f.openStreams++
	return &fakeStream{ctx: ctx, f: e.f, fault: fl, weights: req.Weights, next: req.ResumeFrom}, nil
}

type fakeStream struct {
	ctx     context.Context
	f       *fleet
	fault   fault
	weights radishcrank.WeightsVersion
	next    int
	sent    int
	closed  bool
}

func (s *fakeStream) Recv() (radishcrank.Token, error) {
	wait := 37 * time.Millisecond
	if s.sent == 0 {
		wait = s.fault.prefill
	}
	select {
	case <-time.After(wait):
	case <-s.ctx.Done():
		return radishcrank.Token{}, s.ctx.Err()
	}
	if s.fault.kind != "" && s.sent >= s.fault.after {
		switch s.fault.kind {
		case "silent":
			<-s.ctx.Done()
			return radishcrank.Token{}, s.ctx.Err()
		case "truncate":
			return radishcrank.Token{}, radishcrank.ErrTruncated
		case "short", "empty":
			return radishcrank.Token{}, io.EOF
		case "skip":
			return radishcrank.Token{Index: s.next + 1, Text: "wrong"}, nil
		}
	}
	if s.next >= responseTokens {
		return radishcrank.Token{}, io.EOF
	}
	t := radishcrank.Token{Index: s.next, Text: tokenText(s.weights, s.next)}
	s.next++
	s.sent++
	return t, nil
}

func (s *fakeStream) Finish() radishcrank.Finish {
	if s.fault.kind == "empty" { // Counts only the tokens that were delivered before the run.
		return radishcrank.Finish{Reason: "stop", Usage: radishcrank.Usage{CompletionTokens: s.next}}
	}
	return radishcrank.Finish{Reason: "stop", Usage: radishcrank.Usage{CompletionTokens: responseTokens}}
}

func (s *fakeStream) Close() error {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	if !s.closed {
		s.closed = true
		s.f.openStreams--
	}
	return nil
}

// collectingSink is a sink that collects the text and checks the order of the tokens.
type collectingSink struct {
	mu         sync.Mutex
	text       strings.Builder
	next       int
	outOfOrder bool
	finished   int
	failAt     int // The client disconnects after this many tokens; 0 means never.
}

func (c *collectingSink) Token(t radishcrank.Token) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outOfOrder = c.outOfOrder || t.Index != c.next || c.finished > 0
	c.next++
	c.text.WriteString(t.Text)
	if c.failAt > 0 && c.next >= c.failAt {
		return errors.New("connection reset")
	}
	return nil
}

func (c *collectingSink) Finish(radishcrank.Finish) error {
	c.finished++
	return nil
}

func newRelay(f *fleet, retrier Retrier, s Settings) *Relay {
	return New(Config{
		Board: rcboard.New(), Chooser: f, Dialer: f, MaxAttempts: 4, Retrier: retrier,
		Settings: func(radishcrank.ClientAccountID) Settings { return s },
	})
}

// alwaysHedge is a Retrier that allows all retries and hedges.
type alwaysHedge struct{ unlimited }

func (alwaysHedge) AllowHedge() bool { return true }

var request = radishcrank.Request{ID: "r1", Account: "a1", Model: "m", Prompt: "p"}

// Checks that whatever fails, a response has no gap, repeated token, mixed weights or
// false finish, that the outcome NotRun is never false, and that no stream or placement
// is left open.
func TestRelayCompletesOrFails(t *testing.T) {
	drawFault := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			open: rapid.SampledFrom([]error{nil, nil, nil, radishcrank.ErrNotSent, radishcrank.ErrUpstreamBusy, radishcrank.ErrTruncated}).Draw(t, "open"),
			kind: rapid.SampledFrom([]string{"", "silent", "truncate", "short", "skip"}).Draw(t, "kind"), after: rapid.IntRange(0, responseTokens).Draw(t, "after"),
			prefill: rapid.SampledFrom([]time.Duration{0, time.Second, 20 * time.Second}).Draw(t, "prefill"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		f := &fleet{
			weights:    rapid.SliceOfN(rapid.SampledFrom([]radishcrank.WeightsVersion{"w1", "w2"}), 1, 6).Draw(rt, "weights"),
			faults:     rapid.SliceOfN(drawFault, 0, 6).Draw(rt, "faults"),
			ignorePins: rapid.Bool().Draw(rt, "ignorePins"),
			predicted:  rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, 2 * time.Second}).Draw(rt, "predicted"),
		}
		retrier := rapid.SampledFrom([]Retrier{unlimited{}, alwaysHedge{}}).Draw(rt, "retrier")
		rcbubble.Run(t, func() {
			c := &collectingSink{}
			err := newRelay(f, retrier, Settings{}).Generate(context.Background(), request, c)
			synctest.Wait()
			require.False(rt, c.outOfOrder, "order")
			if c.next > 0 {
				w := radishcrank.WeightsVersion(c.text.String()[:2])
				require.Equal(rt, responseText(w, 0, c.next), c.text.String())
			}
			require.Zero(rt, f.openPlacements, "open placements")
			require.Zero(rt, f.openStreams, "open streams")
			if err == nil {
				require.Equal(rt, 1, c.finished)
				require.Equal(rt, responseTokens, c.next)
				return
			}
			require.Zero(rt, c.finished)
			var refusal *radishcrank.Refusal
			require.ErrorAs(rt, err, &refusal)
			require.Equal(rt, f.reachedRuns == 0, refusal.Outcome == radishcrank.OutcomeNotRun)
			require.Positive(rt, refusal.RetryAfter)
		})
	})
}

// Checks that a request whose first tokens were delivered by an earlier run never gets
// the outcome NotRun, and that it is not continued on unknown weights.
func TestContinuedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		req := request
		req.ResumeFrom, req.PinnedWeights = 5, "w1"
		f := &fleet{weights: []radishcrank.WeightsVersion{"w2", "w1"}}
		c := &collectingSink{next: 5}
		require.NoError(t, newRelay(f, nil, Settings{}).Generate(t.Context(), req, c))
		require.Equal(t, responseText("w1", 5, responseTokens), c.text.String())
		for _, change := range []func(*radishcrank.Request){
			func(r *radishcrank.Request) { r.PinnedWeights = "" },
			func(r *radishcrank.Request) { r.PinnedWeights = "w3" },
			func(r *radishcrank.Request) { r.ResumeFrom, r.PinnedWeights = 0, "w3" },
		} {
			again := req
			change(&again)
			err := newRelay(f, nil, Settings{}).Generate(t.Context(), again, c)
			require.Equal(t, radishcrank.OutcomeMayHaveRun, radishcrank.AsRefusal(err).Outcome)
		}
		require.Equal(t, 1, f.runs)
	})
}

// Checks that a silent connection is detected within the progress timeout, that the
// upstream's idle connections are closed, and that the timeouts of other requests on
// the upstream are shortened.
func TestSilentConnectionIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{weights: []radishcrank.WeightsVersion{"w1", "w1"}, faults: []fault{{kind: "silent", after: 3}, {kind: "silent", after: 60}}}
		r := newRelay(f, nil, Settings{})
		other := &watchdog{}
		var shortened time.Duration
		start := time.Now()
		other.expired = func() { shortened = time.Since(start) }
		other.arm(time.Minute, 0)
		r.watchdogs.add("e0", other)
		c := &collectingSink{}
		require.NoError(t, r.Generate(t.Context(), request, c))
		require.Less(t, time.Since(start), 7*time.Second)
		require.Equal(t, 1, f.closeIdleCalls)
		require.ErrorIs(t, f.failures[0], radishcrank.ErrNoProgress)
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Less(t, shortened, 17*time.Second)
	})
}

// Checks that a slow first token is hedged and that only one response is delivered.
func TestHedgeDeliversOneResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{weights: []radishcrank.WeightsVersion{"w1", "w1"}, faults: []fault{{prefill: 3 * time.Second}}, predicted: 100 * time.Millisecond}
		c := &collectingSink{}
		start := time.Now()
		require.NoError(t, newRelay(f, alwaysHedge{}, Settings{}).Generate(t.Context(), request, c))
		synctest.Wait()
		require.Less(t, time.Since(start), time.Second)
		require.Equal(t, responseText("w1", 0, responseTokens), c.text.String())
		require.Equal(t, 2, f.runs)
		require.ErrorIs(t, f.failures[0], context.Canceled)
	})
}

// Checks that a reconnected client gets exactly the remaining tokens, that other
// accounts cannot read the stream, and that the response is evicted after its retention
// time.
func TestReconnect(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		leaveAt := rapid.IntRange(1, responseTokens-1).Draw(rt, "leaveAt")
		wait := time.Duration(rapid.IntRange(0, 900).Draw(rt, "waitMilliseconds")) * time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{weights: []radishcrank.WeightsVersion{"w1", "w1"}, faults: []fault{{kind: "truncate", after: 5}}}
			r := newRelay(f, nil, Settings{})
			go r.Generate(context.Background(), request, &collectingSink{failAt: leaveAt})
			// A resumed attempt repeats one token, which delays the client's last token by one step.
			time.Sleep(time.Duration(leaveAt+1)*37*time.Millisecond + wait)
			rest := &collectingSink{next: leaveAt}
			require.ErrorIs(rt, r.Replay(context.Background(), "other", "r1", leaveAt-1, rest), ErrUnknownStream)
			require.NoError(rt, r.Replay(context.Background(), "a1", "r1", leaveAt-1, rest))
			require.Equal(rt, responseText("w1", leaveAt, responseTokens), rest.text.String())
			require.Equal(rt, 1, rest.finished)
			p, err := r.Fetch(context.Background(), "a1", "r1", leaveAt-1)
			require.NoError(rt, err)
			require.Len(rt, p.Tokens, responseTokens-leaveAt)
			require.True(rt, p.Done)
			time.Sleep(2 * time.Minute)
			require.ErrorIs(rt, r.Replay(context.Background(), "a1", "r1", leaveAt-1, rest), ErrUnknownStream)
			require.Empty(rt, r.streams)
		})
	})
}

// Checks that the upstream's work is canceled after the client disconnects.
func TestDisconnectCancels(t *testing.T) {
	for _, tc := range []struct{ grace, want time.Duration }{{-1, 0}, {2 * time.Second, 2 * time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{weights: []radishcrank.WeightsVersion{"w1"}, faults: []fault{{kind: "silent", after: 3}}}
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(time.Second, cancel)
			start := time.Now()
			err := newRelay(f, nil, Settings{ReconnectGrace: tc.grace}).Generate(ctx, request, &collectingSink{})
			require.ErrorIs(t, err, errClientGone)
			require.Equal(t, time.Second+tc.want, time.Since(start))
			require.Zero(t, f.openStreams)
		})
	}
}

// Checks that the size of a replay buffer is limited.
func TestReplayBufferIsBounded(t *testing.T) {
	s := newStream(request, Settings{MaxReplayBytes: 1000}, nil)
	for i := range 1000 {
		s.append(fmt.Sprint(i))
	}
	require.LessOrEqual(t, s.size(), 1000+streamOverhead)
	_, ok := s.read(0, 10, 100)
	require.False(t, ok)
	p, ok := s.read(999, 10, 100)
	require.True(t, ok)
	require.Equal(t, []radishcrank.Token{{Index: 999, Text: "999"}}, p.tokens)
}

// Checks that an engine that returns an empty finish for a resumed stream is treated as
// failed. Such a finish once truncated responses that were reported as complete.
func TestEmptyFinishAfterResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{weights: []radishcrank.WeightsVersion{"w1", "w1", "w1"}, faults: []fault{{kind: "truncate", after: 5}, {kind: "empty"}}}
		c := &collectingSink{}
		require.NoError(t, newRelay(f, nil, Settings{}).Generate(t.Context(), request, c))
		require.Equal(t, responseText("w1", 0, responseTokens), c.text.String())
		require.Equal(t, 3, f.runs)
	})
}

// Checks that an engine that becomes silent right after the repeated token of a resumed
// attempt is detected. At that point no timeout used to be running.
func TestSilenceAfterRepeatedToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{weights: []radishcrank.WeightsVersion{"w1", "w1", "w1"}, faults: []fault{{kind: "truncate", after: 5}, {kind: "silent", after: 1}}}
		c := &collectingSink{}
		start := time.Now()
		require.NoError(t, newRelay(f, nil, Settings{}).Generate(t.Context(), request, c))
		require.Equal(t, responseText("w1", 0, responseTokens), c.text.String())
		require.Less(t, time.Since(start), 7*time.Second)
	})
}

// Checks that a request is not refused while a rolling update changes weights faster
// than load reports show it: the load of engines that reject the request is refreshed
// and they are tried again, but for no longer than busyRetryWindow.
func TestBusyEnginesAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		busy := fault{open: radishcrank.ErrUpstreamBusy}
		f := &fleet{weights: []radishcrank.WeightsVersion{"w1", "w1"}, faults: []fault{busy, busy, busy, busy, busy}}
		r := newRelay(f, nil, Settings{})
		var refreshed []radishcrank.UpstreamID
		r.cfg.RefreshLoad = func(id radishcrank.UpstreamID) { refreshed = append(refreshed, id) }
		c := &collectingSink{}
		require.NoError(t, r.Generate(t.Context(), request, c))
		require.Equal(t, responseText("w1", 0, responseTokens), c.text.String())
		require.Len(t, refreshed, 5)

		f.faults = slices.Repeat([]fault{busy}, 1000)
		start := time.Now()
		err := r.Generate(t.Context(), request, &collectingSink{})
		require.Equal(t, radishcrank.OutcomeNotRun, radishcrank.AsRefusal(err).Outcome)
		require.LessOrEqual(t, time.Since(start), busyRetryWindow+busyRetryInterval)
	})
}
