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
	key          AccountKey
	cur          int64 // Newest slot.
	limit        FleetRate
	known        bool // The limit is known.
	base         float64
	rate         [ringSlots]float64 // Limits in force in each slot.
	burst        [ringSlots]float64
	reach        [ringSlots]float64 // Share of the limit that instances heard of could use.
	own          cells
	confirmed    [ringSlots]float64 // Part of own.used that the relay's sum contains.
	ownRev       [ringSlots]uint64
	maxRev       uint64
	revisedAt    time.Time
	busyUntil    time.Time // Until when the relay reports the account.
	reportedNear float64   // nearness at revisedAt.
	// ownChanged and zoneChanged are the sets of slots that changed since revisions were
	// assigned.
	ownChanged, zoneChanged uint64
	zones                   []zoneUsage

	sharesAt   time.Time
	complete   float64 // Demand per second by the last complete reports.
	reachNow   float64
	unreported float64 // Estimated usage that was not reported yet.
	overdue    float64 // Share of instances that are about to count as silent.
	seldom     bool    // A zone's relay reports the account seldom.
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
	offered         float64   // Demand over which share was measured.
	share           float64   // Share of the account's demand when all instances were heard of.
	newest          int64     // Newest slot that the zone's relay has reported.
	heardAt         time.Time // When it did so, or until when that is known if it is older.
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
		sum = without(&u.sum.used, &a.confirmed, k)
	}
	return max(0, sum, u.members.used[k])
}

func (a *fleetAccount) offeredIn(z int, k int64) float64 {
	u := &a.zones[z]
	sum := u.sum.offered[k]
	if z == 0 {
		sum = without(&u.sum.offered, &a.own.offered, k)
	}
	return max(0, sum, u.members.offered[k])
}

// without returns what a zone's sum holds in a slot without the part of this instance. If the
// relay has put the usage of a group of slots into the first one, so is that part.
func without(sum, own *[ringSlots]float64, k int64) float64 {
	n := sum[k] - own[k]
	if k%groupSlots == 0 {
		for i := k + 1; i < k+groupSlots; i++ {
			n -= max(0, own[i]-sum[i])
		}
	}
	return n
}

func (a *fleetAccount) zoneUsed(k int64) float64 {
	a.confirmed[k] = a.own.used[k]
	return a.own.used[k] + a.usedIn(0, k)
}

func (a *fleetAccount) zoneOffered(k int64) float64 { return a.own.offered[k] + a.offeredIn(0, k) }

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
