package rccapacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/serving/rcrelay"
	"github.com/radishcrank/radishcrank/internal/serving/rcsse"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/upstream/rcengine"
	"github.com/radishcrank/radishcrank/internal/upstream/rcwire"
)

func servingBenchmarks() []benchmark {
	return []benchmark{
		{"Relay", "relay one answer from an engine's connection to the caller's event bytes, CPU time of the stand-in of the engine included", "token", "µs",
			[]int{64, 256, 1024, 4096}, measureRelay},
		{"TokenBytes", "events of one answer as a caller gets them", "token", "B",
			[]int{64, 256, 1024, 4096}, measureTokenBytes},
	}
}

// fixedChooser chooses the same engine for each request.
type fixedChooser struct{ up radishcrank.Upstream }

func (c fixedChooser) Choose(context.Context, radishcrank.Request, []radishcrank.UpstreamID) (radishcrank.Placement, error) {
	return radishcrank.Placement{Upstream: c.up, Weights: "2026-11-30"}, nil
}

func (c fixedChooser) Observe(radishcrank.Request, radishcrank.Placement, radishcrank.Observation) {}

// callerSink encodes a response as the server sends it to a caller.
type callerSink struct {
	out *rcsse.Writer
	enc *rcsse.TokenEncoder
}

func (s callerSink) Token(t radishcrank.Token) error       { return s.out.WriteToken(s.enc, t.Index, t.Text) }
func (s callerSink) Finish(radishcrank.Finish) (err error) { return nil }

// countingWriter is an http.ResponseWriter that discards the body and counts its
// bytes.
type countingWriter struct {
	header http.Header
	bytes  *int
}

func (w countingWriter) Header() http.Header { return w.header }
func (w countingWriter) WriteHeader(int)     {}
func (w countingWriter) Flush()              {}
func (w countingWriter) Write(p []byte) (int, error) {
	*w.bytes += len(p)
	return len(p), nil
}

const requestID = radishcrank.RequestID("eu-north-1-router-17-123456")

// encodeEngineResponse returns a response of n tokens as an engine sends it.
func encodeEngineResponse(t *testing.T, n int) []byte {
	var body bytes.Buffer
	for i := range n + 1 {
		chunk := rcwire.CompletionChunk{
			ID: string(requestID), Choices: []rcwire.Choice{{Text: " word"}},
			Extension: rcwire.ChunkExtension{RequestID: requestID, Index: i, Weights: "2026-11-30", Incarnation: newEngine(0).Incarnation},
		}
		if i == n {
			chunk.Choices = []rcwire.Choice{{FinishReason: "stop"}}
		}
		data, err := json.Marshal(chunk)
		must(t, err)
		fmt.Fprintf(&body, "data: %s\n\n", data)
	}
	return body.Bytes()
}

func newCallerSink(count *int) callerSink {
	return callerSink{
		rcsse.NewWriter(countingWriter{http.Header{}, count}),
		rcsse.NewTokenEncoder(string(requestID), string(modelName), 1764793000, true),
	}
}

func measureRelay(t *testing.T, tokens int) Point {
	body := encodeEngineResponse(t, tokens)
	server := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write(body) }))
	up := newEngine(0)
	up.Addr = server.addr
	relay := rcrelay.New(rcrelay.Config{
		Board: rcboard.New(), Chooser: fixedChooser{up}, Dialer: rcengine.NewDialer(), MaxAttempts: 1,
	})
	written := 0
	return minCost(func() {
		must(t, relay.Generate(context.Background(),
			radishcrank.Request{ID: requestID, Account: "account-1", Model: modelName, Prompt: "prompt"}, newCallerSink(&written)))
	})
}

func measureTokenBytes(t *testing.T, tokens int) Point {
	written := 0
	sink := newCallerSink(&written)
	for i := range tokens {
		must(t, sink.Token(radishcrank.Token{Index: i, Text: " word"}))
	}
	return Point{Value: float64(written)}
}
