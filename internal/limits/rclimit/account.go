package rclimit

import (
	"math"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

const (
	// demandWindow is the time constant of the moving average of an account's demand.
	demandWindow = 5 * time.Second
	// burst is the capacity of the rate limits' token buckets, as the time in which
	// they fill up.
	burst = time.Second
	// idleTimeout is the time after which the state of an idle account is removed.
	idleTimeout = time.Minute
)

// waiter is a request that waits for admission.
type waiter struct {
	cost      float64
	deadline  time.Time     // Zero means no deadline.
	done      chan struct{} // Closed when the request is admitted or refused.
	err       error         // Set if the request is refused.
	startedAt time.Time
}

// account is the state of one client account. It is guarded by Limiter.mu.
type account struct {
	id        radishcrank.ClientAccountID
	settings  rcconfig.Settings
	weight    float64 // Weight in the fair queue.
	queue     []*waiter
	running   int
	finishTag float64 // Virtual finish time of the account's last admitted request.
	demand    average
	published float64 // Demand last sent to the peers.
	split     split
	tokens    bucket
	requests  bucket
	usedAt    time.Time
}

// accountLocked returns the state of an account, with updated settings and weight,
// and creates it if necessary.
func (l *Limiter) accountLocked(id radishcrank.ClientAccountID, s rcconfig.Settings) *account {
	now := time.Now()
	a, ok := l.accounts[id]
	if !ok {
		a = &account{id: id, demand: average{at: now}, tokens: newBucket(now), requests: newBucket(now)}
		l.accounts[id] = a
	}
	a.settings, a.usedAt = s, now
	if a.weight = l.cfg.Weight(id); a.weight <= 0 {
		a.weight = 1
	}
	return a
}

// virtualTime returns the virtual duration of a request with the given cost.
func (a *account) virtualTime(cost float64) float64 { return cost / a.weight }

// sweepLocked removes the state of idle accounts. Their average demand has decayed
// by then.
func (l *Limiter) sweepLocked(now time.Time) {
	if now.Sub(l.sweptAt) < idleTimeout {
		return
	}
	l.sweptAt = now
	for id, a := range l.accounts {
		if a.running == 0 && len(a.queue) == 0 && now.Sub(a.usedAt) > idleTimeout {
			delete(l.accounts, id)
			l.cfg.Board.Accounts.Delete(id)
		}
	}
}

// addDemand adds a request to the account's demand, regardless of its admission.
func (a *account) addDemand(cost float64, now time.Time) { a.demand.add(cost, now) }

// adjustUsage charges the difference between the actual and the estimated usage.
func (a *account) adjustUsage(difference float64) {
	a.tokens.balance -= difference
	a.finishTag += a.virtualTime(difference)
}

// bucket is a token bucket whose rate may change at any time. The balance can become
// negative, because a full bucket admits a request of any cost; later requests then
// wait until the balance has recovered.
type bucket struct {
	balance float64
	at      time.Time
	initial bool // Set until the first refill, which fills the bucket completely.
}

func newBucket(now time.Time) bucket { return bucket{at: now, initial: true} }

// refill adds the tokens accrued since the last refill at a rate per second, up to
// the burst.
func (b *bucket) refill(rate float64, now time.Time) {
	capacity := rate * burst.Seconds()
	b.balance = min(capacity, b.balance+rate*now.Sub(b.at).Seconds())
	if b.initial {
		b.balance, b.initial = capacity, false
	}
	b.at = now
}

// wait returns the time until amount can be taken from the bucket. An amount above
// the burst needs only a full bucket.
func (b *bucket) wait(amount, rate float64) time.Duration {
	need := min(amount, rate*burst.Seconds()) - b.balance
	if need <= 0 {
		return 0
	}
	if rate <= 0 {
		return math.MaxInt64
	}
	seconds := need / rate
	if seconds > idleTimeout.Seconds()*idleTimeout.Seconds() {
		return math.MaxInt64
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// average is an exponentially weighted moving average of a rate per second.
type average struct {
	value float64
	at    time.Time
}

func (a *average) add(amount float64, now time.Time) {
	a.value = a.rate(now) + amount/demandWindow.Seconds()
	a.at = now
}

func (a *average) rate(now time.Time) float64 {
	return a.value * math.Exp(-now.Sub(a.at).Seconds()/demandWindow.Seconds())
}
