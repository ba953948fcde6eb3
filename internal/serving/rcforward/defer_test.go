package rcforward

import (
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
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/state/rcweights"
)

// yielding returns a stream that gets another priority when it is late.
func yielding() radishcrank.Exchange {
	x := generating()
	x.Priority, x.LatePriority = 1, 4
	x.Deadline = time.Now().Add(10 * time.Second)
	return x
}

// TestLateAttemptYields guards against an attempt that is past the latency target and goes
// before those that are in time, and against a lower priority for a stream that the client
// has begun to receive.
func TestLateAttemptYields(t *testing.T) {
	busy := radishcrank.Reply{Class: radishcrank.ReplyBusy, Status: http.StatusServiceUnavailable}
	for name, c := range map[string]struct {
		first      step
		priorities []int
	}{
		"in time": {step{reply: busy, after: 10 * time.Millisecond}, []int{1, 1}},
		"late":    {step{reply: busy, after: 700 * time.Millisecond}, []int{1, 4}},
		"begun":   {step{reply: okReply(), body: failingBody("id: 1\n\n"), after: 700 * time.Millisecond}, []int{1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedSender{steps: []step{c.first, {reply: okReply(), body: strings.NewReader("id: 2\n\n")}}}
				got := serve(s, 3, stubBudget{}, yielding())
				require.NoError(t, got.err)
				var priorities []int
				for _, sent := range s.sent {
					priorities = append(priorities, sent.o.Priority)
				}
				require.Equal(t, c.priorities, priorities)
			})
		})
	}
}

// newEngineForwarder returns a forwarder with engines.
func newEngineForwarder(s radishcrank.Sender, ids ...radishcrank.UpstreamID) *Forwarder {
	fleet := rcfleet.New()
	for _, id := range ids {
		fleet.Put(rcfleet.Entry{
			Upstream: radishcrank.Upstream{ID: id, Service: "s", Software: "v1"},
			Weights:  map[radishcrank.ModelID]radishcrank.WeightsVersion{"m": "1"},
		})
	}
	return New(Config{
		Fleet: fleet, Sender: s, Budget: stubBudget{}, Guard: rcpoison.New(rcpoison.Config{Board: rcboard.New()}),
		Weights:       func(radishcrank.ModelID) rcweights.History { return rcweights.History{} },
		OldWeightsTTL: func() time.Duration { return 0 },
		KVStores:      func() []rcaffinity.KVStore { return nil },
		RecordCached:  func(radishcrank.UpstreamID, string, []radishcrank.PromptPart) {},
		Origins:       stubOrigins{}, Incarnation: listedIncarnation,
		Metrics: &rcmetric.Set{}, Log: zerolog.Nop(),
	})
}

// TestLargePromptYields guards against a prompt that yields, and is then rejected at a shorter
// wait, because of the time that its own prefill takes beyond 0.3 of its latency target.
func TestLargePromptYields(t *testing.T) {
	const small, large = 830, 25_000 // 21 and 625 ms to read, for a target of 600 ms.
	for _, c := range []struct {
		backlog          time.Duration
		tokens, priority int
	}{{570 * time.Millisecond, small, 1}, {590 * time.Millisecond, small, 4}, {0, large, 1}, {410 * time.Millisecond, large, 1}, {430 * time.Millisecond, large, 4}} {
		synctest.Test(t, func(t *testing.T) {
			s := &scriptedSender{steps: []step{{reply: okReply(), body: strings.NewReader("id: 1\n\n")}}}
			f := newEngineForwarder(s, "u")
			f.cfg.Fleet.Begin("u", 40*int(c.backlog.Milliseconds()))
			x := yielding()
			x.PromptParts = []radishcrank.PromptPart{{ID: "shared", Tokens: 0}, {ID: "own", Tokens: c.tokens}}
			x.ID, x.Service, x.ReceivedAt, x.Deadline = "r", "s", time.Now(), time.Now().Add(4*time.Second)
			require.NoError(t, f.Serve(t.Context(), httptest.NewRecorder(), &x))
			require.Len(t, s.sent, 1)
			require.Equal(t, c.priority, s.sent[0].o.Priority, "%v, %d tokens", c.backlog, c.tokens)
		})
	}
}

