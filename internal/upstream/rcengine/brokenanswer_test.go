package rcengine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

// TestMalformedHeadIsAnswer guards against an answer with a malformed head that is taken for the
// engine's, or for a refusal, which says that the request has not run.
func TestMalformedHeadIsAnswer(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 x\r\n", "HTTP/1.1 200 OK\r\nX Y: 1\r\n", "HTTP/1.1 503 Busy\r\nX-Y : 1\r\n"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			io.WriteString(conn, head+"Content-Length: 2\r\n\r\n{}")
		}))
		t.Cleanup(server.Close)
		engine := NewDialer().Engine(radishcrank.Upstream{ID: "e1", Addr: netip.MustParseAddrPort(server.Listener.Addr().String())})
		_, err := engine.Generate(t.Context(), generateRequest())
		require.ErrorIs(t, err, radishcrank.ErrTruncated, head)
		require.NotErrorIs(t, err, radishcrank.ErrUpstreamBusy)
		require.NotErrorIs(t, err, radishcrank.ErrNotSent)
		_, err = engine.Load(t.Context())
		require.ErrorIs(t, err, radishcrank.ErrTruncated, head)
	}
}

// TestBrokenOffAnswerToCommand guards against a command that is taken for done by the status of an
// answer that broke off: an engine may answer and close the connection before it has read it.
func TestBrokenOffAnswerToCommand(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close() // Resets the connection, since the command has not been read.
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		<-time.After(10 * time.Millisecond)
	}))
	t.Cleanup(server.Close)
	engine := NewDialer().Engine(radishcrank.Upstream{ID: "e1", Addr: netip.MustParseAddrPort(server.Listener.Addr().String())})
	for range 10 {
		require.Error(t, engine.Import(t.Context(), make([]radishcrank.BlockHash, 200_000)))
	}
}
