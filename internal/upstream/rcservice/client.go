// Package rcservice is the HTTP client for plain services.
package rcservice

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
	"github.com/radishcrank/radishcrank/internal/serving/rcguard"
	"github.com/radishcrank/radishcrank/internal/upstream/rcframing"
)

const (
	dialTimeout        = time.Second
	idleTimeout        = 30 * time.Second
	maxIdlePerUpstream = 16
	maxResponseBytes   = 8 << 20
)

// Client implements radishcrank.ServiceClient.
type Client struct {
	pooled   *http.Client
	unpooled *http.Client
}

func New() *Client {
	return &Client{pooled: newHTTPClient(false), unpooled: newHTTPClient(true)}
}

func newHTTPClient(disableKeepAlives bool) *http.Client {
	return &http.Client{
		Transport: rcframing.NewTransport(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives:   disableKeepAlives,
			MaxIdleConnsPerHost: maxIdlePerUpstream,
			IdleConnTimeout:     idleTimeout,
		}),
		// A redirect is returned as the service's response; following it would
		// send the call twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Call implements radishcrank.ServiceClient.
func (c *Client) Call(ctx context.Context, up radishcrank.Upstream, call radishcrank.ServiceCall) (response radishcrank.ServiceResponse, err error) {
	client := c.pooled
	if call.IdempotencyKey != "" {
		// If the service closes a pooled connection while the call is sent, it is
		// unknown whether the call ran. A new connection avoids this at the cost of
		// a round trip.
		client = c.unpooled
	}
	response, _, err = c.do(ctx, client, up, call)
	return response, err
}

// Lookup implements radishcrank.ServiceClient. The service confirms that it knows
// the key by echoing it in the response header; any other response with a 2xx
// status may come from a service that does not support lookup.
func (c *Client) Lookup(ctx context.Context, up radishcrank.Upstream, call radishcrank.ServiceCall) (response radishcrank.ServiceResponse, found bool, err error) {
	response, header, err := c.do(ctx, c.pooled, up, radishcrank.ServiceCall{
		Account:        call.Account,
		Service:        call.Service,
		Method:         http.MethodGet,
		Path:           LookupPath,
		IdempotencyKey: call.IdempotencyKey,
	})
	switch {
	case err != nil:
		return radishcrank.ServiceResponse{}, false, err
	case header.Get(radishcrank.HeaderIdempotencyKey) == scopedKey(call) && response.Status != http.StatusNotFound:
		return response, true, nil
	case response.Status >= http.StatusInternalServerError:
		return radishcrank.ServiceResponse{}, false, fmt.Errorf("service %s, upstream %s: lookup returned status %d", call.Service, up.ID, response.Status)
	}
	return radishcrank.ServiceResponse{}, false, nil
}

func (c *Client) do(ctx context.Context, client *http.Client, up radishcrank.Upstream, call radishcrank.ServiceCall) (response radishcrank.ServiceResponse, header http.Header, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "service %s, upstream %s", call.Service, up.ID)
		}
	}()
	connected := false
	traceCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	req, err := newRequest(traceCtx, up, call)
	if err != nil {
		return response, nil, fmt.Errorf("%w: %w", radishcrank.ErrNotSent, err)
	}
	resp, err := client.Do(req)
	if err != nil && !connected {
		return response, nil, fmt.Errorf("%w: %w", radishcrank.ErrNotSent, err)
	}
	if err != nil {
		return response, nil, err
	}
	defer resp.Body.Close()
	if resp.Header.Get(radishcrank.HeaderOutcome) == string(radishcrank.OutcomeNotRun) {
		return response, nil, fmt.Errorf("status %d: %w", resp.StatusCode, radishcrank.ErrUpstreamBusy)
	}
	body, err := readBody(ctx, resp)
	if err != nil {
		return response, nil, err
	}
	if rcframing.Unframed(resp) {
		if err := rcframing.CheckBody(resp.Header, body); err != nil {
			return response, nil, err
		}
	}
	return radishcrank.ServiceResponse{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}, resp.Header, nil
}

// readBody reads the body of a response. Its memory is reserved until the end of the client's
// request; calls that are made without one, and so keep nothing for a client, reserve none.
func readBody(ctx context.Context, resp *http.Response) (body []byte, err error) {
	length := resp.ContentLength
	if resp.Request.Method == http.MethodHead {
		length = 0 // The header names the length that a body would have.
	}
	if length <= maxResponseBytes {
		body, err = rcguard.ReadBody(io.LimitReader(resp.Body, maxResponseBytes+1), length, rcmemory.ReserverFrom(ctx))
	}
	if length > maxResponseBytes || len(body) > maxResponseBytes {
		return nil, fmt.Errorf("response exceeds %d bytes", maxResponseBytes)
	}
	return body, err
}

func newRequest(ctx context.Context, up radishcrank.Upstream, call radishcrank.ServiceCall) (*http.Request, error) {
	// net/http retries a request on another connection if it can rewind the body,
	// for any method if an Idempotency-Key header is set. A reader that cannot be
	// rewound prevents this.
	body := io.NopCloser(bytes.NewReader(call.Body))
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+up.Addr.String()+call.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(call.Body))
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	if call.IdempotencyKey != "" {
		req.Header.Set(radishcrank.HeaderIdempotencyKey, scopedKey(call))
	}
	return req, nil
}

// scopedKey prefixes the key with the account, since two accounts may choose the
// same key.
func scopedKey(call radishcrank.ServiceCall) string {
	return string(call.Account) + "/" + call.IdempotencyKey
}

// LookupPath is the path at which a service reports whether it ran a call. The
// request holds the idempotency key in its header; the response echoes it if
// the service knows it.
const LookupPath = "/idempotency"
