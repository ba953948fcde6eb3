// Package rcretry limits the load that the router adds to failing upstreams, with
// retry budgets, backoff with full jitter, a hedging budget and circuit breakers.
package rcretry

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// Settings configures a Retrier. Zero fields take the values of DefaultSettings.
type Settings struct {
	RetryRatio          float64       // Retries per request. Default 0.1.
	MinRetriesPerSecond float64       // Retries per second that are allowed at any load. Default 1.
	RetryBurst          float64       // Maximum of accumulated retries. Default 20, more than the batch of one engine.
	HedgeRatio          float64       // Hedged requests per request. Default 0.05.
	HedgeBurst          float64       // Maximum of accumulated hedged requests. Default 5.
	BackoffBase         time.Duration // Maximum backoff before the first retry. Default 20 ms.
	MaxBackoff          time.Duration // Maximum backoff before any retry. Default 1 s.
	FailureThreshold    int           // Consecutive failures that open a circuit breaker. Default 3.
	OpenDuration        time.Duration // Initial duration of the open state; it doubles with each failed probe. Default 1 s.
	MaxOpenDuration     time.Duration // Maximum duration of the open state. Default 30 s.
	SlowStart           time.Duration // Time from the first success after the open state to full weight. Default 10 s.
	MinimumWeight       float64       // Weight in the half-open state and at the start of slow start. Default 0.05.
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		RetryRatio:          0.1,
		MinRetriesPerSecond: 1,
		RetryBurst:          20,
		HedgeRatio:          0.05,
		HedgeBurst:          5,
		BackoffBase:         20 * time.Millisecond,
		MaxBackoff:          time.Second,
		FailureThreshold:    3,
		OpenDuration:        time.Second,
		MaxOpenDuration:     30 * time.Second,
		SlowStart:           10 * time.Second,
		MinimumWeight:       0.05,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	s.RetryRatio = cmp.Or(s.RetryRatio, d.RetryRatio)
	s.MinRetriesPerSecond = cmp.Or(s.MinRetriesPerSecond, d.MinRetriesPerSecond)
	s.RetryBurst = cmp.Or(s.RetryBurst, d.RetryBurst)
	s.HedgeRatio = cmp.Or(s.HedgeRatio, d.HedgeRatio)
	s.HedgeBurst = cmp.Or(s.HedgeBurst, d.HedgeBurst)
	s.BackoffBase = cmp.Or(s.BackoffBase, d.BackoffBase)
	s.MaxBackoff = cmp.Or(s.MaxBackoff, d.MaxBackoff)
	s.FailureThreshold = cmp.Or(s.FailureThreshold, d.FailureThreshold)
	s.OpenDuration = cmp.Or(s.OpenDuration, d.OpenDuration)
	s.MaxOpenDuration = cmp.Or(s.MaxOpenDuration, d.MaxOpenDuration)
	s.SlowStart = cmp.Or(s.SlowStart, d.SlowStart)
	s.MinimumWeight = cmp.Or(s.MinimumWeight, d.MinimumWeight)
	return s
}

// Config configures a Retrier.
type Config struct {
	Board    *rcboard.Board
	Settings func() Settings // Nil means DefaultSettings.
}

// pruneInterval is the time between removals of breakers of unknown upstreams and
// of unused budgets.
const pruneInterval = time.Minute

// Retrier implements rcrelay.Retrier. It is safe for concurrent use.
type Retrier struct {
	cfg Config

	mu        sync.Mutex
	accounts  map[radishcrank.ClientAccountID]*budget
	upstreams map[radishcrank.UpstreamID]*budget
	breakers  map[radishcrank.UpstreamID]*breaker
	hedges    budget
	prunedAt  time.Time
}

// New returns a Retrier.
func New(cfg Config) *Retrier {
	if cfg.Settings == nil {
		cfg.Settings = DefaultSettings
	}
	now := time.Now()
	return &Retrier{
		cfg:       cfg,
		accounts:  make(map[radishcrank.ClientAccountID]*budget),
		upstreams: make(map[radishcrank.UpstreamID]*budget),
		breakers:  make(map[radishcrank.UpstreamID]*breaker),
		hedges:    budget{balance: 1, refilledAt: now},
		prunedAt:  now,
	}
}

