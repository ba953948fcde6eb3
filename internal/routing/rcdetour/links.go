package rcdetour

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	// cutEvidence is the number of upstreams to which no connection can be opened, while
	// none is reached, that shows that this instance is cut off from all of them.
	cutEvidence = 3
	// probeInterval is how often an instance tries to reach upstreams itself while it may
	// be cut off from them.
	probeInterval = 150 * time.Millisecond
)

// LinksConfig configures Links.
type LinksConfig struct {
	Zone      radishcrank.AvailabilityZone  // Of this instance.
	Upstreams func() []radishcrank.Upstream // Those that are listed.
	// Connect opens a connection to an upstream. Its outcome is passed to Links.Observe like
	// that of any other connection.
	Connect func(ctx context.Context, to netip.AddrPort) error
	// OnChange is called when the instance is found to be cut off from all upstreams of a
	// service, or to reach one again. since is when the first of them could not be reached.
	OnChange func(service string, cut bool, since time.Time)
}

// Links decides whether an instance is cut off from all upstreams of a service. It answers
// the load pattern of an instance with many upstreams and few requests, which would find out
// about each of them anew. It is safe for concurrent use.
type Links struct {
	cfg     LinksConfig
	wake    chan struct{}
	doubted atomic.Bool // Whether services is not empty.

	mu       sync.Mutex
	services map[string]*evidence // Services with upstreams that could not be reached.
}

// evidence is what is known of the links to the upstreams of a service.
type evidence struct {
	failed map[netip.AddrPort]bool // Upstreams that could not be reached since one was.
	since  time.Time               // When the first of them failed.
	cut    bool
}

// NewLinks returns links that count as intact. Run probes them.
func NewLinks(cfg LinksConfig) *Links {
	return &Links{cfg: cfg, wake: make(chan struct{}, 1), services: map[string]*evidence{}}
}

// Cut reports whether the instance is cut off from all upstreams of a service. It is false
// for nil.
func (l *Links) Cut(service string) bool {
	if l == nil || !l.doubted.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.services[service]
	return e != nil && e.cut
}

// Observe records that an upstream was reached, or that no connection to it could be opened.
func (l *Links) Observe(addr netip.AddrPort, reached bool) {
	if reached && !l.doubted.Load() {
		return
	}
	upstreams := l.cfg.Upstreams()
	at := slices.IndexFunc(upstreams, func(u radishcrank.Upstream) bool { return u.Addr == addr })
	if at < 0 {
		return
	}
	service := upstreams[at].Service
	changed, cut, since := l.record(addr, reached, ofService(upstreams, service))
	if changed && l.cfg.OnChange != nil {
		l.cfg.OnChange(service, cut, since)
	}
	if !reached {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

func ofService(upstreams []radishcrank.Upstream, service string) []radishcrank.Upstream {
	return slices.DeleteFunc(slices.Clone(upstreams), func(u radishcrank.Upstream) bool { return u.Service != service })
}

// record adds an outcome to the evidence of a service, whose upstreams are given.
func (l *Links) record(addr netip.AddrPort, reached bool, upstreams []radishcrank.Upstream) (changed, cut bool, since time.Time) {
	service := upstreams[0].Service
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.services[service]
	switch {
	case reached && e == nil:
		return false, false, since
	case reached:
		delete(l.services, service)
		l.doubted.Store(len(l.services) > 0)
		return e.cut, false, e.since
	case e == nil:
		e = &evidence{failed: map[netip.AddrPort]bool{}, since: time.Now()}
		l.services[service] = e
		l.doubted.Store(true)
	}
	before := e.cut
	e.failed[addr] = true
	e.cut = e.cut || e.conclusive(upstreams, l.cfg.Zone)
	return e.cut != before, e.cut, e.since
}

// conclusive reports whether enough upstreams have failed. One in the zone of the instance
// must be among them, since its zone may be cut off from the others.
func (e *evidence) conclusive(upstreams []radishcrank.Upstream, zone radishcrank.AvailabilityZone) bool {
	failed, hasNear, nearFailed := 0, false, false
	for _, u := range upstreams {
		near := u.Zone == zone
		hasNear = hasNear || near
		if e.failed[u.Addr] {
			failed++
			nearFailed = nearFailed || near
		}
	}
	return failed >= min(cutEvidence, len(upstreams)) && (nearFailed || !hasNear)
}

// Run probes upstreams while several of a service cannot be reached, until ctx is done.
func (l *Links) Run(ctx context.Context) error {
	for {
		select {
		case <-l.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for {
			targets := l.probeTargets()
			if len(targets) == 0 {
				break
			}
			var probes sync.WaitGroup
			for _, addr := range targets {
				probes.Go(func() { _ = l.cfg.Connect(ctx, addr) }) // Its outcome is observed.
			}
			probes.Wait()
			if !rcwait.Sleep(ctx, probeInterval) {
				return ctx.Err()
			}
		}
	}
}

// probeTargets returns, for each service of which several upstreams or all could not be
// reached, a random one of the same zone and a random one of any zone.
func (l *Links) probeTargets() (targets []netip.AddrPort) {
	upstreams := l.cfg.Upstreams()
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, e := range l.services {
		if !e.cut && len(e.failed) < 2 {
			continue
		}
		all := ofService(upstreams, service)
		near := slices.DeleteFunc(slices.Clone(all), func(u radishcrank.Upstream) bool { return u.Zone != l.cfg.Zone })
		for _, from := range [][]radishcrank.Upstream{near, all} {
			if len(from) > 0 {
				targets = append(targets, from[rand.IntN(len(from))].Addr)
			}
		}
	}
	slices.SortFunc(targets, netip.AddrPort.Compare)
	return slices.Compact(targets)
}
