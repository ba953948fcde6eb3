package rcops

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank/internal/upstream/rcframing"
)

const (
	clientTimeout    = 30 * time.Second
	maxResponseBytes = 64 << 20
)

// ErrUnauthorized means that the instance rejected the operator key.
var ErrUnauthorized = errors.New("the operator key is missing or wrong")

// ClientConfig configures a Client.
type ClientConfig struct {
	URL string // Base URL of the instance's listener for operators.
	Key string // Operator key.
	// HTTPClient sends the requests; nil uses a client with a timeout of 30 s.
	HTTPClient *http.Client
}

// Client calls the API for operators of one instance.
type Client struct {
	cfg ClientConfig
}

// NewClient returns a Client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.HTTPClient == nil {
		cfg.HTTPClient = &http.Client{
			Timeout:   clientTimeout,
			Transport: rcframing.NewTransport(http.DefaultTransport.(*http.Transport).Clone()),
		}
	}
	return &Client{cfg: cfg}
}

// Status fetches the instance's status.
func (c *Client) Status(ctx context.Context) (status Status, err error) {
	err = c.call(ctx, http.MethodGet, PathStatus, nil, &status)
	return status, err
}

// Dump fetches the instance's complete state as JSON.
func (c *Client) Dump(ctx context.Context) (dump json.RawMessage, err error) {
	err = c.call(ctx, http.MethodGet, PathDump, nil, &dump)
	return dump, err
}

// Explain asks which engine a request would be placed on.
func (c *Client) Explain(ctx context.Context, req ExplainRequest) (explanation Explanation, err error) {
	err = c.call(ctx, http.MethodPost, PathExplain, req, &explanation)
	return explanation, err
}

// Drain makes the instance reject new requests and stop once the running ones have
// ended.
func (c *Client) Drain(ctx context.Context) (status Status, err error) {
	err = c.call(ctx, http.MethodPost, PathDrain, struct{}{}, &status)
	return status, err
}

// Show implements ConfigStore.
func (c *Client) Show(ctx context.Context, revision uint64) (shown ConfigRevision, err error) {
	query := url.Values{"revision": {strconv.FormatUint(revision, 10)}}
	err = c.call(ctx, http.MethodGet, PathConfig+"?"+query.Encode(), nil, &shown)
	return shown, err
}

// Push implements ConfigStore.
func (c *Client) Push(ctx context.Context, req PushRequest) (committed ConfigRevision, err error) {
	err = c.call(ctx, http.MethodPost, PathConfig, req, &committed)
	return committed, err
}

// History implements ConfigStore.
func (c *Client) History(ctx context.Context, limit int) (list []ConfigRevision, err error) {
	err = c.call(ctx, http.MethodGet, PathHistory+"?limit="+strconv.Itoa(limit), nil, &list)
	return list, err
}

func (c *Client) call(ctx context.Context, method, path string, request, response any) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "%s %s", method, path)
		}
	}()
	var body io.Reader
	if request != nil {
		data, err := json.Marshal(request)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.URL+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.cfg.HTTPClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(resp.StatusCode, data)
	}
	return json.Unmarshal(data, response)
}

// responseError converts an error response into an error.
func responseError(status int, data []byte) error {
	var response ErrorResponse
	if err := json.Unmarshal(data, &response); err != nil || response.Error == "" {
		return fmt.Errorf("status %d", status)
	}
	switch status {
	case http.StatusUnauthorized:
		return ErrUnauthorized
	case http.StatusConflict:
		return &ConflictError{Newest: response.Newest, Diff: response.Diff}
	}
	return errors.New(response.Error)
}
