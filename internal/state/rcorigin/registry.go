// Package rcorigin remembers on which service and software version streams began.
// Instances share what they know, so that a stream that its client takes up again goes
// on at the version that began it, on any instance and also after the first one is
// gone.
package rcorigin

import (
	"cmp"
	"slices"
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
	current   map[radishcrank.RequestID]entry
	previous  map[radishcrank.RequestID]entry // Those that are older than current.
	rotatedAt time.Time
}

// entry is an origin with what selects it for instances that lack it.
type entry struct {
	Origin
	addedAt time.Time
	own     bool // The stream began at this instance.
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{current: map[radishcrank.RequestID]entry{}, rotatedAt: time.Now()}
}

// Add adds records of other instances. The first origin of an attempt is kept.
func (r *Registry) Add(records ...Record) { r.add(false, records...) }

// AddOwn adds the record of a stream that began at this instance.
func (r *Registry) AddOwn(rec Record) { r.add(true, rec) }

func (r *Registry) add(own bool, records ...Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotateLocked()
	now := time.Now()
	for _, rec := range records {
		if _, known := r.getLocked(rec.Attempt); !known {
			r.current[rec.Attempt] = entry{rec.Origin, now, own}
		}
	}
}

// Selection selects records for an instance that lacks them.
type Selection struct {
	Own    bool                  // Only those of streams that began at the instance that is asked.
	MaxAge time.Duration         // Since they were added.
	After  radishcrank.RequestID // Attempts in order; the last one of the page before.
	// InReturn means that the instance that is asked has asked this one before. Without it,
	// that one may have missed records of this one, too.
	InReturn bool `json:",omitempty"`
}

// Page returns the first records of a selection, up to a number, and whether there are more.
func (r *Registry) Page(s Selection, limit int) (records []Record, more bool) {
	r.mu.Lock()
	now := time.Now()
	for _, entries := range []map[radishcrank.RequestID]entry{r.previous, r.current} {
		for attempt, e := range entries {
			if attempt > s.After && now.Sub(e.addedAt) <= s.MaxAge && (e.own || !s.Own) {
				records = append(records, Record{Attempt: attempt, Origin: e.Origin})
			}
		}
	}
	r.mu.Unlock()
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Attempt, b.Attempt) })
	if len(records) > limit {
		return records[:limit], true
	}
	return records, false
}

// Get returns the origin of the stream that an attempt began, if it is known.
func (r *Registry) Get(attempt radishcrank.RequestID) (o Origin, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.getLocked(attempt)
}

func (r *Registry) getLocked(attempt radishcrank.RequestID) (o Origin, known bool) {
	e, known := r.current[attempt]
	if !known {
		e, known = r.previous[attempt]
	}
	return e.Origin, known
}

// rotateLocked forgets origins that are older than retention.
func (r *Registry) rotateLocked() {
	if time.Since(r.rotatedAt) < retention {
		return
	}
	r.previous, r.current, r.rotatedAt = r.current, map[radishcrank.RequestID]entry{}, time.Now()
}
