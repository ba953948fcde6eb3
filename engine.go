package radishcrank

import (
	"context"
	"errors"
)

// Errors returned by Engine, ServiceClient and Sender implementations, which
// wrap them.
var (
	// ErrNotSent means that the request did not reach the upstream and so did not run.
	ErrNotSent = errors.New("request was not sent")
	// ErrUpstreamBusy means that the upstream rejected the request without running it.
	ErrUpstreamBusy = errors.New("upstream refused the request")
	// ErrTruncated means that a stream ended without a finish event.
	ErrTruncated = errors.New("upstream stream ended early")
	// ErrMismatch means that a stream carried an event of another request,
	// weights version or incarnation.
	ErrMismatch = errors.New("upstream stream does not match the request")
	// ErrNoProgress means that no data arrived within the progress timeout.
	ErrNoProgress = errors.New("no data from the upstream within the progress timeout")
	// ErrStaleFence means that an engine rejected an order with an outdated fencing token.
	ErrStaleFence = errors.New("stale fencing token")
)

// GenerateRequest is a generation request for one engine.
type GenerateRequest struct {
	Request
	CacheKeys []BlockHash    // Hash chain of the prompt's full blocks; the engine caches blocks under these keys.
	Weights   WeightsVersion // The engine rejects the request if it serves other weights.
}

// TokenStream is the output of one generation.
type TokenStream interface {
	// Recv returns the next token, and io.EOF after the last one. Finish is valid
	// only after io.EOF; any other error means that the output is incomplete.
	Recv() (Token, error)
	// Finish describes the completed generation.
	Finish() Finish
	// Close cancels the generation if it is still running. It may be called more
	// than once.
	Close() error
}

// CacheEventKind is the kind of a CacheEvent.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "Stored"
	CacheEvicted CacheEventKind = "Evicted"
	CacheCleared CacheEventKind = "Cleared"
)

// CacheEvent describes one change to an engine's prefix cache.
type CacheEvent struct {
	Seq    uint64
	Kind   CacheEventKind
	Blocks []BlockHash
}

// CacheEventBatch holds consecutive cache events of one incarnation.
type CacheEventBatch struct {
	Incarnation Incarnation
	First       uint64 // Oldest sequence number that the engine retains.
	Events      []CacheEvent
}

// OrderKind is the kind of an Order.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadWeights OrderKind = "LoadWeights"
	OrderLoadAdapter OrderKind = "LoadAdapter"
	OrderChangeRole  OrderKind = "ChangeRole"
)

// Roles that OrderChangeRole sets.
const (
	// RoleStandby makes an engine reject new requests and finish running ones.
	RoleStandby = "Standby"
	// RoleServing makes an engine accept requests again.
	RoleServing = "Serving"
)

// Order is a control command that changes what an engine serves. Orders are
// idempotent and fenced.
type Order struct {
	Fence   uint64
	Kind    OrderKind
	Model   ModelID
	Weights WeightsVersion
	Adapter string
	Role    string
}

// Engine is the client of one model engine.
type Engine interface {
	// Generate starts a generation. ErrNotSent and ErrUpstreamBusy mean that it
	// did not run.
	Generate(ctx context.Context, req GenerateRequest) (TokenStream, error)
	// Load fetches the engine's current load report.
	Load(ctx context.Context) (LoadReport, error)
	// Events fetches the cache events starting at sequence number from.
	Events(ctx context.Context, from uint64) (CacheEventBatch, error)
	// Export copies cached blocks to the KV store.
	Export(ctx context.Context, blocks []BlockHash) error
	// Import loads blocks from the KV store into the cache.
	Import(ctx context.Context, blocks []BlockHash) error
	// Order executes an order. ErrStaleFence means that another instance has since
	// taken over issuing orders.
	Order(ctx context.Context, order Order) error
}

// EngineDialer creates engine clients.
type EngineDialer interface {
	Engine(up Upstream) Engine
}

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Account        ClientAccountID
	Service        string
	Method         string
	Path           string // Path and query relative to the service's root.
	ContentType    string
	Body           []byte
	IdempotencyKey string // Forwarded to the service if set.
}

// ServiceResponse is the response of a plain service.
type ServiceResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// ServiceClient calls plain services. Errors that wrap ErrNotSent or
// ErrUpstreamBusy mean that the call did not run; after any other error it may
// or may not have run.
type ServiceClient interface {
	Call(ctx context.Context, up Upstream, call ServiceCall) (ServiceResponse, error)
	// Lookup asks whether the service ran the call with this idempotency key.
	// found is false if the service does not know the key; a call that is still
	// in flight may yet arrive.
	Lookup(ctx context.Context, up Upstream, call ServiceCall) (response ServiceResponse, found bool, err error)
}
