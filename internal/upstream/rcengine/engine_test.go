package rcengine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeengine"
	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
	"github.com/radishcrank/radishcrank/internal/upstream/rcwire"
)

// startEngine serves a fake engine on loopback.
func startEngine(t *testing.T, faults rcfakeengine.Faults) (*rcfakeengine.Engine, *rcfakeengine.Listener, radishcrank.Upstream) {
	return startEngineWithID(t, "e1", faults)
}

func startEngineWithID(t *testing.T, id radishcrank.UpstreamID, faults rcfakeengine.Faults) (*rcfakeengine.Engine, *rcfakeengine.Listener, radishcrank.Upstream) {
	e := rcfakeengine.New(rcfakeengine.Config{
		ID: id, Models: map[radishcrank.ModelID]radishcrank.WeightsVersion{"m": "w1"}, Adapters: []string{"ad"},
		CacheBlocks: 10, BlockTokens: 10, BytesPerToken: 4, MaxBatch: 8,
		PrefillPerSecond: 1e6, DecodePerSecond: 500, MaxAnswerTokens: 8,
	})
	e.SetFaults(faults)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := rcfakeengine.NewListener(inner)
	server := &http.Server{Handler: e.Handler()}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return e, l, radishcrank.Upstream{ID: id, Addr: inner.Addr().(*net.TCPAddr).AddrPort()}
}

func generateRequest() radishcrank.GenerateRequest {
	return radishcrank.GenerateRequest{Request: radishcrank.Request{ID: "r1", Model: "m", Prompt: "hello"}, Weights: "w1"}
}

// readAll returns the text of all tokens and the error that ends the stream.
func readAll(s radishcrank.TokenStream) (texts []string, err error) {
	defer s.Close()
	for {
		t, err := s.Recv()
		if err != nil {
			return texts, err
		}
		texts = append(texts, t.Text)
	}
}

// Guards against accepting truncated, empty or out-of-order output as a complete
// response.
func TestStreamFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		faults rcfakeengine.Faults
		want   error
		tokens int
	}{
		"complete":  {rcfakeengine.Faults{}, io.EOF, 8},
		"truncated": {rcfakeengine.Faults{DropAfter: 3}, radishcrank.ErrTruncated, 3},
		"empty":     {rcfakeengine.Faults{EmptyAnswer: true}, radishcrank.ErrTruncated, 0},
		"repeated":  {rcfakeengine.Faults{WrongOrder: true}, radishcrank.ErrMismatch, 1},
		"crash":     {rcfakeengine.Faults{CrashPrompt: "hello"}, radishcrank.ErrTruncated, 0},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, up := startEngine(t, tc.faults)
			s, err := NewDialer().Engine(up).Generate(t.Context(), generateRequest())
			var texts []string
			if err == nil {
				texts, err = readAll(s)
			}
			require.ErrorIs(t, err, tc.want)
			require.Len(t, texts, tc.tokens)
			for i, text := range texts {
				require.Equal(t, rcfakeengine.TokenText("hello", "w1", i), text)
			}
		})
	}
}

// Guards against running a request on an engine, incarnation, weights version or
// adapter other than the requested one, and against reporting its rejection as
// an error after which the request may have run.
func TestMisdirectedRequestIsRejected(t *testing.T) {
	e, _, up := startEngine(t, rcfakeengine.Faults{})
	for name, change := range map[string]func(*radishcrank.Upstream, *radishcrank.GenerateRequest){
		"upstream":    func(up *radishcrank.Upstream, _ *radishcrank.GenerateRequest) { up.ID = "e2" },
		"incarnation": func(up *radishcrank.Upstream, _ *radishcrank.GenerateRequest) { up.Incarnation = 7 },
		"weights":     func(_ *radishcrank.Upstream, r *radishcrank.GenerateRequest) { r.Weights = "w2" },
		"adapter":     func(_ *radishcrank.Upstream, r *radishcrank.GenerateRequest) { r.Adapter = "other" },
	} {
		u, r := up, generateRequest()
		change(&u, &r)
		_, err := NewDialer().Engine(u).Generate(t.Context(), r)
		require.ErrorIs(t, err, radishcrank.ErrUpstreamBusy, name)
	}
	up.Incarnation = e.LoadReport().Incarnation
	r := generateRequest()
	r.Adapter = "ad"
	s, err := NewDialer().Engine(up).Generate(t.Context(), r)
	require.NoError(t, err)
	_, err = readAll(s)
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a refused connection that is not reported as ErrNotSent.
func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	up := radishcrank.Upstream{ID: "e1", Addr: l.Addr().(*net.TCPAddr).AddrPort()}
	l.Close()
	_, err = NewDialer().Engine(up).Generate(t.Context(), generateRequest())
	require.ErrorIs(t, err, radishcrank.ErrNotSent)
}

