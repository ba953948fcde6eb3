package rcfakecaller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakecaller"
)

// TestStatedTokens guards against requests that state other token counts than their prompts
// have, and against results without the time to wait.
func TestStatedTokens(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || len(body) != 5000 || r.Header.Get("Radishcrank-Token-Usage") != "9500,40" ||
			!strings.HasSuffix(r.Header.Get("Radishcrank-Prefix-Hash"), ":4000") {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Header().Set("Retry-After", "0.25")
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	defer server.Close()
	q := rcfakecaller.Request{
		Addr: server.Listener.Addr().String(), Path: "/chat/1", ID: "r1", Timeout: time.Second, Model: "m", OwnTokens: 4000, OutputTokens: 40, BodyBytes: 5000,
	}
	require.Equal(t, 9540, q.Tokens())
	r := rcfakecaller.Send(server.Client(), q)
	require.Equal(t, http.StatusTooManyRequests, r.Status)
	require.Equal(t, "0.25", r.RetryAfter)
	require.Zero(t, rcfakecaller.Request{Model: "m"}.Tokens())
}
