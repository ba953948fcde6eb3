package rclimit

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// Relays report only accounts of which a zone uses more than its part: the limit's rate divided
// by the number of zones, and as much of quietFraction of the burst. As long as none does, all
// zones together leave enough of the burst for no decision to depend on them. Once one does,
// each relay reports what its zone used within the window.
//
// It addresses fleets with thousands of accounts, of which few come near their limits at the
// same time: the reports of all took 110 KB/s to each of 370 instances.

const (
	quietFraction = 0.6
	// groupSlots is the number of slots whose usage is reported as one if many accounts are busy.
	groupSlots = 4
	// zoneReportInterval is how often a relay reports to its zone, a little less than two of the
	// intervals of updates, and crowdedReportInterval if many accounts are busy: the heads of
	// reports take 190 bytes.
	zoneReportInterval    = 230 * time.Millisecond
	crowdedReportInterval = 350 * time.Millisecond
	// maxZoneReportAge is how long it may wait to report one if many are.
	maxZoneReportAge = time.Second
	// surgeFactor is by how much the demand has to rise since the last report for an account to be
	// reported immediately: other instances would admit all of it until then.
	surgeFactor = 2
	// busyTime is how long a relay reports an account after a zone has used more than its part.
	busyTime = 3 * time.Second
	// reportBudget is the number of entries per second from a relay to an instance, of all zones,
	// beyond which an account waits for up to maxZoneReportAge. They take about 1.3 KB/s.
	reportBudget = 120
)

// busyAccount is an account that is to be reported.
type busyAccount struct {
	*fleetAccount
	near   float64 // Demand as a fraction of the limit.
	urgent float64 // That, times the seconds since its last report.
}

// reviseZoneLocked assigns revisions to the usage of this zone, of the accounts that are to be
// reported now: those that have waited for maxZoneReportAge, and then, until the budget is used
// up, those nearest to their limit.
func (l *FleetLimiter) reviseZoneLocked(now time.Time) {
	passed := now.Sub(l.zoneRevisedAt)
	if passed >= 0 && passed < zoneReportInterval && l.crowded {
		return
	}
	l.zoneRevisedAt = now
	zones := l.activeZones()
	var busy []busyAccount
	for key, a := range l.zoneDirty {
		l.rollLocked(a, now)
		if a.zoneChanged == 0 || a.known && a.limit.Rate <= 0 {
			delete(l.zoneDirty, key)
			continue
		}
		if near := a.nearness(l, zones); near > 0 || !a.known || now.Before(a.busyUntil) {
			if near > 0 {
				a.busyUntil = now.Add(busyTime)
			}
			busy = append(busy, busyAccount{a, near, near * now.Sub(a.revisedAt).Seconds()})
		}
	}
	budget := int(l.budget * zoneReportInterval.Seconds() / float64(zones))
	if group := l.slotOf(now) / groupSlots; group != l.group {
		// Decided before the first report of the group.
		l.group = group
		l.coarse[group%int64(len(l.coarse))] = l.crowded
	}
	l.crowded = 2*len(busy) > budget
	slices.SortFunc(busy, func(a, b busyAccount) int { return cmp.Compare(b.urgent, a.urgent) })
	for _, b := range busy {
		changed := l.grouped(b.zoneChanged)
		if age := now.Sub(b.revisedAt); budget <= 0 && age >= 0 && age < maxZoneReportAge && b.near <= surgeFactor*b.reportedNear {
			continue
		}
		budget -= bits.OnesCount64(changed)
		l.revise(b.fleetAccount, changed, &b.zones[0].rev)
		b.zoneChanged, b.revisedAt, b.reportedNear = 0, now, min(b.near, 1)
		delete(l.zoneDirty, b.key)
	}
}

// ReportInterval returns how often this instance reports to its zone as a relay. Instances that
// do not hear of a zone use only their share of a limit.
func (l *FleetLimiter) ReportInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crowded {
		return crowdedReportInterval
	}
	return zoneReportInterval
}

// activeZones returns the number of zones with instances.
func (l *FleetLimiter) activeZones() int {
	n := 1
	for _, zone := range l.zones[1:] {
		if zone.registered > 0 {
			n++
		}
	}
	return n
}

// grouped replaces slots of groups that are reported as a whole by the first one of the group.
func (l *FleetLimiter) grouped(changed uint64) (slots uint64) {
	for k := range ringSlots {
		if changed>>k&1 == 0 {
			continue
		}
		if l.coarse[k/groupSlots] {
			k -= k % groupSlots
		}
		slots |= 1 << k
	}
	return slots
}

// nearness returns the recent demand for an account as a fraction of its limit, or 0 if no zone
// uses more than its part. While instances are silent the others have less than the limit, so
// that each report counts.
func (a *fleetAccount) nearness(l *FleetLimiter, zones int) (near float64) {
	rate, burst := a.limit.Rate*l.slot.Seconds()/float64(zones), quietFraction*a.limit.Burst/float64(zones)
	oldest, busy := a.cur-ringSlots+1, a.reachNow < 1
	for z := range a.zones {
		// Other zones report groups of slots as one if many accounts are busy.
		step := int64(groupSlots)
		if z == 0 {
			step = 1
		}
		left := burst
		for s := oldest + (groupSlots-oldest%groupSlots)%groupSlots; s <= a.cur; s += step {
			left += rate * float64(step)
			for i := s; i < min(s+step, a.cur+1); i++ {
				n := a.offeredIn(z, ringIndex(i))
				if z == 0 {
					n += a.own.offered[ringIndex(i)]
				}
				if left -= n; i > a.cur-demandSlots {
					near += n
				}
			}
			busy = busy || left < 0 && s > a.cur-2*groupSlots
			left = min(left, burst)
		}
	}
	if !busy {
		return 0
	}
	return max(near, 1e-9) / max(a.limit.Rate*demandSlots*l.slot.Seconds(), 1e-9)
}

// hidden reports whether the relay of a zone has not reported the account within the window.
func (u *zoneUsage) hidden(a *fleetAccount) bool { return u.newest <= a.cur-ringSlots }

// seldom reports whether the relay of a zone reports the account seldom, and how long ago it
// last did.
func (u *zoneUsage) seldom(now time.Time) (age time.Duration, seldom bool) {
	age = now.Sub(u.heardAt)
	return age, age >= overdueAge && age <= maxZoneReportAge+silenceGrace
}

// lastRate returns the rate of usage or demand by the last report of an account that is
// reported seldom: in the last whole group of slots and the one after it.
func (u *zoneUsage) lastRate(sum *[ringSlots]float64, l *FleetLimiter) float64 {
	group, whole, part := u.newest-u.newest%groupSlots, 0.0, 0.0
	for i := range int64(groupSlots) {
		whole += sum[ringIndex(group-groupSlots+i)]
		part += sum[ringIndex(group+i)]
	}
	seconds := groupSlots * l.slot.Seconds()
	passed := u.heardAt.Sub(time.Unix(0, group*int64(l.slot))) - reportDelay/2
	return (whole + part) / (seconds + min(seconds, max(passed.Seconds(), 0)))
}
