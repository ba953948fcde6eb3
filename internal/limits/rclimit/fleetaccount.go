package rclimit

import "time"

// ringIndex returns the place of a slot in the ring. Slots are negative where the window reaches
// back beyond the beginning of the store's clock.
func ringIndex(slot int64) int64 { return (slot%ringSlots + ringSlots) % ringSlots }

// cells hold what was admitted and what was asked for in each slot.
type cells struct {
	used, offered [ringSlots]float64
}

// fleetAccount is the usage of one account by all instances.
type fleetAccount struct {
	key       AccountKey
	cur       int64 // Newest slot.
	limit     FleetRate
	known     bool // The limit is known.
	base      float64
	rate      [ringSlots]float64 // Limits in force in each slot.
	burst     [ringSlots]float64
	reach     [ringSlots]float64 // Share of the limit that instances heard of could use.
	own       cells
	confirmed [ringSlots]float64 // Part of own.used that the relay's sum contains.
	ownRev    [ringSlots]uint64
	maxRev    uint64
	revisedAt time.Time
	// ownChanged and zoneChanged are the sets of slots that changed since revisions were
	// assigned.
	ownChanged, zoneChanged uint64
	zones                   []zoneUsage

	sharesAt   time.Time
	complete   float64 // Demand per second by the last complete reports.
	reachNow   float64
	unreported float64 // Estimated usage that was not reported yet.
	overdue    float64 // Share of instances that are about to count as silent.
}

// zoneUsage is the usage of an account in a zone, without that of this instance.
type zoneUsage struct {
	sum     cells // As reported by the zone's relay; contains this instance's in its own zone.
	members cells // Sum of what instances of the zone reported to this one.
	peers   map[*fleetPeer]*peerCells
	// presumed is the share of the limit of instances that were not heard of, which they may
	// have used in addition. floor is the least usage to count once they are heard of again:
	// their reports arrive one after the other.
	presumed, floor [ringSlots]float64
	presumedTo      int64   // Slot up to which presumed has been set.
	silences        int     // Value of fleetZone.silences then.
	silentShare     float64 // Share of the limit of instances that are not heard of now.
	rev             [ringSlots]uint64
	offered         float64 // Demand over which share was measured.
	share           float64 // Share of the account's demand when all instances were heard of.
}

// peerCells are what one instance reported. There is one for each instance and account.
type peerCells struct {
	cur           int64
	used, offered [ringSlots]float32
}

// roll empties the slots up to a new one.
func (c *peerCells) roll(cur int64) {
	for c.cur = max(c.cur, cur-ringSlots); c.cur < cur; {
		c.cur++
		c.used[ringIndex(c.cur)], c.offered[ringIndex(c.cur)] = 0, 0
	}
}

// accountLocked returns the state of an account.
func (l *FleetLimiter) accountLocked(key AccountKey, now time.Time) *fleetAccount {
	a := l.accounts[key]
	if a == nil {
		a = &fleetAccount{key: key, cur: l.slotOf(now), reachNow: 1}
		for k := range a.reach {
			a.reach[k] = 1
		}
		l.accounts[key] = a
		a.setLimit(l, l.limits[key])
	}
	a.coverZones(l)
	return a
}

// coverZones adds the zones that became known since the account was last used.
func (a *fleetAccount) coverZones(l *FleetLimiter) {
	for len(a.zones) < len(l.zones) {
		a.zones = append(a.zones, zoneUsage{})
	}
}

func (l *FleetLimiter) startLocked(now time.Time) {
	if l.started == 0 {
		l.started = l.slotOf(now)
	}
}

func (l *FleetLimiter) slotOf(t time.Time) int64 { return t.UnixNano() / int64(l.slot) }

// setLimit sets the limit from the current slot on. A limit that was not known is applied
// from the start of this instance, whose bucket was empty and overdrawn then: it does not
// know what it used before a restart.
func (a *fleetAccount) setLimit(l *FleetLimiter, limit FleetRate) {
	if !a.known && limit.Rate > 0 {
		a.known, a.limit = true, limit
		oldest := a.cur - ringSlots + 1
		for s := oldest; s <= a.cur; s++ {
			k := ringIndex(s)
			if a.burst[k] = limit.Burst; s >= l.started {
				a.rate[k] = limit.Rate
			}
		}
		a.base = min(limit.Burst, limit.Rate*float64(max(0, oldest-l.started))*l.slot.Seconds()-l.reserve(limit))
		return
	}
	if a.limit != limit {
		a.limit = limit
		a.rate[ringIndex(a.cur)], a.burst[ringIndex(a.cur)] = limit.Rate, limit.Burst
	}
}

