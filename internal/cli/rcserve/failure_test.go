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

// answer is a complete answer to a caller.
type answer struct {
	status  int
	outcome radishcrank.Outcome
	body    string
}

func (s *system) ask(p *process, path, body string, header map[string]string) answer {
	resp, err := s.post(p, path, body, header)
	require.NoError(s.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(s.t, err)
	return answer{resp.StatusCode, radishcrank.Outcome(resp.Header.Get(radishcrank.HeaderOutcome)), string(data)}
}

func (s *system) complete(p *process, prompt string) answer {
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
	}{"advice", prompt, 3})
	require.NoError(s.t, err)
	return s.ask(p, "/v1/completions", string(body), nil)
}

// ready starts two instances in two zones with the test's configuration.
func (s *system) ready() (a, b *process) {
	a, b = s.start("a", 1), s.start("b", 2)
	s.push(a)
	for _, p := range []*process{a, b} {
		s.waitFor(p, func(st rcops.Status) bool {
			return st.Ready && st.ConfigRevision == 1 && st.Engines == 4 && st.Instances == 2
		})
	}
	return a, b
}

// Guards against an outage of the platform that stops other traffic, and against
// a refused booking that runs later or blocks its key.
func TestPlatformOutage(t *testing.T) {
	s := newSystem(t)
	a, b := s.ready()
	key := map[string]string{radishcrank.HeaderIdempotencyKey: "transfer-1"}
	s.fleet.Table.SetFaults(rcfaketable.Faults{Down: true})
	s.fleet.Objects.SetDown(true)
	s.fleet.InstanceList.SetDown(true)
	refused := s.ask(a, "/services/booking/transfers", "{}", key)
	require.Equal(t, http.StatusServiceUnavailable, refused.status, refused.body)
	require.Equal(t, radishcrank.OutcomeNotRun, refused.outcome)
	require.Equal(t, http.StatusOK, s.complete(a, "advice while the platform is down").status)
	resp, err := s.get(b, "/services/booking/stock")
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode, "a lookup needs no record")

	s.fleet.Table.SetFaults(rcfaketable.Faults{})
	s.fleet.Objects.SetDown(false)
	s.fleet.InstanceList.SetDown(false)
	require.Zero(t, s.fleet.Service.Total(), "a call that was refused as NotRun ran")
	require.Equal(t, http.StatusOK, s.ask(b, "/services/booking/transfers", "{}", key).status)
	require.Equal(t, 1, s.fleet.Service.Runs("riga/transfer-1"))
}

func (s *system) get(p *process, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+p.callers.String()+path, nil)
	require.NoError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+callerKey)
	return http.DefaultClient.Do(req)
}

// crashes counts how often the engines have started anew since the incarnations were noted.
type crashes map[radishcrank.UpstreamID]radishcrank.Incarnation

