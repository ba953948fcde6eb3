// Package rcplatform implements HTTP clients for the platform's table service,
// object store, instance list and weight store.
package rcplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/upstream/rcframing"
)

const (
	defaultTimeout = 2 * time.Second
	dialTimeout    = 500 * time.Millisecond
	idleTimeout    = 30 * time.Second
	maxIdleConns   = 8

	// maxResponseBytes bounds the size of a response body. The largest responses
	// are pages of 200 rows of up to 64 KiB each, plus a third for base64.
	maxResponseBytes = 24 << 20
	// maxErrorBytes bounds the part of an error response's body that is included
	// in the error message.
	maxErrorBytes = 256
)

// Config configures the client of one platform service.
type Config struct {
	Addr    netip.AddrPort
	Timeout time.Duration // Limit for one call, from dialing to the end of the response; default 2 s.
}

// client sends requests to one platform service.
type client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

func newClient(cfg Config) client {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	return client{
		base:    "http://" + cfg.Addr.String(),
		timeout: cfg.Timeout,
		http: &http.Client{
			Transport: rcframing.NewTransport(&http.Transport{
				DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
				MaxIdleConnsPerHost: maxIdleConns,
				IdleConnTimeout:     idleTimeout,
			}),
			// Following a redirect would send a commit twice.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// response is an HTTP response whose body has been read.
type response struct {
	status int
	header http.Header
	body   []byte
}

// statusError returns an error that describes a status other than 200.
func (r response) statusError() error {
	return fmt.Errorf("status %d: %q", r.status, r.body[:min(len(r.body), maxErrorBytes)])
}

// do sends a request. sent is false only if no byte of the request can have
// been sent.
func (c client) do(ctx context.Context, method, path string, body []byte) (result response, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// The HTTP client calls GotConn on this goroutine, before it writes the request.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent = true },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return result, false, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return result, sent, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		err = fmt.Errorf("response exceeds %d bytes", maxResponseBytes)
	}
	return response{status: resp.StatusCode, header: resp.Header, body: data}, sent, err
}

// read sends a request without side effects and decodes the response into v.
// It returns ErrNotFound for status 404; every other failure of the call wraps
// ErrUnavailable.
func (c client) read(ctx context.Context, method, path string, payload, v any) error {
	var body []byte
	if payload != nil {
		var err error
		if body, err = json.Marshal(payload); err != nil {
			return err
		}
	}
	resp, _, err := c.do(ctx, method, path, body)
	if err != nil {
		return fmt.Errorf("%w: %w", radishcrank.ErrUnavailable, err)
	}
	switch resp.status {
	case http.StatusOK:
	case http.StatusNotFound:
		return radishcrank.ErrNotFound
	case http.StatusTooManyRequests:
		return newRateLimitError(resp.header)
	default:
		return fmt.Errorf("%w: %w", radishcrank.ErrUnavailable, resp.statusError())
	}
	if err := json.Unmarshal(resp.body, v); err != nil {
		return fmt.Errorf("%w: %w", radishcrank.ErrUnavailable, err)
	}
	return nil
}

// write sends a request that modifies data. It returns ErrConflict for status
// 409. Any other error wraps ErrUnavailable if the change cannot have taken
// effect, and ErrUnknownOutcome otherwise.
func (c client) write(ctx context.Context, method, path string, body []byte) error {
	resp, sent, err := c.do(ctx, method, path, body)
	switch {
	case err != nil && !sent:
		return fmt.Errorf("%w: %w", radishcrank.ErrUnavailable, err)
	case err == nil && resp.status == http.StatusOK:
		return nil // If the body broke off, the service may not have read the whole request.
	case resp.status == http.StatusConflict:
		return radishcrank.ErrConflict
	case resp.status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %w", radishcrank.ErrUnavailable, resp.statusError())
	case err != nil:
		return fmt.Errorf("%w: %w", radishcrank.ErrUnknownOutcome, err)
	}
	return fmt.Errorf("%w: %w", radishcrank.ErrUnknownOutcome, resp.statusError())
}
