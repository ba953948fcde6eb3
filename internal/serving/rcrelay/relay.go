// Package rcrelay produces the answer of one request. It dispatches the request
// to an engine, relays its tokens in order and resumes on another engine when
// one fails.
package rcrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// Config holds the parts that a Relay works with.
type Config struct {
	Board       *rcboard.Board
	Chooser     radishcrank.Chooser
	Dialer      radishcrank.EngineDialer
	MaxAttempts int // Engines tried for one request.
}

// Relay implements radishcrank.Generator.
type Relay struct {
	cfg Config
}

// New returns a Relay.
func New(cfg Config) *Relay { return &Relay{cfg: cfg} }

// Generate implements radishcrank.Generator.
func (r *Relay) Generate(ctx context.Context, req radishcrank.Request, sink radishcrank.StreamSink) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "request %s", req.ID)
		}
	}()
	r.cfg.Board.Streams.Put(req.ID, rcboard.Stream{Account: req.Account, Model: req.Model, StartedAt: time.Now()})
	defer r.cfg.Board.Streams.Delete(req.ID)
	var tried []radishcrank.UpstreamID
	for range r.cfg.MaxAttempts {
		p, err := r.cfg.Chooser.Choose(ctx, req, tried)
		if err != nil {
			return err
		}
		tried = append(tried, p.Upstream.ID)
		a := attempt{relay: r, placement: p, sink: sink, req: req, start: time.Now()}
		finish, err := a.run(ctx)
		req.Resume = a.req.Resume
		if err == nil {
			return sink.Finish(finish)
		}
		if ctx.Err() != nil || errors.Is(err, errCallerGone) {
			return err
		}
	}
	return &radishcrank.Refusal{
		Status:     http.StatusBadGateway,
		Code:       "upstream_failed",
		Message:    "every engine that was tried failed",
		Outcome:    radishcrank.OutcomeMayHaveRun,
		RetryAfter: time.Second,
	}
}

var errCallerGone = errors.New("caller is gone")

// attempt is one run of a request on one engine.
type attempt struct {
	relay     *Relay
	placement radishcrank.Placement
	sink      radishcrank.StreamSink
	req       radishcrank.Request
	start     time.Time
}

func (a *attempt) run(ctx context.Context) (finish radishcrank.Finish, err error) {
	defer func() { a.observe(finish, err) }()
	a.relay.cfg.Board.Streams.Update(a.req.ID, func(s rcboard.Stream, _ bool) (rcboard.Stream, bool) {
		s.Upstream = a.placement.Upstream.ID
		s.Attempts++
		return s, true
	})
	engine := a.relay.cfg.Dialer.Engine(a.placement.Upstream)
	stream, err := engine.Generate(ctx, radishcrank.GenerateRequest{
		Request:   a.req,
		CacheKeys: a.placement.CacheKeys,
		Weights:   a.placement.Weights,
	})
	if err != nil {
		return finish, err
	}
	defer stream.Close()
	first := true
	for {
		t, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.Finish(), nil
		}
		if err != nil {
			return finish, err
		}
		if first {
			first = false
			a.relay.cfg.Chooser.Observe(a.req, a.placement, radishcrank.Observation{
				Kind: radishcrank.ObservedFirstToken,
				TTFT: time.Since(a.start),
			})
		}
		if err := a.sink.Token(t); err != nil {
			return finish, errors.Join(errCallerGone, err)
		}
		a.req.Resume = t.Index + 1
	}
}

func (a *attempt) observe(finish radishcrank.Finish, err error) {
	o := radishcrank.Observation{Kind: radishcrank.ObservedDone, Usage: finish.Usage}
	if err != nil {
		o = radishcrank.Observation{Kind: radishcrank.ObservedFailure, Err: err}
	}
	a.relay.cfg.Chooser.Observe(a.req, a.placement, o)
}
