// Package rcrelay generates the response to a request. It dispatches the request to an
// engine, relays the tokens in order, resumes on another engine after a failure, and
// buffers the response for a limited time so that a client can reconnect.
package rcrelay

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// Settings are the tunable parameters of a Relay. A zero value selects the default.
type Settings struct {
	ProgressTimeout         time.Duration // A stream without a token for this long is resumed on another engine. Default 5 s.
	FirstTokenTimeoutFactor float64       // Timeout of the first token as a multiple of the predicted time. Default 4.
	HedgeDelayFactor        float64       // Delay before a hedge as a multiple of the predicted time to first token. Default 2.
	ReconnectGrace          time.Duration // How long a generation continues without a client. Default 10 s; negative cancels it at once.
	ReplayRetention         time.Duration // How long a response is kept after its end. Default 60 s.
	MaxReplayBytes          int           // Limit on the replay buffer of one stream. Default 1 MiB.
	MaxReplayTotalBytes     int           // Limit on all replay buffers of ended streams. Default 32 MiB.
}

// DefaultSettings returns the built-in defaults.
func DefaultSettings() Settings {
	return Settings{
		ProgressTimeout:         5 * time.Second,
		FirstTokenTimeoutFactor: 4,
		HedgeDelayFactor:        2,
		ReconnectGrace:          10 * time.Second,
		ReplayRetention:         time.Minute,
		MaxReplayBytes:          1 << 20,
		MaxReplayTotalBytes:     32 << 20,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	s.ProgressTimeout = cmp.Or(s.ProgressTimeout, d.ProgressTimeout)
	s.FirstTokenTimeoutFactor = cmp.Or(s.FirstTokenTimeoutFactor, d.FirstTokenTimeoutFactor)
	s.HedgeDelayFactor = cmp.Or(s.HedgeDelayFactor, d.HedgeDelayFactor)
	s.ReconnectGrace = cmp.Or(s.ReconnectGrace, d.ReconnectGrace)
	s.ReplayRetention = cmp.Or(s.ReplayRetention, d.ReplayRetention)
	s.MaxReplayBytes = cmp.Or(s.MaxReplayBytes, d.MaxReplayBytes)
	s.MaxReplayTotalBytes = cmp.Or(s.MaxReplayTotalBytes, d.MaxReplayTotalBytes)
	return s
}

// Retrier limits retries and hedged attempts and records the results of attempts.
type Retrier interface {
	// RecordDispatch counts a first attempt.
	RecordDispatch(account radishcrank.ClientAccountID, upstream radishcrank.UpstreamID)
	// AllowRetry takes a retry from the budgets of the account and the upstream. It
	// returns false if one of them is empty.
	AllowRetry(account radishcrank.ClientAccountID, upstream radishcrank.UpstreamID) bool
	// AllowHedge takes a hedged attempt from the hedging budget. It returns false if the
	// budget is empty.
	AllowHedge() bool
	// Backoff returns the delay before retry n, counted from 0.
	Backoff(n int) time.Duration
	// RecordResult records the result of an attempt; a nil err is a success.
	RecordResult(upstream radishcrank.UpstreamID, err error)
}

// CrashTracker detects request contents that crash engines and isolates suspects.
type CrashTracker interface {
	// Check returns a *Refusal if the content is known to crash engines.
	Check(req radishcrank.Request) error
	// CrashCount returns the number of crashes during which the content was in flight.
	CrashCount(req radishcrank.Request) int
	// ExcludedUpstreams returns in required the upstreams that must not run the request
	// at present, in preferred those that should run it only if no other is available,
	// and a channel that is closed when required changes.
	ExcludedUpstreams(req radishcrank.Request) (required, preferred []radishcrank.UpstreamID, changed <-chan struct{})
	// StartRun registers a run. If the request is a suspect, it waits until the upstream
	// runs nothing else. ErrUpstreamBusy means that the upstream is reserved. end must be
	// called exactly once.
	StartRun(ctx context.Context, req radishcrank.Request, up radishcrank.Upstream) (end func(crashed, finished bool), err error)
}

// Config holds the dependencies and limits of a Relay.
type Config struct {
	Board       *rcboard.Board
	Chooser     radishcrank.Chooser
	Dialer      radishcrank.EngineDialer
	MaxAttempts int                                                // Limit on the attempts of one request, not counting hedged ones.
	Settings    func(account radishcrank.ClientAccountID) Settings // Nil selects the defaults.
	// ProgressTimeout returns the maximum time between two tokens of an attempt. Nil
	// selects the ProgressTimeout of the settings.
	ProgressTimeout func(req radishcrank.Request, up radishcrank.Upstream) time.Duration
	Retrier         Retrier                      // Nil allows any number of retries and no hedging.
	CrashTracker    CrashTracker                 // Nil disables crash tracking.
	RefreshLoad     func(radishcrank.UpstreamID) // Requests a new load report; nil waits for the next regular one.
	ReplayMemory    ReplayMemory                 // Nil sets no limit besides those of the settings.
}

// ReplayMemory is the memory of the replay buffers of all streams.
type ReplayMemory interface {
	// Reserve reserves n more bytes, if they are free.
	Reserve(n int64) bool
	// Return gives n bytes back.
	Return(n int64)
}

// Relay implements radishcrank.Generator.
type Relay struct {
	cfg       Config
	watchdogs *watchdogRegistry

	mu         sync.Mutex
	streams    map[radishcrank.RequestID]*stream
	ended      []*stream // Oldest first.
	endedBytes int
}

// New returns a Relay that uses the dependencies in cfg.
func New(cfg Config) *Relay {
	if cfg.Settings == nil {
		cfg.Settings = func(radishcrank.ClientAccountID) Settings { return Settings{} }
	}
	if cfg.Retrier == nil {
		cfg.Retrier = unlimited{}
	}
	if cfg.ReplayMemory == nil {
		cfg.ReplayMemory = unlimitedMemory{}
	}
	if cfg.CrashTracker == nil {
		cfg.CrashTracker = noCrashTracker{}
	}
	return &Relay{cfg: cfg, watchdogs: newWatchdogRegistry(), streams: make(map[radishcrank.RequestID]*stream)}
}

// Generate implements radishcrank.Generator. It returns when the generation has ended,
// which may be after the client has disconnected.
func (r *Relay) Generate(ctx context.Context, req radishcrank.Request, sink radishcrank.StreamSink) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "request %s", req.ID)
		}
	}()
	if err := r.cfg.CrashTracker.Check(req); err != nil {
		return correctOutcome(err, req.IsContinuation())
	}
	if req.ResumeFrom > 0 && req.PinnedWeights == "" {
		return unknownWeightsRefusal()
	}
	settings := r.cfg.Settings(req.Account).withDefaults()
	genCtx, cancel := detachContext(ctx)
	defer cancel(context.Canceled)
	s := newStream(req, settings, cancel)
	if err := r.register(s); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() {
		if context.Cause(ctx) == context.DeadlineExceeded {
			cancel(errStreamTimeout)
			return
		}
		s.setClientGone()
	})
	defer stop()
	r.cfg.Board.Streams.Put(req.ID, rcboard.Stream{Account: req.Account, Model: req.Model, StartedAt: time.Now()})
	defer r.cfg.Board.Streams.Delete(req.ID)
	g := &generation{relay: r, ctx: genCtx, req: req, sink: sink, stream: s, settings: settings}
	g.reached = req.IsContinuation()
	finish, err := g.run()
	s.setDone(finish, err)
	r.retainEnded(s)
	if err != nil {
		return err
	}
	return g.deliverFinish(finish)
}

