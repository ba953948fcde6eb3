package rcforward

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
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
	"github.com/radishcrank/radishcrank/internal/serving/rcexplain"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/state/rcweights"
)

// upstreamCase is the state of one upstream of a test.
type upstreamCase struct {
	zone                               string
	leaving, suspect, paused, throttle bool
	loading                            time.Duration
	running, waiting                   int
	software                           radishcrank.SoftwareVersion
	weights                            radishcrank.WeightsVersion // Empty means version 1.
}

func drawUpstreams(rng *rand.Rand) (cases []upstreamCase) {
	for range rng.IntN(6) {
		one := func() bool { return rng.IntN(4) == 0 }
		cases = append(cases, upstreamCase{
			zone: fmt.Sprint("z", rng.IntN(2)), leaving: one(), suspect: one(), paused: one(), throttle: one(),
			loading: []time.Duration{0, 0, 0, 50 * time.Millisecond, 5 * time.Second}[rng.IntN(5)],
			running: rng.IntN(13), waiting: []int{0, 0, 3, 80}[rng.IntN(4)],
		})
	}
	return cases
}

// newExplainedForwarder returns a forwarder before upstreams in the given states.
func newExplainedForwarder(cases []upstreamCase, s radishcrank.Sender, guard Guard) *Forwarder {
	fleet := rcfleet.New()
	start := time.Now()
	quota := rcquota.New(rcquota.Config{
		Instance: "i0", Now: func() time.Time { return time.UnixMilli(5000).Add(time.Since(start)) },
		Others:   func() ([]radishcrank.InstanceID, bool) { return []radishcrank.InstanceID{"i1", "i2"}, true },
		Announce: func(rcquota.Observation) {},
	})
	var entries []rcfleet.Entry
	for i, c := range cases {
		entries = append(entries, rcfleet.Entry{
			Upstream: radishcrank.Upstream{ID: radishcrank.UpstreamID(fmt.Sprint("u", i)), Service: "s", Zone: radishcrank.AvailabilityZone(c.zone), Leaving: c.leaving, Software: c.software}, Slots: 8,
			Weights: map[radishcrank.ModelID]radishcrank.WeightsVersion{"m": cmp.Or(c.weights, "1")},
		})
	}
	fleet.Replace(entries)
	for i, c := range cases {
		up := entries[i].Upstream
		for range c.running {
			fleet.Begin(up.ID, 400)
		}
		fleet.SetQueueReport(up.ID, radishcrank.QueueReport{Running: c.running, Waiting: c.waiting, Slots: 8})
		if c.suspect {
			fleet.MarkSuspect(up.ID)
		}
		if c.paused {
			fleet.Pause(up.ID, up.Incarnation, time.Second)
		}
		if c.loading > 0 {
			fleet.SetLoading(up.ID, time.Now().Add(c.loading))
		}
		if c.throttle {
			rate := 20.0
			quota.Observe(up, &rate, time.Now())
		}
	}
	return New(Config{
		Zone: "z0", Fleet: fleet, Sender: s, Budget: stubBudget{}, Guard: guard, Quota: quota,
		Weights:       func(radishcrank.ModelID) rcweights.History { return rcweights.History{} },
		OldWeightsTTL: func() time.Duration { return 0 },
		KVStores:      func() []rcaffinity.KVStore { return nil },
		RecordCached:  func(radishcrank.UpstreamID, string, []radishcrank.PromptPart) {},
		Origins:       stubOrigins{}, Incarnation: listedIncarnation,
		Metrics: &rcmetric.Set{}, Log: zerolog.Nop(),
	})
}

func explainedExchange(engine bool) *radishcrank.Exchange {
	x := idempotent()
	x.ID, x.Service, x.Method, x.Target = "r", "s", http.MethodPost, "/p"
	x.ReceivedAt, x.Deadline = time.Now(), time.Now().Add(2*time.Second)
	x.Route.LatencyTarget, x.Route.AbandonAfter = 400*time.Millisecond, 1600*time.Millisecond
	if engine {
		x.Model, x.PromptParts = "m", []radishcrank.PromptPart{{ID: "root", Tokens: 2500}, {ID: "own", Tokens: 900}}
	}
	return &x
}

// servedCase is what became of a request.
type servedCase struct {
	sent       []sentRequest
	status     int
	took       time.Duration
	retryAfter time.Duration // Random; 0 if the request was not refused.
}

// serveCase serves a request after some explanations, of which it returns the last one.
func serveCase(t *testing.T, cases []upstreamCase, engine bool, explanations int) (got servedCase, r rcexplain.Report) {
	return serveExplained(t, cases, func() *radishcrank.Exchange { return explainedExchange(engine) }, func(*Config) {}, explanations)
}

