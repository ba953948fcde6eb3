// Package rcquota shares the rate limit that an upstream announces among the
// instances of a fleet, without a message for each request.
//
// The store's clock is divided into slots whose length is the inverse of the limit.
// Rendezvous hashing gives each slot to one of the registered instances, which may
// send one request for it. Instances that know the same members thus never exceed
// the limit together, and one that has missed some members claims only the slots of
// those. A bucket of tokens in each instance would let a fleet of 60 instances send 60
// requests at once to an upstream that accepts one per second.
package rcquota

import (
	"encoding/binary"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
)

const (
	// permitLifetime is how long the permit of a slot may be used if slots are
	// shorter than that. A shorter time wastes permits of instances that have no
	// request for the upstream at the moment, and a longer one lets unused permits
	// add up to bursts.
	permitLifetime = time.Second
	// minSlot bounds the number of slots to evaluate. Shorter ones are combined.
	minSlot = 5 * time.Millisecond
	// minRate is the lowest rate in requests per second. Some requests are needed to
	// notice that a limit has ended.
	minRate = 0.1
	// announceInterval is the minimum time between two announcements of the same limit.
	announceInterval = time.Second
	// retention is how long a limit is kept without being announced again. An upstream
	// that is in use announces it with each answer.
	retention = 10 * time.Minute
)

// Observation is what an answer of an upstream says about its rate limit.
type Observation struct {
	Upstream    radishcrank.UpstreamID
	Incarnation radishcrank.Incarnation
	Rate        *float64  // Requests per second that all instances may send together; nil if there is no limit.
	At          time.Time // On the store's clock. Of two observations the newer one holds.
}

// Config configures a Quota.
type Config struct {
	Instance radishcrank.InstanceID
	// Now returns the time on the store's clock, or the zero time if it is unknown.
	Now func() time.Time
	// Others returns the other registered instances. ok is false until they are known.
	Others func() (others []radishcrank.InstanceID, ok bool)
	// Announce tells the other instances what this one has learned from an answer. It is
	// called for each change, and at most every announceInterval for an unchanged limit,
	// of which instances that have just started do not know.
	Announce func(o Observation)
	Log      zerolog.Logger
}

// Quota holds the rate limits of upstreams and this instance's permits. It is safe for
// concurrent use.
type Quota struct {
	cfg Config

	mu     sync.Mutex
	limits map[radishcrank.UpstreamID]*limit
}

// limit is the limit of one upstream with this instance's position in its slots.
type limit struct {
	Observation
	learnedAt   time.Time // Local time at which the observation was made or received.
	announcedAt time.Time // Local time at which this instance last announced it.
	evaluated   time.Time // Until when the owners of slots have been determined.
	slotStart   time.Time // Start of the slot to which permits belong.
	permits     int       // Unused permits of that slot.
}

// New returns a Quota without limits.
func New(cfg Config) *Quota {
	return &Quota{cfg: cfg, limits: map[radishcrank.UpstreamID]*limit{}}
}

// Observe records what an answer says about the limit of its upstream. rate is nil if
// it names none; that ends a known limit only if the request was sent, at the local
// time sentAt, after the limit was last learned.
func (q *Quota) Observe(up radishcrank.Upstream, rate *float64, sentAt time.Time) {
	if rate != nil && !(*rate >= 0 && !math.IsInf(*rate, 0)) {
		return // Malformed: neither a limit nor the end of one.
	}
	q.mu.Lock()
	l := q.limits[up.ID]
	known := l != nil && l.Incarnation == up.Incarnation
	if rate == nil && (!known || l.Rate == nil || !sentAt.After(l.learnedAt)) {
		q.mu.Unlock()
		return
	}
	if l != nil && up.Incarnation < l.Incarnation {
		q.mu.Unlock()
		return
	}
	o := Observation{Upstream: up.ID, Incarnation: up.Incarnation, Rate: rate, At: q.cfg.Now()}
	if known && !o.At.After(l.At) {
		o.At = l.At.Add(1) // This instance's estimate of the store's clock lags behind another one's.
	}
	changed, now := !known || !equalRates(l.Rate, rate), time.Now()
	l = q.setLocked(o, false)
	announce := changed || now.Sub(l.announcedAt) >= announceInterval
	if announce {
		l.announcedAt = now
	}
	q.mu.Unlock()
	if announce {
		q.cfg.Announce(o)
	}
}

// Merge records an observation of another instance, unless a newer one is known.
func (q *Quota) Merge(o Observation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if l := q.limits[o.Upstream]; l != nil && (o.Incarnation < l.Incarnation || o.Incarnation == l.Incarnation && !o.At.After(l.At)) {
		return
	}
	q.setLocked(o, true)
}

