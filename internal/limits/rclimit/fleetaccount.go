package rclimit

import "time"

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
	reach     [ringSlots]float64 // Share of the limit that was left to instances heard of.
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
	reachNow   float64
	unreported float64 // Estimated usage that was not reported yet.
}

// zoneUsage is the usage of an account in a zone, without that of this instance.
type zoneUsage struct {
	sum     cells // As reported by the zone's relay; contains this instance's in its own zone.
	members cells // Sum of what instances of the zone reported to this one.
	peers   map[*fleetPeer]*peerCells
	rev     [ringSlots]uint64
	share   float64 // Share of the account's demand when all instances were heard of.
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
		c.used[c.cur%ringSlots], c.offered[c.cur%ringSlots] = 0, 0
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
	}
	for len(a.zones) < len(l.zones) {
		a.zones = append(a.zones, zoneUsage{})
	}
	return a
}

func (l *FleetLimiter) startLocked(now time.Time) {
	if l.started == 0 {
		l.started = l.slotOf(now)
	}
}

func (l *FleetLimiter) slotOf(t time.Time) int64 { return t.UnixNano() / int64(l.slot) }

// setLimit sets the limit from the current slot on. A limit that was not known is applied
// from the start of this instance, whose bucket was empty then.
func (a *fleetAccount) setLimit(l *FleetLimiter, limit FleetRate) {
	if !a.known {
		a.known, a.limit = true, limit
		oldest := a.cur - ringSlots + 1
		for s := oldest; s <= a.cur; s++ {
			k := s % ringSlots
			if a.burst[k] = limit.Burst; s >= l.started {
				a.rate[k] = limit.Rate
			}
		}
		a.base = min(limit.Burst, limit.Rate*float64(max(0, oldest-l.started))*l.slot.Seconds())
		return
	}
	if a.limit != limit {
		a.limit = limit
		a.rate[a.cur%ringSlots], a.burst[a.cur%ringSlots] = limit.Rate, limit.Burst
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
	a.cur++
	k := a.cur % ringSlots
	a.base = min(a.burst[k]*a.reach[k], a.base+a.rate[k]*a.reach[k]*l.slot.Seconds()-a.used(k))
	a.own.used[k], a.own.offered[k], a.confirmed[k], a.ownRev[k] = 0, 0, 0, 0
	a.ownChanged &^= 1 << k
	a.zoneChanged &^= 1 << k
	a.rate[k], a.burst[k], a.reach[k] = a.limit.Rate, a.limit.Burst, a.reachNow
	for z := range a.zones {
		u := &a.zones[z]
		u.sum.used[k], u.sum.offered[k], u.members.used[k], u.members.offered[k], u.rev[k] = 0, 0, 0, 0, 0
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

// used returns the usage of all instances in a slot.
func (a *fleetAccount) used(k int64) (n float64) {
	n = a.own.used[k]
	for z := range a.zones {
		n += a.usedIn(z, k)
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

// replay returns the balance of the bucket, and what was used in the last window and
// allowed by the rate.
func (a *fleetAccount) replay(l *FleetLimiter, now time.Time) (balance, used, allowed float64) {
	balance = a.base
	length := l.slot.Seconds()
	current := now.Sub(time.Unix(0, a.cur*int64(l.slot))).Seconds()
	for s := a.cur - ringSlots + 1; s <= a.cur; s++ {
		k := s % ringSlots
		n := a.used(k)
		accrued := a.rate[k] * length
		if s == a.cur {
			accrued = a.rate[k] * min(max(0, current), length)
		}
		balance = min(a.burst[k]*a.reach[k], balance+accrued*a.reach[k]-n)
		if s > a.cur-windowSlots-1 {
			used += n
			if s > a.cur-windowSlots {
				allowed += a.rate[k] * length
			}
		}
	}
	return balance, used, allowed
}

// demand returns what the instances heard of ask for per second: the higher one of the
// last complete reports and of the newest.
func (a *fleetAccount) demand(l *FleetLimiter, now time.Time) float64 {
	sum := func(last int64) (n float64) {
		for s := last - demandSlots + 1; s <= last; s++ {
			n += a.offered(s % ringSlots)
		}
		return n
	}
	length := l.slot.Seconds()
	elapsed := min(max(0, now.Sub(time.Unix(0, a.cur*int64(l.slot))).Seconds()), length)
	return max(sum(a.cur-demandDelay)/(demandSlots*length), sum(a.cur)/((demandSlots-1)*length+elapsed))
}

// updateShares computes which share of the limit the instances may use that are heard of,
// and what those have used that was not reported yet.
func (l *FleetLimiter) updateShares(a *fleetAccount, now time.Time) {
	if now.Sub(a.sharesAt) < shareInterval && now.After(a.sharesAt) {
		return
	}
	a.sharesAt = now
	silent := 0.0
	lag := time.Duration(0)
	l.updateSilenceLocked(now)
	for z, zone := range l.zones {
		count, since := zone.silent, zone.silentFor
		if count == 0 {
			if zone.registered > 0 && !zone.reportAt.IsZero() {
				lag = max(lag, min(now.Sub(zone.reportAt), silenceGrace))
			}
			continue
		}
		equal := float64(count) / float64(l.total)
		mix := 1.0
		if a.hasShares() {
			mix = min(1, equalSharePart+(1-equalSharePart)*float64(since)/float64(equalShareDelay))
		}
		demanded := a.zones[z].share * float64(count) / float64(zone.registered)
		silent += mix*equal + (1-mix)*demanded
	}
	was := a.reachNow
	a.reachNow = max(0, 1-silent)
	if silent == 0 {
		if was < 1 {
			for k := range a.reach {
				a.reach[k] = 1 // What the others used meanwhile is reported now.
			}
		}
		a.measureShares()
	}
	others := 0.0
	for s := a.cur - demandDelay - demandSlots + 1; s <= a.cur-demandDelay; s++ {
		k := s % ringSlots
		others += a.used(k) - a.own.used[k]
	}
	a.unreported = min(others/(demandSlots*l.slot.Seconds()), a.limit.Rate) * lag.Seconds()
}

func (a *fleetAccount) hasShares() bool {
	for z := range a.zones {
		if a.zones[z].share > 0 {
			return true
		}
	}
	return false
}

// measureShares records the zones' shares of demand in the slots that are kept.
func (a *fleetAccount) measureShares() {
	total := 0.0
	for k := range int64(ringSlots) {
		total += a.offered(k)
	}
	if total <= 0 {
		return
	}
	for z := range a.zones {
		n := 0.0
		for k := range int64(ringSlots) {
			n += a.offeredIn(z, k)
		}
		a.zones[z].share = n / total
	}
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
	for z, zone := range l.zones {
		heard, last := 0, zone.reportAt
		if now.Sub(zone.reportAt) < silenceGrace {
			heard = zone.reported
		}
		direct := 0
		for _, p := range l.peers {
			switch {
			case p.zone != z:
			case now.Sub(p.heardAt) < silenceGrace:
				direct++
			case p.heardAt.After(last):
				last = p.heardAt
			}
		}
		zone.silent = max(0, zone.registered-max(heard, direct))
		if zone.silentFor = max(0, now.Sub(last)-silenceGrace); last.IsZero() {
			zone.silentFor = equalShareDelay
		}
	}
}
