package rclimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	// maxReported bounds the entries of a report, so that it fits into a message. The rest
	// follows in the next ones.
	maxReported = 1500
	// idleReportInterval is how often a relay reports the usage of accounts below their limit,
	// and busyFraction the fraction of the limit from which it does so immediately. The usual
	// demand is 0.56 of the limit.
	idleReportInterval = time.Second
	busyFraction       = 0.7
	// relayChangeTime is how long a sum by a new relay does not lower that of the old one:
	// by then all instances of the zone have sent it full reports.
	relayChangeTime = 2 * time.Second
	// refreshInterval is how often the shares of all accounts are updated.
	refreshInterval = time.Second
	// relayMemory is how long an instance that has reported as a relay does not count as one
	// that reports its own usage to this one. After a partition many instances act as relays
	// of their zone until they have found a common one.
	relayMemory = 4 * time.Second
	// peerRetention is how long an instance is remembered after its last message.
	peerRetention = time.Minute
)

// UsageEntry is the usage of an account within a slot.
type UsageEntry struct {
	Key     AccountKey
	Slot    int64
	Used    uint64 // Rounded up.
	Offered uint64
}

// UsageReport is the usage by one instance or, with Members, by those of a zone.
type UsageReport struct {
	Zone    radishcrank.AvailabilityZone
	From    radishcrank.InstanceID // Instance or relay that made the report.
	Process int64
	Number  uint64 // Increases with each report of the instance that sends it.
	Members int    // Instances in the sum, including the relay; 0 if the report is that of an instance.
	// Age is how long ago the relay that passes the report on has received it.
	Age     time.Duration
	Entries []UsageEntry

	// Until is the revision up to which the report is complete. It is not sent.
	Until uint64
}

// Revise assigns revisions to what has changed, if it is to be reported now. It is called
// before reports are made.
func (l *FleetLimiter) Revise(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startLocked(now)
	l.sweepLocked(now)
	l.refreshLocked(now)
	for key, a := range l.dirty {
		if a.ownChanged != 0 {
			l.revise(a, &a.ownChanged, &a.ownRev)
		}
		if !a.busy(l) && now.Sub(a.revisedAt) < idleReportInterval {
			continue
		}
		l.revise(a, &a.zoneChanged, &a.zones[0].rev)
		a.revisedAt = now
		delete(l.dirty, key)
	}
}

// revise assigns a new revision to a set of slots, and empties it.
func (l *FleetLimiter) revise(a *fleetAccount, changed *uint64, revisions *[ringSlots]uint64) {
	l.revision++
	for k := range revisions {
		if *changed>>k&1 != 0 {
			revisions[k] = l.revision
		}
	}
	a.maxRev, *changed = l.revision, 0
}

// busy reports whether the account comes near its limit.
func (a *fleetAccount) busy(l *FleetLimiter) bool {
	recent := 0.0
	for s := a.cur - demandSlots; s <= a.cur; s++ {
		recent += a.offered(ringIndex(s))
	}
	return !a.known || recent > busyFraction*(a.limit.Rate*demandSlots*l.slot.Seconds())
}

// refreshLocked updates the shares of all accounts every refreshInterval, and when instances
// fall silent. Instances that get few requests of an account would otherwise hold other
// shares than the rest.
func (l *FleetLimiter) refreshLocked(now time.Time) {
	l.updateSilenceLocked(now)
	silent := 0
	for _, zone := range l.zones {
		silent += zone.silent
	}
	if age := now.Sub(l.refreshedAt); age >= 0 && age < refreshInterval && silent == l.refreshedSilent {
		return
	}
	l.refreshedAt, l.refreshedSilent = now, silent
	for _, a := range l.accounts {
		if a.known {
			l.rollLocked(a, now)
			l.updateShares(a, now)
		}
	}
}

// sweepLocked removes accounts that have not been used for a while.
func (l *FleetLimiter) sweepLocked(now time.Time) {
	slot := l.slotOf(now)
	if slot-l.sweptAt < ringSlots {
		return
	}
	l.sweptAt = slot
	for key, a := range l.accounts {
		if slot-a.cur > 4*ringSlots && a.base >= 0 {
			delete(l.accounts, key)
			delete(l.dirty, key)
			continue
		}
		for z := range a.zones {
			maps.DeleteFunc(a.zones[z].peers, func(_ *fleetPeer, c *peerCells) bool { return c.cur <= slot-ringSlots })
		}
	}
	maps.DeleteFunc(l.peers, func(_ radishcrank.InstanceID, p *fleetPeer) bool { return now.Sub(p.heardAt) > peerRetention })
}

