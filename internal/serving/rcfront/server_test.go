package rcfront_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rclimit"
	"github.com/radishcrank/radishcrank/internal/routing/rcdecision"
	"github.com/radishcrank/radishcrank/internal/serving/rcfront"
	"github.com/radishcrank/radishcrank/internal/serving/rcrelay"
	"github.com/radishcrank/radishcrank/internal/serving/rcsse"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeengine"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/upstream/rcengine"
)

const (
	testKey        = "key-of-riga"
	responseTokens = 5
)

type recordingCallRunner struct {
	calls []radishcrank.ServiceCall
}

func (r *recordingCallRunner) Run(_ context.Context, call radishcrank.ServiceCall) (radishcrank.ServiceResponse, error) {
	r.calls = append(r.calls, call)
	return radishcrank.ServiceResponse{Status: http.StatusCreated, ContentType: "text/plain", Body: []byte("booked")}, nil
}

type fixture struct {
	url    string
	doc    *rcconfig.Document
	engine *rcfakeengine.Engine
	calls  *recordingCallRunner

	replayer   rcfront.Replayer
	streamLost bool
}

func newFixture(t *testing.T) *fixture {
	engine := rcfakeengine.New(rcfakeengine.Config{
		ID:          "e1",
		Models:      map[radishcrank.ModelID]radishcrank.WeightsVersion{"advice": "w1"},
		CacheBlocks: 100, BlockTokens: 4, BytesPerToken: 4, MaxBatch: 8,
		PrefillPerSecond: 1e6, DecodePerSecond: 1e4, MaxAnswerTokens: responseTokens,
	})
	upstream := httptest.NewServer(engine.Handler())
	t.Cleanup(upstream.Close)
	addr, err := netip.ParseAddrPort(strings.TrimPrefix(upstream.URL, "http://"))
	require.NoError(t, err)
	board := rcboard.New()
	report := engine.LoadReport()
	board.Upstreams.Put("e1", radishcrank.Upstream{
		ID: "e1", Role: radishcrank.RoleEngine, Addr: addr, Load: report, Incarnation: report.Incarnation,
	})
	doc := &rcconfig.Document{
		Defaults: rcconfig.DefaultSettings(),
		Accounts: []rcconfig.Account{{ID: "riga", KeyHashes: []string{rcconfig.HashKey(testKey)}}},
		Models:   []rcconfig.Model{{ID: "advice", Weights: "w1"}},
		Services: []rcconfig.Service{{Name: "booking", NonRepeatable: []string{"POST /releases"}}},
	}
	doc.Defaults.MaxBodyBytes = 4096
	calls := &recordingCallRunner{}
	relay := rcrelay.New(rcrelay.Config{
		Board: board, Dialer: rcengine.NewDialer(), MaxAttempts: 2,
		Chooser: rcdecision.New(rcdecision.Config{Board: board, BlockBytes: func() int { return 16 }}),
	})
	f := &fixture{doc: doc, engine: engine, calls: calls, replayer: relay}
	server := httptest.NewServer(rcfront.New(rcfront.Config{
		Document:    func() *rcconfig.Document { return doc },
		InstanceTag: rcfront.InstanceTag("i-1"),
		Generator:   relay,
		Replayer:    f,
		ServedWeights: func(radishcrank.ModelID) []radishcrank.WeightsVersion {
			return []radishcrank.WeightsVersion{"w0", "w1"}
		},
		Admitter:   rclimit.New(rclimit.Config{Board: board}),
		CallRunner: calls,
		Metrics:    &rcmetric.Set{},
		Ready:      func() bool { return true },
		Log:        zerolog.Nop(),
	}))
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

// Replay implements rcfront.Replayer. If streamLost is set, no instance holds the stream.
func (f *fixture) Replay(ctx context.Context, account radishcrank.ClientAccountID, id radishcrank.RequestID, after int, sink radishcrank.StreamSink) error {
	if f.streamLost {
		return rcrelay.ErrUnknownStream
	}
	return f.replayer.Replay(ctx, account, id, after, sink)
}

func (f *fixture) client() openai.Client {
	return openai.NewClient(option.WithBaseURL(f.url+"/v1"), option.WithAPIKey(testKey), option.WithMaxRetries(0))
}

func (f *fixture) post(t *testing.T, path, key, body string) *http.Response {
	req, err := http.NewRequest(http.MethodPost, f.url+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func expectedText(prompt string) string {
	var b strings.Builder
	for i := range responseTokens {
		b.WriteString(rcfakeengine.TokenText(prompt, "w1", i))
	}
	return b.String()
}

// Checks that the OpenAI client library can read the responses, and that streamed and
// complete responses are the same.
func TestOpenAIClient(t *testing.T) {
	f := newFixture(t)
	client := f.client()
	params := openai.ChatCompletionNewParams{
		Model:    "advice",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("rules"), openai.UserMessage("question")},
	}
	want := expectedText("<|system|>rules\n<|user|>question\n")

	whole, err := client.Chat.Completions.New(t.Context(), params)
	require.NoError(t, err)
	require.Equal(t, want, whole.Choices[0].Message.Content)
	require.Equal(t, "stop", whole.Choices[0].FinishReason)
	require.EqualValues(t, responseTokens, whole.Usage.CompletionTokens)

	params.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	acc := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		require.True(t, acc.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())
	require.Equal(t, want, acc.Choices[0].Message.Content)
	require.EqualValues(t, responseTokens, acc.Usage.CompletionTokens)

	completion, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
		Model: "advice", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("raw")},
	})
	require.NoError(t, err)
	require.Equal(t, expectedText("raw"), completion.Choices[0].Text)

	models, err := client.Models.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, "advice", models.Data[0].ID)
}

