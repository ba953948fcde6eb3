package rcinstance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rclimit"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/routing/rcroute"
	"github.com/radishcrank/radishcrank/platform"
)

// usageHeartbeat is how often a relay reports the usage of its zone if nothing has
// changed: instances that do not hear of a zone use only their share of a limit.
const usageHeartbeat = 250 * time.Millisecond

// usageLink is what has been reported to another instance.
type usageLink struct {
	sent   uint64 // Revision up to which it has been sent everything; 0 after a failed call.
	sentAt time.Time
}

// usageUpdate identifies an update with reports that several instances receive.
type usageUpdate struct {
	update *peerUpdate
	after  uint64
	kind   usageKind
}

// usageKind is what an instance reports to another one.
type usageKind int

const (
	ownUsage  usageKind = iota // Its own usage, to its relay or, in small fleets, to all.
	zoneUsage                  // That of its zone, from one relay to another.
	allUsage                   // That of all zones, from the relay to its zone.
)

func accountBounds(s *platform.Settings) rclimit.FleetBounds {
	return rclimit.FleetBounds{Window: s.QuotaWindow, Over: s.QuotaOver, Slack: s.QuotaSlack}
}

func newAccountLimiter(i *Instance) *rclimit.FleetLimiter {
	s := &i.settings
	return rclimit.NewFleetLimiter(rclimit.FleetConfig{
		Instance: radishcrank.InstanceID(s.Instance), Zone: radishcrank.AvailabilityZone(s.Zone), Process: i.startedAt.UnixMilli(),
		Bounds: accountBounds(s).Remaining(),
		Random: rand.Float64,
	})
}

// accountTime returns the time by which usage is counted, on which all instances agree.
func (i *Instance) accountTime() time.Time {
	if now := i.storeClock.Now(); !now.IsZero() {
		return now
	}
	return time.Now()
}

// setAccountLimits applies the limits of a configuration.
func (i *Instance) setAccountLimits(t *rcroute.Table) {
	if i.accountLimiter == nil {
		return
	}
	bounds, limits := accountBounds(&i.settings), map[rclimit.AccountKey]rclimit.FleetRate{}
	for _, a := range t.Accounts {
		if a.Limit.Limited() {
			limits[rclimit.KeyOfAccount(a.ID, a.Limit.Tokens)] = bounds.Raise(rclimit.FleetRate{Rate: a.Limit.Rate, Burst: a.Limit.Burst})
		}
	}
	i.accountLimiter.SetLimits(limits, i.accountTime())
}

// limitsAccounts reports whether any account has a rate limit.
func (i *Instance) limitsAccounts() bool {
	t := i.routes.Load()
	return i.accountLimiter != nil && t != nil && t.HasRateLimits()
}

// addUsageLocked adds reports of usage to updates. Instances that have been sent the same
// receive the same update, which is encoded once.
func (p *peerGroup) addUsageLocked(updates map[*peer]*peerUpdate, now time.Time) map[*peer]*peerUpdate {
	if !p.instance.limitsAccounts() {
		return updates
	}
	others := make([]rclimit.FleetInstance, 0, len(p.members))
	for _, m := range p.members {
		others = append(others, rclimit.FleetInstance{ID: radishcrank.InstanceID(m.Name), Zone: radishcrank.AvailabilityZone(m.Zone)})
	}
	limiter := p.instance.accountLimiter
	if p.membersRead {
		limiter.SetInstances(others)
	}
	limiter.Revise(p.instance.accountTime())
	with := map[usageUpdate]*peerUpdate{}
	out := make(map[*peer]*peerUpdate, len(updates))
	for to, update := range updates {
		key := usageUpdate{update: update, after: to.usage.sent, kind: p.usageKindLocked(to)}
		next, ok := with[key]
		if !ok {
			copied := *update
			next = &copied
			next.Usage = p.usageReports(key)
			with[key] = next
		}
		if !reportsUsage(next.Usage) && now.Sub(to.usage.sentAt) < usageHeartbeat {
			out[to] = update
			continue
		}
		to.usage = usageLink{sent: reportedUntil(next.Usage), sentAt: now}
		out[to] = next
	}
	return out
}

func (p *peerGroup) usageKindLocked(to *peer) usageKind {
	zone := p.instance.settings.Zone
	switch {
	case !p.usesRelaysLocked() || p.relayForLocked(zone) != nil:
		return ownUsage
	case to.Zone == zone:
		return allUsage
	}
	return zoneUsage
}

func (p *peerGroup) usageReports(key usageUpdate) []rclimit.UsageReport {
	limiter, now := p.instance.accountLimiter, p.instance.accountTime()
	switch key.kind {
	case ownUsage:
		return []rclimit.UsageReport{limiter.Own(key.after)}
	case zoneUsage:
		return []rclimit.UsageReport{limiter.Zone(key.after, now)}
	}
	return append(limiter.OtherZones(key.after, now), limiter.Zone(key.after, now))
}

func reportsUsage(reports []rclimit.UsageReport) bool {
	for _, r := range reports {
		if len(r.Entries) > 0 {
			return true
		}
	}
	return false
}

// reportedUntil returns the revision up to which all reports are complete.
func reportedUntil(reports []rclimit.UsageReport) uint64 {
	until := uint64(math.MaxUint64)
	for _, r := range reports {
		until = min(until, r.Until)
	}
	return until
}

// recordUsageLocked records whether reports have arrived. After a failed call everything
// is sent again; usage in reports is absolute, so that it is not counted twice.
func (p *peerGroup) recordUsageLocked(to *peer, update *peerUpdate, err error) {
	if p.instance.accountLimiter == nil || len(update.Usage) == 0 {
		return
	}
	if err != nil {
		to.usage.sent = 0
		return
	}
	if p.usesRelaysLocked() && update.Usage[0].Members == 0 {
		p.instance.accountLimiter.Confirm(update.Usage[0])
	}
}

// applyUsage merges the reports in an update.
func (p *peerGroup) applyUsage(from rcrpc.Identity, reports []rclimit.UsageReport) {
	if !p.instance.limitsAccounts() {
		return
	}
	now := p.instance.accountTime()
	p.instance.accountLimiter.Heard(from.Instance, from.Zone, now)
	for _, r := range reports {
		p.instance.accountLimiter.Merge(r, from.Instance, now)
	}
}
