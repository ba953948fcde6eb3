// Package rcidem runs calls of services that are not model engines. Calls that must
// not be repeated run at most once.
//
// Each call that must not be repeated has a row in the table service. An attempt
// sends the call only after the row is known to contain that attempt's identifier.
// All writes are conditional on the row's version, and a row never returns to an
// earlier version while it is retained, so a write that arrives late has no effect.
// Only the instance that owns an attempt sets it to NotRun, and only after it has
// decided not to send the call, or not to send it again. A row in any other state
// admits no new attempt.
package rcidem

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

const (
	defaultRetention      = 72 * time.Hour
	defaultCommitTimeout  = 2 * time.Second
	defaultCallTimeout    = 30 * time.Second
	defaultLookupTimeout  = 2 * time.Second
	defaultSettleInterval = 5 * time.Second

	// maxDispatchDelay is the maximum time between the claim of the row and the send.
	// An instance that was paused for longer abandons the attempt, because its caller
	// has left and other instances consider it dead.
	maxDispatchDelay = 10 * time.Second

	// maxEntries limits the memory for calls in progress and for records that are not
	// yet in the table service. Further calls are refused. With rows of 64 KiB the
	// worst case is 128 MiB; with the usual responses of 1 KiB it is 2 MiB.
	maxEntries = 2048

	nonceBytes = 8
)

// Config holds the dependencies and settings of a Runner. Durations that are zero or
// less take the defaults.
type Config struct {
	Instance    radishcrank.InstanceID
	Incarnation radishcrank.Incarnation
	Zone        radishcrank.AvailabilityZone
	Board       *rcboard.Board
	Table       radishcrank.TableService
	Client      radishcrank.ServiceClient

	// RunsAtMostOnce reports whether a call must not be repeated. If nil, this applies
	// to all methods except GET, HEAD and OPTIONS.
	RunsAtMostOnce func(call radishcrank.ServiceCall) bool
	// IsLeaving reports whether new calls of a client account are refused. If nil, no
	// account is leaving.
	IsLeaving func(account radishcrank.ClientAccountID) bool
	// IsDead reports whether an incarnation of an instance is known to be dead. A false
	// positive may cause an outcome MayHaveRun, but never a second run. If nil, no
	// instance is considered dead.
	IsDead func(id radishcrank.InstanceID, incarnation radishcrank.Incarnation) bool

	Retention      func() time.Duration // Age at which settled rows are deleted; default 72 h.
	CommitTimeout  time.Duration        // Limit of one call of the table service; default 2 s.
	CallTimeout    time.Duration        // Limit of one call of an upstream; default 30 s.
	LookupTimeout  time.Duration        // Limit of one lookup of a key at an upstream; default 2 s.
	SettleInterval time.Duration        // Average time between two settlement rounds in the whole fleet; default 5 s.
}

// Runner implements radishcrank.CallRunner.
type Runner struct {
	cfg          Config
	ctx          context.Context
	stop         context.CancelFunc
	batch        *batcher
	nonce        string
	attemptCount atomic.Uint64
	roundRobin   atomic.Uint64

	services serviceCache

	mu        sync.Mutex
	entries   map[string]*entry // By row key.
	idle      chan struct{}     // Closed when draining is set and entries is empty.
	draining  bool
	refusedAt map[radishcrank.UpstreamID]time.Time // Time of the last refused connection.
}

func New(cfg Config) *Runner {
	setDefault(&cfg.CommitTimeout, defaultCommitTimeout)
	setDefault(&cfg.CallTimeout, defaultCallTimeout)
	setDefault(&cfg.LookupTimeout, defaultLookupTimeout)
	setDefault(&cfg.SettleInterval, defaultSettleInterval)
	if cfg.RunsAtMostOnce == nil {
		cfg.RunsAtMostOnce = hasUnsafeMethod
	}
	if cfg.IsLeaving == nil {
		cfg.IsLeaving = func(radishcrank.ClientAccountID) bool { return false }
	}
	if cfg.Retention == nil {
		cfg.Retention = func() time.Duration { return defaultRetention }
	}
	// The nonce keeps attempt identifiers unique even if an incarnation number is
	// used twice.
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	ctx, stop := context.WithCancel(context.Background())
	return &Runner{
		cfg:       cfg,
		ctx:       ctx,
		stop:      stop,
		batch:     &batcher{ctx: ctx, table: cfg.Table, timeout: cfg.CommitTimeout},
		nonce:     hex.EncodeToString(nonce),
		entries:   make(map[string]*entry),
		idle:      make(chan struct{}),
		refusedAt: make(map[radishcrank.UpstreamID]time.Time),
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

func hasUnsafeMethod(call radishcrank.ServiceCall) bool {
	return !slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions}, call.Method)
}

// Run implements radishcrank.CallRunner. Errors are of type *radishcrank.Refusal.
func (r *Runner) Run(ctx context.Context, call radishcrank.ServiceCall) (radishcrank.ServiceResponse, error) {
	if !r.cfg.RunsAtMostOnce(call) {
		if r.cfg.IsLeaving(call.Account) {
			return radishcrank.ServiceResponse{}, refuseAccountLeaving()
		}
		return r.runRepeatable(ctx, call)
	}
	if call.IdempotencyKey == "" || len(call.IdempotencyKey) > maxKeyBytes {
		return radishcrank.ServiceResponse{}, refuse(http.StatusBadRequest, "invalid_idempotency_key",
			fmt.Sprintf("this call needs an idempotency key of 1 to %d bytes", maxKeyBytes), radishcrank.OutcomeNotRun, 0)
	}
	return r.runAtMostOnce(ctx, call)
}

// Drain refuses new calls that must not be repeated, lets running ones finish and
// settles their records. When ctx ends, it stops all background work. It returns the
// row keys of the calls that are not settled.
func (r *Runner) Drain(ctx context.Context) (left []string) {
	r.mu.Lock()
	if !r.draining {
		r.draining = true
		r.closeIdleIfDone()
	}
	r.mu.Unlock()
	select {
	case <-r.idle:
	case <-ctx.Done():
	}
	r.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.entries {
		left = append(left, key)
	}
	slices.Sort(left)
	return left
}

// OpenRecords returns the number of keys with calls in progress or records to settle.
func (r *Runner) OpenRecords() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// closeIdleIfDone closes idle, which ends Drain, once no entry is left. The caller
// holds mu.
func (r *Runner) closeIdleIfDone() {
	if !r.draining || len(r.entries) > 0 {
		return
	}
	select {
	case <-r.idle:
	default:
		close(r.idle)
	}
}

func (r *Runner) newAttempt() string {
	return fmt.Sprintf("%s/%d/%s-%d", url.PathEscape(string(r.cfg.Instance)), r.cfg.Incarnation, r.nonce, r.attemptCount.Add(1))
}

// ownerDead reports whether the owner of an attempt is dead. An earlier incarnation
// of this instance counts as dead.
func (r *Runner) ownerDead(attempt string) bool {
	id, incarnation, err := parseAttempt(attempt)
	if err != nil {
		return false
	}
	if id == r.cfg.Instance && incarnation < r.cfg.Incarnation {
		return true
	}
	return r.cfg.IsDead != nil && r.cfg.IsDead(id, incarnation)
}

func refuse(status int, code, message string, outcome radishcrank.Outcome, retryAfter time.Duration) *radishcrank.Refusal {
	return &radishcrank.Refusal{Status: status, Code: code, Message: message, Outcome: outcome, RetryAfter: retryAfter}
}
