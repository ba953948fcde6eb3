package rcmember

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
)

// rank orders the instances of a zone. All instances that know the same members agree on it.
func rank(zone radishcrank.AvailabilityZone, id radishcrank.InstanceID) uint64 {
	return xxhash.Sum64String(string(zone) + "\x00" + string(id))
}

// IsAmongFirst reports whether this instance is among the first n of its zone's
// listed instances in rendezvous order.
func (t *Tracker) IsAmongFirst(n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range t.first(n) {
		if i.ID == t.cfg.Self.ID {
			return true
		}
	}
	return false
}

// first leaves out instances that the list lacks, so that the next one takes
// over before they are held dead; for that time more than n may act.
func (t *Tracker) first(n int) []radishcrank.Instance {
	zone := t.cfg.Self.Zone
	var list []radishcrank.Instance
	if !t.leaving {
		list = append(list, t.cfg.Self)
	}
	for _, m := range t.members {
		if m.instance.Zone == zone && m.missing.IsZero() && !m.instance.Leaving {
			list = append(list, m.instance)
		}
	}
	slices.SortFunc(list, func(a, b radishcrank.Instance) int { return cmp.Compare(rank(zone, b.ID), rank(zone, a.ID)) })
	return list[:min(n, len(list))]
}

// SourcePeers returns peers to ask for what the first n instances of each zone read
// from the platform. An instance that is not among them asks one of them. One
// that is asks only when it cannot read itself, and then two: the others of its
// zone probably cannot read either, but another zone may be out of reach.
func (t *Tracker) SourcePeers(n int) (addrs []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var readers, own, others []netip.AddrPort
	reader := false
	for _, i := range t.first(n) {
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
		return pick(readers)
	case len(own)+len(others) > 0:
		return append(pick(own), pick(others)...)
	}
	return pick(t.cfg.Bootstrap)
}

// pick returns one random address, if there is any.
func pick(addrs []netip.AddrPort) []netip.AddrPort {
	if len(addrs) == 0 {
		return nil
	}
	at := rand.IntN(len(addrs))
	return addrs[at : at+1 : at+1]
}
