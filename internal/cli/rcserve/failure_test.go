package rcserve

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/serving/rcops"
	"github.com/radishcrank/radishcrank/internal/serving/rcsse"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeengine"
	"github.com/radishcrank/radishcrank/internal/standin/rcfaketable"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

// response is a complete response to a caller.
type response struct {
	status  int
	outcome radishcrank.Outcome
	body    string
}

func (s *testSystem) postAndRead(p *process, path, body string, header map[string]string) response {
	resp, err := s.post(p, path, body, header)
	require.NoError(s.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(s.t, err)
	return response{resp.StatusCode, radishcrank.Outcome(resp.Header.Get(radishcrank.HeaderOutcome)), string(data)}
}

func (s *testSystem) requestCompletion(p *process, prompt string) response {
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
	}{"advice", prompt, 3})
	require.NoError(s.t, err)
	return s.postAndRead(p, "/v1/completions", string(body), nil)
}

// startPair starts two instances in different zones and waits until both use the test's
// configuration.
func (s *testSystem) startPair() (a, b *process) {
	a, b = s.start("a", 1), s.start("b", 2)
	s.pushConfig(a)
	for _, p := range []*process{a, b} {
		s.waitFor(p, func(st rcops.Status) bool {
			return st.Ready && st.ConfigRevision == 1 && st.Engines == 4 && st.Instances == 2
		})
	}
	return a, b
}

// Guards against a platform outage that stops traffic which does not need the platform,
// and against a refused booking that runs later or blocks its idempotency key.
func TestPlatformOutage(t *testing.T) {
	s := newTestSystem(t)
	a, b := s.startPair()
	key := map[string]string{radishcrank.HeaderIdempotencyKey: "transfer-1"}
	s.fleet.Table.SetFaults(rcfaketable.Faults{Down: true})
	s.fleet.Objects.SetDown(true)
	s.fleet.InstanceList.SetDown(true)
	refused := s.postAndRead(a, "/services/booking/transfers", "{}", key)
	require.Equal(t, http.StatusServiceUnavailable, refused.status, refused.body)
	require.Equal(t, radishcrank.OutcomeNotRun, refused.outcome)
	require.Equal(t, http.StatusOK, s.requestCompletion(a, "advice while the platform is down").status)
	resp, err := s.get(b, "/services/booking/stock")
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode, "a read-only call needs no idempotency record")

	s.fleet.Table.SetFaults(rcfaketable.Faults{})
	s.fleet.Objects.SetDown(false)
	s.fleet.InstanceList.SetDown(false)
	require.Zero(t, s.fleet.Service.Total(), "a call with outcome NotRun was executed")
	require.Equal(t, http.StatusOK, s.postAndRead(b, "/services/booking/transfers", "{}", key).status)
	require.Equal(t, 1, s.fleet.Service.Runs("riga/transfer-1"))
}

func (s *testSystem) get(p *process, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+p.callers.String()+path, nil)
	require.NoError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+clientKey)
	return http.DefaultClient.Do(req)
}

// incarnations holds the last known incarnation of each engine.
type incarnations map[radishcrank.UpstreamID]radishcrank.Incarnation

func (c incarnations) countRestarts(s *testSystem) (n int) {
	for id, engine := range s.fleet.Engines {
		if now := engine.LoadReport().Incarnation; now != c[id] {
			if c[id] != 0 {
				n++
			}
			c[id] = now
		}
	}
	return n
}

// Guards against a request that keeps crashing engines while its caller retries it on
// any instance, and against harmless requests that fail with it.
func TestRequestThatCrashesEngines(t *testing.T) {
	const maxCrashes = 6 // Three crashes until the request is refused, doubled if both instances try it concurrently.
	s := newTestSystem(t)
	a, b := s.startPair()
	for _, engine := range s.fleet.Engines {
		engine.SetFaults(rcfakeengine.Faults{CrashPrompt: "poison"})
	}
	known := make(incarnations)
	known.countRestarts(s)
	restarts := 0
	refused := false
	for i := 0; i < 40 && !refused; i++ {
		p := []*process{a, b}[i%2]
		got := s.requestCompletion(p, "poison")
		require.NotEqual(t, http.StatusOK, got.status)
		require.Equal(t, radishcrank.OutcomeMayHaveRun, got.outcome, "the request has reached and crashed engines")
		refused = strings.Contains(got.body, "request_crashes_engines")
		restarts += known.countRestarts(s)
		harmless := s.requestCompletion(p, "innocent")
		require.Equal(t, http.StatusOK, harmless.status, harmless.body)
	}
	require.True(t, refused, "the request was not refused after 40 attempts")
	require.LessOrEqual(t, restarts, maxCrashes)
	// The other instance learns of the refusal without further crashes.
	require.Eventually(t, func() bool {
		fromA, fromB := s.requestCompletion(a, "poison"), s.requestCompletion(b, "poison")
		return fromA.status == http.StatusUnprocessableEntity && fromA.outcome == radishcrank.OutcomeNotRun &&
			fromB.status == http.StatusUnprocessableEntity && fromB.outcome == radishcrank.OutcomeNotRun
	}, waitLimit, 100*time.Millisecond)
	restarts += known.countRestarts(s)
	require.LessOrEqual(t, restarts, maxCrashes)
}

