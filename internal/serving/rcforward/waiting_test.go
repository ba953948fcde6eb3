package rcforward

import (
	"context"
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
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/state/rcweights"
)

// delayingGuard is a Guard that delays the second attempt, as a suspect is
// delayed until its upstream runs nothing else.
type delayingGuard struct {
	*rcpoison.Tracker
	delay  time.Duration
	onWait func(up radishcrank.UpstreamID)
	calls  int
}

func (g *delayingGuard) StartRun(ctx context.Context, req radishcrank.Request, up radishcrank.Upstream) (func(crashed, finished bool), error) {
	if g.calls++; g.calls == 2 {
		g.onWait(up.ID)
		time.Sleep(g.delay)
	}
	return g.Tracker.StartRun(ctx, req, up)
}

// TestPlacementRecheckedAfterGuardWait guards against a stream that waits
// seconds for admission to an upstream and is then sent there, although the
// upstream has started to leave, has restarted, or its weights may no longer be
// used.
func TestPlacementRecheckedAfterGuardWait(t *testing.T) {
	const guardWait, oldWeightsTTL = 3 * time.Second, 2 * time.Second
	for name, change := range map[string]func(fleet *rcfleet.Fleet, history *rcweights.History, e rcfleet.Entry){
		"leaving": func(fleet *rcfleet.Fleet, _ *rcweights.History, e rcfleet.Entry) {
			e.Leaving = true
			fleet.Put(e)
		},
		"gone": func(fleet *rcfleet.Fleet, _ *rcweights.History, e rcfleet.Entry) { fleet.Remove(e.ID) },
		"restarted": func(fleet *rcfleet.Fleet, _ *rcweights.History, e rcfleet.Entry) {
			e.Incarnation++
			fleet.Put(e)
		},
		"older weights": func(fleet *rcfleet.Fleet, history *rcweights.History, e rcfleet.Entry) {
			*history, _ = history.Add("2", time.Now())
			for _, other := range fleet.All() {
				if other.ID != e.ID {
					fleet.SetWeights(other.ID, "m", "2")
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet, history := rcfleet.New(), rcweights.History{Model: "m"}
				entries := map[radishcrank.UpstreamID]rcfleet.Entry{}
				for i := range 3 {
					e := rcfleet.Entry{
						Upstream: radishcrank.Upstream{ID: radishcrank.UpstreamID(fmt.Sprint("u", i)), Service: "s", Incarnation: 1, Software: "v1"},
						Weights:  map[radishcrank.ModelID]radishcrank.WeightsVersion{"m": "1"},
					}
					entries[e.ID] = e
					fleet.Put(e)
				}
				var waitedFor radishcrank.UpstreamID
				guard := &delayingGuard{Tracker: rcpoison.New(rcpoison.Config{Board: rcboard.New()}), delay: guardWait}
				guard.onWait = func(id radishcrank.UpstreamID) {
					waitedFor = id
					change(fleet, &history, entries[id])
				}
				s := &scriptedSender{steps: []step{
					{reply: okReply(), body: failingBody("id: 1\n\n")},
					{reply: okReply(), body: strings.NewReader("id: 2\n\n")},
				}}
				f := New(Config{
					Fleet: fleet, Sender: s, Budget: stubBudget{}, Guard: guard,
					Weights:       func(radishcrank.ModelID) rcweights.History { return history },
					OldWeightsTTL: func() time.Duration { return oldWeightsTTL },
					KVStores:      func() []rcaffinity.KVStore { return nil },
					RecordCached:  func(radishcrank.UpstreamID, string, []radishcrank.PromptPart) {},
					Origins:       stubOrigins{}, Incarnation: listedIncarnation,
					Metrics: &rcmetric.Set{}, Log: zerolog.Nop(),
				})
				x := streaming(radishcrank.RetryResume)
				x.ID, x.Service, x.Model, x.PromptParts = "r", "s", "m", []radishcrank.PromptPart{{ID: "a", Tokens: 10}, {ID: "b", Tokens: 10}}
				x.ReceivedAt, x.Deadline = time.Now(), time.Now().Add(time.Minute)
				require.NoError(t, f.Serve(t.Context(), httptest.NewRecorder(), &x))
				require.Len(t, s.sent, 2)
				require.NotEqual(t, waitedFor, s.sent[1].up)
			})
		})
	}
}

// lateGuard convicts all contents once one has run.
type lateGuard struct {
	Guard
	ran bool
}

func (g *lateGuard) Check(req radishcrank.Request) error {
	if g.ran {
		return &radishcrank.Refusal{Status: http.StatusUnprocessableEntity}
	}
	return nil
}

func (g *lateGuard) StartRun(ctx context.Context, req radishcrank.Request, up radishcrank.Upstream) (func(crashed, finished bool), error) {
	g.ran = true
	return g.Guard.StartRun(ctx, req, up)
}

// TestConvictedRequestIsRetried guards against a request that crashes one more upstream
// although its content was convicted while it ran or waited.
func TestConvictedRequestIsRetried(t *testing.T) {
	for name, c := range map[string]struct {
		first  step
		status int
	}{
		"ran":     {step{err: errReset}, http.StatusBadGateway},
		"refused": {step{reply: radishcrank.Reply{Class: radishcrank.ReplyBusy, Status: http.StatusServiceUnavailable}}, http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			s := &scriptedSender{steps: []step{c.first, {reply: okReply(), body: strings.NewReader("ok")}}}
			guard := &lateGuard{Guard: rcpoison.New(rcpoison.Config{Board: rcboard.New()})}
			got := serveWith(guard, s, 3, stubBudget{}, idempotent())
			require.NoError(t, got.err)
			require.Equal(t, c.status, got.Code)
			require.Len(t, s.sent, 1)
		})
	}
}
