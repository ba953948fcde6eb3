package rcguard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

// serveTimed starts a server with timeouts that tests may change.
func serveTimed(t *testing.T, initial Timeouts) (addr string, timeouts *atomic.Pointer[Timeouts], metrics *rcmetric.Set) {
	timeouts, metrics = &atomic.Pointer[Timeouts]{}, &rcmetric.Set{}
	timeouts.Store(&initial)
	l, err := Listen("127.0.0.1:0", Config{
		Budget: rcmemory.New(rcmemory.Config{}), Metrics: metrics, Timeouts: func() Timeouts { return *timeouts.Load() },
	})
	require.NoError(t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
	})}
	Configure(s)
	go s.Serve(l) // Returns after Close.
	t.Cleanup(func() { s.Close() })
	return l.Addr().String(), timeouts, metrics
}

const request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nb"

func requireStatus(t *testing.T, r *bufio.Reader, status int) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.Equal(t, status, resp.StatusCode)
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
}

// TestHeaderTimeout guards against heads that never end and keep a connection, a timeout
// without a true response, and one that counts idle time or the time for a body.
func TestHeaderTimeout(t *testing.T) {
	const timeout = 200 * time.Millisecond
	addr, _, metrics := serveTimed(t, Timeouts{Header: timeout, Idle: time.Minute})
	t.Run("Stalled", func(t *testing.T) {
		for _, before := range []string{"", request} {
			conn, r := dial(t, addr)
			if write(t, conn, before); before != "" {
				requireStatus(t, r, http.StatusOK)
			}
			time.Sleep(timeout + 2*timeoutMargin) // Idle time is not counted.
			start := time.Now()
			write(t, conn, request[:10])
			requireStatus(t, r, http.StatusRequestTimeout)
			require.GreaterOrEqual(t, time.Since(start), timeout)
			_, err := r.ReadByte()
			require.ErrorIs(t, err, io.EOF)
		}
		require.EqualValues(t, 2, metrics.Value(rcmetric.HeadsTooSlow))
	})
	t.Run("Dribbled", func(t *testing.T) {
		conn, r := dial(t, addr)
		go func() {
			for { // Each byte comes in time, the head does not.
				if _, err := io.WriteString(conn, "a"); err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
		requireStatus(t, r, http.StatusRequestTimeout)
	})
	t.Run("SlowBody", func(t *testing.T) {
		conn, r := dial(t, addr)
		write(t, conn, request[:len(request)-1])
		time.Sleep(timeout + 2*timeoutMargin)
		write(t, conn, request[len(request)-1:])
		requireStatus(t, r, http.StatusOK)
	})
}

// TestIdleTimeout guards against idle connections that are closed early, whether used before or
// not, or never, and against a request that arrives at the end and gets no response.
func TestIdleTimeout(t *testing.T) {
	const timeout = 500 * time.Millisecond
	addr, _, metrics := serveTimed(t, Timeouts{Header: time.Minute, Idle: timeout})
	for _, used := range []bool{false, true} {
		conn, r := dial(t, addr)
		for range 2 {
			if used {
				write(t, conn, request)
				requireStatus(t, r, http.StatusOK)
			}
			time.Sleep(timeout) // Reuse is allowed up to four fifths.
		}
		write(t, conn, request)
		requireStatus(t, r, http.StatusOK)
		start := time.Now()
		_, err := r.Peek(1)
		require.NoError(t, err)
		require.GreaterOrEqual(t, time.Since(start), timeout)
		write(t, conn, request) // It crosses the end of the connection.
		requireStatus(t, r, http.StatusRequestTimeout)
		_, err = r.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
	require.Zero(t, metrics.Value(rcmetric.HeadsTooSlow))
	client := &http.Client{} // It takes the response for the end of the connection.
	for range 2 {
		resp, err := client.Get("http://" + addr)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, http.StatusOK, resp.StatusCode)
		time.Sleep(timeout + 2*timeoutMargin)
	}
}

// TestChangedTimeouts guards against timeouts that a waiting connection keeps after they have
// been changed.
func TestChangedTimeouts(t *testing.T) {
	addr, timeouts, _ := serveTimed(t, Timeouts{Header: time.Minute, Idle: 300 * time.Millisecond})
	raised, raisedReader := dial(t, addr)
	time.Sleep(100 * time.Millisecond)
	timeouts.Store(&Timeouts{Header: time.Minute, Idle: time.Minute})
	time.Sleep(300*time.Millisecond + 2*timeoutMargin)
	write(t, raised, request)
	requireStatus(t, raisedReader, http.StatusOK)

	idle, idleReader := dial(t, addr)
	head, headReader := dial(t, addr)
	write(t, idle, request)
	requireStatus(t, idleReader, http.StatusOK)
	write(t, head, request[:10])
	time.Sleep(100 * time.Millisecond)
	timeouts.Store(&Timeouts{Header: time.Millisecond, Idle: time.Millisecond})
	requireStatus(t, idleReader, http.StatusRequestTimeout)
	requireStatus(t, headReader, http.StatusRequestTimeout)
}

// TestLastRead guards against bytes that have arrived in time and are not read, because the
// process got no core until the timeout had passed.
func TestLastRead(t *testing.T) {
	l, err := Listen("127.0.0.1:0", Config{
		Budget: rcmemory.New(rcmemory.Config{}), Metrics: &rcmetric.Set{}, Timeouts: func() Timeouts { return Timeouts{} },
	})
	require.NoError(t, err)
	defer l.Close()
	client, _ := dial(t, l.Addr().String())
	conn, err := l.Accept()
	require.NoError(t, err)
	defer conn.Close()
	write(t, client, request)
	time.Sleep(2 * timeoutMargin)
	p := make([]byte, len(request))
	_, err = io.ReadFull(conn, p)
	require.NoError(t, err)
	require.Equal(t, request, string(p))
}
