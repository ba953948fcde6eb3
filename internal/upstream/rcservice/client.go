// Package rcservice is the HTTP client of plain services.
package rcservice

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank"
)

const (
	dialTimeout    = time.Second
	maxAnswerBytes = 8 << 20
)

// Client implements radishcrank.ServiceClient.
type Client struct {
	http *http.Client
}

// New returns a Client.
func New() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}}}
}

// Call implements radishcrank.ServiceClient.
func (c *Client) Call(ctx context.Context, up radishcrank.Upstream, call radishcrank.ServiceCall) (answer radishcrank.ServiceAnswer, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "service %s, upstream %s", call.Service, up.ID)
		}
	}()
	// net/http sends a request again on another connection if it can rewind the
	// body, and does so for any method when an Idempotency-Key header is set. A
	// reader that it cannot rewind keeps it from repeating the call.
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+up.Addr.String()+call.Path, io.NopCloser(bytes.NewReader(call.Body)))
	if err != nil {
		return answer, fmt.Errorf("%w: %w", radishcrank.ErrNotSent, err)
	}
	req.ContentLength = int64(len(call.Body))
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	if call.IdempotencyKey != "" {
		// The key is scoped by account, since two accounts may choose the same one.
		req.Header.Set(radishcrank.HeaderIdempotencyKey, string(call.Account)+"/"+call.IdempotencyKey)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, classify(err)
	}
	defer resp.Body.Close()
	if resp.Header.Get(radishcrank.HeaderOutcome) == string(radishcrank.OutcomeNotRun) {
		return answer, fmt.Errorf("status %d: %w", resp.StatusCode, radishcrank.ErrUpstreamBusy)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return answer, err
	}
	if len(body) > maxAnswerBytes {
		return answer, fmt.Errorf("answer exceeds %d bytes", maxAnswerBytes)
	}
	return radishcrank.ServiceAnswer{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

// Lookup implements radishcrank.ServiceClient.
func (c *Client) Lookup(ctx context.Context, up radishcrank.Upstream, call radishcrank.ServiceCall) (answer radishcrank.ServiceAnswer, found bool, err error) {
	answer, err = c.Call(ctx, up, radishcrank.ServiceCall{
		Account:        call.Account,
		Service:        call.Service,
		Method:         http.MethodGet,
		Path:           LookupPath,
		IdempotencyKey: call.IdempotencyKey,
	})
	if err != nil {
		return answer, false, err
	}
	return answer, answer.Status != http.StatusNotFound, nil
}

// LookupPath is where a service answers whether it ran a call; the idempotency
// key is in the header.
const LookupPath = "/idempotency"

func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", radishcrank.ErrNotSent, err)
	}
	return err
}
