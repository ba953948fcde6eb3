// Package rcrelay produces the answer of one request. It dispatches the request
// to an engine, relays its tokens in order, resumes on another engine when one
// fails, and keeps the answer for a while so that a caller can reconnect.
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

// Settings are the values that an operator may change. A zero value stands for
// its default.
type Settings struct {
	ProgressTimeout         time.Duration // A stream silent for longer is resumed elsewhere. Default 5 s.
	FirstTokenTimeoutFactor float64       // First token deadline in multiples of the predicted time. Default 4.
	HedgeDelayFactor        float64       // First token is hedged after this multiple of the predicted time. Default 2.
	ReconnectGrace          time.Duration // A generation goes on for so long without its caller. Default 10 s; negative is off.
	ReplayRetention         time.Duration // Answers are kept for so long after their end. Default 60 s.
	MaxReplayBytes          int           // Largest replay buffer of one stream. Default 1 MiB.
	MaxReplayTotalBytes     int           // Largest sum of the replay buffers of ended streams. Default 32 MiB.
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

// Retrier bounds retries and hedges and learns how attempts ended.
type Retrier interface {
	// RecordDispatch counts a first attempt.
	RecordDispatch(account radishcrank.ClientAccountID, upstream radishcrank.UpstreamID)
	// AllowRetry takes a retry out of the budgets, or reports that one is empty.
	AllowRetry(account radishcrank.ClientAccountID, upstream radishcrank.UpstreamID) bool
	// AllowHedge takes a hedge out of its budget, or reports that it is empty.
	AllowHedge() bool
	// Backoff returns the wait before retry n, counted from 0.
	Backoff(n int) time.Duration
	// RecordResult tells how an attempt ended; nil is success.
	RecordResult(upstream radishcrank.UpstreamID, err error)
}

// CrashTracker finds contents that crash engines and isolates suspects.
type CrashTracker interface {
	// Check returns a *Refusal if the content is known to crash engines.
	Check(req radishcrank.Request) error
	// CrashCount returns in how many crashes the content was in flight.
	CrashCount(req radishcrank.Request) int
	// ExcludedUpstreams returns the upstreams that must not take the request now, those
	// that it should rather not go to, and a channel that is closed when the
	// first list changes.
	ExcludedUpstreams(req radishcrank.Request) (must, rather []radishcrank.UpstreamID, changed <-chan struct{})
	// StartRun registers a run and waits until a suspect is alone on its upstream.
	// ErrUpstreamBusy means that the upstream is reserved. end is called once.
	StartRun(ctx context.Context, req radishcrank.Request, up radishcrank.Upstream) (end func(crashed, finished bool), err error)
}

// Config holds the parts that a Relay works with.
type Config struct {
	Board       *rcboard.Board
	Chooser     radishcrank.Chooser
	Dialer      radishcrank.EngineDialer
	MaxAttempts int                                                // Engines tried for one request, without hedges.
	Settings    func(account radishcrank.ClientAccountID) Settings // Nil is the defaults.
	// ProgressTimeout returns how long an attempt may deliver nothing. Nil is the
	// ProgressTimeout of the settings.
	ProgressTimeout func(req radishcrank.Request, up radishcrank.Upstream) time.Duration
	Retrier         Retrier                      // Nil retries without limit and never hedges.
	CrashTracker    CrashTracker                 // Nil suspects nothing.
	RefreshLoad     func(radishcrank.UpstreamID) // Asks for a new load report; nil waits for the next one.
}

// Relay implements radishcrank.Generator.
type Relay struct {
	cfg      Config
	watchers *watchers

	mu         sync.Mutex
	streams    map[radishcrank.RequestID]*stream
	ended      []*stream // Oldest first.
	endedBytes int
}

// New returns a Relay.
func New(cfg Config) *Relay {
	if cfg.Settings == nil {
		cfg.Settings = func(radishcrank.ClientAccountID) Settings { return Settings{} }
	}
	if cfg.Retrier == nil {
		cfg.Retrier = unlimited{}
	}
	if cfg.CrashTracker == nil {
		cfg.CrashTracker = trusting{}
	}
	return &Relay{cfg: cfg, watchers: newWatchers(), streams: make(map[radishcrank.RequestID]*stream)}
}

// Generate implements radishcrank.Generator. It returns when the generation has
// ended, which may be after the caller's connection broke.
func (r *Relay) Generate(ctx context.Context, req radishcrank.Request, sink radishcrank.StreamSink) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "request %s", req.ID)
		}
	}()
	if err := r.cfg.CrashTracker.Check(req); err != nil {
		return withReach(err, req.IsContinuation())
	}
	if req.ResumeFrom > 0 && req.PinnedWeights == "" {
		return unpinned()
	}
	settings := r.cfg.Settings(req.Account).withDefaults()
	genCtx, cancel := detach(ctx)
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
		s.detachCaller()
	})
	defer stop()
	r.cfg.Board.Streams.Put(req.ID, rcboard.Stream{Account: req.Account, Model: req.Model, StartedAt: time.Now()})
	defer r.cfg.Board.Streams.Delete(req.ID)
	g := &generation{relay: r, ctx: genCtx, req: req, sink: sink, stream: s, settings: settings}
	g.reached = req.IsContinuation()
	finish, err := g.run()
	s.end(finish, err)
	r.retire(s)
	if err != nil {
		return err
	}
	return g.finish(finish)
}

// detach returns a context with the values and the deadline of ctx that does
// not end when the caller leaves.
func detach(ctx context.Context) (context.Context, context.CancelCauseFunc) {
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

// register makes the stream known to reconnecting callers.
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

// retire keeps an ended stream for its retention, as far as the total allows.
func (r *Relay) retire(s *stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = append(r.ended, s)
	r.endedBytes += s.size()
	for len(r.ended) > 0 && r.endedBytes > s.settings.MaxReplayTotalBytes {
		r.forgetOldest()
	}
	time.AfterFunc(s.settings.ReplayRetention, r.expire)
}

// expire forgets the streams whose retention is over.
func (r *Relay) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for len(r.ended) > 0 && now.Sub(r.ended[0].endTime()) >= r.ended[0].settings.ReplayRetention {
		r.forgetOldest()
	}
}

func (r *Relay) forgetOldest() {
	s := r.ended[0]
	r.ended[0] = nil
	r.ended = r.ended[1:]
	r.endedBytes -= s.size()
	if r.streams[s.id] == s {
		delete(r.streams, s.id)
	}
}

// unlimited is the Retrier of a Relay without one.
type unlimited struct{}

func (unlimited) RecordDispatch(radishcrank.ClientAccountID, radishcrank.UpstreamID)  {}
func (unlimited) AllowRetry(radishcrank.ClientAccountID, radishcrank.UpstreamID) bool { return true }
func (unlimited) AllowHedge() bool                                                    { return false }
func (unlimited) Backoff(int) time.Duration                                           { return 0 }
func (unlimited) RecordResult(radishcrank.UpstreamID, error)                          {}

// trusting is the CrashTracker of a Relay without one.
type trusting struct{}

func (trusting) Check(radishcrank.Request) error    { return nil }
func (trusting) CrashCount(radishcrank.Request) int { return 0 }

func (trusting) ExcludedUpstreams(radishcrank.Request) (must, rather []radishcrank.UpstreamID, changed <-chan struct{}) {
	return nil, nil, nil
}

func (trusting) StartRun(context.Context, radishcrank.Request, radishcrank.Upstream) (end func(crashed, finished bool), err error) {
	return func(bool, bool) {}, nil
}
