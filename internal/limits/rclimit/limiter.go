// Package rclimit enforces the limits of client accounts and divides capacity
// fairly between them.
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

// Config configures a Limiter.
type Config struct {
	Board    *rcboard.Board
	Instance radishcrank.InstanceID // ID of this instance in the split of fleet-wide limits.

	// Settings returns the settings of an account. Nil means
	// rcconfig.DefaultSettings.
	Settings func(account radishcrank.ClientAccountID) rcconfig.Settings
	// Leaving reports whether new work of an account is refused. Nil means never.
	Leaving func(account radishcrank.ClientAccountID) bool
	// Weight returns the weight of an account in the fair queue. Nil or a result of
	// 0 means 1.
	Weight func(account radishcrank.ClientAccountID) float64
	// Capacity returns the maximum number of concurrent requests on this instance.
	// Nil or a result of 0 means no limit.
	Capacity func() int
	// Instances returns the number of instances in the last complete view. Nil
	// means 1.
	Instances func() int
	// OvershootFactor limits the sum of all shares during a network partition to
	// this multiple of the limit. It applies to accounts whose settings have no
	// factor of their own. 0 means DefaultOvershootFactor.
	OvershootFactor float64
}

// DefaultOvershootFactor is the default of Config.OvershootFactor.
const DefaultOvershootFactor = 2

const (
	// reviewInterval is the maximum time between reviews of the waiting requests. A
	// review refuses requests that would miss their deadline because others take
	// longer than predicted.
	reviewInterval = 250 * time.Millisecond
	// initialDuration is the estimated duration of a request before any has completed.
	initialDuration = 500 * time.Millisecond
	// durationGain is the weight of the latest duration in the moving average.
	durationGain = 0.1
	// maxQueue is the queue length of accounts whose settings do not limit it.
	maxQueue = 1024
	// maxRetryAfter is the maximum Refusal.RetryAfter.
	maxRetryAfter = time.Minute
)

// Limiter implements radishcrank.Admitter. It is safe for concurrent use.
type Limiter struct {
	cfg Config

	mu            sync.Mutex
	accounts      map[radishcrank.ClientAccountID]*account
	queued        map[radishcrank.ClientAccountID]*account // Accounts with waiting requests.
	peers         map[radishcrank.InstanceID]peerDemand
	running       int
	waiting       int
	virtualTime   float64       // Virtual time of the fair queue: start tag of the last admitted request.
	meanDuration  time.Duration // Moving average of the duration of requests.
	timer         *time.Timer   // Timer of the next review; nil if no request waits.
	sweptAt       time.Time
	publishedAt   time.Time
	inputRevision uint64 // Revision of the inputs of splits; cached splits of older revisions are stale.
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
		cfg:          cfg,
		accounts:     make(map[radishcrank.ClientAccountID]*account),
		queued:       make(map[radishcrank.ClientAccountID]*account),
		peers:        make(map[radishcrank.InstanceID]peerDemand),
		meanDuration: initialDuration,
		sweptAt:      time.Now(),
	}
}

// Admit implements radishcrank.Admitter.
func (l *Limiter) Admit(ctx context.Context, req radishcrank.Request) (release func(radishcrank.Usage), err error) {
	release, err = l.admit(ctx, req)
	if r, ok := err.(*radishcrank.Refusal); ok && req.IsContinuation() {
		r.Outcome = radishcrank.OutcomeMayHaveRun // A previous run delivered output.
	}
	return release, err
}

func (l *Limiter) admit(ctx context.Context, req radishcrank.Request) (release func(radishcrank.Usage), err error) {
	// A continued request was accepted before the account began to leave.
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
		done:     make(chan struct{}),
	}
	l.mu.Lock()
	a := l.accountLocked(req.Account, settings)
	a.addDemand(w.cost, time.Now())
	if err := l.refusalLocked(a, len(a.queue), w); err != nil {
		l.updateRowLocked(a)
		l.mu.Unlock()
		return nil, err
	}
	l.addLocked(a, w)
	l.dispatchLocked()
	l.mu.Unlock()
	select {
	case <-w.done:
	case <-ctx.Done():
		if l.withdraw(a, w) {
			return nil, ctx.Err()
		}
		<-w.done
	}
	if w.err != nil {
		return nil, w.err
	}
	return l.releaseFunc(a, w), nil
}

// cost returns the estimated token usage of a request, which is charged until the
// actual usage is known.
func cost(req radishcrank.Request, s rcconfig.Settings) float64 {
	tokens := radishcrank.EstimatePromptTokens(len(req.Prompt), s.BytesPerToken)
	return float64(max(1, tokens+req.MaxTokens))
}

// withdraw removes a request from the queue after its caller has cancelled it. It
// returns false if the request was already admitted or refused.
func (l *Limiter) withdraw(a *account, w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.removeLocked(a, w) {
		return false
	}
	l.updateRowLocked(a)
	return true
}

// releaseFunc returns the release function of an admitted request.
func (l *Limiter) releaseFunc(a *account, w *waiter) func(radishcrank.Usage) {
	return func(u radishcrank.Usage) {
		l.mu.Lock()
		defer l.mu.Unlock()
		now := time.Now()
		a.running--
		l.running--
		duration := now.Sub(w.startedAt)
		l.meanDuration += time.Duration(durationGain * float64(duration-l.meanDuration))
		if used := u.PromptTokens + u.CompletionTokens; used > 0 {
			a.adjustUsage(float64(used) - w.cost)
		}
		l.dispatchLocked()
		l.updateRowLocked(a)
		l.sweepLocked(now)
	}
}

// updateRowLocked updates the row of an account in the Accounts table. In the lock
// order the table's lock comes after l.mu.
func (l *Limiter) updateRowLocked(a *account) {
	l.cfg.Board.Accounts.Put(a.id, rcboard.AccountUsage{
		Running:         a.running,
		Queued:          len(a.queue),
		TokensPerSecond: a.demand.rate(time.Now()),
	})
}
