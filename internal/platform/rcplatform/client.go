// Package rcplatform holds the HTTP clients of the platform's table service,
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
)

const (
	defaultTimeout = 2 * time.Second
	dialTimeout    = 500 * time.Millisecond
	idleTimeout    = 30 * time.Second
	maxIdle        = 8

	// maxAnswerBytes bounds an answer's size. The largest are pages of 200 rows
	// of up to 64 KiB, which base64 makes a third longer.
	maxAnswerBytes = 24 << 20
	// maxErrorBytes is how much of an error's body goes into the message.
	maxErrorBytes = 256
)

// Config says where a platform service is.
type Config struct {
	Addr    netip.AddrPort
	Timeout time.Duration // One call, from dial to the whole answer; default 2 s.
}

// client sends the requests of one platform service.
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
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
				MaxIdleConnsPerHost: maxIdle,
				IdleConnTimeout:     idleTimeout,
			},
			// A redirected commit would be sent twice.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// reply is a complete answer.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// err describes an answer whose status is not 200.
func (r reply) err() error {
	return fmt.Errorf("status %d: %q", r.status, r.body[:min(len(r.body), maxErrorBytes)])
}

// do sends a request. sent is false only if no byte of it can have been sent.
func (c client) do(ctx context.Context, method, path string, body []byte) (answer reply, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// GotConn is called on this goroutine before the request is written.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent = true },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return answer, false, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, sent, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(data) > maxAnswerBytes {
		err = fmt.Errorf("answer exceeds %d bytes", maxAnswerBytes)
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: data}, sent, err
}

// read sends a request that changes nothing and decodes the answer. Every
// failure is ErrUnavailable, except for a missing object.
func (c client) read(ctx context.Context, method, path string, message, v any) error {
	var body []byte
	if message != nil {
		var err error
		if body, err = json.Marshal(message); err != nil {
			return err
		}
	}
	answer, _, err := c.do(ctx, method, path, body)
	if err != nil {
		return fmt.Errorf("%w: %w", radishcrank.ErrUnavailable, err)
	}
	switch answer.status {
	case http.StatusOK:
	case http.StatusNotFound:
		return radishcrank.ErrNotFound
	case http.StatusTooManyRequests:
		return newRateLimitError(answer.header)
	default:
		return fmt.Errorf("%w: %w", radishcrank.ErrUnavailable, answer.err())
	}
	if err := json.Unmarshal(answer.body, v); err != nil {
		return fmt.Errorf("%w: %w", radishcrank.ErrUnavailable, err)
	}
	return nil
}

// write sends a request that changes something. A failure is ErrUnavailable if
// the change cannot have taken effect and ErrUnknownOutcome otherwise.
func (c client) write(ctx context.Context, method, path string, body []byte) error {
	answer, sent, err := c.do(ctx, method, path, body)
	switch {
	case err != nil && !sent:
		return fmt.Errorf("%w: %w", radishcrank.ErrUnavailable, err)
	case answer.status == http.StatusOK:
		return nil // Also if the rest of the answer was lost.
	case answer.status == http.StatusConflict:
		return radishcrank.ErrConflict
	case answer.status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %w", radishcrank.ErrUnavailable, answer.err())
	case err != nil:
		return fmt.Errorf("%w: %w", radishcrank.ErrUnknownOutcome, err)
	}
	return fmt.Errorf("%w: %w", radishcrank.ErrUnknownOutcome, answer.err())
}
