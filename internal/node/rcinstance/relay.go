package rcinstance

import (
	"cmp"
	"slices"
	"time"
)

// Up to directPeers instances tell each other everything directly. Beyond that
// each availability zone has a relay: instances tell theirs, relays tell each
// other and their zone, so that messages grow with the number of instances
// rather than with its square. Relays also read the platform's store for their zone.
const (
	directPeers = 12
	// relayPace collects news where there are relays.
	relayPace = 120 * time.Millisecond
	// relayRetry is how long an instance that could not be reached is no relay. It
	// grows with the time for which that has been so, up to maxRelayRetry: with a
	// constant pause, seven stronger instances that are gone hide all others of their
	// zone, since the first of them is tried again before the last one has failed.
	relayRetry    = 3 * time.Second
	maxRelayRetry = 10 * time.Second
)

// relayed reports whether there are relays.
func (p *peers) relayed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relayedLocked()
}

func (p *peers) relayedLocked() bool { return len(p.members)+1 > directPeers }

// relaying reports whether the other instances of the zone rely on this one.
func (p *peers) relaying() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relayedLocked() && p.relayOfLocked(p.i.settings.Zone) == nil
}

// relayOfLocked returns the relay of a zone, or nil if that is this instance or
// the zone has none. The strongest instance that can be reached is the relay.
func (p *peers) relayOfLocked(zone string) *peer {
	var best *peer
	for _, m := range p.members {
		if m.Zone == zone && m.mayRelay(time.Now()) && (best == nil || comparePeers(m, best) < 0) {
			best = m
		}
	}
	if zone == p.i.settings.Zone && (best == nil || comparePeers(p.self, best) < 0) {
		return nil
	}
	return best
}

// mayRelay reports whether an instance is tried as a relay.
func (m *peer) mayRelay(now time.Time) bool {
	pause := min(max(relayRetry, m.failedAt.Sub(m.failingSince)), maxRelayRetry)
	return m.failedAt.IsZero() || now.Sub(m.failedAt) >= pause
}

func comparePeers(a, b *peer) int {
	return cmp.Or(cmp.Compare(b.CPU, a.CPU), cmp.Compare(a.Name, b.Name))
}

// roundLocked takes what is to be told now, by receiver.
func (p *peers) roundLocked() map[*peer]*news {
	own, fromZone, fromOther := p.next, p.fromZone, p.fromOther
	p.next, p.fromZone, p.fromOther = news{}, news{}, news{}
	round := map[*peer]*news{}
	if !p.relayedLocked() {
		for _, m := range p.members {
			round[m] = &own
		}
		return round
	}
	zone := p.i.settings.Zone
	if relay := p.relayOfLocked(zone); relay != nil {
		own.Feeds = nil
		round[relay] = &own
		return round
	}
	outward := own.join(fromZone)
	all := outward.join(fromOther)
	outward.Feeds = nil // Each zone's relay reads the store itself.
	if own.Loads != nil {
		all.Loads = p.withOwn(p.sumLocked(""))
		outward.Loads = p.withOwn(p.sumLocked(zone))
	}
	zones := map[string]bool{zone: true}
	for _, m := range p.members {
		if m.Zone == zone {
			round[m] = &all
		} else if !zones[m.Zone] {
			zones[m.Zone] = true
			if relay := p.relayOfLocked(m.Zone); relay != nil {
				round[relay] = &outward
			}
		}
	}
	return round
}

func (n news) join(o news) news {
	return news{
		Engines: slices.Concat(n.Engines, o.Engines),
		Holds:   slices.Concat(n.Holds, o.Holds),
		Crashes: n.Crashes, // The records that were heard are part of the own ones.
		Feeds:   n.Feeds,
		Lease:   max(n.Lease, o.Lease),
	}
}
