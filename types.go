// Package radishcrank defines the identifiers, messages and interfaces shared by
// the packages of the router. Implementations live under internal/.
package radishcrank

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"
)

// InstanceID identifies a router process.
type InstanceID string

// AvailabilityZone identifies an availability zone.
type AvailabilityZone string

// ClientAccountID identifies a client account.
type ClientAccountID string

// UpstreamID identifies a model engine or plain service.
type UpstreamID string

// ModelID is the name of a model in the API.
type ModelID string

// WeightsVersion identifies the version of the weights that an engine serves for
// a model.
type WeightsVersion string

// SoftwareVersion identifies the software that an upstream runs, not the weights that it
// serves. Versions of one service have no order.
type SoftwareVersion string

// RequestID identifies a request from its arrival at the listener for clients until
// its end at the upstream.
type RequestID string

// Incarnation increases with each start of an instance or upstream. State from
// an older incarnation is invalid.
type Incarnation uint64

// CacheScope holds everything besides the prompt that determines whether a cached
// block may be reused. Blocks of different scopes have different hashes.
type CacheScope struct {
	Account ClientAccountID
	Model   ModelID
	Adapter string
	Weights WeightsVersion
}

// BlockHash identifies a prompt block together with all preceding blocks and
// their scope.
type BlockHash [16]byte

// String returns the hash in lower-case hexadecimal.
func (h BlockHash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler.
func (h BlockHash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *BlockHash) UnmarshalText(text []byte) error {
	if len(text) != 2*len(h) {
		return fmt.Errorf("block hash has %d characters, want %d", len(text), 2*len(h))
	}
	_, err := hex.Decode(h[:], text)
	return err
}

// Role is the kind of work that an upstream accepts.
type Role string

// Roles of upstreams.
const (
	RoleEngine  Role = "Engine"
	RoleService Role = "Service"
)

// Upstream describes a model engine or plain service as known to an instance.
type Upstream struct {
	ID          UpstreamID
	Role        Role
	Zone        AvailabilityZone
	Addr        netip.AddrPort
	Service     string // Name under /services/, for RoleService.
	Leaving     bool   // Set once the upstream has announced its shutdown.
	ChecksFence bool   // The engine rejects orders with an outdated fencing token.
	Models      []ModelID
	Incarnation Incarnation
	Software    SoftwareVersion // Empty if unknown.
	Load        LoadReport
	// MissedReports is the number of consecutive failures to fetch a load report.
	MissedReports int
}

// Instance describes a router process as known to its peers.
type Instance struct {
	ID          InstanceID
	Zone        AvailabilityZone
	Peer        netip.AddrPort // Address of the listener for peers.
	Operators   netip.AddrPort // Address of the listener for operators.
	Incarnation Incarnation
	Leaving     bool
}

// LoadReport is the latest load report of an engine.
type LoadReport struct {
	Incarnation        Incarnation
	Weights            map[ModelID]WeightsVersion
	Adapters           []string
	Role               string  // Role set by the last order; empty if there was none.
	Running            int     // Requests in the current batch.
	Waiting            int     // Requests queued inside the engine.
	QueuedTokens       int     // Prompt tokens waiting for prefill.
	CacheBlocks        int     // Capacity of the prefix cache, in blocks.
	CacheUsed          int     // Blocks currently cached.
	EvictionsPerSecond float64 // Blocks evicted per second, averaged over the last seconds.
	PrefillPerSecond   float64 // Prompt tokens prefilled per second when idle.
	DecodePerSecond    float64 // Tokens generated per second for one request.
	MaxBatch           int
	ReportedAt         time.Time
}

// Less reports whether w is older than o. Versions are increasing numbers; the
// empty version is older than all others.
func (w WeightsVersion) Less(o WeightsVersion) bool {
	if len(w) != len(o) {
		return len(w) < len(o)
	}
	return w < o
}
