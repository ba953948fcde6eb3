package rcmember

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
)

// rank returns the rendezvous hash by which the instances of a zone are ordered, so
// that instances with the same members agree on the order.
func rank(zone radishcrank.AvailabilityZone, id radishcrank.InstanceID) uint64 {
	return xxhash.Sum64String(string(zone) + "\x00" + string(id))
}

// IsAmongFirst reports whether this instance is among the first n of its zone's
// listed instances in rendezvous order.
func (t *Tracker) IsAmongFirst(n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range t.firstOfZone(n) {
		if i.ID == t.cfg.Self.ID {
			return true
		}
	}
	return false
}

// firstOfZone returns the first n listed instances of the zone that are not leaving.
// Instances missing from the list are left out, so that the next one takes over
// before they are considered dead. Until then, more than n may be active.
func (t *Tracker) firstOfZone(n int) []radishcrank.Instance {
	zone := t.cfg.Self.Zone
	var list []radishcrank.Instance
	if !t.leaving {
		list = append(list, t.cfg.Self)
	}
	for _, m := range t.members {
		if m.instance.Zone == zone && m.missingSince.IsZero() && !m.instance.Leaving {
			list = append(list, m.instance)
		}
	}
	slices.SortFunc(list, func(a, b radishcrank.Instance) int { return cmp.Compare(rank(zone, b.ID), rank(zone, a.ID)) })
	return list[:min(n, len(list))]
}

// SourcePeers returns the peers to poll for data that the first n instances of each
// zone read from the platform. An instance that is not among them polls one of them.
// An instance that is among them polls peers only when it cannot read the platform.
// It gets one peer of its zone and one of another zone, because the other readers of
// its zone probably cannot read the platform either, but other zones may be
// unreachable. Without any peers, it gets a bootstrap address.
func (t *Tracker) SourcePeers(n int) (addrs []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var readers, own, others []netip.AddrPort
	reader := false
	for _, i := range t.firstOfZone(n) {
		reader = reader || i.ID == t.cfg.Self.ID
		readers = append(readers, i.Peer)
	}
	for _, m := range t.members {
		switch {
		case m.dead:
		case m.instance.Zone == t.cfg.Self.Zone:
			own = append(own, m.instance.Peer)
		default:
			others = append(others, m.instance.Peer)
		}
	}
	switch {
	case !reader && len(readers) > 0:
		return pickRandom(readers)
	case len(own)+len(others) > 0:
		return append(pickRandom(own), pickRandom(others)...)
	}
	return pickRandom(t.cfg.Bootstrap)
}

// pickRandom returns one random address, or none if the list is empty.
func pickRandom(addrs []netip.AddrPort) []netip.AddrPort {
	if len(addrs) == 0 {
		return nil
	}
	at := rand.IntN(len(addrs))
	return addrs[at : at+1 : at+1]
}
