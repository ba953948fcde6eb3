// Package rcdetour decides when an exchange goes through another instance, and through
// which. It answers the load pattern of an instance that is cut off from all upstreams
// while its callers and the other instances still reach it.
package rcdetour

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// Header marks a request that comes from another instance, which sends it on no further
// detour, and with the value OutOfReach the refusal of an instance that does not reach the
// upstreams either. A client that sets it only forgoes detours.
const Header = "Router-Detour"

// OutOfReachValue is the value of Header in a refusal.
const OutOfReachValue = "OutOfReach"

const (
	// avoidTime is how long an instance is avoided that could not be reached or reaches no
	// upstream itself. It is long enough for an instance with few requests to find one of
	// the others where most are cut off.
	avoidTime = 3 * time.Second
	// outOfReachTime is how long what another instance has said of its links counts for
	// its availability zone and for requests that no upstream can take here.
	outOfReachTime = time.Second
)

// OutOfReach reports whether an instance reaches none of the upstreams of a service: each
// has failed and not succeeded since, and is suspect or being tried by another exchange.
func OutOfReach(states []rcfleet.State) bool {
	failing := false
	for i := range states {
		s := &states[i]
		switch {
		case s.Leaving:
		case s.Suspect, s.Probing && s.Running > 0:
			failing = true
		default:
			return false
		}
	}
	return failing
}

// Instance is another instance.
type Instance struct {
	ID   radishcrank.InstanceID
	Zone radishcrank.AvailabilityZone
	Addr netip.AddrPort // Where it listens for callers.
}

// Config configures a Picker.
type Config struct {
	Zone   radishcrank.AvailabilityZone // Of this instance.
	Others func() []Instance            // Instances that respond to this one.
}

// Picker picks the instances through which exchanges go. It is safe for concurrent use.
type Picker struct {
	cfg Config

	mu           sync.Mutex
	avoidUntil   map[radishcrank.InstanceID]time.Time
	outOfReachAt map[radishcrank.AvailabilityZone]time.Time // When another instance of a zone last said that it reaches no upstream.
}

func New(cfg Config) *Picker {
	return &Picker{cfg: cfg, avoidUntil: map[radishcrank.InstanceID]time.Time{}, outOfReachAt: map[radishcrank.AvailabilityZone]time.Time{}}
}

// Pick returns a random instance of the same zone or, if there is none or the zone is cut
// off from the upstreams, of any. It skips those in tried.
func (p *Picker) Pick(tried []radishcrank.InstanceID) (picked Instance, ok bool) {
	others := p.cfg.Others()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	others = slices.DeleteFunc(others, func(o Instance) bool {
		return slices.Contains(tried, o.ID) || now.Before(p.avoidUntil[o.ID])
	})
	near := slices.DeleteFunc(slices.Clone(others), func(o Instance) bool { return o.Zone != p.cfg.Zone })
	if len(near) > 0 && now.Sub(p.outOfReachAt[p.cfg.Zone]) >= outOfReachTime {
		others = near
	}
	if len(others) == 0 {
		return picked, false
	}
	return others[rand.IntN(len(others))], true
}

// OutOfReachElsewhere reports whether another instance has said lately that it reaches no
// upstream either. A request that no upstream can take here is then refused at once.
func (p *Picker) OutOfReachElsewhere() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.outOfReachAt {
		if time.Since(at) < outOfReachTime {
			return true
		}
	}
	return false
}

// AvoidOutOfReach records that an instance reaches no upstream either.
func (p *Picker) AvoidOutOfReach(o Instance) {
	p.mu.Lock()
	p.outOfReachAt[o.Zone] = time.Now()
	p.mu.Unlock()
	p.Avoid(o.ID)
}

// Avoid records that an instance was of no use.
func (p *Picker) Avoid(id radishcrank.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for o, until := range p.avoidUntil {
		if now.After(until) {
			delete(p.avoidUntil, o)
		}
	}
	p.avoidUntil[id] = now.Add(avoidTime)
}
