package rcplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank"
)

// TableClient is a client of the table service. It implements
// radishcrank.TableService.
type TableClient struct {
	client client
}

// NewTableClient returns a client of the table service at cfg.Addr.
func NewTableClient(cfg Config) *TableClient { return &TableClient{client: newClient(cfg)} }

// Commit implements radishcrank.TableService.
func (t *TableClient) Commit(ctx context.Context, tx radishcrank.Transaction) (err error) {
	defer annotate(&err, "table service, commit")
	body, err := json.Marshal(tx)
	if err != nil {
		return fmt.Errorf("%w: %w", radishcrank.ErrUnavailable, err)
	}
	return t.client.write(ctx, http.MethodPost, PathCommit, body)
}

// Get implements radishcrank.TableService.
func (t *TableClient) Get(ctx context.Context, keys ...string) (rows []radishcrank.Row, err error) {
	defer annotate(&err, "table service, get")
	var list RowList
	if err := t.client.read(ctx, http.MethodPost, PathGet, GetRequest{Keys: keys}, &list); err != nil {
		return nil, err
	}
	if len(list.Rows) != len(keys) {
		return nil, fmt.Errorf("%w: %d rows for %d keys", radishcrank.ErrUnavailable, len(list.Rows), len(keys))
	}
	return list.Rows, nil
}

// Scan implements radishcrank.TableService.
func (t *TableClient) Scan(ctx context.Context, prefix, after string, limit int) (rows []radishcrank.Row, err error) {
	defer annotate(&err, "table service, scan")
	var list RowList
	err = t.client.read(ctx, http.MethodPost, PathScan, ScanRequest{Prefix: prefix, After: after, Limit: limit}, &list)
	return list.Rows, err
}

// ObjectStoreClient is a client of the object store. It implements
// radishcrank.ObjectStore.
type ObjectStoreClient struct {
	client client
}

// NewObjectStoreClient returns a client of the object store at cfg.Addr.
func NewObjectStoreClient(cfg Config) *ObjectStoreClient {
	return &ObjectStoreClient{client: newClient(cfg)}
}

// Put implements radishcrank.ObjectStore.
func (o *ObjectStoreClient) Put(ctx context.Context, name string, data []byte) (err error) {
	defer annotate(&err, "object store, put")
	return o.client.write(ctx, http.MethodPut, PathObjects+url.PathEscape(name), data)
}

// Get implements radishcrank.ObjectStore.
func (o *ObjectStoreClient) Get(ctx context.Context, name string) (data []byte, err error) {
	defer annotate(&err, "object store, get")
	resp, _, err := o.client.do(ctx, http.MethodGet, PathObjects+url.PathEscape(name), nil)
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", radishcrank.ErrUnavailable, err)
	case resp.status == http.StatusNotFound:
		return nil, radishcrank.ErrNotFound
	case resp.status != http.StatusOK:
		return nil, fmt.Errorf("%w: %w", radishcrank.ErrUnavailable, resp.statusError())
	}
	return resp.body, nil
}

// List implements radishcrank.ObjectStore.
func (o *ObjectStoreClient) List(ctx context.Context, prefix string) (names []string, err error) {
	defer annotate(&err, "object store, list")
	var list NameList
	query := url.Values{QueryPrefix: {prefix}}
	err = o.client.read(ctx, http.MethodGet, PathObjectNames+"?"+query.Encode(), nil, &list)
	return list.Names, err
}

// InstanceListClient is a client of the instance list. It implements
// radishcrank.InstanceLister.
type InstanceListClient struct {
	client client
}

// NewInstanceListClient returns a client of the instance list at cfg.Addr.
func NewInstanceListClient(cfg Config) *InstanceListClient {
	return &InstanceListClient{client: newClient(cfg)}
}

// List implements radishcrank.InstanceLister.
func (i *InstanceListClient) List(ctx context.Context) (listing radishcrank.Listing, err error) {
	defer annotate(&err, "instance list")
	err = i.client.read(ctx, http.MethodGet, PathInstances, nil, &listing)
	return listing, err
}

// WeightStoreClient is a client of the weight store.
type WeightStoreClient struct {
	client client
}

// NewWeightStoreClient returns a client of the weight store at cfg.Addr.
func NewWeightStoreClient(cfg Config) *WeightStoreClient {
	return &WeightStoreClient{client: newClient(cfg)}
}

// Info returns the metadata of a weights version. It returns ErrNotFound if the
// store does not have that version, and a *RateLimitError if the store's rate
// limit is exceeded.
func (w *WeightStoreClient) Info(ctx context.Context, model radishcrank.ModelID, version radishcrank.WeightsVersion) (info WeightsInfo, err error) {
	defer annotate(&err, "weight store")
	path := PathWeights + url.PathEscape(string(model)) + "/" + url.PathEscape(string(version))
	err = w.client.read(ctx, http.MethodGet, path, nil, &info)
	return info, err
}

// RateLimitError reports that the rate limit of a service is exceeded. It wraps
// ErrUnavailable.
type RateLimitError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("rate limit exceeded, retry after %v", e.RetryAfter)
}

// Unwrap returns ErrUnavailable.
func (e *RateLimitError) Unwrap() error { return radishcrank.ErrUnavailable }

func newRateLimitError(h http.Header) error {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 1 {
		seconds = 1
	}
	return &RateLimitError{RetryAfter: time.Duration(seconds) * time.Second}
}

func annotate(err *error, operation string) {
	if *err != nil {
		*err = trace.Wrap(*err, operation)
	}
}
