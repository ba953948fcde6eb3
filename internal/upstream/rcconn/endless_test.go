package rcconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEndlessHeadIsRead guards against an upstream that sends bytes without end where the
// head of a response belongs: all of them were kept in memory.
func TestEndlessHeadIsRead(t *testing.T) {
	for name, c := range map[string]struct{ start, repeated string }{
		"no line":           {"", "xxxxxxxxxxxxxxxx"},
		"line without end":  {"HTTP/1.1 200 OK\r\nA: ", "xxxxxxxxxxxxxxxx"},
		"headers":           {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"long interim head": {"HTTP/1.1 102 Processing\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			closed := make(chan struct{})
			addr, _ := listen(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				defer close(closed)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				io.WriteString(conn, c.start)
				for chunk := strings.Repeat(c.repeated, 1000); ; {
					n, err := io.WriteString(conn, chunk)
					written.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			p := New(Config{})
			defer p.Close()
			start := time.Now()
			_, err := getBody(t.Context(), p, addr)
			require.ErrorIs(t, err, errHeadTooLong)
			require.Less(t, time.Since(start), 5*time.Second)
			<-closed // The connection is not reused.
			t.Logf("%d bytes were sent", written.Load())
		})
	}
}

// TestLongBodyAfterHead guards against a bound for heads that holds for bodies, too.
func TestLongBodyAfterHead(t *testing.T) {
	const length = 3 * maxHeadBytes
	addr, connections := listen(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30000\r\n"+strings.Repeat("x", length)+"\r\n0\r\n\r\n")
		}
	})
	p := New(Config{})
	defer p.Close()
	for range 3 {
		body, err := getBody(t.Context(), p, addr)
		require.NoError(t, err)
		require.Len(t, body, length)
	}
	require.EqualValues(t, 1, connections.Load())
}
