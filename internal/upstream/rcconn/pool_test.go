package rcconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

// listen serves each connection with handle and counts the connections.
func listen(t *testing.T, handle func(n int, c net.Conn, r *bufio.Reader)) (addr netip.AddrPort, connections *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	connections = new(atomic.Int32)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(connections.Add(1))
			go func() {
				defer c.Close()
				handle(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), connections
}

func getBody(ctx context.Context, p *Pool, addr netip.AddrPort) (body string, err error) {
	resp, err := p.Do(ctx, Request{Addr: addr, Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestRequestIsNotRetried guards against a transparent retry, below the router,
// of a GET whose connection broke after the request was sent.
func TestRequestIsNotRetried(t *testing.T) {
	var requests atomic.Int32
	addr, _ := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if requests.Add(1) == 2 {
				return // The request was read and may have run, but gets no response.
			}
			io.WriteString(c, okResponse)
		}
	})
	p := New(Config{})
	defer p.Close()
	_, err := getBody(t.Context(), p, addr)
	require.NoError(t, err)
	_, err = getBody(t.Context(), p, addr)
	require.Error(t, err)
	require.NotErrorIs(t, err, radishcrank.ErrNotSent)
	require.Never(t, func() bool { return requests.Load() > 2 }, 20*time.Millisecond, 5*time.Millisecond)
}

// TestUnreachableAddrReturnsErrNotSent guards against reporting a failed dial as
// a request that may have run.
func TestUnreachableAddrReturnsErrNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	l.Close()
	_, err = getBody(t.Context(), New(Config{}), addr)
	require.ErrorIs(t, err, radishcrank.ErrNotSent)
}

// TestUnsolicitedBytesDiscardConnection guards against taking surplus bytes after
// a response for the response to the next request.
func TestUnsolicitedBytesDiscardConnection(t *testing.T) {
	for name, delay := range map[string]time.Duration{"at once": 0, "later": 10 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			written := make(chan struct{}, 1)
			addr, connections := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					io.WriteString(c, okResponse)
					<-time.After(delay)
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
					written <- struct{}{}
				}
			})
			p := New(Config{})
			defer p.Close()
			body, err := getBody(t.Context(), p, addr)
			require.NoError(t, err)
			require.Equal(t, "ok", body)
			<-written
			waitUnusable(t, p, addr)
			body, err = getBody(t.Context(), p, addr)
			require.NoError(t, err)
			require.Equal(t, "ok", body)
			require.EqualValues(t, 2, connections.Load())
		})
	}
}

// waitUnusable waits until the idle connection to an address is unusable.
func waitUnusable(t *testing.T, p *Pool, addr netip.AddrPort) {
	t.Helper()
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.idle[addr]) == 0 || !p.idle[addr][0].usable()
	}, time.Second, time.Millisecond)
}

// TestClosedIdleConnectionIsReplaced guards against sending a request on a
// connection that the upstream closed while it was idle.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	closed := make(chan struct{})
	addr, connections := listen(t, func(n int, c net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		io.WriteString(c, okResponse)
		if n == 1 {
			c.Close()
			close(closed)
		}
	})
	p := New(Config{})
	defer p.Close()
	_, err := getBody(t.Context(), p, addr)
	require.NoError(t, err)
	<-closed
	waitUnusable(t, p, addr)
	_, err = getBody(t.Context(), p, addr)
	require.NoError(t, err)
	require.EqualValues(t, 2, connections.Load())
}

// TestCancelClosesConnection guards against an upstream that keeps running a
// request after its context has ended.
func TestCancelClosesConnection(t *testing.T) {
	readErr := make(chan error, 1)
	addr, _ := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		_, err := r.ReadByte()
		readErr <- err
	})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err := getBody(ctx, New(Config{}), addr)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.ErrorIs(t, <-readErr, io.EOF)
}

// TestTruncatedBodyIsError guards against a truncated response body that is
// reported as complete.
func TestTruncatedBodyIsError(t *testing.T) {
	for name, answer := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
				http.ReadRequest(r)
				io.WriteString(c, answer)
			})
			_, err := getBody(t.Context(), New(Config{}), addr)
			require.True(t, errors.Is(err, io.ErrUnexpectedEOF), "got %v", err)
		})
	}
}

// TestIdleConnectionsAreBounded guards against idle connections to many upstreams that use up
// the descriptors of the process.
func TestIdleConnectionsAreBounded(t *testing.T) {
	p := New(Config{MaxIdle: 2})
	defer p.Close()
	var addrs []netip.AddrPort
	for range 3 {
		addr, _ := listen(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = r.ReadByte() })
		addrs = append(addrs, addr)
		require.NoError(t, p.Connect(t.Context(), addr))
	}
	require.Len(t, p.idle, 2)
	require.NotNil(t, p.takeIdle(addrs[0], false))
	require.NoError(t, p.Connect(t.Context(), addrs[2]))
	require.NotNil(t, p.takeIdle(addrs[2], false))
	p.CloseIdle(addrs[1])
	require.Zero(t, p.idleCount)
}