func (c crashes) count(s *system) (n int) {
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

// Guards against one request that crashes engine after engine while its caller
// sends it again through any instance, and against innocent requests that fail with it.
func TestRequestThatCrashesEngines(t *testing.T) {
	const maxCrashes = 6 // Three for a verdict, and as many if the instances' searches overlap.
	s := newSystem(t)
	a, b := s.ready()
	for _, engine := range s.fleet.Engines {
		engine.SetFaults(rcfakeengine.Faults{CrashPrompt: "poison"})
	}
	seen := make(crashes)
	seen.count(s)
	total := 0
	refused := false
	for i := 0; i < 40 && !refused; i++ {
		p := []*process{a, b}[i%2]
		got := s.complete(p, "poison")
		require.NotEqual(t, http.StatusOK, got.status)
		require.Equal(t, radishcrank.OutcomeMayHaveRun, got.outcome, "the request itself has crashed engines")
		refused = strings.Contains(got.body, "request_crashes_engines")
		total += seen.count(s)
		innocent := s.complete(p, "innocent")
		require.Equal(t, http.StatusOK, innocent.status, innocent.body)
	}
	require.True(t, refused, "no verdict after 40 submissions")
	require.LessOrEqual(t, total, maxCrashes)
	// The other instance learns of the verdict without another crash.
	require.Eventually(t, func() bool {
		fromA, fromB := s.complete(a, "poison"), s.complete(b, "poison")
		return fromA.status == http.StatusUnprocessableEntity && fromA.outcome == radishcrank.OutcomeNotRun &&
			fromB.status == http.StatusUnprocessableEntity && fromB.outcome == radishcrank.OutcomeNotRun
	}, waitLimit, 100*time.Millisecond)
	total += seen.count(s)
	require.LessOrEqual(t, total, maxCrashes)
}

// Guards against operators that overwrite each other, and against a revision
// that is not in force everywhere within 5 s.
func TestOperatorsRace(t *testing.T) {
	s := newSystem(t)
	a, b := s.ready()
	shown, err := a.ops().Show(t.Context(), 0)
	require.NoError(t, err)
	results := make(chan error, 2)
	for i, p := range []*process{a, b} {
		text := strings.Replace(shown.Text, "MaxTokens = 4096", []string{"MaxTokens = 100", "MaxTokens = 200"}[i], 1)
		require.NotEqual(t, shown.Text, text)
		go func() {
			_, err := p.ops().Push(context.Background(), rcops.PushRequest{Base: 1, Author: "op", Note: "race", Text: text})
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

// Guards against weights that change under a running stream, a model without an
// engine during a rolling update, and orders that are never carried out.
func TestRollingUpdate(t *testing.T) {
	s := newSystem(t)
	a, b := s.ready()
	stream, err := s.post(b, "/v1/chat/completions", chat, nil)
	require.NoError(t, err)
	defer stream.Body.Close()
	events := rcsse.NewReader(stream.Body)
	head, _, _ := readTokens(t, events, 1)
	shown, err := a.ops().Show(t.Context(), 0)
	require.NoError(t, err)
	text := strings.Replace(shown.Text, "Weights = w1", "Weights = w2", 1)
	require.NotEqual(t, shown.Text, text)
	_, err = a.ops().Push(t.Context(), rcops.PushRequest{Base: 1, Author: "op", Note: "new weights", Text: text})
	require.NoError(t, err)
	tail, _, complete := readTokens(t, events, 2*answerTokens)
	require.True(t, complete)
	require.Equal(t, expectedAnswer(), head+tail)
	require.Eventually(t, func() bool {
		require.Equal(t, http.StatusOK, s.complete(b, "during the update").status)
		for _, engine := range s.fleet.Engines {
			if engine.LoadReport().Weights["advice"] != "w2" {
				return false
			}
		}
		return true
	}, 2*waitLimit, 200*time.Millisecond, "not all engines serve the new weights")
}

// Guards against new work on a leaving upstream, and against a leaving client
// account whose accepted work is cut or whose new work runs.
func TestDepartures(t *testing.T) {
	s := newSystem(t)
	a, _ := s.ready()
	for id := range s.fleet.Engines {
		if id != "zone-2-engine-2" {
			s.fleet.SetLeaving(id)
		}
	}
	require.Eventually(t, func() bool {
		dump, err := a.ops().Dump(t.Context())
		require.NoError(t, err)
		return strings.Count(string(dump), `"Leaving": true`) >= 3
	}, 2*time.Second, 50*time.Millisecond, "a notice is in force within 2 s")
	before := make(map[radishcrank.UpstreamID]int)
	for id, engine := range s.fleet.Engines {
		before[id] = engine.LoadReport().CacheUsed
	}
	for range 8 {
		require.Equal(t, http.StatusOK, s.complete(a, strings.Repeat("x", 20000)).status)
	}
	for id, engine := range s.fleet.Engines {
		if id != "zone-2-engine-2" {
			require.Equal(t, before[id], engine.LoadReport().CacheUsed, "new work on %s", id)
		}
	}

	stream, err := s.post(a, "/v1/chat/completions", chat, nil)
	require.NoError(t, err)
	defer stream.Body.Close()
	events := rcsse.NewReader(stream.Body)
	head, _, _ := readTokens(t, events, 1)
	accepted := map[string]string{radishcrank.HeaderIdempotencyKey: "accepted"}
	require.Equal(t, http.StatusOK, s.ask(a, "/services/booking/releases", "{}", accepted).status)
	shown, err := a.ops().Show(t.Context(), 0)
	require.NoError(t, err)
	doc, err := rcconfig.Parse([]byte(shown.Text))
	require.NoError(t, err)
	doc.Accounts[0].Leaving = true
	_, err = a.ops().Push(t.Context(), rcops.PushRequest{Base: 1, Author: "op", Note: "contract ended", Text: string(doc.Render())})
	require.NoError(t, err)
	again := s.ask(a, "/services/booking/releases", "{}", accepted)
	require.Equal(t, http.StatusOK, again.status, "a call that was accepted keeps its answer: %s", again.body)
	refused := s.complete(a, "new work")
	require.Equal(t, http.StatusForbidden, refused.status, refused.body)
	require.Equal(t, radishcrank.OutcomeNotRun, refused.outcome)
	booking := s.ask(a, "/services/booking/releases", "{}", map[string]string{radishcrank.HeaderIdempotencyKey: "late"})
	require.Equal(t, http.StatusForbidden, booking.status, booking.body)
	require.Equal(t, 1, s.fleet.Service.Total())
	tail, _, complete := readTokens(t, events, 2*answerTokens)
	require.True(t, complete)
	require.Equal(t, expectedAnswer(), head+tail)
}
