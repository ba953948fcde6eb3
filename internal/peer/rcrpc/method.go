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

// Codes of errors besides those of JSON-RPC.
const (
	CodeFailed   = 1 // The handler failed.
	CodeNotFound = 2 // What was asked for does not exist.
	CodeBusy     = 3 // Too many calls are running.
)

// RemoteError is what a handler of another instance answered in place of a result.
type RemoteError struct {
	Code    int64
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer answered error %d: %s", e.Code, e.Message)
}

// Method names a call with question Q and answer A.
type Method[Q, A any] struct {
	Name    string
	Timeout time.Duration // Deadline of each call unless the context has an earlier one.
}

// Caller makes calls to other instances.
type Caller interface {
	// Call sends question to the instance at an address and decodes its answer.
	Call(ctx context.Context, to netip.AddrPort, method string, question, answer any) error
}

// Call makes a typed call.
func Call[Q, A any](ctx context.Context, c Caller, to netip.AddrPort, m Method[Q, A], question Q) (answer A, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "%s to %s", m.Name, to)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, m.Timeout)
	defer cancel()
	err = c.Call(ctx, to, m.Name, question, &answer)
	return answer, err
}

// Handlers maps method names to their handlers. All handlers are registered
// before the first call is served.
type Handlers struct {
	byName map[string]handler
}

type handler func(ctx context.Context, from Identity, params json.RawMessage) (any, error)

// NewHandlers returns an empty set.
func NewHandlers() *Handlers { return &Handlers{byName: make(map[string]handler)} }

// Handle registers the handler of a method. It panics if the method has one.
func Handle[Q, A any](h *Handlers, m Method[Q, A], f func(ctx context.Context, from Identity, question Q) (A, error)) {
	if _, ok := h.byName[m.Name]; ok {
		panic(fmt.Sprintf("rcrpc: method %s has two handlers", m.Name))
	}
	h.byName[m.Name] = func(ctx context.Context, from Identity, params json.RawMessage) (any, error) {
		var question Q
		if err := json.Unmarshal(params, &question); err != nil {
			return nil, &RemoteError{Code: jsonrpc2.CodeInvalidParams, Message: "the parameters do not fit the method"}
		}
		ctx, cancel := context.WithTimeout(ctx, m.Timeout)
		defer cancel()
		return f(ctx, from, question)
	}
}

// Serve runs the handler of one call. Its error is always a *RemoteError.
func (h *Handlers) Serve(ctx context.Context, from Identity, method string, params json.RawMessage) (any, error) {
	f, ok := h.byName[method]
	if !ok {
		return nil, &RemoteError{Code: jsonrpc2.CodeMethodNotFound, Message: "the method does not exist"}
	}
	if params == nil {
		params = json.RawMessage("null")
	}
	answer, err := f(ctx, from, params)
	if err == nil {
		return answer, nil
	}
	var remote *RemoteError
	if errors.As(err, &remote) {
		return nil, remote
	}
	return nil, &RemoteError{Code: CodeFailed, Message: err.Error()}
}