// rollLocked advances the account to the slot of a time.
func (l *FleetLimiter) rollLocked(a *fleetAccount, now time.Time) {
	slot := l.slotOf(now)
	if slot < a.cur-ringSlots {
		// The clock was set back by more than a window.
		a.cur, a.base = slot, 0
		a.own, a.confirmed = cells{}, [ringSlots]float64{}
		for z := range a.zones {
			a.zones[z].sum, a.zones[z].members, a.zones[z].peers = cells{}, cells{}, nil
		}
	}
	if gap := slot - a.cur - ringSlots; gap > 0 {
		// More than a ring has passed: all slots are evicted, and the time between is idle.
		for range ringSlots {
			l.advance(a)
		}
		a.cur += gap
		if a.known {
			a.base = min(a.limit.Burst*a.reachNow, a.base+a.limit.Rate*a.reachNow*float64(gap)*l.slot.Seconds())
		}
	}
	for a.cur < slot {
		l.advance(a)
	}
}

// advance evicts the oldest slot and begins a new one.
func (l *FleetLimiter) advance(a *fleetAccount) {
	for z := range a.zones {
		if u := &a.zones[z]; u.silentShare > 0 {
			u.presumed[ringIndex(a.cur)], u.presumedTo = a.rate[ringIndex(a.cur)]*l.slot.Seconds()*u.silentShare, a.cur
		}
	}
	a.cur++
	k := ringIndex(a.cur)
	if a.known && a.cur-ringSlots >= l.started {
		a.base = refill(a.base, a.burst[k]*a.reach[k], a.rate[k]*l.slot.Seconds()-a.consumed(k), a.reach[k] < 1)
	}
	a.own.used[k], a.own.offered[k], a.confirmed[k], a.ownRev[k] = 0, 0, 0, 0
	a.ownChanged &^= 1 << k
	a.zoneChanged &^= 1 << k
	a.rate[k], a.burst[k], a.reach[k] = a.limit.Rate, a.limit.Burst, a.reachNow
	for z := range a.zones {
		u := &a.zones[z]
		u.sum.used[k], u.sum.offered[k], u.members.used[k], u.members.offered[k], u.rev[k] = 0, 0, 0, 0, 0
		u.presumed[k], u.floor[k] = 0, 0
	}
}

// usedIn returns the usage in a zone without that of this instance. The relay's sum counts
// where it is higher than what instances reported here, which may have another relay now.
func (a *fleetAccount) usedIn(z int, k int64) float64 {
	u := &a.zones[z]
	sum := u.sum.used[k]
	if z == 0 {
		sum -= a.confirmed[k]
	}
	return max(0, sum, u.members.used[k])
}

func (a *fleetAccount) offeredIn(z int, k int64) float64 {
	u := &a.zones[z]
	sum := u.sum.offered[k]
	if z == 0 {
		sum -= a.own.offered[k]
	}
	return max(0, sum, u.members.offered[k])
}

// consumed returns what counts as used by all instances in a slot.
func (a *fleetAccount) consumed(k int64) (n float64) {
	n = a.own.used[k]
	for z := range a.zones {
		n += max(a.usedIn(z, k)+a.zones[z].presumed[k], a.zones[z].floor[k])
	}
	return n
}

// presumed returns which part of that is presumed.
func (a *fleetAccount) presumed(k int64) (n float64) {
	for z := range a.zones {
		n += a.zones[z].presumed[k]
	}
	return n
}

func (a *fleetAccount) offered(k int64) (n float64) {
	n = a.own.offered[k]
	for z := range a.zones {
		n += a.offeredIn(z, k)
	}
	return n
}

// refill returns the balance after a slot. What a bucket holds when instances fall silent is
// divided, so that those heard of can use only their share of it.
func refill(balance, capacity, change float64, divided bool) float64 {
	if divided {
		balance = min(balance, capacity)
	}
	return min(capacity, balance+change)
}

// reserve returns by how much the bucket may be overdrawn in regular operation.
func (l *FleetLimiter) reserve(limit FleetRate) float64 {
	b := &l.cfg.Bounds
	return reserveFraction * (b.Over*(limit.Rate*b.Window.Seconds()+limit.Burst) + b.Slack)
}

// replay returns the balance of the bucket, and what the instances heard of may still use
// in the window that ends now.
func (a *fleetAccount) replay(l *FleetLimiter, now time.Time) (balance, room float64) {
	b := &l.cfg.Bounds
	balance = a.base
	length := l.slot.Seconds()
	heard, silent := a.limit.Burst*(1+b.Over)+b.Slack-windowMargin*a.bound(b), 0.0
	for s := a.cur - ringSlots + 1; s <= a.cur; s++ {
		k := ringIndex(s)
		n := a.consumed(k)
		if s >= l.started {
			accrued := a.rate[k] * length
			if s == a.cur {
				accrued = a.rate[k] * a.elapsed(l, now) * a.reachNow
			}
			balance = refill(balance, a.burst[k]*a.reach[k], accrued-n, a.reach[k] < 1)
		}
		allowed := a.limit.Rate * length * (1 + b.Over)
		if a.rate[k] > 0 {
			allowed = a.rate[k] * length * (1 + b.Over)
		}
		if s <= a.cur-windowSlots {
			allowed = 0 // The window ends within the current slot and begins within this one.
		}
		switch {
		case s < a.cur-windowSlots:
		case a.reach[k] < 1:
			silent += allowed*a.reach[k] - (n - a.presumed(k))
		default:
			heard += allowed - n
		}
	}
	return balance, heard*a.reachNow + silent
}

