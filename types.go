// Package radishcrank defines the identifiers, messages and interfaces that the
// parts of the router share. Implementations live under internal/.
package radishcrank

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"
)

// InstanceID names one router process.
type InstanceID string

// AvailabilityZone names one availability zone.
type AvailabilityZone string

// ClientAccountID names one client account.
type ClientAccountID string

// UpstreamID names one model engine or plain service.
type UpstreamID string

// ModelID names a model as callers do.
type ModelID string

// WeightsVersion names the weights that an engine serves a model with.
type WeightsVersion string

// RequestID identifies one request from the caller's listener to the upstream.
type RequestID string

// Incarnation increases with each start of an instance or upstream. State
// learnt from an older incarnation is void.
type Incarnation uint64

// CacheScope is everything besides the prompt that decides whether a cached
// block may be reused. Blocks of different scopes never share a hash.
type CacheScope struct {
	Account ClientAccountID
	Model   ModelID
	Adapter string
	Weights WeightsVersion
}

// BlockHash identifies a prompt block together with all blocks before it and
// the scope they belong to.
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

// Upstream describes a model engine or plain service as an instance knows it.
type Upstream struct {
	ID          UpstreamID
	Role        Role
	Zone        AvailabilityZone
	Addr        netip.AddrPort
	Service     string // Name under /services/, for RoleService.
	Leaving     bool   // Set when the upstream announced its departure.
	ChecksFence bool   // The engine refuses orders with an old fencing number.
	Models      []ModelID
	Incarnation Incarnation
	Load        LoadReport
	// MissedReports counts the load reports in a row that could not be fetched.
	MissedReports int
}

// Instance describes a router process as another one knows it.
type Instance struct {
	ID          InstanceID
	Zone        AvailabilityZone
	Peer        netip.AddrPort // Listener for other instances.
	Operators   netip.AddrPort // Listener for operators.
	Incarnation Incarnation
	Leaving     bool
}

// LoadReport is what an engine last said of its load.
type LoadReport struct {
	Incarnation        Incarnation
	Weights            map[ModelID]WeightsVersion
	Adapters           []string
	Role               string  // Role last ordered; empty when none was.
	Running            int     // Requests in the current batch.
	Waiting            int     // Requests queued inside the engine.
	QueuedTokens       int     // Prompt tokens that wait for prefill.
	CacheBlocks        int     // Capacity of the prefix cache.
	CacheUsed          int     // Blocks cached now.
	EvictionsPerSecond float64 // Blocks evicted a second over the last seconds.
	PrefillPerSecond   float64 // Prompt tokens prefilled a second by an idle engine.
	DecodePerSecond    float64 // Tokens generated a second for one request.
	MaxBatch           int
	ReportedAt         time.Time
}

// Less reports whether w is older than o. Versions are numbers that rise; the
// empty version is older than all others.
func (w WeightsVersion) Less(o WeightsVersion) bool {
	if len(w) != len(o) {
		return len(w) < len(o)
	}
	return w < o
}
