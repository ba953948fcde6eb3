package rcdetour

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

// zoneProbeInterval is how often an instance tries to reach one upstream of a zone that may
// be cut off. Each probe opens a connection, which the upstream's machine counts.
const zoneProbeInterval = 250 * time.Millisecond

// Zones decides which availability zones an instance cannot reach. It answers the load
// pattern of a partition between zones: each instance has to find out about dozens of
// upstreams that do not respond, and each of its requests that goes to one waits for a
// connection in vain. It is safe for concurrent use.
type Zones struct {
	cfg     ZonesConfig
	wake    chan struct{}
	doubted atomic.Bool // Whether zones is not empty.

	mu    sync.Mutex
	zones map[radishcrank.AvailabilityZone]*evidence // Zones with upstreams that could not be reached.
}

// ZonesConfig configures Zones.
type ZonesConfig struct {
	Upstreams func() []radishcrank.Upstream // Those that are listed.
	// Connect opens a connection to an upstream. Its outcome is passed to Zones.Observe like
	// that of any other connection.
	Connect func(ctx context.Context, to netip.AddrPort) error
	// OnChange is called when a zone is found to be cut off, or is reached again. since is
	// when the first of its upstreams could not be reached.
	OnChange func(zone radishcrank.AvailabilityZone, cut bool, since time.Time)
}

// NewZones returns zones that count as reachable. Run probes them.
func NewZones(cfg ZonesConfig) *Zones {
	return &Zones{cfg: cfg, wake: make(chan struct{}, 1), zones: map[radishcrank.AvailabilityZone]*evidence{}}
}

// Cut reports whether the instance reaches no upstream of a zone. It is false for nil.
func (z *Zones) Cut(zone radishcrank.AvailabilityZone) bool {
	if z == nil || !z.doubted.Load() {
		return false
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	e := z.zones[zone]
	return e != nil && e.cut
}

// Observe records that an upstream was reached, or that no connection to it could be opened.
func (z *Zones) Observe(addr netip.AddrPort, reached bool) {
	if reached && !z.doubted.Load() {
		return
	}
	upstreams := z.cfg.Upstreams()
	zone, found, total := radishcrank.AvailabilityZone(""), false, 0
	for _, u := range upstreams {
		if u.Addr == addr {
			zone, found = u.Zone, true
		}
	}
	for _, u := range upstreams {
		if u.Zone == zone {
			total++
		}
	}
	if !found {
		return
	}
	changed, cut, since := z.record(zone, addr, reached, total)
	if changed && z.cfg.OnChange != nil {
		z.cfg.OnChange(zone, cut, since)
	}
	if !reached {
		select {
		case z.wake <- struct{}{}:
		default:
		}
	}
}

// record adds an outcome to the evidence of a zone with a number of upstreams. A zone with
// fewer than cutEvidence is never cut off: they may all have failed.
func (z *Zones) record(zone radishcrank.AvailabilityZone, addr netip.AddrPort, reached bool, upstreams int) (changed, cut bool, since time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	e := z.zones[zone]
	switch {
	case reached && e == nil:
		return false, false, since
	case reached:
		delete(z.zones, zone)
		z.doubted.Store(len(z.zones) > 0)
		return e.cut, false, e.since
	case e == nil:
		e = &evidence{failed: map[netip.AddrPort]bool{}, since: time.Now()}
		z.zones[zone] = e
		z.doubted.Store(true)
	}
	before := e.cut
	e.failed[addr] = true
	e.cut = e.cut || len(e.failed) >= cutEvidence && upstreams >= cutEvidence
	return e.cut != before, e.cut, e.since
}

// Run probes one upstream of each zone that is cut off, until ctx is done.
func (z *Zones) Run(ctx context.Context) error {
	for {
		select {
		case <-z.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for {
			targets := z.probeTargets()
			if len(targets) == 0 {
				break
			}
			for _, addr := range targets {
				go func() { _ = z.cfg.Connect(ctx, addr) }() // Its outcome is observed.
			}
			if !rcwait.Sleep(ctx, zoneProbeInterval) {
				return ctx.Err()
			}
		}
	}
}

// probeTargets returns a random upstream of each zone that is cut off. The evidence of a
// zone without upstreams is dropped.
func (z *Zones) probeTargets() (targets []netip.AddrPort) {
	upstreams := z.cfg.Upstreams()
	z.mu.Lock()
	defer z.mu.Unlock()
	for zone, e := range z.zones {
		if !e.cut {
			continue
		}
		var in []netip.AddrPort
		for _, u := range upstreams {
			if u.Zone == zone {
				in = append(in, u.Addr)
			}
		}
		if len(in) == 0 {
			delete(z.zones, zone)
			continue
		}
		targets = append(targets, in[rand.IntN(len(in))])
	}
	return targets
}