// Checks that invalid requests get a 4xx status, a specific error code and an outcome.
func TestBadRequests(t *testing.T) {
	f := newFixture(t)
	const chat = "/v1/chat/completions"
	valid := `{"model":"advice","messages":[{"role":"user","content":"q"}]}`
	for _, tt := range []struct {
		name, path, key, body string
		status                int
		code                  string
	}{
		{"no key", chat, "", valid, 401, "invalid_api_key"},
		{"wrong key", chat, "other", valid, 401, "invalid_api_key"},
		{"malformed", chat, testKey, `{"model":`, 400, "malformed_json"},
		{"trailing data", chat, testKey, valid + "{}", 400, "malformed_json"},
		{"wrong type", chat, testKey, `{"model":7}`, 400, "malformed_json"},
		{"image part", chat, testKey, `{"model":"advice","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, 400, "malformed_json"},
		{"no messages", chat, testKey, `{"model":"advice"}`, 400, "missing_messages"},
		{"two choices", chat, testKey, `{"model":"advice","n":2,"messages":[{"role":"user","content":"q"}]}`, 400, "unsupported_n"},
		{"two prompts", "/v1/completions", testKey, `{"model":"advice","prompt":["a","b"]}`, 400, "malformed_json"},
		{"oversized", chat, testKey, `{"model":"` + strings.Repeat("x", 5000) + `"}`, 413, "body_too_large"},
		{"unknown model", chat, testKey, `{"model":"none","messages":[{"role":"user","content":"q"}]}`, 404, "model_not_found"},
		{"unknown path", "/v1/none", testKey, valid, 404, "not_found"},
		{"wrong method", "/v1/models", testKey, "", 405, "method_not_allowed"},
		{"unknown service", "/services/none/x", testKey, "", 404, "service_not_found"},
		{"no idempotency key", "/services/booking/releases", testKey, "{}", 400, "missing_idempotency_key"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			resp := f.post(t, tt.path, tt.key, tt.body)
			require.Equal(t, tt.status, resp.StatusCode)
			require.Equal(t, string(radishcrank.OutcomeNotRun), resp.Header.Get(radishcrank.HeaderOutcome))
			var body struct {
				Error struct{ Code, Outcome string }
			}
			require.NoError(t, json.NewDecoder(resp.Body).Decode(&body))
			require.Equal(t, tt.code, body.Error.Code)
			require.Equal(t, "NotRun", body.Error.Outcome)
		})
	}
	require.Empty(t, f.calls.calls)
	require.Equal(t, http.StatusOK, f.post(t, chat, testKey, valid).StatusCode)
}

// Checks that the configured limit on the header size is enforced.
func TestLargeHeader(t *testing.T) {
	f := newFixture(t)
	req, err := http.NewRequest(http.MethodGet, f.url+"/v1/models", nil)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("X-Padding", strings.Repeat("x", 65<<10))
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, resp.StatusCode)
	require.Equal(t, string(radishcrank.OutcomeNotRun), resp.Header.Get(radishcrank.HeaderOutcome))
}

// Checks that a client that sends its whole body before it reads is told that the body
// is too large, rather than having its connection reset.
func TestLargeBodyGetsErrorResponse(t *testing.T) {
	f := newFixture(t)
	const size = 30 << 20
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", testKey, size)
	require.NoError(t, err)
	_, err = io.CopyN(conn, zeroReader{}, size)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	require.Equal(t, string(radishcrank.OutcomeNotRun), resp.Header.Get(radishcrank.HeaderOutcome))
}

// zeroReader is an unlimited source of zero bytes.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

// Checks that a truncated response does not look complete to the client.
func TestTruncatedStreamHasNoTerminator(t *testing.T) {
	f := newFixture(t)
	f.engine.SetFaults(rcfakeengine.Faults{DropAfter: 2})
	resp := f.post(t, "/v1/chat/completions", testKey, `{"model":"advice","stream":true,"messages":[{"role":"user","content":"q"}]}`)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NotContains(t, string(body), "[DONE]")
	require.NotContains(t, string(body), `"finish_reason":"stop"`)
	require.Contains(t, string(body), `"outcome":"MayHaveRun"`)
}

// Checks that a client that sends its body slowly does not delay another client.
func TestSlowBodyDoesNotBlockOthers(t *testing.T) {
	f := newFixture(t)
	r, w := io.Pipe()
	defer w.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+"/v1/completions", r)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	started := make(chan struct{})
	go func() {
		close(started)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
		}
	}()
	<-started
	client := &http.Client{Timeout: 10 * time.Second}
	other, err := http.NewRequest(http.MethodPost, f.url+"/v1/completions", strings.NewReader(`{"model":"advice","prompt":"q"}`))
	require.NoError(t, err)
	other.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := client.Do(other)
	require.NoError(t, err)
	defer resp.Body.Close()
	line, err := bufio.NewReader(resp.Body).ReadString('}')
	require.NoError(t, err)
	require.Contains(t, line, "text_completion")
}

// events returns the events of a streamed chat. If lastEventID is set, it reconnects
// there and returns the events that follow.
func (f *fixture) events(t *testing.T, lastEventID string) []rcsse.Event {
	req, err := http.NewRequest(http.MethodPost, f.url+"/v1/chat/completions",
		strings.NewReader(`{"model":"advice","stream":true,"messages":[{"role":"user","content":"q"}]}`))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	if lastEventID != "" {
		req.Header.Set(radishcrank.HeaderLastEventID, lastEventID)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	var events []rcsse.Event
	for r := rcsse.NewReader(resp.Body); ; {
		e, err := r.Next()
		if err != nil {
			require.ErrorIs(t, err, io.EOF)
			return events
		}
		e.Data = bytes.Clone(e.Data)
		events = append(events, e)
	}
}

// Checks that a reconnect at any position of a stream neither repeats nor skips an
// event, whether an instance still holds the remainder or it is generated again.
func TestReconnectDeliversRemainingEvents(t *testing.T) {
	for _, lost := range []bool{false, true} {
		f := newFixture(t)
		whole := f.events(t, "")
		require.Len(t, whole, responseTokens+2, "tokens, finish and terminator")
		f.streamLost = lost
		for i, last := range whole[:responseTokens+1] {
			rest := f.events(t, last.ID)
			require.Len(t, rest, len(whole)-i-1)
			for j, e := range rest {
				require.Equal(t, whole[i+1+j].ID, e.ID)
				require.Equal(t, stripCreated(whole[i+1+j].Data), stripCreated(e.Data))
			}
		}
	}
}

// stripCreated removes the creation time, which may differ after a reconnect.
func stripCreated(data []byte) string {
	return regexp.MustCompile(`"created":[0-9]+,`).ReplaceAllString(string(data), "")
}

// Checks that a reconnect is refused if no engine serves the weights of the stream or
// if the identifier is malformed.
func TestReconnectRefused(t *testing.T) {
	f := newFixture(t)
	f.streamLost = true
	id := strings.Repeat("0", 32)
	for last, status := range map[string]int{
		id + ".00000000/3":     http.StatusGone,
		id + "/3":              http.StatusBadRequest,
		id + ".00000000/-1":    http.StatusBadRequest,
		"../x.00000000/3":      http.StatusBadRequest,
		id + ".00000000/3/4":   http.StatusBadRequest,
		id + "00.00000000/3":   http.StatusBadRequest,
		id + ".0000000000/3":   http.StatusBadRequest,
		id + ".00000000/first": http.StatusBadRequest,
	} {
		req, err := http.NewRequest(http.MethodPost, f.url+"/v1/completions", strings.NewReader(`{"model":"advice","stream":true,"prompt":"q"}`))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+testKey)
		req.Header.Set(radishcrank.HeaderLastEventID, last)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, status, resp.StatusCode, last)
	}
}
