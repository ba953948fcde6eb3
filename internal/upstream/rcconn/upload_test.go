package rcconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/upstream/rcframing"
)

// uploadBytes does not fit into the buffers of a connection.
const uploadBytes = 8 << 20

func upload(t *testing.T, respond func(c *net.TCPConn, r *bufio.Reader)) (body string, err error) {
	t.Helper()
	addr, _ := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			respond(c.(*net.TCPConn), r)
		}
	})
	p := New(Config{})
	defer p.Close()
	resp, err := p.Do(t.Context(), Request{Addr: addr, Method: http.MethodPost, Body: make([]byte, uploadBytes),
		Head: fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", uploadBytes)})
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// TestResetUploadLooksComplete guards against an unframed response that is taken for a whole one
// although its upstream closed or reset the connection before it had read the request.
func TestResetUploadLooksComplete(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn, r *bufio.Reader){
		"reset": func(c *net.TCPConn, _ *bufio.Reader) { c.SetLinger(0) },
		"close": func(*net.TCPConn, *bufio.Reader) {},
		"close inside the request": func(_ *net.TCPConn, r *bufio.Reader) {
			io.CopyN(io.Discard, r, uploadBytes/4)
		},
		"finish and reset": func(c *net.TCPConn, _ *bufio.Reader) {
			c.CloseWrite()
			<-time.After(20 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for range 10 {
				_, err := upload(t, func(c *net.TCPConn, r *bufio.Reader) {
					io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart of it")
					<-time.After(10 * time.Millisecond) // The upload fills the buffers.
					end(c, r)
				})
				require.Error(t, err)
			}
		})
	}
	t.Run("received and reset", func(t *testing.T) {
		_, err := upload(t, func(c *net.TCPConn, r *bufio.Reader) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart of it")
			io.CopyN(io.Discard, r, uploadBytes)
			c.SetLinger(0)
		})
		require.Error(t, err)
	})
}

// TestResetUploadOnKeptConnection guards against the same on a connection that has been used before.
func TestResetUploadOnKeptConnection(t *testing.T) {
	addr, connections := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, okResponse)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart of it")
		<-time.After(10 * time.Millisecond)
	})
	p := New(Config{})
	defer p.Close()
	_, err := getBody(t.Context(), p, addr)
	require.NoError(t, err)
	resp, err := p.Do(t.Context(), Request{Addr: addr, Method: http.MethodPost, Body: make([]byte, uploadBytes),
		Head: fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", uploadBytes)})
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
	require.EqualValues(t, 1, connections.Load())
}

// TestEarlyResponseIsWhole guards against a whole response that is taken for a broken one because
// its upstream sent it before it had read the request.
func TestEarlyResponseIsWhole(t *testing.T) {
	const framed, unframed = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 200 OK\r\n\r\nwhole"
	readAll := func(r *bufio.Reader) { io.CopyN(io.Discard, r, uploadBytes) }
	for name, respond := range map[string]func(c *net.TCPConn, r *bufio.Reader){
		"length and reset": func(c *net.TCPConn, _ *bufio.Reader) {
			io.WriteString(c, framed)
			<-time.After(10 * time.Millisecond)
			c.SetLinger(0)
		},
		"chunks and close": func(c *net.TCPConn, _ *bufio.Reader) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
		},
		"before the request is read": func(c *net.TCPConn, r *bufio.Reader) {
			io.WriteString(c, unframed)
			readAll(r)
		},
		"finished before the request is read": func(c *net.TCPConn, r *bufio.Reader) {
			io.WriteString(c, unframed)
			c.CloseWrite()
			<-time.After(20 * time.Millisecond)
			readAll(r)
		},
		"after the request is read": func(c *net.TCPConn, r *bufio.Reader) {
			readAll(r)
			io.WriteString(c, unframed)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for range 10 {
				body, err := upload(t, respond)
				require.NoError(t, err)
				require.Equal(t, "whole", body)
			}
		})
	}
}

// TestUnacknowledgedUploadEnds guards against a response whose end is awaited beyond the deadline,
// because the upstream neither reads the request nor closes the connection.
func TestUnacknowledgedUploadEnds(t *testing.T) {
	client, server := tcpPair(t)
	client.SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
	client.Write(make([]byte, uploadBytes)) // Fills the buffers.
	done := make(chan struct{})
	time.AfterFunc(30*time.Millisecond, func() { close(done) })
	require.ErrorIs(t, rcframing.ConfirmEnd(client, nil, done), rcframing.ErrBrokenOff)
	server.Close()
}

func tcpPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	client, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { client.Close() })
	server, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { server.Close() })
	return client, server
}
