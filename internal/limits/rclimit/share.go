package rclimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

// Demands maps accounts to their demands in tokens per second.
type Demands map[radishcrank.ClientAccountID]float64

// peerWindow is the time after which a peer's demands are ignored. Peers send them
// every 2 s, so that a single lost message has no effect.
const peerWindow = 5 * time.Second

// minDemand is the rate up to which a demand counts as zero. It keeps demands that
// have decayed out of the messages to peers.
const minDemand = 1e-9

type peerDemand struct {
	demands Demands
	at      time.Time
}

// LocalDemands returns the demands of the limited accounts on this instance, to be
// sent to all peers. It is called every 2 s.
func (l *Limiter) LocalDemands() Demands {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, p := range l.peers {
		if now.Sub(p.at) > peerWindow {
			delete(l.peers, id)
		}
	}
	out := make(Demands)
	for id, a := range l.accounts {
		a.published = 0
		if rate := a.demand.rate(now); rate > minDemand && hasLimit(a.settings) {
			a.published = rate
			out[id] = rate
		}
	}
	l.publishedAt = now
	l.inputRevision++
	return out
}

// hasLimit reports whether the settings contain a fleet-wide limit.
func hasLimit(s rcconfig.Settings) bool {
	return s.TokensPerSecond > 0 || s.RequestsPerSecond > 0 || s.Concurrency > 0
}

// SetPeerDemands sets the demands of a peer. It retains the map. A larger share of
// this instance takes effect for waiting requests at their next review.
func (l *Limiter) SetPeerDemands(from radishcrank.InstanceID, demands Demands) {
	if from == l.cfg.Instance {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[from] = peerDemand{demands: demands, at: time.Now()}
	l.inputRevision++
}

// splitTTL is how long a computed split is reused. It limits the cost of the many
// wait predictions while requests are queued. Demands change more slowly, within
// seconds.
const splitTTL = 100 * time.Millisecond

// split is the division of an account's limits between the instances of a group.
// The group consists of the instances that receive each other's demands.
type split struct {
	revision uint64 // Value of Limiter.inputRevision at the computation.
	at       time.Time
	members  []member
	fraction float64 // This instance's fraction of the group's limit.
}

// splitLocked returns the account's split, computed at most splitTTL ago.
func (l *Limiter) splitLocked(a *account, now time.Time) *split {
	s := &a.split
	if s.revision == l.inputRevision && !s.at.IsZero() && now.Sub(s.at) < splitTTL {
		return s
	}
	members := l.membersLocked(a, now)
	total := 0.0
	for _, m := range members {
		total += m.demand
	}
	*s = split{revision: l.inputRevision, at: now, members: members, fraction: members[0].demand / total}
	return s
}

// ownDemandLocked returns this instance's demand of an account as last published to
// the peers, so that all instances compute the shares from the same numbers. A
// demand that was not published yet is returned with its current value.
func (l *Limiter) ownDemandLocked(a *account, now time.Time) float64 {
	if a.published > 0 && now.Sub(l.publishedAt) <= peerWindow {
		return a.published
	}
	if rate := a.demand.rate(now); rate > minDemand {
		return rate
	}
	return 0
}

// member is an instance with its demand in a split.
type member struct {
	id     radishcrank.InstanceID
	demand float64
}

// membersLocked returns this instance, which is the first element, and the peers
// whose demands arrived within peerWindow.
func (l *Limiter) membersLocked(a *account, now time.Time) []member {
	members := []member{{l.cfg.Instance, l.ownDemandLocked(a, now)}}
	for id, p := range l.peers {
		if now.Sub(p.at) <= peerWindow {
			members = append(members, member{id, max(0, p.demands[a.id])})
		}
	}
	if !slices.ContainsFunc(members, func(m member) bool { return m.demand > 0 }) {
		// Without any demand the limit is split evenly.
		for i := range members {
			members[i].demand = 1
		}
	}
	return members
}

// overshootFactor returns the OvershootFactor that applies to an account.
func (l *Limiter) overshootFactor(a *account) float64 {
	if a.settings.OvershootFactor > 0 {
		return a.settings.OvershootFactor
	}
	return l.cfg.OvershootFactor
}

// groupLimit returns the part of a fleet-wide limit that a group of groupSize
// instances may use together. A group of g out of N instances gets
// OvershootFactor × g/N of the limit, but no more than the limit. In any network
// partition all groups together therefore get at most OvershootFactor times the
// limit. A group of all N instances gets the limit. An instance that receives no
// demands from peers gets 1/N.
func (l *Limiter) groupLimit(limit, overshoot float64, groupSize int) float64 {
	instances := max(l.cfg.Instances(), groupSize, 1)
	if groupSize == 1 {
		return limit / float64(instances)
	}
	return limit * min(1, overshoot*float64(groupSize)/float64(instances))
}

// rateShareLocked returns this instance's share of a fleet-wide rate limit.
func (l *Limiter) rateShareLocked(a *account, limit float64, now time.Time) float64 {
	s := l.splitLocked(a, now)
	return l.groupLimit(limit, l.overshootFactor(a), len(s.members)) * s.fraction
}

// concurrencyShareLocked returns the maximum number of concurrent requests of the
// account on this instance, or -1 if there is no limit. The group's limit is split
// by the largest remainder method, so that the integer shares of the members add up
// to no more than the limit.
func (l *Limiter) concurrencyShareLocked(a *account, now time.Time) int {
	if a.settings.Concurrency <= 0 {
		return -1
	}
	s := l.splitLocked(a, now)
	if len(s.members) == 1 && l.cfg.Instances() > 1 {
		return l.isolatedShare(a.settings.Concurrency, l.overshootFactor(a))
	}
	limit := l.groupLimit(float64(a.settings.Concurrency), l.overshootFactor(a), len(s.members))
	return largestRemainder(slices.Clone(s.members), int(limit), l.cfg.Instance)
}

// isolatedShare returns the share of a concurrency limit for an instance that
// receives no demands from peers: the limit divided by the number of instances N.
// If that is below 1, the share is 1 as long as N does not exceed the overshoot
// factor times the limit.
func (l *Limiter) isolatedShare(limit int, overshoot float64) int {
	instances := l.cfg.Instances()
	if share := limit / instances; share > 0 {
		return share
	}
	if float64(instances) <= overshoot*float64(limit) {
		return 1
	}
	return 0
}

// largestRemainder splits total in proportion to demand by the largest remainder
// method and returns the part of the instance with the ID own.
func largestRemainder(members []member, total int, own radishcrank.InstanceID) int {
	// All instances sum in the same order, so that rounding errors are identical.
	slices.SortFunc(members, func(a, b member) int { return cmp.Compare(a.id, b.id) })
	sum := 0.0
	for _, m := range members {
		sum += m.demand
	}
	parts := make(map[radishcrank.InstanceID]int, len(members))
	left := total
	for _, m := range members {
		parts[m.id] = int(math.Floor(float64(total) * m.demand / sum))
		left -= parts[m.id]
	}
	remainder := func(m member) float64 { return float64(total)*m.demand/sum - float64(parts[m.id]) }
	slices.SortFunc(members, func(a, b member) int {
		return cmp.Or(cmp.Compare(remainder(b), remainder(a)), cmp.Compare(a.id, b.id))
	})
	for _, m := range members {
		if left <= 0 {
			break
		}
		parts[m.id]++
		left--
	}
	return parts[own]
}
