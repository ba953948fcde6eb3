package rclimit

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
)

// FleetLimiter limits the rate of client accounts over all instances together. Every
// instance keeps the usage of the whole fleet, from its own admissions and the reports
// of the others, and decides alone. It does no I/O and reads no clock.
//
// Usage is counted in slots of time. A report holds the absolute usage within a slot, so
// that one that arrives twice or again through another relay is not counted twice.

const (
	// windowSlots is the number of slots of a window, and ringSlots those that are kept:
	// a window, and some for reports that arrive late.
	windowSlots = 32
	ringSlots   = 40
	// demandSlots is the number of slots over which demand is measured. demandDelay is
	// after how many slots the reports on one are complete.
	demandSlots = 4
	demandDelay = 2
	// defaultWindow is the default of FleetBounds.Window.
	defaultWindow = 8 * time.Second
	// silenceGrace is how long an instance or zone may send nothing before it counts as
	// partitioned. Through two relays reports are 0.2 to 0.5 s old.
	silenceGrace = 1000 * time.Millisecond
	// overdueAge is the age of reports from which on instances may use less of what is left in
	// a bucket, down to their share at silenceGrace.
	overdueAge = 500 * time.Millisecond
	// equalShareDelay is how long after silenceGrace the share of demand that silent
	// instances had is replaced by an equal share, which a fleet agrees on without
	// messages. equalSharePart is the part that is equal from the beginning.
	equalShareDelay = 4 * time.Second
	equalSharePart  = 0.2
	// shareInterval is how often the shares of an account are computed.
	shareInterval = 100 * time.Millisecond
	// reserveFraction is the fraction of the permitted excess by which the bucket may be
	// overdrawn in regular operation. The rest covers what instances admit before they
	// hear of each other.
	reserveFraction = 0.2
	// windowMargin is the fraction of the bound on a window that is kept for what instances
	// admitted after their last report, before they fell silent.
	windowMargin = 0.05
	// assumedInstances is the number of instances by which limits are divided until the others
	// are known: that of the largest fleet. If all instances restart at once, each would
	// otherwise admit as much as the whole fleet.
	assumedInstances = 370
	// ampleFraction is the fraction of the burst above which all requests are admitted.
	ampleFraction = 0.5
	// reportDelay is how long it takes until instances have heard what another one admitted.
	reportDelay = 500 * time.Millisecond
	// drainTime is the time over which what is left in the bucket is spread.
	drainTime = time.Second
)

// AccountKey names an account in reports. Two accounts whose keys collide share their
// limits: among 3,000 accounts any two collide with a probability of 1 in 1,000.
type AccountKey uint32

// KeyOfAccount returns the key of an account whose limit counts tokens, or requests. What was
// used in another unit does not count after the unit of a limit has changed.
func KeyOfAccount(id radishcrank.ClientAccountID, tokens bool) AccountKey {
	key := AccountKey(xxhash.Sum64String(string(id)) >> 32)
	if !tokens {
		key = ^key
	}
	return key
}

// FleetRate is the limit of an account: cost per second and cost that may be used at once.
type FleetRate struct {
	Rate, Burst float64
}

// FleetBounds are the bounds within which a limit may be exceeded: in no window more than
// (rate × Window + burst) × (1 + Over) + Slack.
type FleetBounds struct {
	Window      time.Duration
	Over, Slack float64
}

// FleetConfig configures a FleetLimiter.
type FleetConfig struct {
	Instance radishcrank.InstanceID
	Zone     radishcrank.AvailabilityZone
	Process  int64 // Distinguishes the processes of an instance.
	Bounds   FleetBounds
	// Random returns numbers in [0, 1).
	Random func() float64
}

// FleetInstance is a registered instance.
type FleetInstance struct {
	ID   radishcrank.InstanceID
	Zone radishcrank.AvailabilityZone
}

// FleetLimiter is safe for concurrent use.
type FleetLimiter struct {
	cfg  FleetConfig
	slot time.Duration

	mu              sync.Mutex
	classes         classes // Of all accounts with a limit.
	limits          map[AccountKey]FleetRate
	accounts        map[AccountKey]*fleetAccount
	zones           []*fleetZone // The first one is this instance's.
	peers           map[radishcrank.InstanceID]*fleetPeer
	total           int  // Registered instances.
	known           bool // They are known.
	assumed         int  // Number of instances by which limits are divided before.
	revision        uint64
	reports         uint64                       // Reports made.
	dirty           map[AccountKey]*fleetAccount // Accounts with changes that have no revision yet.
	sweptAt         int64
	refreshedAt     time.Time
	refreshedSilent int       // Silent instances at that time.
	started         int64     // First slot in which this instance knew of limits; buckets were empty then.
	lastHeard       time.Time // When all instances were last heard of.
	silentAt        time.Time // When the silence of zones was last computed.
}

