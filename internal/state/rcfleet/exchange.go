package rcfleet

import (
	"time"

	"github.com/radishcrank/radishcrank"
)

// Outcome is how an exchange ended at an upstream.
type Outcome int

// Outcomes of exchanges.
const (
	// Succeeded means that the upstream answered.
	Succeeded Outcome = iota
	// Failed means that the upstream answered with a failure of its own.
	Failed
	// Refused means that it proved not to have run the exchange.
	Refused
	// Broken means that the connection failed or the answer was not valid.
	Broken
	// Canceled means that the caller left or the deadline passed.
	Canceled
)

// Exchange is one exchange of this instance at an upstream.
type Exchange struct {
	fleet  *Fleet
	id     radishcrank.UpstreamID
	born   radishcrank.Incarnation
	tokens int // Prompt tokens that count as prefilling until the first event.
}

// Begin counts an exchange at an upstream. tokens is what it has to prefill.
func (f *Fleet) Begin(id radishcrank.UpstreamID, tokens int) *Exchange {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &Exchange{fleet: f, id: id, tokens: tokens}
	if m, ok := f.members[id]; ok {
		m.Running++
		m.Prefilling += tokens
		r.born = m.Incarnation
	}
	return r
}

func (r *Exchange) memberLocked() *member {
	m, ok := r.fleet.members[r.id]
	if !ok || m.Incarnation != r.born {
		return nil
	}
	return m
}

// FirstEventReceived tells that the first event has arrived.
func (r *Exchange) FirstEventReceived() {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if m := r.memberLocked(); m != nil {
		m.Prefilling -= r.tokens
		m.succeed()
	}
	r.tokens = 0
}

func (m *member) succeed() {
	m.faults, m.suspectUntil = 0, time.Time{}
}

// End tells how the exchange ended. It must be called once.
func (r *Exchange) End(o Outcome) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	m := r.memberLocked()
	if m == nil {
		return
	}
	m.Running--
	m.Prefilling -= r.tokens
	r.tokens = 0
	switch o {
	case Succeeded:
		m.succeed()
		m.FailureRate *= 1 - faultDecay
	case Failed:
		m.succeed()
		m.FailureRate += faultDecay * (1 - m.FailureRate)
	case Broken:
		m.fault(time.Now())
		m.FailureRate += faultDecay * (1 - m.FailureRate)
	}
}

// LocalLoads returns what this instance has under way, by upstream.
func (f *Fleet) LocalLoads() map[radishcrank.UpstreamID]Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := map[radishcrank.UpstreamID]Load{}
	for id, m := range f.members {
		if m.Running > 0 || m.Prefilling > 0 {
			loads[id] = Load{Running: m.Running, Prefilling: m.Prefilling}
		}
	}
	return loads
}

// SetPeerLoads takes in what all other instances have under way. Upstreams that
// are not named have nothing.
func (f *Fleet) SetPeerLoads(loads map[radishcrank.UpstreamID]Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for id, m := range f.members {
		m.PeerLoad, m.othersAt = loads[id], now
	}
}

// Add returns the sum of two loads.
func (l Load) Add(o Load) Load {
	return Load{Running: l.Running + o.Running, Prefilling: l.Prefilling + o.Prefilling}
}

// Sub returns what is left of a sum without one of its parts, which may have
// changed since it was told.
func (l Load) Sub(o Load) Load {
	return Load{Running: max(0, l.Running-o.Running), Prefilling: max(0, l.Prefilling-o.Prefilling)}
}