// Own returns the report on this instance's usage that changed after a revision.
func (l *FleetLimiter) Own(after uint64) UsageReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := UsageReport{Zone: l.cfg.Zone, From: l.cfg.Instance, Process: l.cfg.Process}
	l.fill(&r, after, func(a *fleetAccount) *[ringSlots]uint64 { return &a.ownRev }, func(a *fleetAccount, k int64) (used, offered float64) {
		return a.own.used[k], a.own.offered[k]
	})
	return r
}

// Zone returns the report on the usage by all instances of this one's zone, as its relay.
func (l *FleetLimiter) Zone(after uint64, now time.Time) UsageReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateSilenceLocked(now)
	r := UsageReport{Zone: l.cfg.Zone, From: l.cfg.Instance, Process: l.cfg.Process, Members: max(1, l.zones[0].registered-l.zones[0].silent+1)}
	l.fill(&r, after, func(a *fleetAccount) *[ringSlots]uint64 { return &a.zones[0].rev }, func(a *fleetAccount, k int64) (used, offered float64) {
		a.confirmed[k] = a.own.used[k]
		return a.own.used[k] + a.usedIn(0, k), a.own.offered[k] + a.offeredIn(0, k)
	})
	return r
}

// OtherZones returns the reports on other zones as received from their relays, without
// those that were not heard of lately.
func (l *FleetLimiter) OtherZones(after uint64, now time.Time) (reports []UsageReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for z, zone := range l.zones {
		if z == 0 || zone.reportAt.IsZero() || now.Sub(zone.reportAt) >= silenceGrace {
			continue
		}
		r := UsageReport{Zone: zone.id, From: zone.relay.instance, Process: zone.relay.process, Members: zone.reported, Age: now.Sub(zone.reportAt)}
		revisions := func(a *fleetAccount) *[ringSlots]uint64 {
			if z >= len(a.zones) {
				return nil
			}
			return &a.zones[z].rev
		}
		l.fill(&r, after, revisions, func(a *fleetAccount, k int64) (used, offered float64) {
			return a.zones[z].sum.used[k], a.zones[z].sum.offered[k]
		})
		reports = append(reports, r)
	}
	return reports
}

// fill adds the entries that changed after a revision, in the order of their revisions.
func (l *FleetLimiter) fill(r *UsageReport, after uint64, revisions func(a *fleetAccount) *[ringSlots]uint64, read func(a *fleetAccount, k int64) (used, offered float64)) {
	type revised struct {
		UsageEntry
		rev uint64
	}
	var found []revised
	for key, a := range l.accounts {
		if a.maxRev <= after {
			continue
		}
		revs := revisions(a)
		if revs == nil {
			continue
		}
		for s := a.cur - ringSlots + 1; s <= a.cur; s++ {
			if rev := revs[ringIndex(s)]; rev > after {
				used, offered := read(a, ringIndex(s))
				found = append(found, revised{UsageEntry{key, s, uint64(math.Ceil(used)), uint64(math.Ceil(offered))}, rev})
			}
		}
	}
	l.reports++
	r.Number, r.Until = l.reports, l.revision
	if len(found) > maxReported {
		slices.SortFunc(found, func(a, b revised) int { return cmp.Compare(a.rev, b.rev) })
		r.Until = found[maxReported-1].rev
		// Entries of one revision stay together.
		end := maxReported
		for end < len(found) && found[end].rev == r.Until {
			end++
		}
		found = found[:end]
	}
	for _, f := range found {
		r.Entries = append(r.Entries, f.UsageEntry)
	}
}

// Confirm records that the relay has received a report of this instance.
func (l *FleetLimiter) Confirm(r UsageReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range r.Entries {
		if a := l.accounts[e.Key]; a != nil && e.Slot > a.cur-ringSlots && e.Slot <= a.cur {
			k := ringIndex(e.Slot)
			a.confirmed[k] = min(float64(e.Used), a.own.used[k])
		}
	}
}

// Heard records that an instance has sent a message.
func (l *FleetLimiter) Heard(id radishcrank.InstanceID, zone radishcrank.AvailabilityZone, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heardLocked(id, zone, now)
}