// TestYieldingIsNoSilence guards against engines that are taken out of use because streams
// that yield have not begun there, and against streams that stay at an engine of which
// others have heard nothing either.
func TestYieldingIsNoSilence(t *testing.T) {
	for _, suspected := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &scriptedSender{steps: []step{{hang: true}, {reply: okReply(), body: strings.NewReader("id: 1\n\n")}}}
			f := newEngineForwarder(s, "u0", "u1")
			for _, id := range []radishcrank.UpstreamID{"u0", "u1"} {
				f.cfg.Fleet.Begin(id, 700*40) // More than the latency target.
			}
			x := yielding()
			x.ID, x.Service, x.ReceivedAt, x.Deadline = "r", "s", time.Now(), time.Now().Add(4*time.Second)
			if suspected {
				time.AfterFunc(2*time.Second, func() {
					s.mu.Lock()
					defer s.mu.Unlock()
					f.cfg.Fleet.MarkSuspect(s.sent[0].up)
				})
			}
			require.NoError(t, f.Serve(t.Context(), httptest.NewRecorder(), &x))
			require.Equal(t, 4, s.sent[0].o.Priority)
			if suspected {
				require.Len(t, s.sent, 2)
				return
			}
			require.Len(t, s.sent, 1)
			for _, state := range f.cfg.Fleet.All() {
				require.False(t, state.Suspect || state.Probing)
			}
		})
	}
}

// TestWhoPaysFirst guards against callers that return earlier than told, and accounts that
// send many times their usual demand, that are served like all others in a shortage, and
// against any difference without one.
func TestWhoPaysFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSender{}
		f := newEngineForwarder(s, "u")
		fleet, metrics := f.cfg.Fleet, f.cfg.Metrics
		// send returns the priority at the engine, or -1 for a rejection.
		send := func(account radishcrank.ClientAccountID, body string) int {
			x := yielding()
			x.ID, x.Service, x.Account, x.Body = "r", "s", account, []byte(body)
			x.ReceivedAt, x.Deadline = time.Now(), time.Now().Add(4*time.Second)
			s.steps = append(s.steps, step{reply: okReply(), body: strings.NewReader("id: 1\n\n")})
			before := len(s.sent)
			require.NoError(t, f.Serve(t.Context(), httptest.NewRecorder(), &x))
			if len(s.sent) == before {
				s.steps = s.steps[:before]
				return -1
			}
			return s.sent[before].o.Priority
		}
		backlog := fleet.Begin("u", 4*40000) // 4 s.
		require.Equal(t, -1, send("a", "rejected"))
		backlog.End(rcfleet.Canceled)
		require.Equal(t, 1, send("a", "rejected"), "no shortage")
		fleet.Begin("u", 350*40) // More than half of the target.
		require.Equal(t, 1, send("a", "new"))
		require.Equal(t, 4, send("a", "rejected"), "returned early")
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, send("a", "rejected"), "returned as told")

		demand := &f.admissions.of("s").demand
		for range 20 {
			time.Sleep(time.Second)
			demand.Record("a", time.Now())
			demand.Record("b", time.Now())
		}
		for range 100 {
			demand.Record("a", time.Now())
		}
		deferred := 0
		for range 20 {
			if send("a", "new") == 4 {
				deferred++
			}
			require.Equal(t, 1, send("b", "new"))
		}
		require.Greater(t, deferred, 10, "most of the demand is in excess")
		require.EqualValues(t, deferred+1, metrics.Value(rcmetric.DeferredFirst))
	})
}

// TestWaitingRequestsCountOnce guards against streams that yield although they can be in
// time, because the requests ahead count by their prompts and again by the queue that the
// engine reports.
func TestWaitingRequestsCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSender{steps: []step{{reply: okReply(), body: strings.NewReader("id: 1\n\n")}}}
		f := newEngineForwarder(s, "u")
		f.cfg.Fleet.Begin("u", 400*40)
		f.cfg.Fleet.SetQueueReport("u", radishcrank.QueueReport{Running: 2, Waiting: 8, Slots: 32})
		x := yielding()
		x.ID, x.Service, x.ReceivedAt, x.Deadline = "r", "s", time.Now(), time.Now().Add(4*time.Second)
		require.NoError(t, f.Serve(t.Context(), httptest.NewRecorder(), &x))
		require.Equal(t, 1, s.sent[0].o.Priority)
	})
}