// detachContext returns a context with the values and the deadline of ctx that is not
// canceled when the client disconnects.
func detachContext(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	inner, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	deadline, ok := ctx.Deadline()
	if !ok {
		return inner, cancel
	}
	outer, stop := context.WithDeadlineCause(inner, deadline, errStreamTimeout)
	return outer, func(cause error) {
		cancel(cause)
		stop()
	}
}

// register makes the stream available to reconnecting clients.
func (r *Relay) register(s *stream) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.streams[s.id]
	if ok && !old.isDone() {
		return &radishcrank.Refusal{
			Status:  http.StatusConflict,
			Code:    "request_in_progress",
			Message: "a request with this identifier is in progress",
			Outcome: radishcrank.OutcomeMayHaveRun,
		}
	}
	r.streams[s.id] = s
	return nil
}

// retainEnded keeps an ended stream for its retention time, and evicts the oldest ended
// streams if their buffers exceed the limit.
func (r *Relay) retainEnded(s *stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = append(r.ended, s)
	r.endedBytes += s.size()
	for len(r.ended) > 0 && r.endedBytes > s.settings.MaxReplayTotalBytes {
		r.evictOldest()
	}
	time.AfterFunc(s.settings.ReplayRetention, r.evictExpired)
}

// evictExpired removes the streams whose retention time has passed.
func (r *Relay) evictExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for len(r.ended) > 0 && now.Sub(r.ended[0].endTime()) >= r.ended[0].settings.ReplayRetention {
		r.evictOldest()
	}
}

// evictOldest removes the oldest ended stream. The caller must hold r.mu.
func (r *Relay) evictOldest() {
	s := r.ended[0]
	r.ended[0] = nil
	r.ended = r.ended[1:]
	r.endedBytes -= s.size()
	r.cfg.ReplayMemory.Return(s.takeReserved())
	if r.streams[s.id] == s {
		delete(r.streams, s.id)
	}
}

// unlimited is the default Retrier. It allows all retries and no hedging.
type unlimited struct{}

func (unlimited) RecordDispatch(radishcrank.ClientAccountID, radishcrank.UpstreamID)  {}
func (unlimited) AllowRetry(radishcrank.ClientAccountID, radishcrank.UpstreamID) bool { return true }
func (unlimited) AllowHedge() bool                                                    { return false }
func (unlimited) Backoff(int) time.Duration                                           { return 0 }
func (unlimited) RecordResult(radishcrank.UpstreamID, error)                          {}

// noCrashTracker is the default CrashTracker. It suspects nothing.
type noCrashTracker struct{}

func (noCrashTracker) Check(radishcrank.Request) error    { return nil }
func (noCrashTracker) CrashCount(radishcrank.Request) int { return 0 }

func (noCrashTracker) ExcludedUpstreams(radishcrank.Request) (required, preferred []radishcrank.UpstreamID, changed <-chan struct{}) {
	return nil, nil, nil
}

func (noCrashTracker) StartRun(context.Context, radishcrank.Request, radishcrank.Upstream) (end func(crashed, finished bool), err error) {
	return func(bool, bool) {}, nil
}