func equalRates(a, b *float64) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// setLocked replaces what is known of a limit and logs a change. relayed tells that
// another instance has learned it.
func (q *Quota) setLocked(o Observation, relayed bool) *limit {
	now := time.Now()
	l := q.limits[o.Upstream]
	if l == nil || l.Incarnation != o.Incarnation || !equalRates(l.Rate, o.Rate) {
		e := q.cfg.Log.Info().Str("Event", "RateLimit").Str("Upstream", string(o.Upstream)).Bool("Ended", o.Rate == nil).Bool("Relayed", relayed)
		if o.Rate != nil {
			e = e.Float64("Rate", *o.Rate)
		}
		e.Send()
	}
	if l == nil || l.Incarnation != o.Incarnation || l.Rate == nil {
		for id, other := range q.limits {
			if now.Sub(other.learnedAt) > retention {
				delete(q.limits, id)
			}
		}
		// Slots before the limit was known give no permits.
		l = &limit{evaluated: q.cfg.Now()}
		q.limits[o.Upstream] = l
	}
	l.Observation, l.learnedAt = o, now
	return l
}

// Throttled reports whether this instance may send no request to an upstream now.
// interval is the mean time between two requests that the upstream accepts from all
// instances; 0 means that it has no limit.
func (q *Quota) Throttled(up radishcrank.Upstream) (interval time.Duration, throttled bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.limitLocked(up)
	if l == nil {
		return 0, false
	}
	slot, permits := l.slot()
	return slot / time.Duration(permits), !q.hasPermitLocked(l)
}

// Inspect returns what Throttled would, without determining the owners of slots for later
// calls.
func (q *Quota) Inspect(up radishcrank.Upstream) (interval time.Duration, throttled bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.limitLocked(up)
	if l == nil {
		return 0, false
	}
	copied := *l
	slot, permits := copied.slot()
	return slot / time.Duration(permits), !q.hasPermitLocked(&copied)
}

// Limited reports whether an upstream has a rate limit.
func (q *Quota) Limited(up radishcrank.Upstream) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limitLocked(up) != nil
}

// Take uses a permit for one request to an upstream. It returns false if there is
// none; the request must not be sent then.
func (q *Quota) Take(up radishcrank.Upstream) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.limitLocked(up)
	if l == nil {
		return true
	}
	if !q.hasPermitLocked(l) {
		return false
	}
	l.permits--
	return true
}

// limitLocked returns the limit of an upstream, or nil if it has none.
func (q *Quota) limitLocked(up radishcrank.Upstream) *limit {
	l := q.limits[up.ID]
	if l == nil || l.Rate == nil || l.Incarnation != up.Incarnation {
		return nil
	}
	return l
}

// slot returns the length of a slot and the number of requests that it permits.
func (l *limit) slot() (length time.Duration, permits int) {
	rate := max(*l.Rate, minRate)
	permits = int(math.Ceil(rate * minSlot.Seconds()))
	return time.Duration(float64(permits) / rate * float64(time.Second)), permits
}

// hasPermitLocked reports whether this instance has an unused permit, after it has
// determined the owners of the slots that have begun meanwhile.
func (q *Quota) hasPermitLocked(l *limit) bool {
	now := q.cfg.Now()
	if now.IsZero() {
		return false
	}
	slot, perSlot := l.slot()
	lifetime := max(permitLifetime, slot)
	if l.permits > 0 && now.Sub(l.slotStart) < lifetime {
		return true
	}
	l.permits = 0
	if expired := now.Add(-lifetime); l.evaluated.Before(expired) {
		l.evaluated = expired
	}
	next := l.evaluated.UnixNano()/int64(slot) + 1
	last := now.UnixNano() / int64(slot)
	// A changed limit divides the time differently, and time up to now must not count
	// twice then.
	if now.After(l.evaluated) {
		l.evaluated = now
	}
	if next > last {
		return false
	}
	others, ok := q.cfg.Others()
	for ; ok && next <= last; next++ {
		if q.owns(l.Upstream, next, others) {
			l.slotStart, l.permits = time.Unix(0, next*int64(slot)), perSlot
			l.evaluated = l.slotStart
			return true
		}
	}
	return false
}

// owns reports whether this instance owns a slot of an upstream.
func (q *Quota) owns(up radishcrank.UpstreamID, slot int64, others []radishcrank.InstanceID) bool {
	key := binary.LittleEndian.AppendUint64([]byte(up), uint64(slot))
	weight := func(i radishcrank.InstanceID) uint64 { return xxhash.Sum64(append(key[:len(key):len(key)], i...)) }
	own := weight(q.cfg.Instance)
	for _, other := range others {
		if weight(other) > own {
			return false
		}
	}
	return true
}
