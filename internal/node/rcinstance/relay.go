package rcinstance

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank/internal/state/rcfeed"
	"github.com/radishcrank/radishcrank/internal/state/rckvstore"
)

// With at most maxDirectPeers instances, each sends its updates to all others. Beyond
// that each availability zone has a relay: instances send to their relay, and relays
// send to each other and to their zone, so that the number of messages grows linearly
// with the number of instances rather than quadratically. One relay also reads the
// platform's store and tells the other relays, which tell their zones.
const (
	maxDirectPeers = 12
	// relayUpdateInterval replaces updateInterval if there are relays.
	relayUpdateInterval = 120 * time.Millisecond
	// relayRetryDelay is how long an instance that could not be reached is not eligible
	// as relay. The delay grows with the time for which the instance has been
	// unreachable, up to maxRelayRetryDelay. With a constant delay, seven unreachable
	// instances that rank higher would hide all others of their zone, since the first
	// of them would be retried before the last one has failed.
	relayRetryDelay    = 3 * time.Second
	maxRelayRetryDelay = 10 * time.Second
)

// usesRelays reports whether the fleet is large enough to use relays.
func (p *peerGroup) usesRelays() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usesRelaysLocked()
}

func (p *peerGroup) usesRelaysLocked() bool { return len(p.members)+1 > maxDirectPeers }

// isRelay reports whether this instance is the relay of its zone.
func (p *peerGroup) isRelay() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usesRelaysLocked() && p.relayForLocked(p.instance.settings.Zone) == nil
}

// reliesOnRelay reports whether a relay tells this instance of what it reads, or may do so
// once the other instances are known.
func (p *peerGroup) reliesOnRelay() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.membersRead || p.usesRelaysLocked() && p.relayForLocked(p.instance.settings.Zone) != nil
}

// isStoreReaderLocked reports whether this instance is the relay that reads the store for the
// relays of all zones: the first one in the order in which a zone chooses its relay. Relays
// that disagree, such as during a network partition, read the store more often than necessary.
func (p *peerGroup) isStoreReaderLocked() bool {
	return p.relayForLocked(p.instance.settings.Zone) == nil && p.storeReaderLocked() == nil
}

// isStoreReader reports the same; in a fleet without relays, the first instance is the one.
func (p *peerGroup) isStoreReader() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.membersRead && p.isStoreReaderLocked()
}

// storeReaderLocked returns the first relay of another zone that comes before this instance,
// or nil if there is none.
func (p *peerGroup) storeReaderLocked() (reader *peer) {
	first := p.self
	zones := map[string]bool{p.instance.settings.Zone: true}
	for _, m := range p.members {
		if zones[m.Zone] {
			continue
		}
		zones[m.Zone] = true
		if relay := p.relayForLocked(m.Zone); relay != nil && comparePeers(relay, first) < 0 {
			first, reader = relay, relay
		}
	}
	return reader
}

// reliesOnStoreReader reports whether another instance reads the store for this one, or may
// do so once the other instances are known.
func (p *peerGroup) reliesOnStoreReader() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.membersRead || p.usesRelaysLocked() && !p.isStoreReaderLocked()
}

// relayForLocked returns the relay of a zone, or nil if that is this instance or the
// zone has none. The relay is the reachable instance with the most CPU; comparePeers
// breaks ties by name.
func (p *peerGroup) relayForLocked(zone string) *peer {
	var best *peer
	for _, m := range p.members {
		if m.Zone == zone && m.eligibleRelay(time.Now()) && (best == nil || comparePeers(m, best) < 0) {
			best = m
		}
	}
	if zone == p.instance.settings.Zone && (best == nil || comparePeers(p.self, best) < 0) {
		return nil
	}
	return best
}

// eligibleRelay reports whether an instance may be chosen as relay.
func (m *peer) eligibleRelay(now time.Time) bool {
	delay := min(max(relayRetryDelay, m.failedAt.Sub(m.failingSince)), maxRelayRetryDelay)
	return m.failedAt.IsZero() || now.Sub(m.failedAt) >= delay
}

func comparePeers(a, b *peer) int {
	return cmp.Or(cmp.Compare(b.CPU, a.CPU), cmp.Compare(a.Name, b.Name))
}

// updatesLocked removes the queued updates and returns them by receiver.
func (p *peerGroup) updatesLocked() map[*peer]*peerUpdate {
	own, fromZone, fromOtherZones := p.queued.take(), p.fromZone.take(), p.fromOtherZones.take()
	updates := map[*peer]*peerUpdate{}
	now := time.Now()
	if !p.usesRelaysLocked() {
		own.Running = p.reporter.next(own.Running, now)
		for _, m := range p.members {
			updates[m] = &own
		}
		return updates
	}
	zone := p.instance.settings.Zone
	if relay := p.relayForLocked(zone); relay != nil {
		own.Feeds = nil
		own.Running = p.reporter.next(own.Running, now)
		updates[relay] = &own
		return updates
	}
	outward := own.merge(fromZone)
	all := outward.merge(fromOtherZones)
	outward.Feeds = p.feedsForRelaysLocked(own.Feeds)
	all.Streams = nil // Instances ask relays.
	if own.Running != nil {
		others := p.sumLoadsLocked("")
		p.instance.fleet.SetPeerLoads(others)
		all.Running = p.zoneReporter.next(p.addLocalLoads(others), now)
		outward.Running = p.relayReporter.next(p.addLocalLoads(p.sumLoadsLocked(zone)), now)
	}
	if now.Sub(p.storesSentAt) >= rckvstore.ReportInterval {
		all.Stores, p.storesSentAt = p.instance.kvWatcher.Reports(), now
	}
	zones := map[string]bool{zone: true}
	for _, m := range p.members {
		if m.Zone == zone {
			updates[m] = &all
		} else if !zones[m.Zone] {
			zones[m.Zone] = true
			if relay := p.relayForLocked(m.Zone); relay != nil {
				updates[relay] = &outward
			}
		}
	}
	return updates
}

// feedsForRelaysLocked returns the batches that the relays of the other zones rely on.
func (p *peerGroup) feedsForRelaysLocked(batches []rcfeed.Batch) (feeds []rcfeed.Batch) {
	if len(batches) == 0 || !p.isStoreReaderLocked() {
		return nil
	}
	for _, b := range batches {
		if !b.Forwarded {
			feeds = append(feeds, b)
		}
	}
	return feeds
}

func (u peerUpdate) merge(o peerUpdate) peerUpdate {
	return peerUpdate{
		Engines:     slices.Concat(u.Engines, o.Engines),
		Cached:      slices.Concat(u.Cached, o.Cached),
		Crashes:     u.Crashes, // The local records already include received ones.
		Feeds:       u.Feeds,
		Streams:     slices.Concat(u.Streams, o.Streams),
		Limits:      slices.Concat(u.Limits, o.Limits),
		Leaving:     slices.Concat(u.Leaving, o.Leaving),
		Misdirected: slices.Concat(u.Misdirected, o.Misdirected),
		Blame:       slices.Concat(u.Blame, o.Blame),
		Lease:       max(u.Lease, o.Lease),
	}
}
