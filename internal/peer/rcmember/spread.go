package rcmember

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
)

// target is whom to send a heartbeat to.
type target struct {
	id      radishcrank.InstanceID
	addr    netip.AddrPort
	foreign bool
	probe   bool // Only its own answer matters.
}

func (t *Tracker) targetOf(m *member) target {
	return target{id: m.instance.ID, addr: m.instance.Peer, foreign: m.instance.Zone != t.cfg.Self.Zone}
}

// targets returns whom to send this round's heartbeats to: random peers, some
// suspects, now and then an instance held dead, and other zones from a relay.
func (t *Tracker) targets(now time.Time) []target {
	targets := t.pick(heartbeatPeers)
	targets = append(targets, t.suspects(now)...)
	if now.Sub(t.lastVisit) >= revisitInterval {
		t.lastVisit = now
		targets = append(targets, t.revisit()...)
	}
	if now.Sub(t.lastRelay) >= relayInterval && t.isRelay() {
		t.lastRelay = now
		targets = append(targets, t.relays()...)
	}
	return targets
}

// pick returns n random peers of the zone that are not held dead.
func (t *Tracker) pick(n int) []target {
	var all []target
	for _, m := range t.members {
		if m.instance.Zone == t.cfg.Self.Zone && !m.dead {
			all = append(all, t.targetOf(m))
		}
	}
	return sample(all, n)
}

// suspects returns suspects to probe. The direct answer of a live one spares
// it from being declared dead because rumors about it got lost.
func (t *Tracker) suspects(now time.Time) []target {
	var list []*member
	for _, m := range t.members {
		silent := now.Sub(m.risen)
		if m.instance.Zone == t.cfg.Self.Zone && !m.dead && silent >= suspectAfter && now.Sub(m.probed) >= probeInterval {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *member) int { return a.risen.Compare(b.risen) })
	var targets []target
	for _, m := range list[:min(len(list), maxProbes)] {
		m.probed = now
		probe := t.targetOf(m)
		probe.probe = true
		targets = append(targets, probe)
	}
	return targets
}

// revisit returns one instance of the zone that is held dead.
func (t *Tracker) revisit() []target {
	var dead []target
	for _, m := range t.members {
		if m.dead && m.instance.Zone == t.cfg.Self.Zone {
			dead = append(dead, t.targetOf(m))
		}
	}
	return sample(dead, 1)
}

// relays returns one relay of each other zone.
func (t *Tracker) relays() []target {
	zones := make(map[radishcrank.AvailabilityZone][]*member)
	for _, m := range t.members {
		if m.instance.Zone != t.cfg.Self.Zone && !m.dead {
			zones[m.instance.Zone] = append(zones[m.instance.Zone], m)
		}
	}
	var targets []target
	for zone, members := range zones {
		slices.SortFunc(members, func(a, b *member) int {
			return cmp.Compare(rank(zone, b.instance.ID), rank(zone, a.instance.ID))
		})
		m := members[rand.IntN(relayCount(len(members)))]
		targets = append(targets, t.targetOf(m))
	}
	return targets
}

// relayCount returns how many instances of a zone exchange heartbeats with
// other zones. All of a small zone do, because its judgement depends on them.
func relayCount(zoneSize int) int {
	if zoneSize < smallZone {
		return zoneSize
	}
	return relaysPerZone
}

// isRelay reports whether this instance exchanges heartbeats with other zones.
func (t *Tracker) isRelay() bool { return t.first(relayCount(t.zoneSize()))[t.cfg.Self.ID] }

// zoneSize counts the instances of the own zone that are not held dead.
func (t *Tracker) zoneSize() int {
	size := 1
	for _, m := range t.members {
		if m.instance.Zone == t.cfg.Self.Zone && !m.dead {
			size++
		}
	}
	return size
}

// rank orders the instances of a zone. All instances that know the same members agree on it.
func rank(zone radishcrank.AvailabilityZone, id radishcrank.InstanceID) uint64 {
	return xxhash.Sum64String(string(zone) + "\x00" + string(id))
}

// First reports whether this instance is among the first n of its zone's live
// instances in rendezvous order.
func (t *Tracker) First(n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.first(n)[t.cfg.Self.ID]
}

// first leaves out suspects, so that the next instance takes over within
// seconds; for that time more than n may act.
func (t *Tracker) first(n int) map[radishcrank.InstanceID]bool {
	now := time.Now()
	zone := t.cfg.Self.Zone
	var ids []radishcrank.InstanceID
	if !t.leaving {
		ids = append(ids, t.cfg.Self.ID)
	}
	for id, m := range t.members {
		if m.instance.Zone == zone && m.heard && !m.instance.Leaving && t.status(m, now) == StatusAlive {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b radishcrank.InstanceID) int { return cmp.Compare(rank(zone, b), rank(zone, a)) })
	first := make(map[radishcrank.InstanceID]bool, n)
	for _, id := range ids[:min(n, len(ids))] {
		first[id] = true
	}
	return first
}

// compose writes a heartbeat to one target.
func (t *Tracker) compose(to target, now time.Time) Heartbeat {
	beat := Heartbeat{Digest: t.digest()}
	m := t.members[to.id]
	if m == nil || !m.introduced {
		self := t.cfg.Self
		beat.Self = &self
	}
	// Another zone does not judge ours, and eight counters in 5 s would say
	// little about a large zone. In a small one they cover all instances.
	if to.probe || to.foreign && t.zoneSize() > maxRumors {
		beat.Rumors = t.pickNews(to)
		return beat
	}
	beat.Rumors = t.pickNews(to)
	beat.Rumors = append(beat.Rumors, t.pickRumors(to, maxRumors-len(beat.Rumors), now)...)
	return beat
}

// pickNews returns the news that are meant for the target's zone, those told
// least often first: when a rack was lost, the first few verdicts would
// otherwise keep the others from ever being told.
func (t *Tracker) pickNews(to target) []Rumor {
	most := maxNews
	if to.foreign {
		most = maxRumors
	}
	slices.SortStableFunc(t.news, func(a, b news) int { return cmp.Compare(a.sends, b.sends) })
	var rumors []Rumor
	for i := range t.news {
		n := &t.news[i]
		if len(rumors) == most {
			break
		}
		// Verdicts of the own zone go to other zones, and those of other zones
		// are passed on inside the own zone.
		if n.foreign == to.foreign || n.foreign && n.sends >= newsSends {
			continue
		}
		n.sends++
		rumors = append(rumors, n.rumor)
	}
	return rumors
}

// pickRumors returns the freshest counters, those passed on least often first.
// Counters that are not fresh would only be repeated without end.
func (t *Tracker) pickRumors(to target, n int, now time.Time) []Rumor {
	var fresh []*member
	for id, m := range t.members {
		if id != to.id && m.heard && !m.dead && m.instance.Zone == t.cfg.Self.Zone && now.Sub(m.risen) < suspectAfter {
			fresh = append(fresh, m)
		}
	}
	rand.Shuffle(len(fresh), func(i, j int) { fresh[i], fresh[j] = fresh[j], fresh[i] })
	slices.SortStableFunc(fresh, func(a, b *member) int { return cmp.Compare(a.sends, b.sends) })
	var rumors []Rumor
	for _, m := range fresh[:min(n, len(fresh))] {
		m.sends++
		rumors = append(rumors, Rumor{Tag: m.tag, Counter: m.counter})
	}
	return rumors
}

// sample returns up to n random elements.
func sample(all []target, n int) []target {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}
