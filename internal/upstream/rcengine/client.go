// Package rcengine is the HTTP client of model engines.
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
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/upstream/rcwire"
)

const (
	dialTimeout      = time.Second
	idleTimeout      = 30 * time.Second
	maxIdlePerEngine = 64
	maxReportBytes   = 4 << 20
)

// Dialer makes clients that share one connection pool.
type Dialer struct {
	client *http.Client
}

// NewDialer returns a Dialer.
func NewDialer() *Dialer {
	return &Dialer{client: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerEngine,
		IdleConnTimeout:     idleTimeout,
	}}}
}

// Engine returns the client of an upstream.
func (d *Dialer) Engine(up radishcrank.Upstream) radishcrank.Engine {
	return &client{http: d.client, up: up}
}

type client struct {
	http *http.Client
	up   radishcrank.Upstream
}

// Generate implements radishcrank.Engine.
func (c *client) Generate(ctx context.Context, req radishcrank.GenerateRequest) (stream radishcrank.TokenStream, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "engine %s", c.up.ID)
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.post(ctx, rcwire.PathCompletions, rcwire.CompletionRequest{
		Model:     string(req.Model),
		Prompt:    req.Prompt,
		MaxTokens: req.MaxTokens,
		Stream:    true,
		Extension: rcwire.RequestExtension{
			RequestID:  req.ID,
			Priority:   req.Priority,
			CacheKeys:  req.CacheKeys,
			Weights:    req.Weights,
			Adapter:    req.Adapter,
			ResumeFrom: req.Resume,
		},
	})
	if err != nil {
		cancel()
		return nil, err
	}
	return newTokenStream(resp.Body, cancel, req, c.up.Incarnation), nil
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
	return c.command(ctx, rcwire.PathExport, rcwire.BlockList{Blocks: blocks})
}

// Import implements radishcrank.Engine.
func (c *client) Import(ctx context.Context, blocks []radishcrank.BlockHash) error {
	return c.command(ctx, rcwire.PathImport, rcwire.BlockList{Blocks: blocks})
}

// Order implements radishcrank.Engine.
func (c *client) Order(ctx context.Context, order radishcrank.Order) error {
	return c.command(ctx, rcwire.PathOrders, order)
}

func (c *client) command(ctx context.Context, path string, message any) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "engine %s, %s", c.up.ID, path)
		}
	}()
	resp, err := c.post(ctx, path, message)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// post sends a message and maps a refusal by status to the errors of the root package.
func (c *client) post(ctx context.Context, path string, message any) (*http.Response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(path), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, classify(err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
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
	resp, err := c.http.Do(req)
	if err != nil {
		return classify(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(v)
}

func (c *client) url(path string) string { return "http://" + c.up.Addr.String() + path }

// classify marks errors of the dial as ErrNotSent; after it nobody knows what the upstream read.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", radishcrank.ErrNotSent, err)
	}
	return err
}
