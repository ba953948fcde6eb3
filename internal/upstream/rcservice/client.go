// Package rcservice is the HTTP client of plain services.
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
)

const (
	dialTimeout        = time.Second
	idleTimeout        = 30 * time.Second
	maxIdlePerUpstream = 16
	maxAnswerBytes     = 8 << 20
)

// Client implements radishcrank.ServiceClient.
type Client struct {
	pooled *http.Client
	fresh  *http.Client
}

// New returns a Client.
func New() *Client {
	return &Client{pooled: newHTTPClient(false), fresh: newHTTPClient(true)}
}

func newHTTPClient(fresh bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives:   fresh,
			MaxIdleConnsPerHost: maxIdlePerUpstream,
			IdleConnTimeout:     idleTimeout,
		},
		// A redirect is the service's answer; following it would send the call twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Call implements radishcrank.ServiceClient.
func (c *Client) Call(ctx context.Context, up radishcrank.Upstream, call radishcrank.ServiceCall) (answer radishcrank.ServiceResponse, err error) {
	client := c.pooled
	if call.IdempotencyKey != "" {
		// On a pooled connection that the service has just closed, nobody can tell
		// whether the call ran. A fresh one costs a round trip and has no such end.
		client = c.fresh
	}
	answer, _, err = c.do(ctx, client, up, call)
	return answer, err
}

// Lookup implements radishcrank.ServiceClient. The service proves that it knows
// the key by repeating it in the answer's header; any other answer with a 2xx
// status may come from a service without lookup.
func (c *Client) Lookup(ctx context.Context, up radishcrank.Upstream, call radishcrank.ServiceCall) (answer radishcrank.ServiceResponse, found bool, err error) {
	answer, header, err := c.do(ctx, c.pooled, up, radishcrank.ServiceCall{
		Account:        call.Account,
		Service:        call.Service,
		Method:         http.MethodGet,
		Path:           LookupPath,
		IdempotencyKey: call.IdempotencyKey,
	})
	switch {
	case err != nil:
		return radishcrank.ServiceResponse{}, false, err
	case header.Get(radishcrank.HeaderIdempotencyKey) == scopedKey(call) && answer.Status != http.StatusNotFound:
		return answer, true, nil
	case answer.Status >= http.StatusInternalServerError:
		return radishcrank.ServiceResponse{}, false, fmt.Errorf("service %s, upstream %s: lookup answered status %d", call.Service, up.ID, answer.Status)
	}
	return radishcrank.ServiceResponse{}, false, nil
}

func (c *Client) do(ctx context.Context, client *http.Client, up radishcrank.Upstream, call radishcrank.ServiceCall) (answer radishcrank.ServiceResponse, header http.Header, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "service %s, upstream %s", call.Service, up.ID)
		}
	}()
	connected := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	req, err := newRequest(traced, up, call)
	if err != nil {
		return answer, nil, fmt.Errorf("%w: %w", radishcrank.ErrNotSent, err)
	}
	resp, err := client.Do(req)
	if err != nil && !connected {
		return answer, nil, fmt.Errorf("%w: %w", radishcrank.ErrNotSent, err)
	}
	if err != nil {
		return answer, nil, err
	}
	defer resp.Body.Close()
	if resp.Header.Get(radishcrank.HeaderOutcome) == string(radishcrank.OutcomeNotRun) {
		return answer, nil, fmt.Errorf("status %d: %w", resp.StatusCode, radishcrank.ErrUpstreamBusy)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return answer, nil, err
	}
	if len(body) > maxAnswerBytes {
		return answer, nil, fmt.Errorf("answer exceeds %d bytes", maxAnswerBytes)
	}
	return radishcrank.ServiceResponse{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}, resp.Header, nil
}

func newRequest(ctx context.Context, up radishcrank.Upstream, call radishcrank.ServiceCall) (*http.Request, error) {
	// net/http sends a request again on another connection if it can rewind the
	// body, and does so for any method when an Idempotency-Key header is set. A
	// reader that it cannot rewind keeps it from repeating the call.
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

// scopedKey scopes the key by account, since two accounts may choose the same one.
func scopedKey(call radishcrank.ServiceCall) string {
	return string(call.Account) + "/" + call.IdempotencyKey
}

// LookupPath is where a service answers whether it ran a call; the idempotency
// key is in the header, and the answer repeats it there if the service knows it.
const LookupPath = "/idempotency"
