// Package rcidem runs calls of plain services, those that must not be repeated
// at most once.
//
// A call that must not be repeated has a row in the table service. An attempt
// sends the call only after the row is known to hold the attempt's own number.
// All writes are conditional on the row's version, and a version never returns
// while the row is retained, so a write that arrives late changes nothing. Only
// the holder of an attempt declares it NotRun, and only after it has decided
// never to send it (again); a row in any other state admits no new attempt.
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

	// A holder that was paused for longer than this between its insert and its
	// send drops the attempt; its caller is gone and others believe it dead.
	dispatchLimit = 10 * time.Second

	// maxEntries bounds the memory for calls under way and records that wait for
	// the table service; new calls are refused beyond it. At a row of 64 KiB the
	// worst case is 128 MiB, at the usual 1 KiB answer it is 2 MiB.
	maxEntries = 2048

	nonceBytes = 8
)

// Config holds the parts that a Runner works with. Zero durations take the defaults.
type Config struct {
	Instance    radishcrank.InstanceID
	Incarnation radishcrank.Incarnation
	Zone        radishcrank.AvailabilityZone
	Board       *rcboard.Board
	Table       radishcrank.TableService
	Client      radishcrank.ServiceClient

	// RunsAtMostOnce says whether a call must not be repeated. Nil means that
	// every method but GET, HEAD and OPTIONS must not.
	RunsAtMostOnce func(call radishcrank.ServiceCall) bool
	// IsLeaving reports whether an account's new calls are refused. Nil means never.
	IsLeaving func(account radishcrank.ClientAccountID) bool
	// IsDead reports whether an incarnation of an instance is known dead. A wrong
	// answer costs a MayHaveRun, never a second run. Nil means never.
	IsDead func(id radishcrank.InstanceID, incarnation radishcrank.Incarnation) bool

	Retention      func() time.Duration // Age at which settled rows are deleted; nil means 72 h.
	CommitTimeout  time.Duration        // One call of the table service; default 2 s.
	CallTimeout    time.Duration        // One call of an upstream; default 30 s.
	LookupTimeout  time.Duration        // One lookup of a key at an upstream; default 2 s.
	SettleInterval time.Duration        // Between two settlement rounds in the whole fleet; default 5 s.
}

// Runner implements radishcrank.CallRunner.
type Runner struct {
	cfg    Config
	ctx    context.Context
	stop   context.CancelFunc
	batch  *batcher
	nonce  string
	number atomic.Uint64
	robin  atomic.Uint64

	services services

	mu       sync.Mutex
	entries  map[string]*entry // By row key.
	idle     chan struct{}     // Closed when draining and entries is empty.
	draining bool
	refused  map[radishcrank.UpstreamID]time.Time // Last refused connection.
}

// New returns a Runner.
func New(cfg Config) *Runner {
	setDefault(&cfg.CommitTimeout, defaultCommitTimeout)
	setDefault(&cfg.CallTimeout, defaultCallTimeout)
	setDefault(&cfg.LookupTimeout, defaultLookupTimeout)
	setDefault(&cfg.SettleInterval, defaultSettleInterval)
	if cfg.RunsAtMostOnce == nil {
		cfg.RunsAtMostOnce = notRepeatableByMethod
	}
	if cfg.IsLeaving == nil {
		cfg.IsLeaving = func(radishcrank.ClientAccountID) bool { return false }
	}
	if cfg.Retention == nil {
		cfg.Retention = func() time.Duration { return defaultRetention }
	}
	// The nonce keeps attempts apart even if an incarnation number is used twice.
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	ctx, stop := context.WithCancel(context.Background())
	return &Runner{
		cfg:     cfg,
		ctx:     ctx,
		stop:    stop,
		batch:   &batcher{ctx: ctx, table: cfg.Table, timeout: cfg.CommitTimeout},
		nonce:   hex.EncodeToString(nonce),
		entries: make(map[string]*entry),
		idle:    make(chan struct{}),
		refused: make(map[radishcrank.UpstreamID]time.Time),
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

func notRepeatableByMethod(call radishcrank.ServiceCall) bool {
	return !slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions}, call.Method)
}

// Run implements radishcrank.CallRunner. Errors are *radishcrank.Refusal.
func (r *Runner) Run(ctx context.Context, call radishcrank.ServiceCall) (radishcrank.ServiceResponse, error) {
	if !r.cfg.RunsAtMostOnce(call) {
		if r.cfg.IsLeaving(call.Account) {
			return radishcrank.ServiceResponse{}, refuseLeaving()
		}
		return r.runRepeatable(ctx, call)
	}
	if call.IdempotencyKey == "" || len(call.IdempotencyKey) > maxKeyBytes {
		return radishcrank.ServiceResponse{}, refuse(http.StatusBadRequest, "invalid_idempotency_key",
			fmt.Sprintf("this call needs an idempotency key of 1 to %d bytes", maxKeyBytes), radishcrank.OutcomeNotRun, 0)
	}
	return r.runOnce(ctx, call)
}

// Drain refuses new calls that must not be repeated, lets running ones finish
// and settles their records. It returns the row keys of those that are left
// when ctx ends, and ends all background work.
func (r *Runner) Drain(ctx context.Context) (left []string) {
	r.mu.Lock()
	if !r.draining {
		r.draining = true
		r.closeIdle()
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

// OpenRecords returns how many keys have calls under way or records to settle.
func (r *Runner) OpenRecords() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// closeIdle wakes Drain once nothing is left. The caller holds mu.
func (r *Runner) closeIdle() {
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
	return fmt.Sprintf("%s/%d/%s-%d", url.PathEscape(string(r.cfg.Instance)), r.cfg.Incarnation, r.nonce, r.number.Add(1))
}

// isDead reports whether the holder of an attempt is gone. An older incarnation
// of this instance is, as far as settlement is concerned.
func (r *Runner) isDead(attempt string) bool {
	id, incarnation, err := holder(attempt)
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