func (l *FleetLimiter) heardLocked(id radishcrank.InstanceID, zone radishcrank.AvailabilityZone, now time.Time) *fleetPeer {
	p := l.peers[id]
	if p == nil {
		p = &fleetPeer{zone: l.zoneLocked(zone)}
		l.peers[id] = p
	}
	if silent := now.Sub(p.heardAt) >= silenceGrace; silent {
		l.settleLocked(p.zone)
	}
	p.heardAt = now
	return p
}

// Merge records a report of another instance that arrived through an instance, its relay
// or itself.
func (l *FleetLimiter) Merge(r UsageReport, through radishcrank.InstanceID, now time.Time) {
	if r.From == l.cfg.Instance {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m := merge{l: l, z: l.zoneLocked(r.Zone), now: now}
	var newest *reportNumber
	if r.Members > 0 {
		zone := l.zones[m.z]
		newest = &zone.newest
		if through == r.From {
			l.heardLocked(r.From, r.Zone, now).relayAt = now
		}
		if relay := (relayID{r.From, r.Process}); zone.relay != relay {
			zone.relay, zone.relaySince = relay, now
		}
		m.keepMax = now.Sub(zone.relaySince) < relayChangeTime
		if now.Sub(zone.reportAt) >= silenceGrace || r.Members > zone.lastMembers {
			l.settleLocked(m.z)
		}
		zone.reportAt, zone.reported, zone.lastMembers = now.Add(-r.Age), r.Members, r.Members
		if m.z == 0 {
			zone.reported--
		}
	} else {
		m.peer = l.heardLocked(r.From, r.Zone, now)
		newest = &m.peer.newest
		if m.peer.process != r.Process {
			if r.Process < m.peer.process && now.Sub(m.peer.since) < relayChangeTime {
				return // Sent before the restart.
			}
			m.peer.since, m.peer.process, m.peer.newest = now, r.Process, reportNumber{}
			l.forgetCellsLocked(m.peer)
		}
	}
	if n := (reportNumber{through, r.Number}); n.through != newest.through || n.number > newest.number {
		*newest = n
	} else {
		m.keepMax = true // It was overtaken by a newer one.
	}
	current := l.slotOf(now)
	for _, e := range r.Entries {
		if e.Slot > current-ringSlots && e.Slot <= current+1 {
			m.add(e)
		}
	}
}

// forgetCellsLocked forgets what an instance reported that has restarted. It remains in
// the sums, to which the new process adds.
func (l *FleetLimiter) forgetCellsLocked(p *fleetPeer) {
	for _, a := range l.accounts {
		for z := range a.zones {
			delete(a.zones[z].peers, p)
		}
	}
}

// merge is the merging of one report.
type merge struct {
	l       *FleetLimiter
	z       int
	peer    *fleetPeer // Nil for the sum of a zone.
	keepMax bool       // Entries do not lower what is known.
	now     time.Time
}

func (m *merge) add(e UsageEntry) {
	l := m.l
	a := l.accountLocked(e.Key, m.now)
	l.rollLocked(a, time.Unix(0, max(l.slotOf(m.now), e.Slot)*int64(l.slot)))
	if e.Slot <= a.cur-ringSlots || e.Slot > a.cur {
		return
	}
	k, u := ringIndex(e.Slot), &a.zones[m.z]
	used, offered := float64(e.Used), float64(e.Offered)
	if m.peer == nil {
		if m.keepMax {
			used, offered = max(used, u.sum.used[k]), max(offered, u.sum.offered[k])
		}
		if u.sum.used[k] == used && u.sum.offered[k] == offered {
			return
		}
		u.sum.used[k], u.sum.offered[k] = used, offered
		if m.z != 0 {
			l.revision++
			u.rev[k], a.maxRev = l.revision, l.revision
		}
		return
	}
	if u.peers == nil {
		u.peers = map[*fleetPeer]*peerCells{}
	}
	c := u.peers[m.peer]
	if c == nil {
		c = &peerCells{}
		u.peers[m.peer] = c
	}
	c.roll(a.cur)
	oldUsed, oldOffered := float64(c.used[k]), float64(c.offered[k])
	if m.keepMax {
		used, offered = max(used, oldUsed), max(offered, oldOffered)
	}
	c.used[k], c.offered[k] = float32(used), float32(offered)
	u.members.used[k] += float64(c.used[k]) - oldUsed
	u.members.offered[k] += float64(c.offered[k]) - oldOffered
	if m.z == 0 {
		a.zoneChanged |= 1 << k
		l.dirty[e.Key] = a
	}
}
