// Package rcengine is the HTTP client for model engines.
package rcengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/upstream/rcwire"
)

const (
	maxReportBytes = 4 << 20
	// cancelTimeout bounds the call that cancels a request.
	cancelTimeout = 2 * time.Second
	// maxErrorBody is the number of bytes of an error body that are read so that
	// the connection can be reused.
	maxErrorBody = 4096
)

// lastAttempt is the number of the last attempt. A cancellation names the
// attempt, so that it cannot cancel another run of the same request.
var lastAttempt atomic.Uint64

type client struct {
	pool *pool
	up   radishcrank.Upstream
}

// CloseIdle closes the idle connections to the upstream, so that later requests
// open new ones.
func (c *client) CloseIdle() { c.pool.CloseIdle() }

// Generate implements radishcrank.Engine.
func (c *client) Generate(ctx context.Context, req radishcrank.GenerateRequest) (stream radishcrank.TokenStream, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "engine %s", c.up.ID)
		}
	}()
	ctx, cancelCtx := context.WithCancelCause(ctx)
	attempt := lastAttempt.Add(1)
	cancel := func(finished bool) {
		cancelCtx(context.Canceled)
		if !finished {
			go c.cancelRun(req.ID, attempt)
		}
	}
	resp, err := c.post(ctx, rcwire.PathCompletions, rcwire.CompletionRequest{
		Model:     string(req.Model),
		Prompt:    req.Prompt,
		MaxTokens: req.MaxTokens,
		Stream:    true,
		Extension: rcwire.RequestExtension{
			RequestID:   req.ID,
			Priority:    req.Priority,
			CacheKeys:   req.CacheKeys,
			Weights:     req.Weights,
			Adapter:     req.Adapter,
			ResumeFrom:  req.ResumeFrom,
			Upstream:    c.up.ID,
			Incarnation: c.up.Incarnation,
			Attempt:     attempt,
		},
	})
	if err != nil {
		cancel(notRun(err))
		return nil, err
	}
	return newTokenStream(ctx, resp.Body, cancel, req, c.up.Incarnation), nil
}

// cancelRun cancels an attempt over another connection. This works even if the
// attempt's own connection is unresponsive, so that the engine does not see it
// close.
func (c *client) cancelRun(id radishcrank.RequestID, attempt uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	path := fmt.Sprintf("%s%s?attempt=%d", rcwire.PathRequests, url.PathEscape(string(id)), attempt)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.url(path), nil)
	if err != nil {
		return
	}
	resp, err := c.pool.client().Do(req)
	if err != nil {
		return
	}
	resp.Body.Close()
}

func notRun(err error) bool {
	return errors.Is(err, radishcrank.ErrNotSent) || errors.Is(err, radishcrank.ErrUpstreamBusy)
}

// Load implements radishcrank.Engine.
func (c *client) Load(ctx context.Context) (report radishcrank.LoadReport, err error) {
	err = c.getJSON(ctx, rcwire.PathLoad, &report)
	return report, err
}

// Events implements radishcrank.Engine.
func (c *client) Events(ctx context.Context, from uint64) (batch radishcrank.CacheEventBatch, err error) {
	err = c.getJSON(ctx, fmt.Sprintf("%s?from=%d", rcwire.PathEvents, from), &batch)
	return batch, err
}

// Export implements radishcrank.Engine.
func (c *client) Export(ctx context.Context, blocks []radishcrank.BlockHash) error {
	return c.postCommand(ctx, rcwire.PathExport, rcwire.BlockList{Blocks: blocks})
}

// Import implements radishcrank.Engine.
func (c *client) Import(ctx context.Context, blocks []radishcrank.BlockHash) error {
	return c.postCommand(ctx, rcwire.PathImport, rcwire.BlockList{Blocks: blocks})
}

// Order implements radishcrank.Engine.
func (c *client) Order(ctx context.Context, order radishcrank.Order) error {
	return c.postCommand(ctx, rcwire.PathOrders, order)
}

func (c *client) postCommand(ctx context.Context, path string, message any) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "engine %s, %s", c.up.ID, path)
		}
	}()
	resp, err := c.post(ctx, path, message)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	// The engine may not have read the whole message if its response broke off.
	if _, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReportBytes)); err != nil {
		return transportError(ctx, err)
	}
	return nil
}

// post sends a message. It maps error statuses by which the engine rejects the
// message to ErrStaleFence and ErrUpstreamBusy.
func (c *client) post(ctx context.Context, path string, message any) (*http.Response, error) {
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	encoder.SetEscapeHTML(false) // Chats have angle brackets, of which each would take six bytes.
	if err := encoder.Encode(message); err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(path), bytes.NewReader(body.Bytes()))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.pool.client().Do(req)
	if err != nil {
		return nil, transportError(ctx, err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	io.CopyN(io.Discard, resp.Body, maxErrorBody)
	resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusConflict:
		return nil, radishcrank.ErrStaleFence
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusPreconditionFailed:
		return nil, fmt.Errorf("status %d: %w", resp.StatusCode, radishcrank.ErrUpstreamBusy)
	}
	return nil, fmt.Errorf("status %d", resp.StatusCode)
}

func (c *client) getJSON(ctx context.Context, path string, v any) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "engine %s, %s", c.up.ID, path)
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(path), nil)
	if err != nil {
		return err
	}
	resp, err := c.pool.client().Do(req)
	if err != nil {
		return transportError(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(v)
}

func (c *client) url(path string) string { return "http://" + c.up.Addr.String() + path }

// transportError wraps dial errors in ErrNotSent and, if ctx has ended, other errors
// in its cause. The remaining errors are wrapped in ErrTruncated: after the dial, it
// is unknown what the upstream has read, and the response is incomplete.
func transportError(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return errors.Join(radishcrank.ErrNotSent, cause, err)
	case cause != nil:
		return fmt.Errorf("%w: %w", cause, err)
	}
	return fmt.Errorf("%w: %w", radishcrank.ErrTruncated, err)
}
