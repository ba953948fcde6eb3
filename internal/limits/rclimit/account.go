package rclimit

import (
	"math"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

const (
	// demandWindow is the time constant of the average of an account's demand.
	demandWindow = 5 * time.Second
	// burst is the time of unused rate that an account may save up.
	burst = time.Second
	// forgetAfter is the time after which an account without work is forgotten.
	forgetAfter = time.Minute
)

// waiter is a request that waits for admission.
type waiter struct {
	cost      float64
	deadline  time.Time     // Zero is none.
	settled   chan struct{} // Closed when the request is admitted or refused.
	err       error         // Set if refused.
	startedAt time.Time
}

// account is the state of one client account. The Limiter's lock guards it.
type account struct {
	id        radishcrank.ClientAccountID
	settings  rcconfig.Settings
	weight    float64 // Share of the fair queue relative to other accounts.
	queue     []*waiter
	running   int
	finish    float64 // Virtual time up to which the account has used its turn.
	demand    average
	published float64 // Demand as last sent to the peers.
	split     split
	tokens    bucket
	requests  bucket
	usedAt    time.Time
}

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

// virtual returns the virtual time that a cost takes of the account's turn.
func (a *account) virtual(cost float64) float64 { return cost / a.weight }

// sweepLocked forgets accounts without work. Their demand has decayed by then.
func (l *Limiter) sweepLocked(now time.Time) {
	if now.Sub(l.sweptAt) < forgetAfter {
		return
	}
	l.sweptAt = now
	for id, a := range l.accounts {
		if a.running == 0 && len(a.queue) == 0 && now.Sub(a.usedAt) > forgetAfter {
			delete(l.accounts, id)
			l.cfg.Board.Accounts.Delete(id)
		}
	}
}

// offer adds a request to the account's demand, whether it is admitted or not.
func (a *account) offer(cost float64, now time.Time) { a.demand.add(cost, now) }

// correct charges the difference between real and assumed usage.
func (a *account) correct(difference float64) {
	a.tokens.balance -= difference
	a.finish += a.virtual(difference)
}

// bucket is a token bucket whose rate may change at any time. The balance may
// fall below zero, since the first request of a full bucket is admitted whatever
// its cost; later ones then wait until the debt is paid.
type bucket struct {
	balance float64
	at      time.Time
	fresh   bool // Nothing was taken yet; the first refill fills it.
}

func newBucket(now time.Time) bucket { return bucket{at: now, fresh: true} }

// refill adds what is due at a rate a second and cuts the balance to the burst.
func (b *bucket) refill(rate float64, now time.Time) {
	most := rate * burst.Seconds()
	b.balance = min(most, b.balance+rate*now.Sub(b.at).Seconds())
	if b.fresh {
		b.balance, b.fresh = most, false
	}
	b.at = now
}

// wait returns the time until amount can be taken.
func (b *bucket) wait(amount, rate float64) time.Duration {
	need := min(amount, rate*burst.Seconds()) - b.balance
	if need <= 0 {
		return 0
	}
	if rate <= 0 {
		return math.MaxInt64
	}
	seconds := need / rate
	if seconds > forgetAfter.Seconds()*forgetAfter.Seconds() {
		return math.MaxInt64
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// average is an exponentially weighted rate a second.
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
