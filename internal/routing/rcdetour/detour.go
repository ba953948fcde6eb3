// Package rcdetour decides when an exchange goes through another instance, and through
// which. It answers the load pattern of an instance that is cut off from all upstreams
// while its callers and the other instances still reach it.
package rcdetour

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// Header marks a request that comes from another instance, which sends it on no further
// detour, and the refusal of an instance that cannot serve such a request. A client that sets
// it only forgoes detours.
const Header = "Router-Detour"

// Values of Header in refusals.
const (
	OutOfReachValue = "OutOfReach" // The instance reaches no upstream either.
	NoSlotsValue    = "NoSlots"    // The instance owns no slots of the upstreams, which are brittle.
)

// brittleHeader tells in the response to a detoured request that the upstreams are brittle.
const brittleHeader = "Router-Brittle"

// SetBrittle adds to the response to a detoured request that the upstreams are brittle, and
// how many requests each can turn away in a second.
func SetBrittle(h http.Header, refusals int) { h.Set(brittleHeader, strconv.Itoa(refusals)) }

// TakeBrittle removes what SetBrittle has added and returns it, or 0.
func TakeBrittle(h http.Header) (refusals int) {
	refusals, _ = strconv.Atoi(h.Get(brittleHeader)) // Absent from older builds.
	h.Del(brittleHeader)
	return max(0, refusals)
}

const (
	// avoidTime is how long an instance is avoided that could not be reached or reaches no
	// upstream itself. It is long enough for an instance with few requests to find one of
	// the others where most are cut off.
	avoidTime = 3 * time.Second
	// outOfReachTime is how long what another instance has said of its links to the upstreams
	// of a service counts for its availability zone and for requests that no upstream can
	// take here.
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
	// Failing means that it has not responded to this instance lately.
	Failing bool
}

// Config configures a Picker.
type Config struct {
	Zone   radishcrank.AvailabilityZone // Of this instance.
	Others func() []Instance            // The other registered instances.
}

// Picker picks the instances through which exchanges go. It is safe for concurrent use.
type Picker struct {
	cfg Config

	mu         sync.Mutex
	avoidUntil map[avoided]time.Time
	// outOfReachAt is when an instance of a zone last said that it reaches no upstream of a
	// service.
	outOfReachAt map[serviceZone]time.Time
}

// avoided is an instance that is of no use for a service, or for any if that is empty.
type avoided struct {
	id      radishcrank.InstanceID
	service string
}

type serviceZone struct {
	service string
	zone    radishcrank.AvailabilityZone
}

func New(cfg Config) *Picker {
	return &Picker{cfg: cfg, avoidUntil: map[avoided]time.Time{}, outOfReachAt: map[serviceZone]time.Time{}}
}

// avoidedUntilLocked returns until when an instance is avoided for a service.
func (p *Picker) avoidedUntilLocked(id radishcrank.InstanceID, service string) time.Time {
	until := p.avoidUntil[avoided{id, service}]
	if always := p.avoidUntil[avoided{id: id}]; always.After(until) {
		return always
	}
	return until
}

func (p *Picker) outOfReachLocked(service string, zone radishcrank.AvailabilityZone) bool {
	return time.Since(p.outOfReachAt[serviceZone{service, zone}]) < outOfReachTime
}

// Pick returns a random instance of the same zone or, if there is none or the zone is cut
// off from the upstreams of a service, of any. It skips those in tried. An instance that may
// be of no use is picked only if there is no other one and none has been tried.
func (p *Picker) Pick(service string, tried []radishcrank.InstanceID) (picked Instance, ok bool) {
	others := p.cfg.Others()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	useful := slices.DeleteFunc(slices.Clone(others), func(o Instance) bool {
		return o.Failing || slices.Contains(tried, o.ID) || now.Before(p.avoidedUntilLocked(o.ID, service))
	})
	near := slices.DeleteFunc(slices.Clone(useful), func(o Instance) bool { return o.Zone != p.cfg.Zone })
	if len(near) > 0 && !p.outOfReachLocked(service, p.cfg.Zone) {
		useful = near
	}
	if len(useful) == 0 && len(tried) == 0 {
		useful = p.lastResortLocked(service, others)
	}
	if len(useful) == 0 {
		return picked, false
	}
	return useful[rand.IntN(len(useful))], true
}

// PickOwner returns a random one of the owners of slots, which holds one as often as it owns
// one. It skips those in tried and those that are of no use.
func (p *Picker) PickOwner(service string, owners, tried []radishcrank.InstanceID) (picked Instance, ok bool) {
	others := map[radishcrank.InstanceID]Instance{}
	for _, o := range p.cfg.Others() {
		others[o.ID] = o
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	owners = slices.DeleteFunc(slices.Clone(owners), func(id radishcrank.InstanceID) bool {
		o, known := others[id]
		return !known || o.Failing || slices.Contains(tried, id) || now.Before(p.avoidedUntilLocked(id, service))
	})
	if len(owners) == 0 {
		return picked, false
	}
	return others[owners[rand.IntN(len(owners))]], true
}

// lastResortLocked returns the instance that has been avoided for the longest time, unless
// others have just said that they are cut off.
func (p *Picker) lastResortLocked(service string, others []Instance) []Instance {
	others = slices.DeleteFunc(others, func(o Instance) bool { return p.outOfReachLocked(service, o.Zone) })
	if len(others) == 0 {
		return nil
	}
	return []Instance{slices.MinFunc(others, func(a, b Instance) int {
		return p.avoidedUntilLocked(a.ID, service).Compare(p.avoidedUntilLocked(b.ID, service))
	})}
}

// OutOfReachElsewhere reports whether another instance has said lately that it reaches no
// upstream of a service either. A request that no upstream can take here is then refused at
// once.
func (p *Picker) OutOfReachElsewhere(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for of, at := range p.outOfReachAt {
		if of.service == service && time.Since(at) < outOfReachTime {
			return true
		}
	}
	return false
}

// AvoidOutOfReach records that an instance reaches no upstream of a service either.
func (p *Picker) AvoidOutOfReach(o Instance, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outOfReachAt[serviceZone{service, o.Zone}] = time.Now()
	p.avoidLocked(avoided{o.ID, service})
}

// Avoid records that an instance was of no use.
func (p *Picker) Avoid(id radishcrank.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoidLocked(avoided{id: id})
}

func (p *Picker) avoidLocked(a avoided) {
	now := time.Now()
	maps.DeleteFunc(p.avoidUntil, func(_ avoided, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(p.outOfReachAt, func(_ serviceZone, at time.Time) bool { return now.Sub(at) > outOfReachTime })
	p.avoidUntil[a] = now.Add(avoidTime)
}
