package radishcrank

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

// Errors of the platform's services. Implementations wrap them.
var (
	// ErrConflict says that a check failed and nothing was written.
	ErrConflict = errors.New("transaction conflict")
	// ErrUnavailable says that the service could not be reached and nothing was written.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrUnknownOutcome says that a write may or may not have taken effect.
	ErrUnknownOutcome = errors.New("outcome of the write is unknown")
	// ErrTooManyCalls says that a store of kept KV cache holds as many calls as it may.
	ErrTooManyCalls = errors.New("too many calls wait for events")
	// ErrNotFound says that an object does not exist.
	ErrNotFound = errors.New("not found")
)

// Row is a row of the table service.
type Row struct {
	Key     string
	Value   []byte
	Version uint64 // Counts writes of the key from 1; 0 means that the row is absent.
}

// Check demands that a row has a version; 0 demands that it is absent.
type Check struct {
	Key     string
	Version uint64
}

// Write sets or deletes a row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction applies all writes if all checks hold, else none.
type Transaction struct {
	Checks []Check
	Writes []Write
}

// TableService is the platform's transactional table service.
type TableService interface {
	// Commit applies the transaction. ErrConflict and ErrUnavailable mean that
	// nothing was written; ErrUnknownOutcome that it may have been.
	Commit(ctx context.Context, tx Transaction) error
	// Get returns one row for each key, in order; absent rows have version 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose key has the prefix and is greater than after, in order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	List(ctx context.Context, prefix string) ([]string, error)
}

// Listing is the platform's lagging view of the fleet.
type Listing struct {
	Instances []Instance
	Upstreams []Upstream
}

// InstanceLister returns the platform's list of live and leaving instances and upstreams.
type InstanceLister interface {
	List(ctx context.Context) (Listing, error)
}

// KVSequence is how far a store of kept KV cache is with its events.
type KVSequence struct {
	BootEpoch uint64 // Changes when the store has started anew and lost what it kept.
	Next      uint64 // Number of the next event.
}

// KVEvents reads the events of stores of kept KV cache.
type KVEvents interface {
	// Await returns once the store has an event from since on, or after wait.
	Await(ctx context.Context, store netip.AddrPort, since uint64, wait time.Duration) (KVSequence, error)
}
