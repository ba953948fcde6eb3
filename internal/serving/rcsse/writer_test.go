package rcsse

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// pipeListener is a listener that accepts the connections sent on conns.
type pipeListener struct {
	net.Listener
	conns chan net.Conn
}

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l pipeListener) Close() error { return nil }

// Checks that a client that stops reading does not occupy its request and its engine
// indefinitely.
func TestWriterTimesOutOnStalledCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, conn := net.Pipe()
		l := pipeListener{conns: make(chan net.Conn, 1)}
		l.conns <- conn
		failed := make(chan error, 1)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			failed <- NewWriter(w).WriteEvent("r", 0, []byte("x"))
		})}
		go server.Serve(l)
		start := time.Now()
		_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		require.Error(t, <-failed)
		require.Equal(t, writeTimeout, time.Since(start))
		close(l.conns)
		server.Close()
		client.Close()
	})
}

// Checks that the write deadline is cleared after each event, so that it does not
// break a later response on the same connection, and that response writers without
// support for deadlines work.
func TestWriterClearsDeadline(t *testing.T) {
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	require.NoError(t, NewWriter(w).WriteEvent("r", 1, []byte("x")))
	require.Len(t, w.deadlines, 2)
	require.True(t, w.deadlines[1].IsZero())
	plain := httptest.NewRecorder()
	require.NoError(t, NewWriter(plain).WriteEvent("r", 1, []byte("x")))
	require.Equal(t, "id: r/1\ndata: x\n\n", plain.Body.String())
}

// deadlineRecorder is a response writer that records the deadlines set on it.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (d *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	d.deadlines = append(d.deadlines, t)
	return nil
}