// bound returns the bound on the usage in a window.
func (a *fleetAccount) bound(b *FleetBounds) float64 {
	return (a.limit.Rate*b.Window.Seconds()+a.limit.Burst)*(1+b.Over) + b.Slack
}

// elapsed returns the seconds of the current slot that have passed.
func (a *fleetAccount) elapsed(l *FleetLimiter, now time.Time) float64 {
	return min(max(0, now.Sub(time.Unix(0, a.cur*int64(l.slot))).Seconds()), l.slot.Seconds())
}

// demand returns what the instances heard of ask for per second: the higher one of the
// newest reports and of the last complete ones.
func (a *fleetAccount) demand(l *FleetLimiter, now time.Time) float64 {
	recent := 0.0
	for s := a.cur - demandSlots + 1; s <= a.cur; s++ {
		recent += a.offered(ringIndex(s))
	}
	return max(a.complete, recent/((demandSlots-1)*l.slot.Seconds()+a.elapsed(l, now)))
}

// updateShares computes which share of the limit the instances may use that are heard of,
// what they asked for lately, and what they have used that was not reported yet.
func (l *FleetLimiter) updateShares(a *fleetAccount, now time.Time) {
	if age := now.Sub(a.sharesAt); age >= 0 && age < shareInterval {
		return
	}
	a.sharesAt = now
	a.coverZones(l)
	if !l.known {
		a.reachNow = 1 / float64(max(1, l.assumed))
		for s := max(a.cur-ringSlots+1, l.started); s <= a.cur; s++ {
			a.reach[ringIndex(s)] = a.reachNow
		}
		return
	}
	l.updateSilenceLocked(now)
	silent := 0.0
	seconds := demandSlots * l.slot.Seconds()
	a.unreported, a.overdue = 0, 0
	a.complete = a.demandUntil(a.cur-demandDelay, func(k int64) float64 { return a.own.offered[k] }) / seconds
	for z, zone := range l.zones {
		if zone.registered == 0 {
			continue
		}
		if zone.silent < zone.registered {
			// The last complete reports are older where reports are overdue.
			last := min(a.cur-demandDelay, l.slotOf(zone.heardAt)-1)
			a.complete += a.demandUntil(last, func(k int64) float64 { return a.offeredIn(z, k) }) / seconds
			used := a.demandUntil(last, func(k int64) float64 { return a.usedIn(z, k) }) / seconds
			lag := min(now.Sub(zone.heardAt), silenceGrace)
			a.unreported += used * lag.Seconds()
			a.overdue += a.zones[z].share * max(0, float64(lag-overdueAge)/float64(silenceGrace-overdueAge))
		}
		if zone.silent == 0 {
			a.zones[z].silentShare = 0
			continue
		}
		equal := float64(zone.silent) / float64(l.total)
		mix := 1.0
		if a.hasShares() {
			mix = min(1, equalSharePart+(1-equalSharePart)*float64(zone.silentFor)/float64(equalShareDelay))
		}
		demanded := a.zones[z].share * float64(zone.silent) / float64(zone.registered)
		share := mix*equal + (1-mix)*demanded
		silent += share
		a.presume(l, z, share)
	}
	a.unreported = min(a.unreported, a.limit.Rate*silenceGrace.Seconds())
	was := a.reachNow
	a.reachNow = max(0, 1-silent)
	switch {
	case silent > 0:
		for s := max(a.cur-ringSlots+1, l.slotOf(l.lastHeard)); s < a.cur; s++ {
			if k := ringIndex(s); a.rate[k] > 0 {
				a.reach[k] = max(0, 1-a.presumed(k)/(a.rate[k]*l.slot.Seconds()))
			}
		}
		a.reach[ringIndex(a.cur)] = a.reachNow
	case was < 1:
		for k := range a.reach {
			a.reach[k] = 1
		}
	default:
		a.measureShares(l)
	}
}

// demandUntil adds up what read returns for the slots over which demand is measured.
func (a *fleetAccount) demandUntil(last int64, read func(k int64) float64) (n float64) {
	for s := max(a.cur-ringSlots+1, last-demandSlots+1); s <= last; s++ {
		n += read(ringIndex(s))
	}
	return n
}

