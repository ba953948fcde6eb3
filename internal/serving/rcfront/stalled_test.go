package rcfront_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

// TestStalledBody guards against a refusal that is never sent, and a connection that is never
// closed, because the rest of a body is awaited without end.
func TestStalledBody(t *testing.T) {
	f := newFixture(t)
	f.doc.Defaults.BodyReadTimeout = 50 * time.Millisecond
	for name, c := range map[string]struct {
		path, key string
		status    int
	}{
		"no key":  {"/v1/completions", "wrong", http.StatusUnauthorized},
		"no path": {"/none", testKey, http.StatusNotFound},
		"stalled": {"/v1/completions", testKey, http.StatusRequestTimeout},
	} {
		for _, framing := range []string{"Content-Length: 10\r\n\r\nb", "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n"} {
			t.Run(name, func(t *testing.T) {
				conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
				require.NoError(t, err)
				defer conn.Close()
				require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
				_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n%s", c.path, c.key, framing)
				require.NoError(t, err)
				r := bufio.NewReader(conn)
				resp, err := http.ReadResponse(r, nil)
				require.NoError(t, err)
				require.Equal(t, c.status, resp.StatusCode)
				require.Equal(t, string(radishcrank.OutcomeNotRun), resp.Header.Get(radishcrank.HeaderOutcome))
				_, err = io.ReadAll(r)
				require.NoError(t, err)
			})
		}
	}
}

// TestNextRequestAfterRefusal guards against a deadline for an unread body that cuts the next
// request on the same connection.
func TestNextRequestAfterRefusal(t *testing.T) {
	f := newFixture(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	r := bufio.NewReader(conn)
	for _, key := range []string{"wrong", testKey, "wrong", testKey} {
		const body = `{"model":"advice","prompt":"q"}`
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
		require.NoError(t, err)
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.Equal(t, key == testKey, resp.StatusCode == http.StatusOK)
		time.Sleep(600 * time.Millisecond) // Longer than an unread body is awaited.
	}
}
