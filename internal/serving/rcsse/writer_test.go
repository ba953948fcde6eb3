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

// pipeListener accepts one side of a pipe.
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

// Guards against a caller that stops reading and so holds its request, and its
// engine, for ever.
func TestWriterGivesUpOnStalledCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, conn := net.Pipe()
		l := pipeListener{conns: make(chan net.Conn, 1)}
		l.conns <- conn
		failed := make(chan error, 1)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			failed <- NewWriter(w).WriteEvent("r", 0, []byte("x"))
		})}
		go server.Serve(l)
		start := time.Now()
		_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		require.Error(t, <-failed)
		require.Equal(t, writeTimeout, time.Since(start))
		close(l.conns)
		server.Close()
		caller.Close()
	})
}

// Guards against a write deadline that outlasts its response and breaks a later
// one on the same connection, and against writers that support no deadlines.
func TestWriterClearsDeadline(t *testing.T) {
	w := &deadlines{ResponseRecorder: httptest.NewRecorder()}
	require.NoError(t, NewWriter(w).WriteEvent("r", 1, []byte("x")))
	require.Len(t, w.set, 2)
	require.True(t, w.set[1].IsZero())
	plain := httptest.NewRecorder()
	require.NoError(t, NewWriter(plain).WriteEvent("r", 1, []byte("x")))
	require.Equal(t, "id: r/1\ndata: x\n\n", plain.Body.String())
}

type deadlines struct {
	*httptest.ResponseRecorder
	set []time.Time
}

func (d *deadlines) SetWriteDeadline(t time.Time) error {
	d.set = append(d.set, t)
	return nil
}
