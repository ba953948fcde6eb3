package rcguard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

const headLimit = 16 << 10

// serve starts a server whose handler answers with the length of the body.
func serve(t *testing.T, budget rcmemory.Config) (addr string, metrics *rcmetric.Set) {
	metrics = &rcmetric.Set{}
	l, err := Listen("127.0.0.1:0", Config{Budget: rcmemory.New(budget), MaxHeadBytes: func() int { return headLimit }, Metrics: metrics, CrowdedAt: 1})
	require.NoError(t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			return
		}
		n, _ := io.Copy(io.Discard, r.Body)
		rcmemory.ReserverFrom(r.Context()).Accept()
		fmt.Fprint(w, n)
	})}
	Configure(s)
	go s.Serve(l) // Returns after Close.
	t.Cleanup(func() { s.Close() })
	return l.Addr().String(), metrics
}

func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return conn, bufio.NewReader(conn)
}

// TestHeads guards against heads beyond the limit that are read, a refusal that the client
// does not receive, and against bodies and later requests that are taken for a part of a head.
func TestHeads(t *testing.T) {
	line := "X-A: " + strings.Repeat("a", 1000) + "\r\n"
	request := func(lines, body int) string {
		return "POST / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat(line, lines) + fmt.Sprintf("Content-Length: %d\r\n\r\n", body) + strings.Repeat("\n", body)
	}
	for name, c := range map[string]struct {
		text   string
		status []int
		long   int64
	}{
		"legal":     {request(15, 0), []int{200}, 0},
		"too long":  {request(60, 0), []int{431}, 1},
		"endless":   {"GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("x", 90<<10), []int{431}, 1},
		"body":      {request(1, 200<<10), []int{200}, 0},
		"pipelined": {request(3, 50<<10) + "\r\n" + request(0, 10) + request(0, 100<<10) + request(15, 50<<10), []int{200, 200, 200, 200}, 0},
		"second":    {request(1, 10) + request(60, 0), []int{200, 431}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			addr, metrics := serve(t, rcmemory.Config{})
			conn, r := dial(t, addr)
			go io.WriteString(conn, c.text) // Fails if the request is refused.
			for _, status := range c.status {
				resp, err := http.ReadResponse(r, nil)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
				require.Equal(t, status, resp.StatusCode)
			}
			require.Equal(t, c.long, metrics.Value(rcmetric.HeadsTooLong))
		})
	}
}

// TestMemoryForHeads guards against many short lines that are parsed without memory for them,
// and against memory that is not given back after a request.
func TestMemoryForHeads(t *testing.T) {
	addr, metrics := serve(t, rcmemory.Config{Limit: 256 << 10})
	conn, r := dial(t, addr)
	for range 100 {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nX-A: b\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 1000))
	require.NoError(t, err)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Positive(t, metrics.Value(rcmetric.RefusedForMemory))
}

// TestConnectionsBeyondLimit guards against connections that are accepted without a place,
// and against stalled ones that keep later ones out.
func TestConnectionsBeyondLimit(t *testing.T) {
	for name, text := range map[string]string{"unused": "", "stalled body": "POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\na"} {
		t.Run(name, func(t *testing.T) { testStalled(t, text) })
	}
}

func testStalled(t *testing.T, text string) {
	addr, metrics := serve(t, rcmemory.Config{MaxConnections: 1})
	first, _ := dial(t, addr)
	_, err := io.WriteString(first, text)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		conn, r := dial(t, addr)
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		if err != nil {
			return false
		}
		resp, err := http.ReadResponse(r, nil)
		return err == nil && resp.StatusCode == http.StatusOK
	}, 20*time.Second, 10*time.Millisecond)
	_, err = io.ReadAll(first)
	require.Error(t, err)
	require.Positive(t, metrics.Value(rcmetric.ConnectionsRefused))
	require.EqualValues(t, 1, metrics.Value(rcmetric.ConnectionsEvicted))
}

// budgetOf is a Reserver with a limit.
type budgetOf struct{ left, most int64 }

func (b *budgetOf) Reserve(n int64) bool {
	b.left -= n
	b.most = min(b.most, b.left)
	return b.left >= 0
}
func (b *budgetOf) Return(n int64) { b.left += n }
func (b *budgetOf) Accept()        {}

// TestReadBody guards against bodies that are changed, cut bodies that are taken for whole
// ones, and memory that is allocated for bytes that are only announced.
func TestReadBody(t *testing.T) {
	const limit = 1 << 20
	for _, size := range []int{0, 1, firstBodyBytes, firstBodyBytes + 1, 55_000, 300_000} {
		text := strings.Repeat("0123456789", size/10+1)[:size]
		for _, length := range []int64{int64(size), -1} {
			body, err := ReadBody(iotest.OneByteReader(strings.NewReader(text)), length, &budgetOf{left: limit})
			require.NoError(t, err)
			require.Equal(t, text, string(body))
		}
		_, err := ReadBody(strings.NewReader(text), int64(size+1), &budgetOf{left: limit})
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
	memory := &budgetOf{left: limit, most: limit}
	_, err := ReadBody(strings.NewReader("a"), 100*limit, memory)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.EqualValues(t, limit, memory.most)
	_, err = ReadBody(strings.NewReader(strings.Repeat("a", 2*limit)), -1, &budgetOf{left: limit})
	require.ErrorIs(t, err, ErrNoMemory)
}

// TestHeadsBelowTLS guards against heads of encrypted connections that are parsed without
// memory for them, and against encrypted requests that are refused in calm.
func TestHeadsBelowTLS(t *testing.T) {
	metrics := &rcmetric.Set{}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rcmemory.ReserverFrom(r.Context()).Accept()
		fmt.Fprint(w, rcmemory.ReserverFrom(r.Context()).Reserve(1<<20))
	}))
	s.Listener = Wrap(s.Listener, Config{Budget: rcmemory.New(rcmemory.Config{Limit: 512 << 10}), Encrypted: true, Metrics: metrics})
	Configure(s.Config)
	s.StartTLS()
	defer s.Close()
	for range 20 {
		resp, err := s.Client().Get(s.URL)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "false", string(body), "the connection below TLS is not known")
	}
	r, err := http.NewRequest(http.MethodGet, s.URL, nil)
	require.NoError(t, err)
	r.Header.Set("X-A", strings.Repeat("a", 100<<10))
	_, err = s.Client().Do(r)
	require.Error(t, err)
	require.Positive(t, metrics.Value(rcmetric.RefusedForMemory))
}
