// Package rclimit enforces the limits of client accounts and shares capacity
// between them fairly.
package rclimit

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

// Config holds the parts that a Limiter works with.
type Config struct {
	Board    *rcboard.Board
	Instance radishcrank.InstanceID // This instance, for the shares of fleet-wide limits.

	// Settings returns the settings of an account. Nil is the built-in defaults.
	Settings func(account radishcrank.ClientAccountID) rcconfig.Settings
	// Leaving reports whether an account's new work is refused. Nil is never.
	Leaving func(account radishcrank.ClientAccountID) bool
	// Weight returns an account's share of the fair queue relative to others. Nil
	// or a result of 0 is 1.
	Weight func(account radishcrank.ClientAccountID) float64
	// Capacity returns how many requests may run at once on this instance. Nil
	// or a result of 0 is no bound.
	Capacity func() int
	// Instances returns the number of instances in the last full view. Nil is 1.
	Instances func() int
	// OvershootFactor bounds the sum of the shares under a partition as a
	// multiple of the limit, for accounts whose settings do not. 0 is
	// DefaultOvershootFactor.
	OvershootFactor float64
}

// DefaultOvershootFactor is the default of Config.OvershootFactor.
const DefaultOvershootFactor = 2

const (
	// reviewInterval is the time between reviews of the waiting requests, some
	// of which have to be refused because others take longer than predicted.
	reviewInterval = 250 * time.Millisecond
	// firstHold is the assumed duration of a request before any has ended.
	firstHold = 500 * time.Millisecond
	// holdGain is the weight of the newest duration in the average.
	holdGain = 0.1
	// maxQueue bounds the queue of an account whose settings don't.
	maxQueue = 1024
	// maxRetryAfter bounds what refused callers are told to wait.
	maxRetryAfter = time.Minute
)

// Limiter implements radishcrank.Admitter. It is safe for concurrent use.
type Limiter struct {
	cfg Config

	mu          sync.Mutex
	accounts    map[radishcrank.ClientAccountID]*account
	queued      map[radishcrank.ClientAccountID]*account // Those with waiting requests.
	peers       map[radishcrank.InstanceID]peerDemand
	running     int
	waiting     int
	virtual     float64       // Virtual time of the fair queue: start tag of the last dispatch.
	hold        time.Duration // Average time that a request runs.
	timer       *time.Timer   // Next review; nil while nothing waits.
	sweptAt     time.Time
	publishedAt time.Time
	splits      uint64 // Counts changes of what shares are computed from.
}

// New returns a Limiter.
func New(cfg Config) *Limiter {
	if cfg.Settings == nil {
		cfg.Settings = func(radishcrank.ClientAccountID) rcconfig.Settings { return rcconfig.DefaultSettings() }
	}
	if cfg.Weight == nil {
		cfg.Weight = func(radishcrank.ClientAccountID) float64 { return 1 }
	}
	if cfg.Leaving == nil {
		cfg.Leaving = func(radishcrank.ClientAccountID) bool { return false }
	}
	if cfg.Capacity == nil {
		cfg.Capacity = func() int { return 0 }
	}
	if cfg.Instances == nil {
		cfg.Instances = func() int { return 1 }
	}
	if cfg.OvershootFactor == 0 {
		cfg.OvershootFactor = DefaultOvershootFactor
	}
	return &Limiter{
		cfg:      cfg,
		accounts: make(map[radishcrank.ClientAccountID]*account),
		queued:   make(map[radishcrank.ClientAccountID]*account),
		peers:    make(map[radishcrank.InstanceID]peerDemand),
		hold:     firstHold,
		sweptAt:  time.Now(),
	}
}

// Admit implements radishcrank.Admitter.
func (l *Limiter) Admit(ctx context.Context, req radishcrank.Request) (release func(radishcrank.Usage), err error) {
	release, err = l.admit(ctx, req)
	if r, ok := err.(*radishcrank.Refusal); ok && req.IsContinuation() {
		r.Outcome = radishcrank.OutcomeMayHaveRun // An earlier run delivered output.
	}
	return release, err
}

func (l *Limiter) admit(ctx context.Context, req radishcrank.Request) (release func(radishcrank.Usage), err error) {
	// Work that continues was accepted before the account began to leave.
	if !req.IsContinuation() && l.cfg.Leaving(req.Account) {
		return nil, &radishcrank.Refusal{
			Status:  http.StatusForbidden,
			Code:    "account_leaving",
			Message: "the account is leaving and takes no new work",
			Outcome: radishcrank.OutcomeNotRun,
		}
	}
	settings := l.cfg.Settings(req.Account)
	w := &waiter{
		cost:     cost(req, settings),
		deadline: req.Deadline,
		settled:  make(chan struct{}),
	}
	l.mu.Lock()
	a := l.accountLocked(req.Account, settings)
	a.offer(w.cost, time.Now())
	if err := l.refusalLocked(a, len(a.queue), w); err != nil {
		l.showLocked(a)
		l.mu.Unlock()
		return nil, err
	}
	l.addLocked(a, w)
	l.dispatchLocked()
	l.mu.Unlock()
	select {
	case <-w.settled:
	case <-ctx.Done():
		if l.withdraw(a, w) {
			return nil, ctx.Err()
		}
		<-w.settled
	}
	if w.err != nil {
		return nil, w.err
	}
	return l.releaser(a, w), nil
}

// cost is the number of tokens that a request is assumed to use until its real
// usage is known.
func cost(req radishcrank.Request, s rcconfig.Settings) float64 {
	tokens := radishcrank.EstimatePromptTokens(len(req.Prompt), s.BytesPerToken)
	return float64(max(1, tokens+req.MaxTokens))
}

// withdraw takes a departed caller's entry out of the queue. It reports false
// if the entry has been settled.
func (l *Limiter) withdraw(a *account, w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.removeLocked(a, w) {
		return false
	}
	l.showLocked(a)
	return true
}

// releaser returns the function that ends an admitted request.
func (l *Limiter) releaser(a *account, w *waiter) func(radishcrank.Usage) {
	return func(u radishcrank.Usage) {
		l.mu.Lock()
		defer l.mu.Unlock()
		now := time.Now()
		a.running--
		l.running--
		held := now.Sub(w.startedAt)
		l.hold += time.Duration(holdGain * float64(held-l.hold))
		if used := u.PromptTokens + u.CompletionTokens; used > 0 {
			a.correct(float64(used) - w.cost)
		}
		l.dispatchLocked()
		l.showLocked(a)
		l.sweepLocked(now)
	}
}

// showLocked writes an account's row. The table ranks after this lock.
func (l *Limiter) showLocked(a *account) {
	l.cfg.Board.Accounts.Put(a.id, rcboard.AccountUsage{
		Running:         a.running,
		Queued:          len(a.queue),
		TokensPerSecond: a.demand.rate(time.Now()),
	})
}
