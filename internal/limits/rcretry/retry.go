// Package rcretry bounds what the router adds to the load of broken upstreams:
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

// Settings are the values that an operator may change. A zero value stands for
// its default.
type Settings struct {
	RetryRatio          float64       // Retries for each request. Default 0.1.
	MinRetriesPerSecond float64       // Retries a second that are allowed whatever the load. Default 1.
	RetryBurst          float64       // Most retries saved up. Default 20, more than one engine's batch.
	HedgeRatio          float64       // Hedges for each request. Default 0.05.
	HedgeBurst          float64       // Most hedges saved up. Default 5.
	BackoffBase         time.Duration // Longest wait before the first retry. Default 20 ms.
	MaxBackoff          time.Duration // Longest wait before any retry. Default 1 s.
	FailureThreshold    int           // Consecutive faults that open a circuit breaker. Default 3.
	OpenDuration        time.Duration // First duration of the open state; it doubles with each failed probe. Default 1 s.
	MaxOpenDuration     time.Duration // Longest duration of the open state. Default 30 s.
	SlowStart           time.Duration // Time from the first success after it to full weight. Default 10 s.
	MinimumWeight       float64       // Weight in the half-open state and at the start of slow start. Default 0.05.
}

// DefaultSettings returns the built-in defaults.
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

// Config holds the parts that a Retrier works with.
type Config struct {
	Board    *rcboard.Board
	Settings func() Settings // Nil is the defaults.
}

// pruneInterval is the time between sweeps of the state of unknown upstreams and idle accounts.
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
		hedges:    budget{balance: 1, filledAt: now},
		prunedAt:  now,
	}
}

func (r *Retrier) settings() Settings { return r.cfg.Settings().withDefaults() }

// Dispatch counts a first attempt, which adds to the budgets.
func (r *Retrier) Dispatch(account radishcrank.ClientAccountID, upstream radishcrank.UpstreamID) {
	s := r.settings()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pruneLocked(now)
	budgetOf(r.accounts, account, s, now).add(s.RetryRatio, s.RetryBurst)
	budgetOf(r.upstreams, upstream, s, now).add(s.RetryRatio, s.RetryBurst)
	r.hedges.add(s.HedgeRatio, s.HedgeBurst)
	r.breakerLocked(upstream).begin()
}

// Retry takes one retry of account on upstream out of both budgets. It reports
// false, and takes nothing, if one of them is empty.
func (r *Retrier) Retry(account radishcrank.ClientAccountID, upstream radishcrank.UpstreamID) bool {
	s := r.settings()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	a, u := budgetOf(r.accounts, account, s, now), budgetOf(r.upstreams, upstream, s, now)
	a.refill(s, now)
	u.refill(s, now)
	if a.balance < 1 || u.balance < 1 {
		return false
	}
	a.balance--
	u.balance--
	r.breakerLocked(upstream).begin()
	return true
}

// Hedge takes one hedge out of its budget, or reports that it is empty.
func (r *Retrier) Hedge() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hedges.balance < 1 {
		return false
	}
	r.hedges.balance--
	return true
}

// Backoff returns the wait before retry n, counted from 0: a random part of a
// bound that doubles with each retry (full jitter), so that the requests that a
// crash has set back do not return together.
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

// pruneLocked drops the budgets that have nothing left to remember and the
// breakers of upstreams that left the fleet.
func (r *Retrier) pruneLocked(now time.Time) {
	if now.Sub(r.prunedAt) < pruneInterval {
		return
	}
	r.prunedAt = now
	for id, b := range r.accounts {
		if now.Sub(b.filledAt) > pruneInterval {
			delete(r.accounts, id)
		}
	}
	known := r.cfg.Board.Upstreams.Snapshot()
	for id, b := range r.upstreams {
		if now.Sub(b.filledAt) > pruneInterval {
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

// budget is a token bucket that requests fill and retries drain.
type budget struct {
	balance  float64
	filledAt time.Time
}

func budgetOf[K comparable](budgets map[K]*budget, key K, s Settings, now time.Time) *budget {
	b, ok := budgets[key]
	if !ok {
		// A new budget starts with half of the burst, so that a crash soon after
		// a restart of this instance can still be made good.
		b = &budget{balance: s.RetryBurst / 2, filledAt: now}
		budgets[key] = b
	}
	return b
}

func (b *budget) add(amount, burst float64) { b.balance = min(b.balance+amount, burst) }

// refill adds the floor that is due since the last time.
func (b *budget) refill(s Settings, now time.Time) {
	elapsed := now.Sub(b.filledAt).Seconds()
	b.filledAt = now
	b.add(elapsed*s.MinRetriesPerSecond, s.RetryBurst)
}