// fleetZone is an availability zone.
type fleetZone struct {
	id          radishcrank.AvailabilityZone
	registered  int // Instances other than this one.
	relay       relayID
	relaySince  time.Time
	reportAt    time.Time
	reported    int // Instances whose usage is in the last report, other than this one.
	lastMembers int // Members of the last report.
	newest      reportNumber
	heardAt     time.Time     // Mean time of the last reports.
	silent      int           // Registered instances that were not heard of.
	silences    int           // Number of times that it has increased.
	silentFor   time.Duration // Time since silenceGrace passed.
	// silentSince is when the last one of them was heard of.
	silentSince time.Time
}

// reportNumber orders the reports that arrive through one instance.
type reportNumber struct {
	through radishcrank.InstanceID
	number  uint64
}

type relayID struct {
	instance radishcrank.InstanceID
	process  int64
}

// fleetPeer is another instance that reports its own usage to this one.
type fleetPeer struct {
	zone    int
	process int64
	since   time.Time // When the process was first heard of.
	heardAt time.Time
	relayAt time.Time // When it last reported as relay of its zone.
	newest  reportNumber
}

// NewFleetLimiter returns a FleetLimiter whose buckets are empty.
func NewFleetLimiter(cfg FleetConfig) *FleetLimiter {
	if cfg.Bounds.Window <= 0 {
		cfg.Bounds.Window = defaultWindow
	}
	l := &FleetLimiter{
		cfg: cfg, assumed: assumedInstances, slot: cfg.Bounds.Window / windowSlots, total: 1,
		accounts: map[AccountKey]*fleetAccount{}, peers: map[radishcrank.InstanceID]*fleetPeer{}, dirty: map[AccountKey]*fleetAccount{},
	}
	l.zoneLocked(cfg.Zone)
	return l
}

// zoneLocked returns the index of a zone.
func (l *FleetLimiter) zoneLocked(id radishcrank.AvailabilityZone) int {
	for i, z := range l.zones {
		if z.id == id {
			return i
		}
	}
	l.zones = append(l.zones, &fleetZone{id: id})
	return len(l.zones) - 1
}

// AssumeInstances sets the number of instances by which limits are divided until
// SetInstances is called; the default is assumedInstances.
func (l *FleetLimiter) AssumeInstances(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.assumed = n
}

// SetInstances sets the other registered instances.
func (l *FleetLimiter) SetInstances(others []FleetInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, z := range l.zones {
		z.registered = 0
	}
	for _, o := range others {
		l.zones[l.zoneLocked(o.Zone)].registered++
	}
	l.total, l.known = len(others)+1, true
}

// SetLimits sets the limits of all accounts. They hold from now on: a raised limit does not
// fill a bucket with what would have accrued before.
func (l *FleetLimiter) SetLimits(limits map[AccountKey]FleetRate, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startLocked(now)
	l.limits = limits
	for key, a := range l.accounts {
		l.rollLocked(a, now)
		a.setLimit(l, limits[key])
	}
}

// Decision is the result of FleetLimiter.Admit.
type Decision struct {
	Admitted bool
	Wait     time.Duration // Of a rejected request: the time until the account's bucket admits it.
	Silent   float64       // Share of the limit that is left to instances that are not heard of.
	slot     int64
}

// Admit charges a request to an account and reports whether it may run. Of an account that
// asks for more than its limit, urgent requests are admitted before others. Requests of accounts
// without a limit may run.
func (l *FleetLimiter) Admit(key AccountKey, cost float64, urgent bool, now time.Time) (d Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startLocked(now)
	a := l.accountLocked(key, now)
	l.rollLocked(a, now)
	limit := a.limit
	if limit.Rate <= 0 {
		return Decision{Admitted: true, slot: math.MinInt64}
	}
	k := ringIndex(a.cur)
	a.own.offered[k] += cost
	l.changedLocked(a, k)
	l.updateShares(a, now)

	p, left := l.fractionLocked(a, cost, now)
	l.classes.record(cost, urgent, now)
	p = l.classes.fraction(p, urgent)
	d = Decision{Silent: 1 - a.reachNow, slot: a.cur}
	if d.Admitted = p >= 1 || p > 0 && l.cfg.Random() < p; d.Admitted {
		a.own.used[k] += cost
		return d
	}
	need := ampleFraction*limit.Burst*a.reachNow - left.balance
	if left.window < cost {
		need = max(need, cost-left.window)
	}
	d.Wait = l.cfg.Bounds.Window
	if seconds := max(0, need) / max(limit.Rate*a.reachNow, 1e-9); seconds < d.Wait.Seconds() {
		d.Wait = time.Duration(seconds * float64(time.Second))
	}
	return d
}