func (r *Retrier) settings() Settings { return r.cfg.Settings().withDefaults() }

// RecordDispatch records the first attempt of a request, which adds to the budgets.
func (r *Retrier) RecordDispatch(account radishcrank.ClientAccountID, upstream radishcrank.UpstreamID) {
	s := r.settings()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pruneLocked(now)
	budgetFor(r.accounts, account, s, now).add(s.RetryRatio, s.RetryBurst)
	budgetFor(r.upstreams, upstream, s, now).add(s.RetryRatio, s.RetryBurst)
	r.hedges.add(s.HedgeRatio, s.HedgeBurst)
	r.breakerLocked(upstream).startAttempt()
}

// AllowRetry takes one retry from the budgets of the account and the upstream. If one of
// them is exhausted, it takes nothing and returns false.
func (r *Retrier) AllowRetry(account radishcrank.ClientAccountID, upstream radishcrank.UpstreamID) bool {
	s := r.settings()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	a, u := budgetFor(r.accounts, account, s, now), budgetFor(r.upstreams, upstream, s, now)
	a.refill(s, now)
	u.refill(s, now)
	if a.balance < 1 || u.balance < 1 {
		return false
	}
	a.balance--
	u.balance--
	r.breakerLocked(upstream).startAttempt()
	return true
}

// AllowHedge takes one hedged request from the hedging budget. It returns false if the
// budget is exhausted.
func (r *Retrier) AllowHedge() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hedges.balance < 1 {
		return false
	}
	r.hedges.balance--
	return true
}

// Backoff returns the delay before retry n, counted from 0. The delay is random
// between 0 and a bound that doubles with each retry (full jitter), so that
// requests interrupted by the same crash are not retried simultaneously.
func (r *Retrier) Backoff(n int) time.Duration {
	s := r.settings()
	bound := s.BackoffBase
	for range n {
		if bound >= s.MaxBackoff {
			break
		}
		bound *= 2
	}
	return rand.N(min(bound, s.MaxBackoff) + 1)
}

// pruneLocked removes budgets from which no retry was requested for pruneInterval,
// and breakers of upstreams that left the fleet.
func (r *Retrier) pruneLocked(now time.Time) {
	if now.Sub(r.prunedAt) < pruneInterval {
		return
	}
	r.prunedAt = now
	for id, b := range r.accounts {
		if now.Sub(b.refilledAt) > pruneInterval {
			delete(r.accounts, id)
		}
	}
	known := r.cfg.Board.Upstreams.Snapshot()
	for id, b := range r.upstreams {
		if now.Sub(b.refilledAt) > pruneInterval {
			delete(r.upstreams, id)
		}
	}
	for id, b := range r.breakers {
		if _, ok := known[id]; !ok && b.inFlight == 0 {
			delete(r.breakers, id)
			r.cfg.Board.Breakers.Delete(id)
		}
	}
}

// budget is a token bucket that is filled by requests and drained by retries.
type budget struct {
	balance    float64
	refilledAt time.Time
}

// budgetFor returns the budget of a key and creates it if necessary.
func budgetFor[K comparable](budgets map[K]*budget, key K, s Settings, now time.Time) *budget {
	b, ok := budgets[key]
	if !ok {
		// A new budget starts with half of the burst, so that requests can be
		// retried if an engine crashes soon after a restart of this instance.
		b = &budget{balance: s.RetryBurst / 2, refilledAt: now}
		budgets[key] = b
	}
	return b
}

func (b *budget) add(amount, burst float64) { b.balance = min(b.balance+amount, burst) }

// refill adds the guaranteed retries accrued since the last refill.
func (b *budget) refill(s Settings, now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	b.refilledAt = now
	b.add(elapsed*s.MinRetriesPerSecond, s.RetryBurst)
}
