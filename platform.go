package radishcrank

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

// Errors returned by the platform's services. Implementations wrap them.
var (
	// ErrConflict means that a check failed and nothing was written.
	ErrConflict = errors.New("transaction conflict")
	// ErrUnavailable means that the service was unreachable and nothing was written.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect.
	ErrUnknownOutcome = errors.New("outcome of the write is unknown")
	// ErrTooManyCalls means that a KV store has reached its limit of pending
	// long-poll calls.
	ErrTooManyCalls = errors.New("too many calls wait for events")
	// ErrNotFound means that an object does not exist.
	ErrNotFound = errors.New("not found")
)

// Row is a row of the table service.
type Row struct {
	Key     string
	Value   []byte
	Version uint64 // Number of writes to the key, starting at 1; 0 if the row is absent.
}

// Check is a precondition on the version of a row; 0 requires that it is absent.
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

// Transaction applies all writes if all checks hold, and none otherwise.
type Transaction struct {
	Checks []Check
	Writes []Write
}

// TableService is the platform's transactional table service.
type TableService interface {
	// Commit applies the transaction. ErrConflict and ErrUnavailable mean that
	// nothing was written; ErrUnknownOutcome means that the writes may have taken
	// effect.
	Commit(ctx context.Context, tx Transaction) error
	// Get returns one row per key, in the order of keys; absent rows have version 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose key has the prefix and is greater than
	// after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	List(ctx context.Context, prefix string) ([]string, error)
}

// Listing is the platform's eventually consistent view of the fleet.
type Listing struct {
	Instances []Instance
	Upstreams []Upstream
}

// InstanceLister lists the live and leaving instances and upstreams that the
// platform knows.
type InstanceLister interface {
	List(ctx context.Context) (Listing, error)
}

// KVSequence is a position in the event sequence of a KV store.
type KVSequence struct {
	BootEpoch uint64 // Changes when the store restarts and loses its contents.
	Next      uint64 // Sequence number of the next event.
}

// KVEvents waits for events of KV stores.
type KVEvents interface {
	// Await returns as soon as the store has an event numbered since or higher, or
	// after wait.
	Await(ctx context.Context, store netip.AddrPort, since uint64, wait time.Duration) (KVSequence, error)
}