// presume records that the silent instances of a zone may use a share of the limit, since
// they were last heard of.
func (a *fleetAccount) presume(l *FleetLimiter, z int, share float64) {
	u := &a.zones[z]
	u.silentShare = share
	if zone := l.zones[z]; u.silences != zone.silences {
		u.silences, u.presumedTo = zone.silences, 0 // More instances are silent than when it was set.
	}
	for s := max(a.cur-ringSlots+1, u.presumedTo+1, l.slotOf(l.zones[z].silentSince)); s < a.cur; s++ {
		u.presumed[ringIndex(s)] = max(u.presumed[ringIndex(s)], a.rate[ringIndex(s)]*l.slot.Seconds()*share)
		u.presumedTo = s
	}
}

// settleLocked ends the presumption on the usage of a zone, some of whose instances are
// heard of again and report what they have used.
func (l *FleetLimiter) settleLocked(z int) {
	for _, a := range l.accounts {
		if z >= len(a.zones) {
			continue
		}
		u := &a.zones[z]
		for k := range int64(ringSlots) {
			if u.presumed[k] > 0 {
				u.floor[k] = max(u.floor[k], a.usedIn(z, k)+u.presumed[k])
				u.presumed[k] = 0
			}
		}
	}
}

func (a *fleetAccount) hasShares() bool {
	for z := range a.zones {
		if a.zones[z].share > 0 {
			return true
		}
	}
	return false
}

// measureShares records the zones' shares of demand in the slots up to the last one that
// all zones have reported. Later ones hold only the demand here, which may have just begun
// to rise everywhere.
func (a *fleetAccount) measureShares(l *FleetLimiter) {
	last := a.cur - demandDelay
	for _, zone := range l.zones {
		if zone.registered > 0 {
			last = min(last, l.slotOf(zone.heardAt)-demandDelay)
		}
	}
	total := a.own.sum(a.cur, last)
	for z := range a.zones {
		a.zones[z].offered = 0
		for s := a.cur - ringSlots + 1; s <= last; s++ {
			a.zones[z].offered += a.offeredIn(z, ringIndex(s))
		}
		total += a.zones[z].offered
	}
	if total <= 0 {
		return
	}
	for z := range a.zones {
		a.zones[z].share = a.zones[z].offered / total
	}
}

// sum returns what was asked for in the slots of the ring up to the last one.
func (c *cells) sum(cur, last int64) (n float64) {
	for s := cur - ringSlots + 1; s <= last; s++ {
		n += c.offered[ringIndex(s)]
	}
	return n
}

// silenceInterval is how often the silence of instances is computed.
const silenceInterval = 50 * time.Millisecond

// updateSilenceLocked computes how many registered instances of each zone were not heard
// of.
func (l *FleetLimiter) updateSilenceLocked(now time.Time) {
	if age := now.Sub(l.silentAt); age >= 0 && age < silenceInterval {
		return
	}
	l.silentAt = now
	l.lastHeard = now
	for z, zone := range l.zones {
		l.updateZoneLocked(z, zone, now)
		if zone.silent > 0 && zone.silentSince.Before(l.lastHeard) {
			l.lastHeard = zone.silentSince
		}
	}
}

func (l *FleetLimiter) updateZoneLocked(z int, zone *fleetZone, now time.Time) {
	heard, last := 0, zone.reportAt
	if now.Sub(zone.reportAt) < silenceGrace {
		heard = zone.reported
	}
	direct, age := 0, time.Duration(0)
	for _, p := range l.peers {
		switch {
		case p.zone != z || now.Sub(p.relayAt) < relayMemory:
		case now.Sub(p.heardAt) < silenceGrace:
			direct++
			age += now.Sub(p.heardAt)
		case p.heardAt.After(last):
			last = p.heardAt
		}
	}
	zone.heardAt = zone.reportAt
	if direct > heard {
		heard, zone.heardAt = direct, now.Add(-age/time.Duration(direct))
	}
	silent := max(0, zone.registered-heard)
	if silent < zone.silent {
		l.settleLocked(z)
	}
	if silent > zone.silent {
		zone.silences++
		zone.silentSince = last
		if now.Sub(last) < silenceGrace || now.Sub(last) > 2*silenceGrace {
			zone.silentSince = now.Add(-silenceGrace) // The relay has not heard of some instances of its zone.
		}
		zone.silentSince = zone.silentSince.Add(-reportDelay / 2) // Their last reports were older.
	}
	zone.silent = silent
	zone.silentFor = equalShareDelay
	if !last.IsZero() {
		zone.silentFor = max(0, now.Sub(zone.silentSince)-silenceGrace-reportDelay/2)
	}
}
