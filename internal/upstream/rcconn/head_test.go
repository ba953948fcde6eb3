package rcconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

// TestCutHeadIsTakenForResponse guards against a response whose head its upstream broke off
// that is taken for one without a body, wherever the head ends and whatever came before it.
func TestCutHeadIsTakenForResponse(t *testing.T) {
	for name, response := range map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\nX-Folded: a\r\n b\r\n\r\nwhole answer",
		"chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\nc\r\nwhole answer\r\n0\r\n\r\n",
		"unframed": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/plain\r\n\r\nwhole answer",
		"no body":  "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n",
		"interim":  "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nwhole answer",
		"newlines": "HTTP/1.1 200 OK\nContent-Length: 12\nX-A: b\n\nwhole answer",
	} {
		t.Run(name, func(t *testing.T) {
			head := strings.Index(response, "whole answer")
			if head < 0 {
				head = len(response)
			}
			if name == "chunks" {
				head -= len("c\r\n")
			}
			for cut := range head {
				addr, _ := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err == nil {
						io.WriteString(c, response[:cut])
					}
				})
				p := New(Config{})
				resp, err := p.Do(context.Background(), Request{Addr: addr, Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")})
				if err == nil {
					resp.Body.Close()
				}
				require.Error(t, err, "%q", response[:cut])
				p.Close()
			}
		})
	}
}

// respondOnce requests something of an upstream that writes a response and closes the connection.
func respondOnce(t *testing.T, response string) (body string, err error) {
	t.Helper()
	addr, _ := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, response)
		}
	})
	p := New(Config{})
	defer p.Close()
	return getBody(t.Context(), p, addr)
}

// TestInvalidStatusIsResponse guards against three characters that net/http takes for a status and
// that it panics on when they are passed on.
func TestInvalidStatusIsResponse(t *testing.T) {
	for _, status := range []string{"000", "012", "099", "+20", "-00", "-12"} {
		for name, before := range map[string]string{"first": "", "interim": "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"} {
			t.Run(status+"/"+name, func(t *testing.T) {
				_, err := respondOnce(t, before+"HTTP/1.1 "+status+" x\r\nContent-Length: 5\r\n\r\nwhole")
				require.Error(t, err)
				require.NotErrorIs(t, err, radishcrank.ErrNotSent)
			})
		}
	}
}

// malformedFields are lines that are no fields in HTTP.
var malformedFields = []string{
	"X Y: 1", "X-Y : 1", "X-Y\t: 1", "X\x01Y: 1", "X\x7fY: 1", "X\xe9: 1", ": 1", "X-Y", "X(Y): 1",
	"Content-Length : 5", "Content Length: 5", "Transfer-Encoding : chunked", "Connection : close",
}

// TestMalformedFieldIsPassedOn guards against a response with a name of a field that is none in
// HTTP, whose body then ends elsewhere than the upstream says.
func TestMalformedFieldIsPassedOn(t *testing.T) {
	for _, field := range malformedFields {
		for _, status := range []string{"200 OK", "500 Internal Server Error"} {
			for name, response := range map[string]string{
				"length":   "HTTP/1.1 " + status + "\r\nX-A: b\r\n" + field + "\r\nContent-Length: 5\r\n\r\nwhole",
				"unframed": "HTTP/1.1 " + status + "\r\n" + field + "\r\n\r\nwhole and more",
				"interim":  "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\nHTTP/1.1 " + status + "\r\nContent-Length: 5\r\n\r\nwhole",
				"trailer":  "HTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n" + field + "\r\n\r\n",
			} {
				t.Run(fmt.Sprintf("%q/%s/%s", field, status[:3], name), func(t *testing.T) {
					_, err := respondOnce(t, response)
					require.Error(t, err)
					require.NotErrorIs(t, err, radishcrank.ErrNotSent)
				})
			}
		}
	}
}

// TestWellFormedFieldIsRejected guards against names that HTTP allows, and folded lines, that are
// taken for malformed ones.
func TestWellFormedFieldIsRejected(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~09: a b\tc\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nX-Folded: a\r\n b: c\r\nContent-Length:5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nTrailer: X-A, x y\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-A: b\r\n\r\n",
	} {
		body, err := respondOnce(t, response)
		require.NoError(t, err, response)
		require.Equal(t, "whole", body)
	}
}
