package rcfleet

import (
	"math"
	"time"

	"github.com/radishcrank/radishcrank"
)

// Outcome is the result of an exchange with an upstream.
type Outcome int

// Outcomes of exchanges.
const (
	// Succeeded means that the upstream answered.
	Succeeded Outcome = iota
	// Failed means that the upstream answered with a failure of its own.
	Failed
	// Refused means that the upstream demonstrably did not run the exchange.
	Refused
	// Broken means that the connection failed or the answer was invalid.
	Broken
	// Canceled means that the caller disconnected or the deadline passed.
	Canceled
)

// Exchange is an exchange of this instance with an upstream.
type Exchange struct {
	fleet       *Fleet
	id          radishcrank.UpstreamID
	incarnation radishcrank.Incarnation
	tokens      int // Prompt tokens that count as prefilling until the first event.
	late        Late
	held        int // Prompt tokens that it adds to the memory of the upstream.
}

// Begin records the start of an exchange that has to prefill a number of
// tokens.
func (f *Fleet) Begin(id radishcrank.UpstreamID, tokens int) *Exchange {
	e, _ := f.BeginWithin(id, tokens, math.MaxInt)
	return e
}

// BeginWithin is like Begin, but begins nothing if this instance has a number of exchanges
// at the upstream already.
func (f *Fleet) BeginWithin(id radishcrank.UpstreamID, tokens, limit int) (e *Exchange, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e = &Exchange{fleet: f, id: id, tokens: tokens}
	if m, ok := f.members[id]; ok {
		if m.Running >= limit {
			return nil, false
		}
		m.Running++
		m.Prefilling += tokens
		e.incarnation = m.Incarnation
	}
	return e, true
}

// currentMemberLocked returns the upstream, or nil if it has restarted or was
// removed since the exchange began.
func (e *Exchange) currentMemberLocked() *member {
	m, ok := e.fleet.members[e.id]
	if !ok || m.Incarnation != e.incarnation {
		return nil
	}
	return m
}

// Defer records that the exchange is late and that the upstream begins it last.
func (e *Exchange) Defer() {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if m := e.currentMemberLocked(); m != nil && e.late.Running == 0 {
		e.late = Late{Running: 1, Prefilling: e.tokens}
		m.Late = m.Late.add(e.late)
	}
}

// FirstEventReceived records that the first event of the answer has arrived.
func (e *Exchange) FirstEventReceived() {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if m := e.currentMemberLocked(); m != nil {
		m.Prefilling -= e.tokens
		m.Late = m.Late.sub(e.late)
		m.recordSuccess()
	}
	e.tokens, e.late = 0, Late{}
}

func (m *member) recordSuccess() {
	m.failures, m.suspectUntil, m.misdirected = 0, time.Time{}, false
}

// RetryFailedSince ends the suspicion of upstreams of a service that first failed at a time
// or later, because this instance could not reach any. Each is tried by one exchange first.
func (f *Fleet) RetryFailedSince(service string, t time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.services[service] {
		m.retryFailedSince(t)
	}
	f.signalLocked()
}

// RetryZoneFailedSince does the same for the upstreams of an availability zone.
func (f *Fleet) RetryZoneFailedSince(zone radishcrank.AvailabilityZone, t time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.Zone == zone {
			m.retryFailedSince(t)
		}
	}
	f.signalLocked()
}

func (m *member) retryFailedSince(t time.Time) {
	if m.failures > 0 && !m.failingSince.Before(t) {
		m.failures, m.suspectUntil = 1, time.Time{}
	}
}

// End records the outcome of the exchange. It must be called once.
func (e *Exchange) End(o Outcome) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	m := e.currentMemberLocked()
	if m == nil {
		return
	}
	m.Running--
	m.Prefilling -= e.tokens
	m.Late = m.Late.sub(e.late)
	m.Held -= e.held
	e.tokens, e.held, e.late = 0, 0, Late{}
	switch o {
	case Succeeded:
		m.recordSuccess()
		m.FailureRate *= 1 - failureRateWeight
	case Failed:
		m.recordSuccess()
		m.FailureRate += failureRateWeight * (1 - m.FailureRate)
	case Broken:
		m.recordFailure(time.Now())
		m.FailureRate += failureRateWeight * (1 - m.FailureRate)
	}
}

// LocalLoads returns the load from this instance.
func (f *Fleet) LocalLoads() LoadReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads, now := LoadReport{}, time.Now()
	for _, m := range f.members {
		l := Load{Running: m.Running, Prefilling: m.Prefilling, Late: m.Late, Speed: m.speed.own(now)}
		if m.speed.speed > 0 && f.cacheTokens[m.Service] > 0 {
			l.Held = m.Held
		}
		if l != (Load{}) {
			loads[keyOfHash(m.Hash)] = l
		}
	}
	return loads
}

// SetPeerLoads records the load from all other instances.
func (f *Fleet) SetPeerLoads(loads LoadReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if loads.HasCapacities() {
		f.peerCapacitiesAt = now
	}
	keepCapacities := !f.peerCapacitiesAt.Equal(now) && now.Sub(f.peerCapacitiesAt) <= peerLoadTTL
	for _, m := range f.members {
		load := loads[keyOfHash(m.Hash)]
		if keepCapacities {
			load.Held, load.Speed = m.PeerLoad.Held, m.PeerLoad.Speed
		}
		m.peerMean.add(load, m.peerLoadAt, now)
		m.PeerLoad, m.peerLoadAt = load, now
	}
}

// Add returns the sum of two loads.
func (l Load) Add(o Load) Load {
	return Load{
		Running: l.Running + o.Running, Prefilling: l.Prefilling + o.Prefilling, Late: l.Late.add(o.Late),
		Held: l.Held + o.Held, Speed: l.Speed.add(o.Speed),
	}
}

// Sub subtracts a load that is part of a sum. Counts do not fall below zero,
// since the part may have changed after it was added.
func (l Load) Sub(o Load) Load {
	return Load{
		Running: max(0, l.Running-o.Running), Prefilling: max(0, l.Prefilling-o.Prefilling), Late: l.Late.sub(o.Late),
		Held: max(0, l.Held-o.Held), Speed: l.Speed.sub(o.Speed),
	}
}

func (l Late) add(o Late) Late {
	return Late{Running: l.Running + o.Running, Prefilling: l.Prefilling + o.Prefilling}
}

func (l Late) sub(o Late) Late {
	return Late{Running: max(0, l.Running-o.Running), Prefilling: max(0, l.Prefilling-o.Prefilling)}
}
