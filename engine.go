package radishcrank

import (
	"context"
	"errors"
)

// Errors of engines. Implementations wrap them.
var (
	// ErrNotSent says that the request did not reach the upstream, so it did not run.
	ErrNotSent = errors.New("request was not sent")
	// ErrUpstreamBusy says that the upstream refused the request without running it.
	ErrUpstreamBusy = errors.New("upstream refused the request")
	// ErrTruncated says that a stream ended without its finish event.
	ErrTruncated = errors.New("upstream stream ended early")
	// ErrMismatch says that a stream carried an event of another request, weights version or incarnation.
	ErrMismatch = errors.New("upstream stream does not match the request")
	// ErrNoProgress says that nothing arrived within the progress deadline.
	ErrNoProgress = errors.New("upstream connection is silent")
	// ErrStaleFence says that an engine refused an order with an old fencing number.
	ErrStaleFence = errors.New("stale fencing number")
)

// GenerateRequest is what an engine is asked to run.
type GenerateRequest struct {
	Request
	CacheKeys []BlockHash    // Chain of the prompt's full blocks; the engine stores blocks under these keys.
	Weights   WeightsVersion // The engine refuses the request if it serves other weights.
}

// TokenStream is the output of one generation.
type TokenStream interface {
	// Recv returns the next token. After the last one it returns io.EOF, and
	// only then is Finish valid; any other error means the output is incomplete.
	Recv() (Token, error)
	// Finish describes the completed generation.
	Finish() Finish
	// Close cancels the generation if it still runs. It may be called twice.
	Close() error
}

// CacheEventKind is the kind of a change of an engine's prefix cache.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "Stored"
	CacheEvicted CacheEventKind = "Evicted"
	CacheCleared CacheEventKind = "Cleared"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Seq    uint64
	Kind   CacheEventKind
	Blocks []BlockHash
}

// CacheEventBatch is a run of cache events of one incarnation.
type CacheEventBatch struct {
	Incarnation Incarnation
	First       uint64 // Oldest sequence number that the engine still holds.
	Events      []CacheEvent
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadWeights OrderKind = "LoadWeights"
	OrderLoadAdapter OrderKind = "LoadAdapter"
	OrderChangeRole  OrderKind = "ChangeRole"
)

// Roles that OrderChangeRole sets.
const (
	// RoleStandby makes an engine refuse new requests and finish those it has.
	RoleStandby = "Standby"
	// RoleServing makes it take requests again.
	RoleServing = "Serving"
)

// Order tells an engine to change what it serves. Orders are idempotent.
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
	// Generate starts a generation. ErrNotSent and ErrUpstreamBusy mean that it did not run.
	Generate(ctx context.Context, req GenerateRequest) (TokenStream, error)
	// Load fetches the current load report.
	Load(ctx context.Context) (LoadReport, error)
	// Events fetches the cache events from sequence number from on.
	Events(ctx context.Context, from uint64) (CacheEventBatch, error)
	// Export copies cached blocks into the kept KV store.
	Export(ctx context.Context, blocks []BlockHash) error
	// Import loads blocks from the kept KV store into the cache.
	Import(ctx context.Context, blocks []BlockHash) error
	// Order carries out an order. ErrStaleFence means that a newer order holder exists.
	Order(ctx context.Context, order Order) error
}

// EngineDialer returns the client of an upstream.
type EngineDialer interface {
	Engine(up Upstream) Engine
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Account        ClientAccountID
	Service        string
	Method         string
	Path           string // Path below the service's root, with query.
	ContentType    string
	Body           []byte
	IdempotencyKey string // Passed on to the service when set.
}

// ServiceResponse is the answer of a plain service.
type ServiceResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// ServiceClient calls plain services. Errors that wrap ErrNotSent or
// ErrUpstreamBusy mean that the call did not run; any other error leaves it open.
type ServiceClient interface {
	Call(ctx context.Context, up Upstream, call ServiceCall) (ServiceResponse, error)
	// Lookup asks whether the service ran the call with this idempotency key.
	// found is false when the service does not know it, which does not prove
	// that a call still under way won't arrive.
	Lookup(ctx context.Context, up Upstream, call ServiceCall) (answer ServiceResponse, found bool, err error)
}
