package rcframing

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// Transport is an http.Transport that returns an error for malformed responses, and for broken
// ones that net/http takes for whole.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport that uses t, which must not be in use.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return &Transport{Transport: t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	var current atomic.Pointer[upload] // net/http may retry on another connection.
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			u := &upload{done: r.Context().Done(), written: make(chan struct{})}
			current.Store(u)
			if c, ok := info.Conn.(*conn); ok { // TLS marks the end of what it transfers.
				c.begin(u)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if u := current.Load(); u != nil {
				u.end(info.Err)
			}
		},
	})
	if resp, err = t.Transport.RoundTrip(r.WithContext(ctx)); err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &chunkedBody{ReadCloser: resp.Body, resp: resp}
	}
	return resp, nil
}

// chunkedBody is a body that may be followed by a trailer.
type chunkedBody struct {
	io.ReadCloser
	resp *http.Response
}

func (b *chunkedBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if err == io.EOF {
		if malformed := CheckTrailer(b.resp); malformed != nil {
			err = malformed
		}
	}
	return n, err
}

// upload is one attempt to write a request, while its response is read.
type upload struct {
	done    <-chan struct{} // Closed when the request is cancelled.
	once    sync.Once
	written chan struct{} // Closed when the request has been written, or when that has failed.
	err     error
}

func (u *upload) end(err error) {
	u.once.Do(func() {
		u.err = err
		close(u.written)
	})
}

// confirmEnd waits until the request has been written to c, and calls ConfirmEnd.
func (u *upload) confirmEnd(c net.Conn) error {
	select {
	case <-u.written:
		return ConfirmEnd(c, u.err, u.done)
	case <-u.done:
		return ConfirmEnd(c, errUnacknowledged, u.done)
	}
}

// conn is a connection whose end is reported only once it is certain that it is no reset. net/http
// closes the connection at the end of an unframed response, also while the request is written.
type conn struct {
	net.Conn

	mu       sync.Mutex
	upload   *upload // The current or last one; nil before the first.
	received bool    // Part of the response to it has been read.
}

// begin is called before a request is written.
func (c *conn) begin(u *upload) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upload, c.received = u, false
}

func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.mu.Lock()
	c.received = c.received || n > 0
	u, received := c.upload, c.received
	c.mu.Unlock()
	if err == io.EOF && received {
		if broken := u.confirmEnd(c.Conn); broken != nil {
			err = broken
		}
	}
	return n, err
}
