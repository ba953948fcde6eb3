package rcengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/serving/rcrelay"
	"github.com/radishcrank/radishcrank/internal/serving/rcsse"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/upstream/rcwire"
)

const benchTokens = 4096

// fixedBackend is a transport, chooser and dialer that respond to each request
// with the same bytes.
type fixedBackend struct{ body []byte }

func (c fixedBackend) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(c.body))}, nil
}

func (c fixedBackend) Choose(context.Context, radishcrank.Request, []radishcrank.UpstreamID) (radishcrank.Placement, error) {
	return radishcrank.Placement{Upstream: radishcrank.Upstream{ID: "e1"}, Weights: "w1"}, nil
}

func (c fixedBackend) Observe(radishcrank.Request, radishcrank.Placement, radishcrank.Observation) {}

func (c fixedBackend) Engine(up radishcrank.Upstream) radishcrank.Engine {
	up.Addr = netip.MustParseAddrPort("127.0.0.1:1") // Not dialled.
	return &client{up: up, pool: &pool{http: &http.Client{Transport: c}}}
}

func newFixedBackend(tb testing.TB) fixedBackend {
	var body bytes.Buffer
	for i := range benchTokens + 1 {
		chunk := rcwire.CompletionChunk{
			ID: "r1", Choices: []rcwire.Choice{{Text: fmt.Sprintf(" word\n%d", i)}},
			Extension: rcwire.ChunkExtension{RequestID: "r1", Index: i, Weights: "w1", Incarnation: 9},
		}
		if i == benchTokens {
			chunk.Choices = []rcwire.Choice{{FinishReason: "stop"}}
		}
		data, err := json.Marshal(chunk)
		require.NoError(tb, err)
		fmt.Fprintf(&body, "data: %s\n\n", data)
	}
	return fixedBackend{body: body.Bytes()}
}

// encodingSink encodes a response as sent to the client.
type encodingSink struct {
	out *rcsse.Writer
	enc *rcsse.TokenEncoder
}

func (e encodingSink) Token(t radishcrank.Token) error {
	return e.out.WriteToken(e.enc, t.Index, t.Text)
}
func (e encodingSink) Finish(radishcrank.Finish) (err error) { return nil }

type discardResponse struct{ header http.Header }

func (d discardResponse) Header() http.Header         { return d.header }
func (d discardResponse) Write(p []byte) (int, error) { return len(p), nil }
func (d discardResponse) WriteHeader(int)             {}
func (d discardResponse) Flush()                      {}

// BenchmarkRelayToken measures the relay of one token, from the bytes of the
// engine's event to the bytes sent to the client.
func BenchmarkRelayToken(b *testing.B) {
	c := newFixedBackend(b)
	relay := rcrelay.New(rcrelay.Config{Board: rcboard.New(), Chooser: c, Dialer: c, MaxAttempts: 1})
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += benchTokens {
		sink := encodingSink{rcsse.NewWriter(discardResponse{}), rcsse.NewTokenEncoder("r1", "m", 1, true)}
		err := relay.Generate(context.Background(), radishcrank.Request{ID: "r1", Account: "a", Model: "m", Prompt: "p"}, sink)
		if err != nil {
			b.Fatal(err)
		}
	}
}

// Checks the target of at most 5 µs and 2 allocations for the relay of one token.
func TestBoundRelayToken(t *testing.T) {
	if os.Getenv("RADISHCRANK_BOUNDS") != "1" {
		t.Skip("RADISHCRANK_BOUNDS is not 1")
	}
	best, allocations := time.Hour, int64(1000)
	for range 5 {
		r := testing.Benchmark(BenchmarkRelayToken)
		require.Positive(t, r.N, "the benchmark failed")
		// Each iteration relays a whole response, so the last one may exceed b.N.
		relayed := (r.N + benchTokens - 1) / benchTokens * benchTokens
		best = min(best, r.T/time.Duration(relayed))
		allocations = min(allocations, int64(r.MemAllocs)/int64(relayed))
	}
	t.Logf("relay of one token: %v, %d allocations", best, allocations)
	require.LessOrEqual(t, best, 5*time.Microsecond)
	require.LessOrEqual(t, allocations, int64(2))
}