// Guards against an engine that keeps generating after a cancellation because its
// connection is unresponsive and it does not see the connection close, and
// against sending new requests on unresponsive connections.
func TestSilentConnection(t *testing.T) {
	e, l, up := startEngine(t, rcfakeengine.Faults{StallAfter: 1})
	client := NewDialer().Engine(up).(*client)
	_, err := client.Load(t.Context()) // Leaves an idle connection in the pool.
	require.NoError(t, err)
	ctx, cancel := context.WithCancelCause(t.Context())
	s, err := client.Generate(ctx, generateRequest())
	require.NoError(t, err)
	_, err = s.Recv()
	require.NoError(t, err)
	require.Positive(t, l.Blackhole())
	cancel(radishcrank.ErrNoProgress)
	_, err = s.Recv()
	require.ErrorIs(t, err, radishcrank.ErrNoProgress)
	client.CloseIdle()
	require.Equal(t, 1, e.LoadReport().Running)
	s.Close()
	require.Eventually(t, func() bool { return e.LoadReport().Running == 0 }, 5*time.Second, time.Millisecond)
	e.SetFaults(rcfakeengine.Faults{})
	s, err = client.Generate(t.Context(), generateRequest())
	require.NoError(t, err)
	_, err = readAll(s)
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a fast parser that accepts input that encoding/json rejects, or
// decodes it differently.
func TestFastChunkMatchesJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wire := rcwire.CompletionChunk{
			ID:      rapid.String().Draw(t, "id"),
			Choices: []rcwire.Choice{{Text: rapid.String().Draw(t, "text"), FinishReason: rapid.SampledFrom([]string{"", "", "stop"}).Draw(t, "reason")}},
			Extension: rcwire.ChunkExtension{
				RequestID: radishcrank.RequestID(rapid.StringMatching(`[a-z0-9"-]*`).Draw(t, "request")), Index: rapid.Int().Draw(t, "index"),
				Weights: "w1", Incarnation: radishcrank.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
			},
		}
		data, err := json.Marshal(wire)
		require.NoError(t, err)
		if rapid.Bool().Draw(t, "damage") {
			data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		compareParsers(t, data)
	})
	var p chunkParser
	require.True(t, p.parseFast([]byte(`{"id":"r","choices":[{"index":0,"text":"a\n\"b\""}],"radishcrank":{"RequestID":"r","Index":3,"Weights":"w","Incarnation":9}}`), &chunk{}))
	require.Equal(t, "a\n\"b\"", string(p.text))
}

func compareParsers(t require.TestingT, data []byte) {
	var p chunkParser
	var fast, slow chunk
	if !p.parseFast(data, &fast) {
		return
	}
	require.NoError(t, parseJSON(data, &slow), "%q", data)
	require.Equal(t, string(slow.id), string(fast.id))
	require.Equal(t, string(slow.requestID), string(fast.requestID))
	require.Equal(t, string(slow.text), string(fast.text))
	require.Equal(t, string(slow.weights), string(fast.weights))
	require.Equal(t, slow.index, fast.index)
	require.Equal(t, slow.incarnation, fast.incarnation)
	require.Equal(t, slow.reason, fast.reason)
	require.Equal(t, slow.usage, fast.usage)
}

func FuzzChunk(f *testing.F) {
	f.Add([]byte(`{"id":"r","choices":[{"index":0,"text":"a\n"}],"radishcrank":{"RequestID":"r","Index":3,"Weights":"w","Incarnation":9}}`))
	f.Fuzz(func(t *testing.T, data []byte) { compareParsers(t, data) })
}

// Guards against panics, skipped indexes and an end of stream without a finish
// event on arbitrary input.
func FuzzStream(f *testing.F) {
	token := `data: {"id":"r1","choices":[{"index":0,"text":"a"}],"radishcrank":{"RequestID":"r1","Index":0,"Weights":"w1","Incarnation":9}}` + "\n\n"
	finish := `data: {"id":"r1","choices":[{"index":0,"text":"","finish_reason":"stop"}],"radishcrank":{"RequestID":"r1","Index":1,"Weights":"w1","Incarnation":9}}` + "\n\n"
	f.Add([]byte(token + finish))
	f.Add([]byte(token + token))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := newTokenStream(t.Context(), io.NopCloser(bytes.NewReader(raw)), func(bool) {}, generateRequest(), 0)
		for i := 0; ; i++ {
			token, err := s.Recv()
			if err == io.EOF {
				require.Positive(t, i)
				require.Contains(t, string(raw), "finish_reason")
			}
			if err != nil {
				return
			}
			require.Equal(t, i, token.Index)
		}
	})
}
