package rcrpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"
)

// Error codes in addition to those of JSON-RPC.
const (
	CodeFailed   = 1 // The handler failed.
	CodeNotFound = 2 // The requested item does not exist.
	CodeBusy     = 3 // Too many calls are running.
)

// RemoteError is an error response from another instance.
type RemoteError struct {
	Code    int64
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer returned error %d: %s", e.Code, e.Message)
}

// Method describes an RPC method with parameters P and result R.
type Method[P, R any] struct {
	Name    string
	Timeout time.Duration // Limit for each call; an earlier context deadline applies first.
}

// Caller makes calls to other instances.
type Caller interface {
	// Call calls a method of the instance at an address and decodes the response
	// into result.
	Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error
}

// Call calls method m of the instance at an address.
func Call[P, R any](ctx context.Context, c Caller, to netip.AddrPort, m Method[P, R], params P) (result R, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "calling %s on %s", m.Name, to)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, m.Timeout)
	defer cancel()
	err = c.Call(ctx, to, m.Name, params, &result)
	return result, err
}

// Handlers maps method names to their handlers. All handlers must be registered
// before the first call is served.
type Handlers struct {
	byName map[string]handler
	memory Memory
}

// Memory counts what messages hold. They are bounded one by one and by the number of
// connections, and the instances depend on them, so that none is refused.
type Memory interface {
	Take(n int64)
	Return(n int64)
}

type uncounted struct{}

func (uncounted) Take(int64)   {}
func (uncounted) Return(int64) {}

// SetMemory sets where messages are counted while they are read and handled.
func (h *Handlers) SetMemory(m Memory) { h.memory = m }

type handler func(ctx context.Context, from Identity, params json.RawMessage) (any, error)

// NewHandlers returns an empty set of handlers.
func NewHandlers() *Handlers { return &Handlers{byName: make(map[string]handler), memory: uncounted{}} }

// Handle registers f as the handler of a method. It panics if the method already
// has a handler.
func Handle[P, R any](h *Handlers, m Method[P, R], f func(ctx context.Context, from Identity, params P) (R, error)) {
	if _, ok := h.byName[m.Name]; ok {
		panic(fmt.Sprintf("rcrpc: method %s already has a handler", m.Name))
	}
	h.byName[m.Name] = func(ctx context.Context, from Identity, rawParams json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(rawParams, &params); err != nil {
			return nil, &RemoteError{Code: jsonrpc2.CodeInvalidParams, Message: "the parameters do not fit the method"}
		}
		ctx, cancel := context.WithTimeout(ctx, m.Timeout)
		defer cancel()
		return f(ctx, from, params)
	}
}

// Serve runs the handler of a call. A non-nil error is always a *RemoteError.
func (h *Handlers) Serve(ctx context.Context, from Identity, method string, params json.RawMessage) (any, error) {
	handle, ok := h.byName[method]
	if !ok {
		return nil, &RemoteError{Code: jsonrpc2.CodeMethodNotFound, Message: "the method does not exist"}
	}
	if params == nil {
		params = json.RawMessage("null")
	}
	result, err := handle(ctx, from, params)
	if err == nil {
		return result, nil
	}
	var remote *RemoteError
	if errors.As(err, &remote) {
		return nil, remote
	}
	return nil, &RemoteError{Code: CodeFailed, Message: err.Error()}
}