// Guards against concurrent pushes that overwrite each other, and against a revision that
// does not take effect on all instances within 5 s.
func TestConcurrentConfigPushes(t *testing.T) {
	s := newTestSystem(t)
	a, b := s.startPair()
	current, err := a.operatorClient().Show(t.Context(), 0)
	require.NoError(t, err)
	results := make(chan error, 2)
	for i, p := range []*process{a, b} {
		text := strings.Replace(current.Text, "MaxTokens = 4096", []string{"MaxTokens = 100", "MaxTokens = 200"}[i], 1)
		require.NotEqual(t, current.Text, text)
		go func() {
			_, err := p.operatorClient().Push(context.Background(), rcops.PushRequest{Base: 1, Author: "op", Note: "race", Text: text})
			results <- err
		}()
	}
	var conflict *rcops.ConflictError
	first, second := <-results, <-results
	require.True(t, (first == nil) != (second == nil), "%v, %v", first, second)
	require.True(t, errors.As(errors.Join(first, second), &conflict))
	require.EqualValues(t, 2, conflict.Newest)
	require.Contains(t, conflict.Diff, "MaxTokens")
	committed := time.Now()
	for _, p := range []*process{a, b} {
		s.waitFor(p, func(st rcops.Status) bool { return st.ConfigRevision == 2 })
	}
	require.Less(t, time.Since(committed), 5*time.Second)
}

// Guards against weights that change during a running stream, a model that has no engine
// during a rolling update, and update commands to engines that are never executed.
func TestRollingUpdate(t *testing.T) {
	s := newTestSystem(t)
	a, b := s.startPair()
	stream, err := s.post(b, "/v1/chat/completions", chatRequest, nil)
	require.NoError(t, err)
	defer stream.Body.Close()
	events := rcsse.NewReader(stream.Body)
	head, _, _ := readTokens(t, events, 1)
	current, err := a.operatorClient().Show(t.Context(), 0)
	require.NoError(t, err)
	text := strings.Replace(current.Text, "Weights = w1", "Weights = w2", 1)
	require.NotEqual(t, current.Text, text)
	_, err = a.operatorClient().Push(t.Context(), rcops.PushRequest{Base: 1, Author: "op", Note: "new weights", Text: text})
	require.NoError(t, err)
	tail, _, complete := readTokens(t, events, 2*answerTokens)
	require.True(t, complete)
	require.Equal(t, expectedAnswer(), head+tail)
	require.Eventually(t, func() bool {
		require.Equal(t, http.StatusOK, s.requestCompletion(b, "during the update").status)
		for _, engine := range s.fleet.Engines {
			if engine.LoadReport().Weights["advice"] != "w2" {
				return false
			}
		}
		return true
	}, 2*waitLimit, 200*time.Millisecond, "not all engines serve the new weights in time")
}

// Guards against new work being placed on a leaving upstream, against aborting accepted
// work of a leaving client account, and against accepting new work of such an account.
func TestLeavingUpstreamAndAccount(t *testing.T) {
	s := newTestSystem(t)
	a, _ := s.startPair()
	for id := range s.fleet.Engines {
		if id != "zone-2-engine-2" {
			s.fleet.SetLeaving(id)
		}
	}
	require.Eventually(t, func() bool {
		dump, err := a.operatorClient().Dump(t.Context())
		require.NoError(t, err)
		return strings.Count(string(dump), `"Leaving": true`) >= 3
	}, 2*time.Second, 50*time.Millisecond, "a leaving notice must take effect within 2 s")
	before := make(map[radishcrank.UpstreamID]int)
	for id, engine := range s.fleet.Engines {
		before[id] = engine.LoadReport().CacheUsed
	}
	for range 8 {
		require.Equal(t, http.StatusOK, s.requestCompletion(a, strings.Repeat("x", 20000)).status)
	}
	for id, engine := range s.fleet.Engines {
		if id != "zone-2-engine-2" {
			require.Equal(t, before[id], engine.LoadReport().CacheUsed, "new work on %s", id)
		}
	}

	stream, err := s.post(a, "/v1/chat/completions", chatRequest, nil)
	require.NoError(t, err)
	defer stream.Body.Close()
	events := rcsse.NewReader(stream.Body)
	head, _, _ := readTokens(t, events, 1)
	accepted := map[string]string{radishcrank.HeaderIdempotencyKey: "accepted"}
	require.Equal(t, http.StatusOK, s.postAndRead(a, "/services/booking/releases", "{}", accepted).status)
	current, err := a.operatorClient().Show(t.Context(), 0)
	require.NoError(t, err)
	doc, err := rcconfig.Parse([]byte(current.Text))
	require.NoError(t, err)
	doc.Accounts[0].Leaving = true
	_, err = a.operatorClient().Push(t.Context(), rcops.PushRequest{Base: 1, Author: "op", Note: "contract ended", Text: string(doc.Render())})
	require.NoError(t, err)
	again := s.postAndRead(a, "/services/booking/releases", "{}", accepted)
	require.Equal(t, http.StatusOK, again.status, "the response to an accepted call must remain available: %s", again.body)
	refused := s.requestCompletion(a, "new work")
	require.Equal(t, http.StatusForbidden, refused.status, refused.body)
	require.Equal(t, radishcrank.OutcomeNotRun, refused.outcome)
	booking := s.postAndRead(a, "/services/booking/releases", "{}", map[string]string{radishcrank.HeaderIdempotencyKey: "late"})
	require.Equal(t, http.StatusForbidden, booking.status, booking.body)
	require.Equal(t, 1, s.fleet.Service.Total())
	tail, _, complete := readTokens(t, events, 2*answerTokens)
	require.True(t, complete)
	require.Equal(t, expectedAnswer(), head+tail)
}