// Inspect returns which fraction of the requests of a cost would be admitted now, and
// charges nothing. It is 1 for an account without a limit.
func (l *FleetLimiter) Inspect(key AccountKey, cost float64, urgent bool, now time.Time) (fraction float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[key]
	if a == nil || a.limit.Rate <= 0 {
		return 1
	}
	l.rollLocked(a, now)
	l.updateShares(a, now)
	p, _ := l.fractionLocked(a, cost, now)
	return max(0, min(1, l.classes.fraction(p, urgent)))
}

// remainder is what an account may still use: of its bucket, and in the window that ends now.
type remainder struct{ balance, window float64 }

// fractionLocked returns which fraction of the requests of a cost is admitted, and what the
// account has left.
func (l *FleetLimiter) fractionLocked(a *fleetAccount, cost float64, now time.Time) (p float64, left remainder) {
	limit := a.limit
	if !l.known {
		return l.unknownFraction(a, cost, now), remainder{}
	}
	balance, room := a.replay(l, now)
	room -= a.unreported
	available := balance - a.unreported
	if available > 0 {
		available *= 1 - a.overdue
	}
	available += l.reserve(limit) * a.reachNow
	silent := a.reachNow < 1
	rate := limit.Rate * a.reachNow
	p = 1.0
	demand := a.demand(l, now)
	if silent {
		// Many instances that are alone would each admit one request beyond their share.
		demand = max(demand, cost)
	}
	if silent || available < ampleFraction*limit.Burst {
		p = (rate + available/drainTime.Seconds()) / max(demand, 1e-9)
	}
	p = min(p, l.windowFraction(a, cost, demand, room))
	return p, remainder{available, room}
}

// unknownFraction returns the fraction of requests that is admitted while the other instances
// are not known: what an equal part of the limit allows since the start. A request that
// costs more than that is admitted in proportion, so that the sum over instances is right.
func (l *FleetLimiter) unknownFraction(a *fleetAccount, cost float64, now time.Time) float64 {
	used := 0.0
	for _, n := range a.own.used {
		used += n
	}
	since := now.Sub(time.Unix(0, l.started*int64(l.slot)))
	return (a.limit.Rate*a.reachNow*max(0, since.Seconds()) - used) / max(cost, 1e-9)
}

// windowFraction returns the fraction of requests that what is left in the window allows.
// All instances heard of decide by the same, until they hear what the others admitted.
func (l *FleetLimiter) windowFraction(a *fleetAccount, cost, demand, room float64) float64 {
	if a.bound(&l.cfg.Bounds)*a.reachNow < cost && a.reachNow < 1 {
		return reserveFraction * room / cost // Instances that are alone could never admit it.
	}
	if room < cost {
		return 0
	}
	return room / max(demand*reportDelay.Seconds(), cost)
}

// Used returns what all instances have used of an account in the last window, by what they
// have reported to this one.
func (l *FleetLimiter) Used(key AccountKey, now time.Time) (n float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[key]
	if a == nil {
		return 0
	}
	l.rollLocked(a, now)
	for s := a.cur - windowSlots; s <= a.cur; s++ {
		k := ringIndex(s)
		n += a.own.used[k]
		for z := range a.zones {
			n += a.usedIn(z, k)
		}
	}
	return n
}

// Refund takes back the charge of a request that has not run.
func (l *FleetLimiter) Refund(key AccountKey, cost float64, d Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[key]
	if a == nil || !d.Admitted || d.slot <= a.cur-ringSlots {
		return // The charge is older than a window.
	}
	k := ringIndex(d.slot)
	a.own.used[k] = max(0, a.own.used[k]-cost)
	a.own.offered[k] = max(a.own.used[k], a.own.offered[k]-cost)
	l.changedLocked(a, k)
}

// changedLocked records a change of this instance's usage in a slot.
func (l *FleetLimiter) changedLocked(a *fleetAccount, k int64) {
	a.ownChanged |= 1 << k
	a.zoneChanged |= 1 << k
	l.dirty[a.key] = a
}
