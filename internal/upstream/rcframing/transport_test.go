package rcframing_test

import (
	"bufio"
	"bytes"
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

// serveRaw starts a server that writes the same bytes in response to each request, before it has
// read the body, and then calls end.
func serveRaw(t *testing.T, response string, end func(c *net.TCPConn, body io.Reader)) (url string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				io.WriteString(c, response)
				if end != nil {
					end(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

func exchange(t *testing.T, url string, body []byte) (text string, err error) {
	t.Helper()
	transport := rcframing.NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 10 * time.Second}
	resp, err := client.Post(url, "text/plain", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// TestResetUploadLooksComplete guards against an unframed response that net/http takes for a whole
// one although the server closed or reset the connection before it had read the request.
func TestResetUploadLooksComplete(t *testing.T) {
	fillBuffers := func() { <-time.After(10 * time.Millisecond) }
	for name, end := range map[string]func(c *net.TCPConn, body io.Reader){
		"reset": func(c *net.TCPConn, _ io.Reader) { fillBuffers(); c.SetLinger(0) },
		"close": func(*net.TCPConn, io.Reader) { fillBuffers() },
		"close inside the request": func(_ *net.TCPConn, body io.Reader) {
			io.CopyN(io.Discard, body, uploadBytes/4)
		},
		"finish and reset": func(c *net.TCPConn, _ io.Reader) { c.CloseWrite(); fillBuffers() },
	} {
		t.Run(name, func(t *testing.T) {
			url := serveRaw(t, "HTTP/1.1 200 OK\r\n\r\npart of it", end)
			for range 20 {
				_, err := exchange(t, url, make([]byte, uploadBytes))
				require.Error(t, err)
			}
		})
	}
}

// TestEarlyResponseIsWhole guards against a whole response that is taken for a broken one because
// the server sent it before it had read the request.
func TestEarlyResponseIsWhole(t *testing.T) {
	readAll := func(_ *net.TCPConn, body io.Reader) { io.CopyN(io.Discard, body, uploadBytes) }
	for name, c := range map[string]struct {
		response string
		end      func(c *net.TCPConn, body io.Reader)
	}{
		"length":   {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", readAll},
		"unframed": {"HTTP/1.1 200 OK\r\n\r\nwhole", readAll},
		"finished": {"HTTP/1.1 200 OK\r\n\r\nwhole", func(conn *net.TCPConn, body io.Reader) {
			conn.CloseWrite()
			<-time.After(10 * time.Millisecond)
			readAll(conn, body)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			url := serveRaw(t, c.response, c.end)
			for range 10 {
				text, err := exchange(t, url, make([]byte, uploadBytes))
				require.NoError(t, err)
				require.Equal(t, "whole", text)
			}
		})
	}
}

// TestInvalidStatusIsResponse guards against three characters that net/http takes for a status and
// that it panics on when they are passed on.
func TestInvalidStatusIsResponse(t *testing.T) {
	for _, status := range []string{"000", "012", "099", "+20", "-00", "-12"} {
		t.Run(status, func(t *testing.T) {
			_, err := exchange(t, serveRaw(t, "HTTP/1.1 "+status+" x\r\nContent-Length: 5\r\n\r\nwhole", nil), nil)
			require.Error(t, err)
		})
	}
}

// TestMalformedFieldIsPassedOn guards against a response with a name of a field that is none in
// HTTP, whose body then ends elsewhere than the server says.
func TestMalformedFieldIsPassedOn(t *testing.T) {
	for _, field := range []string{"X Y: 1", "X-Y : 1", "X-Y\t: 1", "X\x01Y: 1", "Content-Length : 5", "Transfer-Encoding : chunked"} {
		for name, response := range map[string]string{
			"length":   "HTTP/1.1 200 OK\r\nX-A: b\r\n" + field + "\r\nContent-Length: 5\r\n\r\nwhole",
			"unframed": "HTTP/1.1 200 OK\r\n" + field + "\r\n\r\nwhole and more",
			"trailer":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n" + field + "\r\n\r\n",
		} {
			t.Run(fmt.Sprintf("%q/%s", field, name), func(t *testing.T) {
				_, err := exchange(t, serveRaw(t, response, nil), nil)
				require.Error(t, err)
			})
		}
	}
	text, err := exchange(t, serveRaw(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-A\r\n\r\n5\r\nwhole\r\n0\r\nX-A: b\r\n\r\n", nil), nil)
	require.NoError(t, err)
	require.Equal(t, "whole", text)
}
