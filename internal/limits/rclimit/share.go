package rclimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

// Demands of accounts in tokens a second.
type Demands map[radishcrank.ClientAccountID]float64

// peerWindow is the time after which a peer's demand no longer counts. Peers
// send theirs every second; five may be lost in a row.
const peerWindow = 5 * time.Second

// minDemand is the demand below which an account counts as without demand. It
// keeps what is left of an old demand out of the messages to peers.
const minDemand = 1e-9

type peerDemand struct {
	demands Demands
	at      time.Time
}

// LocalDemands returns this instance's own demands of the accounts that have a limit,
// to be sent to all peers. It is called once a second.
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
		if rate := a.demand.rate(now); rate > minDemand && limited(a.settings) {
			a.published = rate
			out[id] = rate
		}
	}
	l.publishedAt = now
	l.splits++
	return out
}

func limited(s rcconfig.Settings) bool {
	return s.TokensPerSecond > 0 || s.RequestsPerSecond > 0 || s.Concurrency > 0
}

// SetPeerDemands takes in the demands that a peer sent, and keeps the map.
// Waiting requests gain from a larger share at their next review.
func (l *Limiter) SetPeerDemands(from radishcrank.InstanceID, demands Demands) {
	if from == l.cfg.Instance {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[from] = peerDemand{demands: demands, at: time.Now()}
	l.splits++
}

// splitLife is the time for which a split is used again. It bounds the cost of
// the many predictions while requests wait; a demand changes within seconds.
const splitLife = 100 * time.Millisecond

// split is how the instances that hear each other divide an account's limits.
type split struct {
	number   uint64 // Of the inputs that it was computed from.
	at       time.Time
	members  []member
	fraction float64 // Own part of the group's limit.
}

func (l *Limiter) splitLocked(a *account, now time.Time) *split {
	s := &a.split
	if s.number == l.splits && !s.at.IsZero() && now.Sub(s.at) < splitLife {
		return s
	}
	members := l.membersLocked(a, now)
	total := 0.0
	for _, m := range members {
		total += m.demand
	}
	*s = split{number: l.splits, at: now, members: members, fraction: members[0].demand / total}
	return s
}

// ownDemandLocked returns the demand that peers know of this instance, so that
// all compute the shares from the same numbers. A demand that is newer than the
// last message counts as it is.
func (l *Limiter) ownDemandLocked(a *account, now time.Time) float64 {
	if a.published > 0 && now.Sub(l.publishedAt) <= peerWindow {
		return a.published
	}
	if rate := a.demand.rate(now); rate > minDemand {
		return rate
	}
	return 0
}

// member is one instance's part in the split of a limit.
type member struct {
	id     radishcrank.InstanceID
	demand float64
}

// membersLocked returns this instance and the peers heard of in the last window.
func (l *Limiter) membersLocked(a *account, now time.Time) []member {
	members := []member{{l.cfg.Instance, l.ownDemandLocked(a, now)}}
	for id, p := range l.peers {
		if now.Sub(p.at) <= peerWindow {
			members = append(members, member{id, max(0, p.demands[a.id])})
		}
	}
	if !slices.ContainsFunc(members, func(m member) bool { return m.demand > 0 }) {
		// Without any demand the split is even.
		for i := range members {
			members[i].demand = 1
		}
	}
	return members
}

// overshoot returns the account's OvershootFactor.
func (l *Limiter) overshoot(a *account) float64 {
	if a.settings.OvershootFactor > 0 {
		return a.settings.OvershootFactor
	}
	return l.cfg.OvershootFactor
}

// groupLimit returns what the instances that hear each other may use together
// of a fleet-wide limit. With all N instances it is the limit. A group of g gets
// the part OvershootFactor × g/N of it, and at most all, so that the groups of
// any partition get at most OvershootFactor times the limit together. An
// instance that hears nobody gets 1/N.
func (l *Limiter) groupLimit(limit, overshoot float64, heard int) float64 {
	instances := max(l.cfg.Instances(), heard, 1)
	if heard == 1 {
		return limit / float64(instances)
	}
	return limit * min(1, overshoot*float64(heard)/float64(instances))
}

// shareLocked returns this instance's share of a fleet-wide rate limit.
func (l *Limiter) shareLocked(a *account, limit float64, now time.Time) float64 {
	s := l.splitLocked(a, now)
	return l.groupLimit(limit, l.overshoot(a), len(s.members)) * s.fraction
}

// concurrencyShareLocked returns how many requests of the account may run here,
// or -1 without a limit. The group's limit is split by the largest remainder, so
// that the whole numbers of its members add up to no more than the limit.
func (l *Limiter) concurrencyShareLocked(a *account, now time.Time) int {
	if a.settings.Concurrency <= 0 {
		return -1
	}
	s := l.splitLocked(a, now)
	if len(s.members) == 1 && l.cfg.Instances() > 1 {
		return l.loneShare(a.settings.Concurrency, l.overshoot(a))
	}
	limit := l.groupLimit(float64(a.settings.Concurrency), l.overshoot(a), len(s.members))
	return largestRemainder(slices.Clone(s.members), int(limit), l.cfg.Instance)
}

// loneShare is the part of a concurrency limit for an instance that hears
// nobody: the limit / N. Below 1 the instance may still run one request if that
// keeps all N within the overshoot.
func (l *Limiter) loneShare(limit int, overshoot float64) int {
	instances := l.cfg.Instances()
	if share := limit / instances; share > 0 {
		return share
	}
	if float64(instances) <= overshoot*float64(limit) {
		return 1
	}
	return 0
}

// largestRemainder returns the part of own in the split of total by demand.
func largestRemainder(members []member, total int, own radishcrank.InstanceID) int {
	// All instances add up in one order, so that rounding is the same for all.
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