func serveExplained(t *testing.T, cases []upstreamCase, exchange func() *radishcrank.Exchange, configure func(*Config), explanations int) (got servedCase, r rcexplain.Report) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSender{steps: []step{{reply: okReply(), body: strings.NewReader("id: 2\n\n")}}}
		f := newExplainedForwarder(cases, s, rcpoison.New(rcpoison.Config{Board: rcboard.New()}))
		configure(&f.cfg)
		before := f.cfg.Fleet.All()
		for range explanations {
			r = f.Explain(exchange())
		}
		require.ElementsMatch(t, before, f.cfg.Fleet.All())
		require.Empty(t, s.sent)
		w, start := httptest.NewRecorder(), time.Now()
		_ = f.Serve(t.Context(), w, exchange()) // Its response tells what became of it.
		got = servedCase{sent: s.sent, status: w.Code, took: time.Since(start)}
		if text := w.Header().Get("Retry-After"); text != "" {
			seconds, err := strconv.ParseFloat(text, 64)
			require.NoError(t, err)
			got.retryAfter = time.Duration(seconds * float64(time.Second))
		}
	})
	return got, r
}

// requireAsExplained checks that a request met what its explanation says, and that the
// explanation did not change it.
func requireAsExplained(t *testing.T, seed uint64, want, got servedCase, r rcexplain.Report) {
	t.Helper()
	require.Equal(t, want.sent, got.sent, "seed %d", seed)
	require.Equal(t, want.status, got.status, "seed %d", seed)
	require.Equal(t, want.took, got.took, "seed %d", seed)
	switch r.Outcome {
	case rcexplain.Sent:
		require.Len(t, got.sent, 1, "seed %d", seed)
		require.Equal(t, r.Upstream, string(got.sent[0].up), "seed %d", seed)
		require.Zero(t, got.took, "seed %d", seed)
		require.Empty(t, r.Why)
	case rcexplain.Refused:
		require.Empty(t, got.sent, "seed %d", seed)
		require.Equal(t, http.StatusServiceUnavailable, got.status, "seed %d", seed)
		require.Zero(t, got.took, "seed %d", seed)
		require.NotEmpty(t, r.Why)
		require.GreaterOrEqual(t, millis(got.retryAfter)+10, r.RetryAfterMS[0], "seed %d", seed) // It has two decimals.
		require.LessOrEqual(t, millis(got.retryAfter)-10, r.RetryAfterMS[1], "seed %d", seed)
	case rcexplain.Waits:
		require.NotZero(t, got.took, "seed %d", seed)
	default:
		require.Fail(t, "unexpected outcome", "seed %d: %s", seed, r.Outcome)
	}
}

// TestExplainSaysWhatServeDoes guards against an explanation that differs from what the next
// request meets, and against one that changes what becomes of later requests.
func TestExplainSaysWhatServeDoes(t *testing.T) {
	const seeds = 400
	outcomes := map[string]int{}
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 0))
		cases, engine := drawUpstreams(rng), rng.IntN(2) == 0
		want, _ := serveCase(t, cases, engine, 0)
		got, r := serveCase(t, cases, engine, 3)
		require.Len(t, r.Upstreams, len(cases), "seed %d", seed)
		outcomes[r.Outcome]++
		requireAsExplained(t, seed, want, got, r)
	}
	require.Greater(t, outcomes[rcexplain.Sent], seeds/5)
	require.Greater(t, outcomes[rcexplain.Refused], seeds/20)
	require.Greater(t, outcomes[rcexplain.Waits], seeds/100)
}

// TestExplainStartsNoTrial guards against an explanation that uses up the trial by which a
// conviction is lifted, and against one that does not tell of the conviction.
func TestExplainStartsNoTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := rcpoison.New(rcpoison.Config{Board: rcboard.New(), Log: zerolog.Nop()})
		x := explainedExchange(true)
		guardRequest := radishcrank.Request{ID: x.ID, Model: x.Model, Parts: sharedParts(x)}
		tracker.Convict(rcpoison.PartKeys(guardRequest))
		s := &scriptedSender{}
		f := newExplainedForwarder([]upstreamCase{{zone: "z0"}}, s, tracker)
		r := f.Explain(x)
		require.Equal(t, rcexplain.RefusedFinally, r.Outcome)
		require.Equal(t, 1, r.Convicted)
		require.Len(t, r.Upstreams, 1)
		time.Sleep(time.Hour) // A trial is due by now.
		for range 2 {
			require.Equal(t, rcexplain.Sent, f.Explain(explainedExchange(true)).Outcome)
		}
		require.NoError(t, tracker.Check(guardRequest))
		guardRequest.ID = "next"
		require.Error(t, tracker.Check(guardRequest), "the first request after the explanations was not the trial")
	})
}
