// Package rcorigin remembers on which service and software version streams began.
// Instances share what they know, so that a stream that its client takes up again goes
// on at the version that began it, on any instance and also after the first one is
// gone.
package rcorigin

import (
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
)

// retention is how long an origin is known at least. Clients take a stream up within the
// time limit of its request, which is some seconds on all platforms known.
const retention = time.Minute

// Origin is where a stream began. It may go on only there.
type Origin struct {
	Service  string
	Software radishcrank.SoftwareVersion
	// Upstream and Incarnation are set if only the list of upstreams says so: the software is
	// that of the incarnation that was listed, which may have been replaced already.
	Upstream    radishcrank.UpstreamID  `json:",omitzero"`
	Incarnation radishcrank.Incarnation `json:",omitzero"`
}

// Listed reports whether only the list of upstreams says where the stream began.
func (o Origin) Listed() bool { return o.Upstream != "" }

// Record is the origin of the stream whose first event an attempt brought.
type Record struct {
	Attempt radishcrank.RequestID
	Origin
}

// Query asks where a stream began.
type Query struct {
	Attempt radishcrank.RequestID // The attempt that brought the first event; empty if unknown.
	// Service and Within are set if the stream must have begun at this service and within
	// this time, so that it is enough to know its only software version since then.
	Service string
	Within  time.Duration
}

// Registry holds origins. It is safe for concurrent use.
type Registry struct {
	mu        sync.Mutex
	current   map[radishcrank.RequestID]Origin
	previous  map[radishcrank.RequestID]Origin // Origins that are older than current.
	rotatedAt time.Time
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{current: map[radishcrank.RequestID]Origin{}, rotatedAt: time.Now()}
}

// Add adds records. The first origin of an attempt is kept.
func (r *Registry) Add(records ...Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotateLocked()
	for _, rec := range records {
		if _, known := r.getLocked(rec.Attempt); !known {
			r.current[rec.Attempt] = rec.Origin
		}
	}
}

// Get returns the origin of the stream that an attempt began, if it is known.
func (r *Registry) Get(attempt radishcrank.RequestID) (o Origin, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.getLocked(attempt)
}

func (r *Registry) getLocked(attempt radishcrank.RequestID) (o Origin, known bool) {
	if o, known = r.current[attempt]; !known {
		o, known = r.previous[attempt]
	}
	return o, known
}

// rotateLocked forgets origins that are older than retention.
func (r *Registry) rotateLocked() {
	if time.Since(r.rotatedAt) < retention {
		return
	}
	r.previous, r.current, r.rotatedAt = r.current, map[radishcrank.RequestID]Origin{}, time.Now()
}
